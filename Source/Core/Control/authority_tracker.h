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

// Freshness bound F of the design, section 3.4.
inline constexpr Milliseconds kFreshness{3000};

enum class AuthorityState { kConfirmed, kStoreOutage, kIsolated };
// "confirmed", "store_outage" or "isolated".
const char* AuthorityStateName(AuthorityState state);

struct Authority {
  AuthorityState state = AuthorityState::kIsolated;
  // Start no work under the version in force after this time; meaningless in
  // kIsolated.
  MonotonicTime deadline;
  std::string reason;  // for `status`

  bool MayStart() const { return this->state != AuthorityState::kIsolated; }
};

// Decides whether the version in force may still be acted on.
class AuthorityTracker {
 public:
  AuthorityTracker(EntryName name, ZoneName own_zone);

  // The replica has adopted `version`; lower versions are ignored.
  void OnVersionInForce(std::uint64_t version, const Roster& roster);
  // A version was heard of by any means, for example a watch or a gossip
  // request. It confirms nothing.
  void OnVersionKnown(std::uint64_t version);

  // Reads of `control/head`; `read` numbers are unique. A watch is not a read:
  // it may be answered from stale state. An answer that comes after the failure
  // (timeout) of its read is ignored.
  void OnStoreReadStarted(std::uint64_t read, MonotonicTime now);
  void OnStoreReadAnswered(std::uint64_t read, std::uint64_t version);
  void OnStoreReadFailed(std::uint64_t read);

  // A peer's reply to a request that was sent at `request_sent`.
  void OnPeerReply(const PeerReport& report, MonotonicTime request_sent);

  Authority Assess(MonotonicTime now) const;
  // Whether to read the head now, given the time since the last read was
  // started. Watchers read once a second; the others rely on the confirmations
  // of their peers and read only when these are missing or a peer has lost the
  // store.
  bool ShouldReadStore(bool watches,
                       Duration since_last_read,
                       MonotonicTime now) const;
  // What to tell peers.
  PeerReport Report(MonotonicTime now) const;

 private:
  void Confirm(std::uint64_t version, MonotonicTime at);
  std::optional<MonotonicTime> ConfirmedAt() const;
  void RecordSupport(const EntryName& peer, MonotonicTime at);
  // Empty and the deadline if the state is kStoreOutage, else why it is not.
  std::string OutageObstacle(MonotonicTime now, MonotonicTime& deadline) const;

  EntryName self;
  ZoneName zone;
  std::uint64_t version = 0;
  std::uint64_t known_version = 0;
  Roster roster;
  std::map<std::uint64_t, MonotonicTime> confirmations;
  std::map<std::uint64_t, MonotonicTime> open_reads;
  bool reaches_store = true;
  // Latest time at which a peer reached the store, by its own reply.
  std::map<EntryName, MonotonicTime> reaching;
  // Latest time at which a member did not reach the store and knew no version
  // above `version`. Stays true when `version` grows.
  std::map<EntryName, MonotonicTime> supporting;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_AUTHORITY_TRACKER_H_
