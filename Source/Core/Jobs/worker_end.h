#ifndef SOURCE_CORE_JOBS_WORKER_END_H_
#define SOURCE_CORE_JOBS_WORKER_END_H_

namespace daisyroad {

// Why the process of a worker has ended.
enum class WorkerEnd {
  kUnknown,  // a crash, unless the worker was draining or being emptied
  kPlanned,  // its machine is under planned work
  kDown,     // its machine is down; a crash unless the worker was draining
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_WORKER_END_H_
