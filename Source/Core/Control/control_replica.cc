#include "Core/Control/control_replica.h"

#include <algorithm>
#include <utility>

#include "Core/Common/hash.h"

namespace daisyroad {

std::vector<ReplicaAction> ControlReplica::OnVersionHeard(std::uint64_t version,
                                                          const EntryName& peer,
                                                          MonotonicTime now) {
  const std::uint64_t best =
      this->pending ? this->pending->version : this->in_force.version();
  if (version <= best) {
    return {};
  }
  this->pending = Pending{version, std::nullopt, peer, PeerSource{peer}, now};
  return this->Ask(now);
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
  std::optional<EntryName> informant;
  if (const PeerSource* peer = std::get_if<PeerSource>(&source)) {
    informant = peer->peer;
  }
  // A head that is older than a version heard of is still newer than the one in
  // force, so it is adopted on the way.
  this->pending = Pending{head.version, head, informant, source, now};
  std::vector<ReplicaAction> actions = this->AdoptIfComplete();
  return actions.empty() ? this->Ask(now) : actions;
}

std::vector<ReplicaAction> ControlReplica::OnPart(const PartDigest& digest,
                                                  const std::string& text) {
  if (!this->pending || !this->pending->head) {
    return {};
  }
  const std::map<ControlPart, PartDigest>& parts = this->pending->head->parts;
  const bool wanted = std::any_of(
      parts.begin(), parts.end(),
      [&digest](const std::pair<const ControlPart, PartDigest>& part) {
        return part.second == digest;
      });
  if (!wanted || Sha256Hex(text) != digest.str()) {
    return {};
  }
  this->texts[digest] = text;
  return this->AdoptIfComplete();
}

std::vector<ReplicaAction> ControlReplica::OnFetchFailed(MonotonicTime now) {
  if (!this->pending) {
    return {};
  }
  const bool asked_store =
      std::holds_alternative<StoreSource>(this->pending->source);
  if (asked_store && this->pending->informant) {
    this->pending->source = PeerSource{*this->pending->informant};
  } else {
    this->pending->source = StoreSource{};
  }
  return this->Ask(now);
}

std::vector<ReplicaAction> ControlReplica::OnTick(MonotonicTime now) {
  if (!this->pending || now - this->pending->asked_at < kFetchTimeout) {
    return {};
  }
  return this->OnFetchFailed(now);
}

std::optional<std::string> ControlReplica::Part(
    const PartDigest& digest) const {
  const auto found = this->texts.find(digest);
  if (found == this->texts.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool ControlReplica::Watches(const EntryName& self,
                             const ZoneName& zone,
                             const std::vector<EntryName>& live_in_zone) {
  const std::uint64_t seed = StableHash(zone.str());
  const std::uint64_t own = StableHash(self.str(), seed);
  std::size_t ahead = 0;
  for (const EntryName& other : live_in_zone) {
    if (other != self && StableHash(other.str(), seed) > own) {
      ++ahead;
    }
  }
  return ahead < kWatchersPerZone;
}

std::vector<ReplicaAction> ControlReplica::Ask(MonotonicTime now) {
  this->pending->asked_at = now;
  std::vector<ReplicaAction> actions;
  if (!this->pending->head) {
    actions.push_back(FetchHead{this->pending->source});
    return actions;
  }
  for (const std::pair<const ControlPart, PartDigest>& part :
       this->pending->head->parts) {
    if (this->texts.count(part.second) == 0) {
      actions.push_back(FetchPart{part.second, this->pending->source});
    }
  }
  return actions;
}

std::vector<ReplicaAction> ControlReplica::AdoptIfComplete() {
  Result<ControlDocument> document =
      ControlDocument::FromParts(*this->pending->head, this->texts);
  if (!document) {
    // A malformed part is asked for again after kFetchTimeout.
    return {};
  }
  if (document.value().version() <= this->in_force.version()) {
    this->pending.reset();
    return {};
  }
  this->in_force = std::move(document).value();
  this->texts = this->in_force.Parts();
  this->pending.reset();
  return {VersionAdopted{this->in_force.version()}};
}

}  // namespace daisyroad
