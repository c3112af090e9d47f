#ifndef SOURCE_CORE_SITE_LIMIT_KEEPER_H_
#define SOURCE_CORE_SITE_LIMIT_KEEPER_H_

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

// Holds and moves the allotments of the pools that this instance schedules.
class LimitKeeper {
 public:
  // `store` must outlive this object.
  explicit LimitKeeper(RevisionStore* store);

  void SetTeams(const std::map<TeamName, TeamConfig>& teams);

  // Allotments of the teams that have an upper limit.
  std::map<TeamName, Resources> AllotmentsOf(const PoolName& pool) const;
  // Adjusts the allotments to what the pool's runs use and wait for.
  void Report(const PoolName& pool,
              const std::map<TeamName, Resources>& used,
              const std::map<TeamName, Resources>& wanted,
              MonotonicTime now);

 private:
  void Read(MonotonicTime now);
  void Adopt(const std::string& value, std::int64_t revision);

  RevisionStore* store;
  std::map<TeamName, Resources> limits;
  AllotmentTable table;
  std::int64_t revision = 0;
  bool is_loaded = false;
  bool is_writing = false;
  MonotonicTime next_read;
  // When idle allotments of a pool were last given back.
  std::map<PoolName, MonotonicTime> next_return;
  std::map<PoolName, MonotonicTime> next_compare;
  MonotonicTime next_write;
  std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_LIMIT_KEEPER_H_
