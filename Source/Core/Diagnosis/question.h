#ifndef SOURCE_CORE_DIAGNOSIS_QUESTION_H_
#define SOURCE_CORE_DIAGNOSIS_QUESTION_H_

#include <variant>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

struct TaskQuestion {
  TaskId task;
};

// Covers the service and all of its direct and indirect dependencies.
struct ServiceQuestion {
  ServiceName service;
};

// Covers all observations in the time span.
struct SpanQuestion {};

struct Question {
  std::variant<TaskQuestion, ServiceQuestion, SpanQuestion> subject;
  MonotonicTime from;
  MonotonicTime to;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_QUESTION_H_
