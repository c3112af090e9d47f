#ifndef SOURCE_UNITTESTS_JOBS_ONE_WORKER_POOL_H_
#define SOURCE_UNITTESTS_JOBS_ONE_WORKER_POOL_H_

#include <variant>
#include <vector>

#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {

// A scheduler with one worker, which has reported once.
class OneWorkerPool {
 public:
  explicit OneWorkerPool(
      const SchedulerSettings& settings = SchedulerSettings())
      : worker("w1"), scheduler(PoolName("pool"), settings, 1, this->Now()) {
    WorkerListing listing;
    listing.name = this->worker;
    listing.pool = PoolName("pool");
    listing.capacity = Resources{4000, 8000, 0};
    this->scheduler.SetListing({{this->worker, listing}}, this->Now());
    this->scheduler.SetRemembered({this->worker});
    this->TakeOrders<AskReport>();
    this->SendReport();
  }

  // Runs a pass and returns its orders of one type.
  template <typename T>
  std::vector<T> TakeOrders() {
    const WallTime wall(std::chrono::hours(1000));
    std::vector<T> selected;
    for (const Order& order :
         this->scheduler.TakeOrders(this->Now(), wall + this->elapsed)) {
      if (const T* const found = std::get_if<T>(&order)) {
        selected.push_back(*found);
      }
    }
    return selected;
  }
  void SendReport() {
    RunReport report;
    report.worker_clock = Milliseconds(1000) + this->elapsed;
    report.incarnation = 7;
    this->scheduler.OnReport(this->worker, report, this->Now(), this->Now());
  }
  void AddJob(const AcceptedJob& job) {
    this->scheduler.AddJob(job, JobProgress(), false, this->Now());
  }
  MonotonicTime Now() const {
    return MonotonicTime(std::chrono::hours(1)) + this->elapsed;
  }

  const WorkerName worker;
  Milliseconds elapsed{0};
  PoolScheduler scheduler;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_ONE_WORKER_POOL_H_
