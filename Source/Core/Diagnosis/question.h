#ifndef SOURCE_CORE_DIAGNOSIS_QUESTION_H_
#define SOURCE_CORE_DIAGNOSIS_QUESTION_H_

#include <variant>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

struct TaskQuestion {
  TaskId task;
};

// The service and all that it depends on.
struct ServiceQuestion {
  ServiceName service;
};

// Everything in the span.
struct SpanQuestion {};

struct Question {
  std::variant<TaskQuestion, ServiceQuestion, SpanQuestion> subject;
  MonotonicTime from;
  MonotonicTime to;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_QUESTION_H_
