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

// One team's allotment in one entry incarnation. What it gives away stops being
// usable before the write is sent; what it takes becomes usable only after the
// write is known to have taken effect.
class TeamAllotment {
 public:
  struct Options {
    // Bounds the writes of one holder and team during a burst.
    Duration write_interval = Milliseconds(100);
    // Idle allotment goes back after this time, so that a burst elsewhere can
    // take it with one write and without waiting for gossip.
    Duration idle_time = Milliseconds(250);
    Duration retry_time = Milliseconds(200);
    // A holder keeps want / slack_divisor above its demand, so that small
    // changes of demand cause no write.
    std::int64_t slack_divisor = 8;
    // A holder keeps its even part of 1 / reserve_divisor of the limit while it
    // is idle: it can start work with it when the store does not answer. Peers
    // in need are given it all the same.
    std::int64_t reserve_divisor = 2;
  };
  using Peers = std::map<EntryName, PeerDemand>;

  TeamAllotment(EntryName self, TeamName team, Options options);

  bool TryStart();
  // The task can no longer start or run anywhere.
  void OnFinished();
  void SetWaiting(std::int64_t count) { this->waiting = count; }
  void SetLimit(std::int64_t limit, std::uint64_t version);

  // `dead`: holders whose tasks can no longer run (see AllotmentHolder).
  std::vector<LimitAction> Tick(const Peers& peers,
                                const std::vector<EntryName>& dead,
                                Random* random,
                                MonotonicTime now);
  std::vector<LimitAction> OnWriteAnswer(std::uint64_t serial,
                                         WriteOutcome outcome,
                                         std::uint64_t revision,
                                         MonotonicTime now);
  // A read or a watch event; nothing if the read failed.
  void OnRecord(const std::optional<LimitSnapshot>& snapshot,
                MonotonicTime now);

  PeerDemand Report() const;
  std::int64_t running() const { return this->active; }
  std::int64_t usable() const;
  const LimitSnapshot& snapshot() const { return this->known; }
  // True once this incarnation's allotment was reclaimed: it must not take part
  // again, because others no longer count its tasks.
  bool evicted() const { return this->is_evicted; }

 private:
  std::int64_t Want() const { return this->active + this->waiting; }
  std::int64_t Keep() const;
  // Changes to make now; false if there is none.
  bool Plan(const Peers& peers,
            const std::vector<EntryName>& dead,
            MonotonicTime now,
            LimitRecord* next);
  bool ReturnIdle(const Peers& peers, MonotonicTime now, LimitRecord* next);
  std::int64_t Idle(const LimitRecord& record) const;
  bool GiveToPeers(const Peers& peers, LimitRecord* next);
  bool GiveToStarving(const Peers& peers, LimitRecord* next);
  void Adopt(const LimitSnapshot& snapshot);

  EntryName self;
  TeamName team;
  Options options;
  LimitSnapshot known;
  bool has_read = false;
  bool had_entry = false;
  bool is_evicted = false;
  std::optional<WriteLimit> pending;
  bool resend = false;  // the pending write can be sent again
  bool reading = false;
  MonotonicTime next_write;
  MonotonicTime next_read;
  std::uint64_t serial = 0;
  std::optional<MonotonicTime> idle_since;
  std::int64_t active = 0;
  std::int64_t waiting = 0;
  std::int64_t reserved = 0;  // kept back for starving peers
  std::int64_t declared_limit = 0;
  std::uint64_t declared_version = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_LIMITS_TEAM_ALLOTMENT_H_
