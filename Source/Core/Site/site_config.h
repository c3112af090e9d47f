#ifndef SOURCE_CORE_SITE_SITE_CONFIG_H_
#define SOURCE_CORE_SITE_SITE_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/queue_policy.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

struct QueueConfig {
  QueueName name;
  // Requests for the host whose path begins with the prefix belong to the
  // queue; the longest prefix decides.
  std::string host;
  std::string prefix;
  PoolName pool;
  bool is_open = false;  // to callers without a key
  QueuePolicy policy;
};

struct PoolConfig {
  // The machines of a spare pool are off.
  bool is_spare = false;
};

// Bound of a component that has none.
inline constexpr std::int64_t kUnlimited = std::int64_t{1} << 50;

struct TeamConfig {
  double share = 1.0;
  Resources limit{kUnlimited, kUnlimited, kUnlimited};
};

// A version of what operators declare.
struct SiteConfig {
  std::int64_t version = 0;
  std::map<QueueName, QueueConfig> queues;
  std::map<PoolName, PoolConfig> pools;
  std::map<TeamName, TeamConfig> teams;
  std::map<std::string, TeamName> keys;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_CONFIG_H_
