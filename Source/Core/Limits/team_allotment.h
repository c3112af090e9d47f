#ifndef SOURCE_CORE_LIMITS_TEAM_ALLOTMENT_H_
#define SOURCE_CORE_LIMITS_TEAM_ALLOTMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/time.h"
#include "Core/Limits/limit_actions.h"

namespace daisyroad {

// One team's allotment in one entry incarnation. A part that is given away
// stops being usable before the write is sent. A part that is taken becomes
// usable only after the write is known to have taken effect.
class TeamAllotment {
 public:
  struct Options {
    // Mean of the randomized minimum time between two writes of one holder for
    // one team. Bounds the write rate during a burst.
    Duration write_interval = Milliseconds(100);
    // Idle allotment is returned after this time, so that an instance with a
    // burst can take it with one write and without waiting for gossip.
    Duration idle_timeout = Milliseconds(250);
    Duration retry_delay = Milliseconds(200);
    // A holder keeps 1 / slack_divisor of its demand in addition, so that small
    // changes of demand cause no write.
    std::int64_t slack_divisor = 8;
    // An idle holder keeps an even share of 1 / reserve_divisor of the limit,
    // so that it can start tasks while the store does not answer. Peers that
    // lack allotment are given this reserve nevertheless.
    std::int64_t reserve_divisor = 2;
  };
  using Peers = std::map<EntryName, PeerDemand>;

  TeamAllotment(EntryName self, TeamName team, Options options);

  bool TryStart();
  // Must be called when a task can no longer start or run anywhere.
  void OnFinished();
  void SetWaiting(std::int64_t count) { this->waiting_tasks = count; }
  void SetLimit(std::int64_t limit, std::uint64_t version);

  // `reclaimable_holders` are those whose tasks can no longer run (see
  // AllotmentHolder). Their allotments are reclaimed.
  std::vector<LimitAction> Tick(
      const Peers& peers,
      const std::vector<EntryName>& reclaimable_holders,
      Random* random,
      MonotonicTime now);
  std::vector<LimitAction> OnWriteAnswer(std::uint64_t serial,
                                         WriteOutcome outcome,
                                         std::uint64_t revision,
                                         MonotonicTime now);
  // Handles the answer to a read or a watch event. `snapshot` is empty if the
  // read failed.
  void OnRecord(const std::optional<LimitSnapshot>& snapshot,
                MonotonicTime now);

  PeerDemand Report() const;
  std::int64_t running() const { return this->active_tasks; }
  std::int64_t usable() const;
  const LimitSnapshot& snapshot() const { return this->known_snapshot; }
  // True once this incarnation's allotment was reclaimed. It must not take an
  // allotment again, because others no longer count its tasks.
  bool evicted() const { return this->is_evicted; }

 private:
  std::int64_t Demand() const {
    return this->active_tasks + this->waiting_tasks;
  }
  std::int64_t DemandWithSlack() const;
  // Applies the changes that are due to `next`. Returns false if there are
  // none.
  bool PlanChanges(const Peers& peers,
                   const std::vector<EntryName>& reclaimable_holders,
                   MonotonicTime now,
                   LimitRecord* next);
  bool ReturnIdle(const Peers& peers, MonotonicTime now, LimitRecord* next);
  std::int64_t IdleCount(const LimitRecord& record) const;
  bool TransferToPeers(const Peers& peers, LimitRecord* next);
  bool TransferToStarvingPeer(const Peers& peers, LimitRecord* next);
  void ApplySnapshot(const LimitSnapshot& snapshot);

  EntryName self;
  TeamName team;
  Options options;
  LimitSnapshot known_snapshot;
  bool has_read = false;
  bool had_allotment = false;
  bool is_evicted = false;
  std::optional<WriteLimit> pending_write;
  bool can_resend = false;  // the pending write can be sent again
  bool is_reading = false;
  MonotonicTime next_write_at;
  MonotonicTime next_read_at;
  std::uint64_t serial = 0;
  std::optional<MonotonicTime> idle_since;
  std::int64_t active_tasks = 0;
  std::int64_t waiting_tasks = 0;
  std::int64_t reserved_count = 0;  // withheld for peers without any allotment
  std::int64_t declared_limit = 0;
  std::uint64_t declared_version = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_LIMITS_TEAM_ALLOTMENT_H_
