#ifndef SOURCE_CORE_LIMITS_ALLOTMENT_HOLDER_H_
#define SOURCE_CORE_LIMITS_ALLOTMENT_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/time.h"
#include "Core/Limits/limit_actions.h"
#include "Core/Limits/team_allotment.h"

namespace daisyroad {

// The allotments of one entry incarnation for all teams.
//
// A start must carry a start_before_ms, and a lease renewal a renew_before_ms,
// of at most the holder's confirmed-at + F (design 3.2, 3.4); the worker
// refuses later ones. A holder that was paused or cut off beyond that can
// therefore neither start nor keep tasks when its allotment is reclaimed. An
// incarnation that has left the roster never returns to it.
class AllotmentHolder {
 public:
  struct Options {
    TeamAllotment::Options team;
    // Freshness bound F, the task lease, and a margin for clock rates.
    Duration freshness = std::chrono::seconds(3);
    Duration task_lease = std::chrono::seconds(5);
    Duration margin = std::chrono::seconds(1);
    // Reports older than this are not acted on.
    Duration peer_timeout = std::chrono::seconds(3);
  };

  AllotmentHolder(EntryName self, Options options, std::uint64_t seed);

  // The declared limit of a team, with the configuration version.
  void SetLimit(const TeamName& team,
                std::int64_t limit,
                std::uint64_t version);
  // The roster and the time at which it is known to have been current.
  void SetRoster(const std::set<EntryName>& members,
                 MonotonicTime confirmed_at,
                 MonotonicTime now);

  // False if the team has no allotment left here. The caller has checked its
  // authority to start work.
  bool TryStart(const TeamName& team);
  // The task ended or can no longer start: the worker said so, or its start
  // deadline or its lease has passed on the worker's clock.
  void OnFinished(const TeamName& team);
  void SetWaiting(const TeamName& team, std::int64_t count);
  void OnPeerDemand(const TeamName& team,
                    const EntryName& peer,
                    PeerDemand demand,
                    MonotonicTime now);

  std::vector<LimitAction> Tick(MonotonicTime now);
  std::vector<LimitAction> OnWriteAnswer(const TeamName& team,
                                         std::uint64_t serial,
                                         WriteOutcome outcome,
                                         std::uint64_t revision,
                                         MonotonicTime now);
  // Answer of a read or a watch event; nothing if the read failed.
  void OnRecord(const TeamName& team,
                const std::optional<LimitSnapshot>& snapshot,
                MonotonicTime now);

  // For gossip and status; null for an unknown team.
  const TeamAllotment* Find(const TeamName& team) const;

 private:
  struct PeerReport {
    PeerDemand demand;
    MonotonicTime at;
  };
  struct Team {
    TeamAllotment allotment;
    std::map<EntryName, PeerReport> peers;
  };

  Team& Get(const TeamName& team);
  TeamAllotment::Peers FreshPeers(const Team& team, MonotonicTime now) const;
  // Notes holders that are not in the roster; returns those to reclaim.
  std::vector<EntryName> Reclaimable(const LimitRecord& record,
                                     MonotonicTime now);

  EntryName self;
  Options options;
  Random random;
  std::map<TeamName, Team> teams;
  std::set<EntryName> roster;
  std::optional<MonotonicTime> roster_confirmed_at;
  std::map<EntryName, MonotonicTime> absent_since;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_LIMITS_ALLOTMENT_HOLDER_H_
