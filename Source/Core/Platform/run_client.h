#ifndef SOURCE_CORE_PLATFORM_RUN_CLIENT_H_
#define SOURCE_CORE_PLATFORM_RUN_CLIENT_H_

#include <functional>
#include <optional>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/run_report.h"
#include "Core/Jobs/start_outcome.h"
#include "Core/Jobs/worker_listing.h"

namespace daisyroad {

struct StartAnswer {
  StartOutcome outcome = StartOutcome::kUnknown;
  std::optional<Milliseconds> worker_clock;
};

// Sends the orders of a scheduler to workers. `fence` is the scheduler's term,
// used as a fencing token: workers reject orders of a term lower than the
// highest they have seen.
//
// Errors of reports and stops: kNotFound if another process of the worker
// answered, kConflict if the fencing token is too low, kUnavailable if no
// connection was made.
class RunClient {
 public:
  virtual ~RunClient() = default;

  virtual void Start(const WorkerListing& worker,
                     const StartRun& order,
                     std::int64_t fence,
                     std::function<void(StartAnswer)> callback) = 0;
  virtual void Stop(const WorkerListing& worker,
                    const StopRun& order,
                    std::int64_t fence,
                    std::function<void(Status)> callback) = 0;
  virtual void Pace(const WorkerListing& worker,
                    const PaceRun& order,
                    std::int64_t fence,
                    std::function<void(Status)> callback) = 0;
  virtual void Report(const WorkerListing& worker,
                      const AskReport& order,
                      std::int64_t fence,
                      std::function<void(Result<RunReport>)> callback) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_RUN_CLIENT_H_
