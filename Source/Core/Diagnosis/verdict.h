#ifndef SOURCE_CORE_DIAGNOSIS_VERDICT_H_
#define SOURCE_CORE_DIAGNOSIS_VERDICT_H_

namespace daisyroad {

enum class Verdict {
  kNetwork,
  kStore,
  kWorker,
  kConfiguration,
  kOverload,
  kCallerDeadline,
  kNotKnown
};

// Returns the name listed in docs/api.md, for example "caller_deadline".
const char* VerdictName(Verdict verdict);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_VERDICT_H_
