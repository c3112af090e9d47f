#include "Core/Control/authority_tracker.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace daisyroad {
namespace {

std::string Seconds(Duration duration) {
  const std::int64_t tenths =
      std::chrono::duration_cast<Milliseconds>(duration).count() / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

}  // namespace

const char* AuthorityStateName(AuthorityState state) {
  switch (state) {
    case AuthorityState::kConfirmed:
      return "confirmed";
    case AuthorityState::kStoreOutage:
      return "store_outage";
    case AuthorityState::kIsolated:
      return "isolated";
  }
  return "unknown";
}

AuthorityTracker::AuthorityTracker(EntryName name, ZoneName own_zone)
    : self(std::move(name)), zone(std::move(own_zone)) {}

void AuthorityTracker::OnVersionInForce(std::uint64_t adopted,
                                        const Roster& members) {
  if (adopted < this->version) {
    return;
  }
  this->version = adopted;
  this->roster = members;
  this->OnVersionKnown(adopted);
  this->confirmations.erase(this->confirmations.begin(),
                            this->confirmations.lower_bound(adopted));
}

void AuthorityTracker::OnVersionKnown(std::uint64_t seen) {
  this->known_version = std::max(this->known_version, seen);
}

void AuthorityTracker::OnStoreReadStarted(std::uint64_t read,
                                          MonotonicTime now) {
  this->open_reads[read] = now;
}

void AuthorityTracker::OnStoreReadAnswered(std::uint64_t read,
                                           std::uint64_t answered) {
  const auto started = this->open_reads.find(read);
  if (started == this->open_reads.end()) {
    return;
  }
  this->reaches_store = true;
  this->OnVersionKnown(answered);
  this->Confirm(answered, started->second);
  this->open_reads.erase(started);
}

void AuthorityTracker::OnStoreReadFailed(std::uint64_t read) {
  if (this->open_reads.erase(read) != 0) {
    this->reaches_store = false;
  }
}

void AuthorityTracker::OnPeerReply(const PeerReport& report,
                                   MonotonicTime request_sent) {
  this->OnVersionKnown(std::max(report.version, report.known_version));
  if (report.confirmation_age) {
    this->Confirm(report.version, request_sent - *report.confirmation_age);
  }
  if (report.reaches_store) {
    MonotonicTime& latest = this->reaching[report.name];
    latest = std::max(latest, request_sent);
  } else if (report.known_version <= this->version) {
    this->RecordSupport(report.name, request_sent);
  }
  if (report.version <= this->version) {
    for (const std::pair<const EntryName, Duration>& entry :
         report.outage_support) {
      this->RecordSupport(entry.first, request_sent - entry.second);
    }
  }
  const auto expired = [request_sent](const auto& entry) {
    return request_sent - entry.second > 2 * kFreshness;
  };
  std::erase_if(this->reaching, expired);
  std::erase_if(this->supporting, expired);
}

void AuthorityTracker::RecordSupport(const EntryName& peer, MonotonicTime at) {
  MonotonicTime& latest = this->supporting[peer];
  latest = std::max(latest, at);
}

void AuthorityTracker::Confirm(std::uint64_t confirmed, MonotonicTime at) {
  if (confirmed < this->version) {
    return;
  }
  const auto [entry, added] = this->confirmations.try_emplace(confirmed, at);
  if (!added) {
    entry->second = std::max(entry->second, at);
  }
}

std::optional<MonotonicTime> AuthorityTracker::ConfirmedAt() const {
  const auto found = this->confirmations.find(this->version);
  if (found == this->confirmations.end()) {
    return std::nullopt;
  }
  return found->second;
}

Authority AuthorityTracker::Assess(MonotonicTime now) const {
  const std::optional<MonotonicTime> at = this->ConfirmedAt();
  const std::string version_text = "version " + std::to_string(this->version);
  if (at && now - *at <= kFreshness) {
    return {AuthorityState::kConfirmed, *at + kFreshness,
            version_text + " was current " + Seconds(now - *at) + " ago"};
  }
  MonotonicTime deadline;
  const std::string obstacle = this->OutageObstacle(now, deadline);
  if (obstacle.empty()) {
    return {AuthorityState::kStoreOutage, deadline,
            "no instance reaches the store; " + version_text +
                " stands, supported by most instances and every zone"};
  }
  const std::string age =
      at ? "was last known to be current " + Seconds(now - *at) + " ago"
         : "was never confirmed";
  return {AuthorityState::kIsolated, now,
          version_text + " " + age + "; no common store outage: " + obstacle};
}

bool AuthorityTracker::ShouldReadStore(bool watches,
                                       Duration since_last_read,
                                       MonotonicTime now) const {
  constexpr Milliseconds kInterval{1000};
  // Leaves one interval for a read before the confirmation lapses.
  constexpr Milliseconds kLateConfirmation = kFreshness - kInterval;
  if (since_last_read < kInterval) {
    return false;
  }
  if (watches || !this->supporting.empty()) {
    return true;
  }
  const std::optional<MonotonicTime> at = this->ConfirmedAt();
  return !at || now - *at > kLateConfirmation;
}

std::string AuthorityTracker::OutageObstacle(MonotonicTime now,
                                             MonotonicTime& deadline) const {
  if (this->reaches_store) {
    return "this instance reached the store at its last attempt";
  }
  if (this->known_version > this->version) {
    return "version " + std::to_string(this->known_version) +
           " exists and is not in force here";
  }
  for (const std::pair<const EntryName, MonotonicTime>& entry :
       this->reaching) {
    const auto later = this->supporting.find(entry.first);
    if (now - entry.second <= kFreshness &&
        (later == this->supporting.end() || later->second < entry.second)) {
      return entry.first.str() + " reaches the store";
    }
  }
  std::vector<std::pair<MonotonicTime, EntryName>> fresh;
  for (const std::pair<const EntryName, MonotonicTime>& entry :
       this->supporting) {
    if (now - entry.second <= kFreshness) {
      fresh.emplace_back(entry.second, entry.first);
    }
  }
  std::sort(fresh.rbegin(), fresh.rend());
  std::set<EntryName> supporters{this->self};
  deadline = now + kFreshness;
  auto next = fresh.begin();
  while (!SupportsOutage(this->roster.members, supporters)) {
    if (next == fresh.end()) {
      return std::to_string(fresh.size()) +
             " peers reported within 3 s that they do not reach the store; " +
             "needed are most of " +
             std::to_string(this->roster.members.size()) +
             " roster members and one of every zone";
    }
    supporters.insert(next->second);
    deadline = next->first + kFreshness;
    ++next;
  }
  return "";
}

PeerReport AuthorityTracker::Report(MonotonicTime now) const {
  PeerReport report{this->self,
                    this->zone,
                    this->version,
                    this->known_version,
                    std::nullopt,
                    this->reaches_store,
                    {}};
  const std::optional<MonotonicTime> at = this->ConfirmedAt();
  if (at) {
    report.confirmation_age = now - *at;
  }
  if (!this->reaches_store) {
    for (const std::pair<const EntryName, MonotonicTime>& entry :
         this->supporting) {
      if (now - entry.second <= kFreshness) {
        report.outage_support[entry.first] = now - entry.second;
      }
    }
  }
  return report;
}

}  // namespace daisyroad
