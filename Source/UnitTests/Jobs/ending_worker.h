#ifndef SOURCE_UNITTESTS_JOBS_ENDING_WORKER_H_
#define SOURCE_UNITTESTS_JOBS_ENDING_WORKER_H_

#include <cstdint>
#include <vector>

#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {

// Ends runs at the worker of a pool.
class EndingWorker {
 public:
  explicit EndingWorker(OneWorkerPool* pool) : pool(pool) {}

  void EndAll(const std::vector<StartRun>& starts) {
    RunReport report;
    this->pool->elapsed += Milliseconds(20);
    report.worker_clock = Milliseconds(1000) + this->pool->elapsed;
    report.incarnation = 7;
    for (const StartRun& start : starts) {
      this->pool->scheduler.OnStart(start, StartOutcome::kStarted,
                                    report.worker_clock, this->pool->Now());
      report.ended.push_back(
          RunEnd{++this->ends, start.task, start.run, EndKind::kDone, ""});
    }
    this->pool->scheduler.OnReport(this->pool->worker, report,
                                   this->pool->Now(), this->pool->Now());
  }

 private:
  OneWorkerPool* pool;
  std::int64_t ends = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_ENDING_WORKER_H_
