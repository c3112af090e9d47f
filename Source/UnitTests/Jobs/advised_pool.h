#ifndef SOURCE_UNITTESTS_JOBS_ADVISED_POOL_H_
#define SOURCE_UNITTESTS_JOBS_ADVISED_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "Core/Jobs/advice_queue.h"
#include "Core/Jobs/pool_scheduler.h"
#include "UnitTests/Jobs/fake_worker.h"

namespace daisyroad {

// A pool with a queue whose placement advisor answers one call after the other,
// also those that are no longer waited for.
class AdvisedPool {
 public:
  AdvisedPool(int worker_count, const AdvicePolicy& advice);

  void AddJob(const AcceptedJob& job);
  // Declares another queue, with the same advisor.
  void AddQueue(const QueueName& queue, int priority);
  void RunFor(Milliseconds duration);
  // Workers on which tasks may run; all of them unless set.
  void SetAllowed(const std::set<WorkerName>& workers);
  // The advisor turns calls away while this many wait.
  void SetCallLimit(std::size_t calls) { this->call_limit = calls; }
  // Calls of an earlier process of the instance.
  void LeaveCalls(int count, Milliseconds duration);
  // The advisor takes this many times the declared time.
  void SetSlowness(int factor) { this->slowness = factor; }
  // The answers to this many calls are lost.
  void LoseAnswers(int count) { this->answers_to_lose = count; }

  // When the first task of the job started, from the beginning.
  std::optional<Milliseconds> StartOf(const JobId& job) const;
  int JobsStarted() const { return static_cast<int>(this->starts.size()); }
  int RunsStarted(const JobId& job) const;
  int calls() const { return this->call_count; }
  // Calls that the advisor answered when nobody waited for them any more.
  int wasted_calls() const { return this->wasted_count; }
  // Most calls that waited at the advisor at a time.
  std::size_t most_waiting() const { return this->longest_line; }

 private:
  struct Call {
    std::optional<AdviceQueue::RequestId>
        request;  // none: of an earlier process
    AskAdvice ask;
    Milliseconds duration{0};
    MonotonicTime given_up_at;
  };

  MonotonicTime Now() const;
  void Step();
  void SendCalls();
  void AnswerCalls();
  void GiveUpCalls();
  void CarryOut(const std::vector<Order>& orders);

  PoolScheduler scheduler;
  AdvicePolicy advice;
  std::map<QueueName, QueuePolicy> policies;
  std::map<WorkerName, std::unique_ptr<FakeWorker>> workers;
  std::set<WorkerName> allowed;
  AdviceQueue queue;
  std::map<AdviceQueue::RequestId, AskAdvice> asked;
  std::deque<Call> line;
  std::deque<Call> lost;      // calls whose answers were lost
  MonotonicTime answered_at;  // when the advisor has answered the next call
  AdviceQueue::RequestId next_request = 1;
  std::map<JobId, Milliseconds> starts;
  std::map<JobId, int> runs;
  Milliseconds elapsed{0};
  std::size_t call_limit = 32;
  std::size_t longest_line = 0;
  int slowness = 1;
  int answers_to_lose = 0;
  int call_count = 0;
  int wasted_count = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_ADVISED_POOL_H_
