#ifndef SOURCE_CORE_SITE_STORE_KEYS_H_
#define SOURCE_CORE_SITE_STORE_KEYS_H_

#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Jobs/job_spec.h"

namespace daisyroad {

// Layout of the keys that daisyroad keeps in the platform's store.
//   daisyroad/site/node/NAME      a live entry instance (under its lease)
//   daisyroad/site/lead/DUTY      holder of a duty (under the holder's lease)
//   daisyroad/site/term/DUTY      number and holder of the duty's last term
//   daisyroad/limits              allotments of the teams' upper limits
//   daisyroad/home                sizes of the pools when first seen
//   daisyroad/job/ID              pool of an accepted job
//   daisyroad/in/POOL/job/ID      an accepted job
//   daisyroad/in/POOL/cancel/ID   cancellation of a job by its caller
//   daisyroad/out/POOL/ID         progress of a job
//   daisyroad/workers/POOL        workers that may run tasks of the pool
//   daisyroad/wave/N              progress of a maintenance wave
inline const std::string kSitePrefix = "daisyroad/site/";
inline const std::string kNodePrefix = kSitePrefix + "node/";
inline const std::string kLeaderPrefix = kSitePrefix + "lead/";
inline const std::string kTermPrefix = kSitePrefix + "term/";
inline const std::string kHomeSizesKey = "daisyroad/home";
inline const std::string kLimitsKey = "daisyroad/limits";

// Its value is the name of the pool. It is created and deleted together with
// the job, so a job has one pool even if its queue moves to another one.
// Versions before this key did not write it.
inline std::string JobPoolKey(const JobId& job) {
  return "daisyroad/job/" + job.str();
}
inline std::string InboxPrefix(const PoolName& pool) {
  return "daisyroad/in/" + pool.str() + "/";
}
inline std::string JobKey(const PoolName& pool, const JobId& job) {
  return InboxPrefix(pool) + "job/" + job.str();
}
inline std::string CancelKey(const PoolName& pool, const JobId& job) {
  return InboxPrefix(pool) + "cancel/" + job.str();
}
inline std::string ProgressPrefix(const PoolName& pool) {
  return "daisyroad/out/" + pool.str() + "/";
}
inline std::string ProgressKey(const PoolName& pool, const JobId& job) {
  return ProgressPrefix(pool) + job.str();
}
inline std::string WorkersKey(const PoolName& pool) {
  return "daisyroad/workers/" + pool.str();
}
inline std::string WaveKey(std::int64_t wave) {
  return "daisyroad/wave/" + std::to_string(wave);
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_STORE_KEYS_H_
