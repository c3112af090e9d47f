#ifndef SOURCE_CORE_SITE_SITE_CONFIG_H_
#define SOURCE_CORE_SITE_SITE_CONFIG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/queue_policy.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

struct QueueConfig {
  QueueName name;
  // The queue receives the requests for this host whose path starts with the
  // prefix; the longest matching prefix wins.
  std::string host;
  std::string prefix;
  PoolName pool;
  bool is_open = false;  // accepts callers without a key
  QueuePolicy policy;
};

struct PoolConfig {
  // The machines of a spare pool are powered off.
  bool is_spare = false;
};

// Value of a resource component without a limit.
inline constexpr std::int64_t kUnlimited = std::int64_t{1} << 50;

struct TeamConfig {
  double share = 1.0;
  Resources limit{kUnlimited, kUnlimited, kUnlimited};
};

// One version of the operators' declaration.
struct SiteConfig {
  std::int64_t version = 0;
  std::map<QueueName, QueueConfig> queues;
  std::map<PoolName, PoolConfig> pools;
  std::map<TeamName, TeamConfig> teams;
  std::map<std::string, TeamName> keys;
};

// The pools that have schedulers. Queues may have moved away from a pool that
// still has open jobs.
inline std::set<PoolName> ScheduledPools(const SiteConfig& config) {
  std::set<PoolName> pools;
  for (const std::pair<const QueueName, QueueConfig>& queue : config.queues) {
    pools.insert(queue.second.pool);
  }
  for (const std::pair<const PoolName, PoolConfig>& pool : config.pools) {
    if (!pool.second.is_spare) {
      pools.insert(pool.first);
    }
  }
  return pools;
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_CONFIG_H_
