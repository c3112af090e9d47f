#ifndef SOURCE_CORE_SITE_ALLOTMENT_MANAGER_H_
#define SOURCE_CORE_SITE_ALLOTMENT_MANAGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/resources.h"
#include "Core/Platform/revision_store.h"
#include "Core/Site/site_config.h"
#include "Core/Site/team_allotments.h"

namespace daisyroad {

struct TeamDemand;

// Acquires and releases the team allotments of the pools that this instance
// schedules.
class AllotmentManager {
 public:
  // `store` must outlive this object.
  explicit AllotmentManager(RevisionStore* store);

  // `pools` are all pools that have schedulers, here or in other instances.
  void SetTeams(const std::map<TeamName, TeamConfig>& teams,
                const std::set<PoolName>& pools);

  // To be called when this instance begins to schedule the pool.
  void BeginTerm(const PoolName& pool);
  // Returns the pool's allotment for each team whose use is limited: by an
  // upper limit, which lets nothing start before all pools are counted, or by
  // the allotment of an earlier limit until that is withdrawn.
  std::map<TeamName, Resources> AllotmentsOf(const PoolName& pool) const;
  // Returns the part of them that this instance has not acquired in this term.
  // Earlier schedulers of the pool may use as much.
  std::map<TeamName, Resources> InheritedOf(const PoolName& pool) const;
  // Adjusts the allotments to what the runs of the pool use and what its
  // waiting tasks need. Releases nothing unless `are_runs_known`: the pool may
  // have runs that `used` leaves out.
  void Report(const PoolName& pool,
              const std::map<TeamName, Resources>& used,
              const std::map<TeamName, TeamDemand>& demands,
              bool are_runs_known,
              MonotonicTime now);

 private:
  // What a term has acquired, by team.
  using Acquired = std::map<TeamName, Resources>;

  void Read(MonotonicTime now);
  void Adopt(const std::string& value, std::int64_t revision);
  // Whether the pool waits for a part of the limit of any team, or for another
  // pool to be counted.
  bool IsWaiting(const PoolName& pool) const;
  // Whether the record was read since this instance schedules the pool. Before,
  // it is not known for which teams the pool is counted.
  bool IsRecordKnown(const PoolName& pool) const;
  Milliseconds ReadInterval(const PoolName& pool) const;
  // Makes the changes to the table that follow from the use of the pool.
  bool Adjust(const PoolName& pool,
              const std::map<TeamName, Resources>& used,
              const std::map<TeamName, TeamDemand>& demands,
              bool are_runs_known,
              bool may_release,
              AllotmentTable* changed) const;

  RevisionStore* store;
  std::set<TeamName> teams;
  std::map<TeamName, Resources> limits;
  std::set<PoolName> pools;
  AllotmentTable table;
  std::int64_t revision = 0;
  bool is_reading = false;
  bool is_writing = false;
  MonotonicTime last_read;
  // When the last read that succeeded was requested.
  std::optional<MonotonicTime> known_at;
  std::map<PoolName, MonotonicTime> terms_begun_at;
  std::map<PoolName, std::shared_ptr<Acquired>> acquired;
  // When unused allotments of a pool may next be released.
  std::map<PoolName, MonotonicTime> next_release;
  std::map<PoolName, MonotonicTime> next_compare;
  MonotonicTime next_write;
  std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_ALLOTMENT_MANAGER_H_
