#ifndef SOURCE_CORE_JOBS_START_OUTCOME_H_
#define SOURCE_CORE_JOBS_START_OUTCOME_H_

namespace daisyroad {

// Answer of a worker to an order to start a run.
enum class StartOutcome {
  kStarted,      // the run is there
  kFenced,       // a later scheduler has given orders
  kStaleRun,     // this run or a later one was there before
  kLeaseEnded,   // the lease given lies in the past of the worker's clock
  kNoRoom,       // the worker's capacity does not suffice
  kNoTicket,     // the placement ticket is not valid
  kInvalid,      // the worker does not understand the order
  kUnhealthy,    // the worker did nothing
  kNotReceived,  // no connection; the worker did nothing
  kOtherWorker,  // another life of the worker answered and did nothing
  kUnknown,      // no answer; the run may be there, or come later
};

const char* ToString(StartOutcome outcome);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_START_OUTCOME_H_
