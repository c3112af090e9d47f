#ifndef SOURCE_LOAD_WORKER_FLEET_H_
#define SOURCE_LOAD_WORKER_FLEET_H_

#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Platform/listed_instance.h"
#include "Load/start_record.h"

namespace daisyroad {

class BlockingHttp;

// Workers of the instance list at `address` (host:port).
Result<std::vector<ListedInstance>> ReadFleet(BlockingHttp* http,
                                              const std::string& address);

// Start records of all stand-in workers. A worker that does not answer is an
// error, since its starts would be missing from every count.
Result<std::vector<StartRecord>> ReadStarts(
    BlockingHttp* http,
    const std::vector<ListedInstance>& fleet);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_WORKER_FLEET_H_
