#ifndef SOURCE_CORE_JOBS_JOB_PROGRESS_H_
#define SOURCE_CORE_JOBS_JOB_PROGRESS_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Core/Common/result.h"
#include "Core/Jobs/job_spec.h"
#include "Core/Jobs/task_ref.h"

namespace daisyroad {

enum class JobStatus { kQueued, kRunning, kCompleted, kFailed, kCancelled };

const char* ToString(JobStatus status);
bool IsFinal(JobStatus status);

// What must outlive the scheduler of a job: the ends that workers were told to
// forget.
struct JobProgress {
  JobStatus status = JobStatus::kQueued;
  std::set<TaskRef> done;
  // Numbers of the runs that failed: the worker reports an end again to a
  // scheduler that did not acknowledge it.
  std::map<TaskRef, std::set<std::int64_t>> failures;
};

Json::Value ToJson(const JobProgress& progress);
Result<JobProgress> ParseJobProgress(const JobId& job, const Json::Value& json);

Json::Value ToJson(const AcceptedJob& job);
Result<AcceptedJob> ParseAcceptedJob(const Json::Value& json);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_JOB_PROGRESS_H_
