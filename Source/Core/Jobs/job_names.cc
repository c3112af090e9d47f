#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/previous_run.h"
#include "Core/Jobs/run_report.h"
#include "Core/Jobs/start_outcome.h"

namespace daisyroad {

const char* ToString(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kBroken:
      return "broken";
    case EndKind::kUnpaired:
      return "unpaired";
  }
  return "unknown";
}

const char* ToString(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::kStarted:
      return "started";
    case StartOutcome::kFenced:
      return "fenced";
    case StartOutcome::kStaleRun:
      return "stale_run";
    case StartOutcome::kLeaseEnded:
      return "lease_ended";
    case StartOutcome::kNoRoom:
      return "no_room";
    case StartOutcome::kNoTicket:
      return "no_ticket";
    case StartOutcome::kInvalid:
      return "invalid";
    case StartOutcome::kUnhealthy:
      return "unhealthy";
    case StartOutcome::kNotReceived:
      return "not_received";
    case StartOutcome::kOtherWorker:
      return "other_worker";
    case StartOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToString(PreviousRun previous) {
  switch (previous) {
    case PreviousRun::kNone:
      return "none";
    case PreviousRun::kNotFound:
      return "not_found";
    case PreviousRun::kEnded:
      return "ended";
    case PreviousRun::kMissing:
      return "missing";
    case PreviousRun::kRefused:
      return "refused";
    case PreviousRun::kWorkerGone:
      return "worker_gone";
    case PreviousRun::kLeaseExpired:
      return "lease_expired";
  }
  return "unknown";
}

const char* ToString(JobStatus status) {
  switch (status) {
    case JobStatus::kQueued:
      return "queued";
    case JobStatus::kRunning:
      return "running";
    case JobStatus::kCompleted:
      return "completed";
    case JobStatus::kFailed:
      return "failed";
    case JobStatus::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool IsFinal(JobStatus status) {
  return status == JobStatus::kCompleted || status == JobStatus::kFailed ||
         status == JobStatus::kCancelled;
}

}  // namespace daisyroad
