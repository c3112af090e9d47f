#ifndef SOURCE_CORE_SITE_PERSISTED_WORKERS_H_
#define SOURCE_CORE_SITE_PERSISTED_WORKERS_H_

#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Platform/machine_client.h"

namespace daisyroad {

struct PersistedWorker {
  WorkerListing listing;  // name, address and pool only
  MachineName machine;    // empty if unknown
};

// Stored record of the workers that may run tasks of a pool. It has enough to
// reach a worker that is no longer listed.
std::string SerializePersistedWorkers(
    const std::vector<PersistedWorker>& workers);
Result<std::vector<PersistedWorker>> ParsePersistedWorkers(
    const std::string& text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_PERSISTED_WORKERS_H_
