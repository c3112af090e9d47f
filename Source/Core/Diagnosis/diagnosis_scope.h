#ifndef SOURCE_CORE_DIAGNOSIS_DIAGNOSIS_SCOPE_H_
#define SOURCE_CORE_DIAGNOSIS_DIAGNOSIS_SCOPE_H_

#include <optional>
#include <set>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Diagnosis/observation.h"
#include "Core/Diagnosis/question.h"

namespace daisyroad {

struct Declaration;

// Selects the observations that are relevant to a question. Observations of
// paths, the store and the configuration are relevant to every question.
class DiagnosisScope {
 public:
  DiagnosisScope(const Question& question,
                 const Declaration& declaration,
                 const std::vector<Observation>& observations);

  std::vector<Observation> Select(
      const std::vector<Observation>& observations) const;
  // The timeline of the task that the question is about, if one was observed.
  const std::optional<TaskTimeline>& timeline() const {
    return this->task_timeline;
  }

 private:
  void AddService(const ServiceName& service, const Declaration& declaration);
  bool Covers(const Observation& observation) const;

  bool covers_everything = false;
  MonotonicTime from;
  MonotonicTime to;
  std::optional<TaskTimeline> task_timeline;
  std::set<ServiceName> services;
  std::set<PoolName> pools;
  std::set<QueueName> queues;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_DIAGNOSIS_SCOPE_H_
