#include "Core/Control/control_replica.h"

#include <algorithm>
#include <utility>

#include "Core/Common/hash.h"

namespace daisyroad {

std::vector<ReplicaAction> ControlReplica::OnVersionHeard(std::uint64_t version,
                                                          const EntryName& peer,
                                                          MonotonicTime now) {
  const std::uint64_t newest_known =
      this->pending ? this->pending->version : this->in_force.version();
  if (version <= newest_known) {
    return {};
  }
  this->pending =
      PendingVersion{version, std::nullopt, peer, PeerSource{peer}, now};
  return this->RequestMissing(now);
}

std::vector<ReplicaAction> ControlReplica::OnHead(const ControlHead& head,
                                                  const ControlSource& source,
                                                  MonotonicTime now) {
  if (head.version <= this->in_force.version()) {
    return {};
  }
  if (this->pending && this->pending->head &&
      head.version <= this->pending->head->version) {
    return {};
  }
  std::optional<EntryName> reporting_peer;
  if (const PeerSource* peer = std::get_if<PeerSource>(&source)) {
    reporting_peer = peer->peer;
  }
  // The head may be older than a version that a peer named, but it is newer
  // than the version in force, so it is adopted as an intermediate step.
  this->pending =
      PendingVersion{head.version, head, reporting_peer, source, now};
  std::vector<ReplicaAction> actions = this->AdoptIfComplete();
  return actions.empty() ? this->RequestMissing(now) : actions;
}

std::vector<ReplicaAction> ControlReplica::OnPart(const PartDigest& digest,
                                                  const std::string& text) {
  if (!this->pending || !this->pending->head) {
    return {};
  }
  const std::map<ControlPart, PartDigest>& parts = this->pending->head->parts;
  const bool is_expected = std::any_of(
      parts.begin(), parts.end(),
      [&digest](const std::pair<const ControlPart, PartDigest>& part) {
        return part.second == digest;
      });
  if (!is_expected || Sha256Hex(text) != digest.str()) {
    return {};
  }
  this->part_texts[digest] = text;
  return this->AdoptIfComplete();
}

std::vector<ReplicaAction> ControlReplica::OnFetchFailed(MonotonicTime now) {
  if (!this->pending) {
    return {};
  }
  const bool requested_from_store =
      std::holds_alternative<StoreSource>(this->pending->source);
  if (requested_from_store && this->pending->reporting_peer) {
    this->pending->source = PeerSource{*this->pending->reporting_peer};
  } else {
    this->pending->source = StoreSource{};
  }
  return this->RequestMissing(now);
}

std::vector<ReplicaAction> ControlReplica::OnTick(MonotonicTime now) {
  if (!this->pending || now - this->pending->last_request_at < kFetchTimeout) {
    return {};
  }
  return this->OnFetchFailed(now);
}

std::optional<std::string> ControlReplica::Part(
    const PartDigest& digest) const {
  const auto found = this->part_texts.find(digest);
  if (found == this->part_texts.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool ControlReplica::Watches(const EntryName& self,
                             const ZoneName& zone,
                             const std::vector<EntryName>& live_in_zone) {
  const std::uint64_t seed = StableHash(zone.str());
  const std::uint64_t own_hash = StableHash(self.str(), seed);
  std::size_t higher_ranked = 0;
  for (const EntryName& other : live_in_zone) {
    if (other != self && StableHash(other.str(), seed) > own_hash) {
      ++higher_ranked;
    }
  }
  return higher_ranked < kWatchersPerZone;
}

std::vector<ReplicaAction> ControlReplica::RequestMissing(MonotonicTime now) {
  this->pending->last_request_at = now;
  std::vector<ReplicaAction> actions;
  if (!this->pending->head) {
    actions.push_back(FetchHead{this->pending->source});
    return actions;
  }
  for (const std::pair<const ControlPart, PartDigest>& part :
       this->pending->head->parts) {
    if (this->part_texts.count(part.second) == 0) {
      actions.push_back(FetchPart{part.second, this->pending->source});
    }
  }
  return actions;
}

std::vector<ReplicaAction> ControlReplica::AdoptIfComplete() {
  Result<ControlDocument> document =
      ControlDocument::FromParts(*this->pending->head, this->part_texts);
  if (!document) {
    // Parts are missing or malformed. Missing ones are requested again after
    // kFetchTimeout.
    return {};
  }
  if (document.value().version() <= this->in_force.version()) {
    this->pending.reset();
    return {};
  }
  this->in_force = std::move(document).value();
  this->part_texts = this->in_force.Parts();
  this->pending.reset();
  return {VersionAdopted{this->in_force.version()}};
}

}  // namespace daisyroad
