#ifndef SOURCE_LOAD_WORKER_FLEET_H_
#define SOURCE_LOAD_WORKER_FLEET_H_

#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Platform/listed_instance.h"
#include "Load/start_record.h"

namespace daisyroad {

class BlockingHttp;

// Fetches the workers from the instance list at `address` (host:port).
Result<std::vector<ListedInstance>> FetchWorkers(BlockingHttp* http,
                                                 const std::string& address);

// Fetches the start records of all stand-in workers. Fails if a worker does not
// answer, since every count would miss its starts.
Result<std::vector<StartRecord>> FetchStartRecords(
    BlockingHttp* http,
    const std::vector<ListedInstance>& fleet);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_WORKER_FLEET_H_
