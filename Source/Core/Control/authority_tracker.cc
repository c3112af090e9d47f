#include "Core/Control/authority_tracker.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace daisyroad {
namespace {

std::string FormatSeconds(Duration duration) {
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
  this->pending_reads[read] = now;
}

void AuthorityTracker::OnStoreReadAnswered(std::uint64_t read,
                                           std::uint64_t answered) {
  const auto pending_read = this->pending_reads.find(read);
  if (pending_read == this->pending_reads.end()) {
    return;
  }
  this->reaches_store = true;
  this->OnVersionKnown(answered);
  this->Confirm(answered, pending_read->second);
  this->pending_reads.erase(pending_read);
}

void AuthorityTracker::OnStoreReadFailed(std::uint64_t read) {
  if (this->pending_reads.erase(read) != 0) {
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
    MonotonicTime& latest = this->store_reached_at[report.name];
    latest = std::max(latest, request_sent);
  } else if (report.known_version <= this->version) {
    this->RecordOutageReport(report.name, request_sent);
  }
  if (report.version <= this->version) {
    for (const std::pair<const EntryName, Duration>& entry :
         report.outage_support) {
      this->RecordOutageReport(entry.first, request_sent - entry.second);
    }
  }
  const auto expired = [request_sent](const auto& entry) {
    return request_sent - entry.second > 2 * kFreshness;
  };
  std::erase_if(this->store_reached_at, expired);
  std::erase_if(this->outage_reported_at, expired);
}

void AuthorityTracker::RecordOutageReport(const EntryName& peer,
                                          MonotonicTime at) {
  MonotonicTime& latest = this->outage_reported_at[peer];
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
            version_text + " was current " + FormatSeconds(now - *at) + " ago"};
  }
  MonotonicTime deadline;
  const std::string objection = this->ReasonAgainstOutage(now, deadline);
  if (objection.empty()) {
    return {
        AuthorityState::kStoreOutage, deadline,
        "store outage: no instance reports that it can reach the store; " +
            version_text +
            " remains in force, supported by a majority of instances and every "
            "zone"};
  }
  const std::string age =
      at ? "was last known to be current " + FormatSeconds(now - *at) + " ago"
         : "was never confirmed";
  return {
      AuthorityState::kIsolated, now,
      version_text + " " + age + "; not a common store outage: " + objection};
}

bool AuthorityTracker::ShouldReadStore(bool watches,
                                       Duration since_last_read,
                                       MonotonicTime now) const {
  constexpr Milliseconds kInterval{1000};
  // Leaves one interval for a read before the confirmation expires.
  constexpr Milliseconds kLateConfirmation = kFreshness - kInterval;
  if (since_last_read < kInterval) {
    return false;
  }
  if (watches || !this->outage_reported_at.empty()) {
    return true;
  }
  const std::optional<MonotonicTime> at = this->ConfirmedAt();
  return !at || now - *at > kLateConfirmation;
}

std::string AuthorityTracker::ReasonAgainstOutage(
    MonotonicTime now,
    MonotonicTime& deadline) const {
  if (this->reaches_store) {
    return "this instance reached the store at its last attempt";
  }
  if (this->known_version > this->version) {
    return "version " + std::to_string(this->known_version) +
           " exists and is not in force here";
  }
  for (const std::pair<const EntryName, MonotonicTime>& entry :
       this->store_reached_at) {
    const auto outage_report = this->outage_reported_at.find(entry.first);
    if (now - entry.second <= kFreshness &&
        (outage_report == this->outage_reported_at.end() ||
         outage_report->second < entry.second)) {
      return entry.first.str() + " can reach the store";
    }
  }
  std::vector<std::pair<MonotonicTime, EntryName>> fresh_reports;
  for (const std::pair<const EntryName, MonotonicTime>& entry :
       this->outage_reported_at) {
    if (now - entry.second <= kFreshness) {
      fresh_reports.emplace_back(entry.second, entry.first);
    }
  }
  std::sort(fresh_reports.rbegin(), fresh_reports.rend());
  std::set<EntryName> supporters{this->self};
  deadline = now + kFreshness;
  auto next = fresh_reports.begin();
  while (!SupportsOutage(this->roster.members, supporters)) {
    if (next == fresh_reports.end()) {
      return std::to_string(fresh_reports.size()) +
             " peers reported within 3 s that they cannot reach the store; " +
             "required are a majority of " +
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
         this->outage_reported_at) {
      if (now - entry.second <= kFreshness) {
        report.outage_support[entry.first] = now - entry.second;
      }
    }
  }
  return report;
}

}  // namespace daisyroad
