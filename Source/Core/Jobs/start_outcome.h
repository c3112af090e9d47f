#ifndef SOURCE_CORE_JOBS_START_OUTCOME_H_
#define SOURCE_CORE_JOBS_START_OUTCOME_H_

namespace daisyroad {

// Result of a start order.
enum class StartOutcome {
  kStarted,      // the run exists
  kFenced,       // the worker has orders from a later scheduler
  kStaleRun,     // this run or a later one of the task existed before
  kLeaseEnded,   // the lease has already expired on the worker's clock
  kNoRoom,       // the worker lacks capacity
  kNoTicket,     // the placement ticket is not valid
  kInvalid,      // the worker cannot interpret the order
  kUnhealthy,    // the worker is unhealthy and did nothing
  kNotReceived,  // no connection; the worker did nothing
  kOtherWorker,  // another process of the worker answered and did nothing
  kUnknown,      // no answer; the run may exist or start later
};

const char* ToString(StartOutcome outcome);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_START_OUTCOME_H_
