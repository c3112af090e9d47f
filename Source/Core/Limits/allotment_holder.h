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

// The allotments of one entry incarnation for all teams. An allotment is the
// part of a team's limit that its holder may have starting and running.
//
// Each start request must carry a start_before_ms, and each lease renewal a
// renew_before_ms, of at most `freshness` after the time at which the holder's
// roster was last confirmed (design 3.2, 3.4). Workers refuse requests that
// arrive later. A holder that was paused or cut off for longer can therefore
// neither start tasks nor keep them running when its allotment is reclaimed. An
// incarnation that has left the roster never returns to it.
class AllotmentHolder {
 public:
  struct Options {
    TeamAllotment::Options team;
    // A holder outside the roster is reclaimed after the sum of these: the
    // freshness bound, the task lease and a margin for differing clock rates.
    Duration freshness = std::chrono::seconds(3);
    Duration task_lease = std::chrono::seconds(5);
    Duration margin = std::chrono::seconds(1);
    // Demand reports of peers that are older than this are ignored.
    Duration peer_timeout = std::chrono::seconds(3);
  };

  AllotmentHolder(EntryName self, Options options, std::uint64_t seed);

  // Sets the declared limit of a team with its configuration version.
  void SetLimit(const TeamName& team,
                std::int64_t limit,
                std::uint64_t version);
  // Sets the roster and the latest time at which it is known to have been
  // current.
  void SetRoster(const std::set<EntryName>& members,
                 MonotonicTime confirmed_at,
                 MonotonicTime now);

  // Returns false if no allotment of the team is left in this instance. The
  // caller must have checked its authority to start tasks.
  bool TryStart(const TeamName& team);
  // Must be called when a task has ended or can no longer start: the worker
  // reported it, or the start deadline or the lease has passed on the worker's
  // clock.
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
  // Handles the answer to a read or a watch event. `snapshot` is empty if the
  // read failed.
  void OnRecord(const TeamName& team,
                const std::optional<LimitSnapshot>& snapshot,
                MonotonicTime now);

  // Used by gossip and status. Returns null for an unknown team.
  const TeamAllotment* Find(const TeamName& team) const;

 private:
  struct PeerReport {
    PeerDemand demand;
    MonotonicTime received_at;
  };
  struct Team {
    TeamAllotment allotment;
    std::map<EntryName, PeerReport> peers;
  };

  Team& GetOrCreateTeam(const TeamName& team);
  TeamAllotment::Peers FreshPeers(const Team& team, MonotonicTime now) const;
  // Tracks how long holders have been outside the roster and returns those
  // whose allotments can be reclaimed.
  std::vector<EntryName> FindReclaimableHolders(const LimitRecord& record,
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
