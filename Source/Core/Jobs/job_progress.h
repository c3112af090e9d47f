#ifndef SOURCE_CORE_JOBS_JOB_PROGRESS_H_
#define SOURCE_CORE_JOBS_JOB_PROGRESS_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Core/Common/result.h"
#include "Core/Jobs/done_tasks.h"
#include "Core/Jobs/index_ranges.h"
#include "Core/Jobs/job_spec.h"
#include "Core/Jobs/open_start.h"
#include "Core/Jobs/task_ref.h"

namespace daisyroad {

enum class JobStatus { kQueued, kRunning, kCompleted, kFailed, kCancelled };

const char* ToString(JobStatus status);
bool IsFinal(JobStatus status);

// The crashes of workers that ran a task.
struct CrashRecord {
  // Numbers of the runs that were lost. As with failed runs, the numbers keep a
  // crash from being counted twice.
  std::set<std::int64_t> runs;
  // Those of `runs` that may have ended, or never started, before the crash.
  std::set<std::int64_t> uncertain_runs;
  // Runs of a task with crashes whose end is not known; that of a trial is
  // stored before its start order is sent.
  std::map<std::int64_t, OpenStart> open_starts;

  bool empty() const { return this->runs.empty() && this->open_starts.empty(); }
  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

// The part of a job's state that is kept in the store for later schedulers. It
// covers all run ends that workers were told to discard.
struct JobProgress {
  JobStatus status = JobStatus::kQueued;
  // Occurrences whose tasks are all done; `done` has those of others.
  IndexRanges finished;
  DoneTasks done;
  // Numbers of the failed runs of tasks that are not done. A worker reports an
  // end again to a scheduler that has not acknowledged it, and the number keeps
  // it from being counted twice.
  std::map<TaskRef, std::set<std::int64_t>> failures;
  std::map<TaskRef, CrashRecord> crashes;

  bool IsDone(const TaskRef& task) const {
    return this->finished.Contains(task.occurrence) ||
           this->done.contains(task);
  }
};

Json::Value ToJson(const JobProgress& progress);
Result<JobProgress> ParseJobProgress(const JobId& job, const Json::Value& json);

Json::Value ToJson(const AcceptedJob& job);
Result<AcceptedJob> ParseAcceptedJob(const Json::Value& json);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_JOB_PROGRESS_H_
