#ifndef SOURCE_CORE_CONTROL_AUTHORITY_TRACKER_H_
#define SOURCE_CORE_CONTROL_AUTHORITY_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Control/peer_report.h"
#include "Core/Control/roster.h"

namespace daisyroad {

// Freshness bound F (design, section 3.4): for how long a confirmation of the
// version in force permits new work.
inline constexpr Milliseconds kFreshness{3000};

enum class AuthorityState { kConfirmed, kStoreOutage, kIsolated };
// "confirmed", "store_outage" or "isolated".
const char* AuthorityStateName(AuthorityState state);

struct Authority {
  AuthorityState state = AuthorityState::kIsolated;
  // Latest time to start work under the version in force. Meaningless in
  // kIsolated.
  MonotonicTime deadline;
  std::string reason;  // shown by `status`

  bool MayStart() const { return this->state != AuthorityState::kIsolated; }
};

// Decides whether this instance may start work under its version in force.
//
// The version is confirmed if a store read or a peer reply showed within
// kFreshness that it is current. Without a confirmation, work may go on only
// during a common store outage: by reports no older than kFreshness, a majority
// of the roster with at least one member of every zone cannot reach the store,
// and no peer can.
class AuthorityTracker {
 public:
  AuthorityTracker(EntryName name, ZoneName own_zone);

  // The replica has adopted `version`; lower versions are ignored.
  void OnVersionInForce(std::uint64_t version, const Roster& roster);
  // Some message, for example a watch event or a gossip request, named
  // `version`. This does not confirm that the version is current.
  void OnVersionKnown(std::uint64_t version);

  // Reads of `control/head`, identified by a unique number `read`. Watch events
  // must not be passed in, because they may be served from stale state. An
  // answer that arrives after its read has failed (timed out) is ignored.
  void OnStoreReadStarted(std::uint64_t read, MonotonicTime now);
  void OnStoreReadAnswered(std::uint64_t read, std::uint64_t version);
  void OnStoreReadFailed(std::uint64_t read);

  // A peer replied to a request sent at `request_sent`.
  void OnPeerReply(const PeerReport& report, MonotonicTime request_sent);

  Authority Assess(MonotonicTime now) const;
  // Whether to read the head now, given the time since the start of the last
  // read. Instances with a watch read once a second. The others rely on
  // confirmations from their peers and read only if these are missing or a peer
  // has reported the store unreachable.
  bool ShouldReadStore(bool watches,
                       Duration since_last_read,
                       MonotonicTime now) const;
  // The report to send to peers.
  PeerReport Report(MonotonicTime now) const;

 private:
  void Confirm(std::uint64_t version, MonotonicTime at);
  std::optional<MonotonicTime> ConfirmedAt() const;
  void RecordOutageReport(const EntryName& peer, MonotonicTime at);
  // Why this is not a common store outage. Returns an empty string and sets
  // `deadline` if it is one.
  std::string ReasonAgainstOutage(MonotonicTime now,
                                  MonotonicTime& deadline) const;

  EntryName self;
  ZoneName zone;
  std::uint64_t version = 0;
  std::uint64_t known_version = 0;
  Roster roster;
  std::map<std::uint64_t, MonotonicTime> confirmations;
  std::map<std::uint64_t, MonotonicTime> pending_reads;
  bool reaches_store = true;
  // Latest reply in which each peer said that it reaches the store.
  std::map<EntryName, MonotonicTime> store_reached_at;
  // Latest time at which each member did not reach the store and knew no
  // version above `version`. Entries stay valid when `version` increases.
  std::map<EntryName, MonotonicTime> outage_reported_at;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_AUTHORITY_TRACKER_H_
