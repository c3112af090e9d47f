#ifndef SOURCE_UNITTESTS_JOBS_JOB_BUILDER_H_
#define SOURCE_UNITTESTS_JOBS_JOB_BUILDER_H_

#include <string>

#include "Core/Jobs/job_spec.h"

namespace daisyroad {

// Builds jobs for tests. Steps are added with default values; use Last() to
// change them.
class JobBuilder {
 public:
  explicit JobBuilder(const std::string& id) {
    this->job.id = JobId(id);
    this->job.queue = QueueName("queue");
    this->job.pool = PoolName("pool");
    this->job.team = TeamName("team");
    this->job.spec.payload = "payload";
  }

  JobBuilder& Step(int tasks, std::int64_t cpu = 1000) {
    StepSpec step;
    step.task_count = tasks;
    step.request = Resources{cpu, 100, 0};
    step.estimate = Milliseconds(500);
    this->job.spec.steps.push_back(step);
    return *this;
  }
  JobBuilder& Service(int tasks, int budget) {
    this->Step(tasks);
    this->Last().is_service = true;
    this->Last().disruption_budget = budget;
    this->Last().max_per_worker = 1;
    return *this;
  }
  JobBuilder& After(int step) {
    this->Last().after.push_back(step);
    return *this;
  }
  JobBuilder& Schedule(int occurrences, WallTime first, Milliseconds interval) {
    this->job.spec.occurrences = occurrences;
    this->job.spec.first_due = std::chrono::floor<Milliseconds>(first);
    this->job.spec.interval = interval;
    return *this;
  }
  StepSpec& Last() { return this->job.spec.steps.back(); }
  AcceptedJob Build() const { return this->job; }

 private:
  AcceptedJob job;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_JOB_BUILDER_H_
