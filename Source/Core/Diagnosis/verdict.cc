#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNetwork:
      return "network";
    case Verdict::kStore:
      return "store";
    case Verdict::kWorker:
      return "worker";
    case Verdict::kConfiguration:
      return "configuration";
    case Verdict::kOverload:
      return "overload";
    case Verdict::kCallerDeadline:
      return "caller_deadline";
    case Verdict::kNotKnown:
      return "not_known";
  }
  return "not_known";
}

}  // namespace daisyroad
