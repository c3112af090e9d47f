#ifndef SOURCE_CORE_SITE_ALLOTMENT_MANAGER_H_
#define SOURCE_CORE_SITE_ALLOTMENT_MANAGER_H_

#include <cstdint>
#include <map>
#include <memory>
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

  void SetTeams(const std::map<TeamName, TeamConfig>& teams);

  // To be called when this instance begins to schedule the pool.
  void BeginTerm(const PoolName& pool);
  // Returns the pool's allotment for each team that has an upper limit.
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
  // Whether the pool waits for a part of the limit of any team.
  bool IsWaiting(const PoolName& pool) const;

  RevisionStore* store;
  std::map<TeamName, Resources> limits;
  AllotmentTable table;
  std::int64_t revision = 0;
  bool is_loaded = false;
  bool is_writing = false;
  MonotonicTime last_read;
  std::map<PoolName, std::shared_ptr<Acquired>> acquired;
  // When unused allotments of a pool may next be released.
  std::map<PoolName, MonotonicTime> next_release;
  std::map<PoolName, MonotonicTime> next_compare;
  MonotonicTime next_write;
  std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_ALLOTMENT_MANAGER_H_
