#include "Core/Diagnosis/diagnosis_scope.h"

#include <algorithm>
#include <utility>

#include "Core/Declaration/declaration.h"

namespace daisyroad {
namespace {

// Extends the time range around a task: a fault shortly before the task was
// queued can still delay it, and peers report its end after the fact.
constexpr std::chrono::seconds kTaskMargin{10};

std::optional<TaskTimeline> FindTimeline(
    const TaskId& id,
    const std::vector<Observation>& observations) {
  std::optional<TaskTimeline> found;
  for (const Observation& observation : observations) {
    const TaskTimeline* const timeline =
        std::get_if<TaskTimeline>(&observation.detail);
    // Both the dispatcher and the registrar may report the task; the timeline
    // with the later end is used.
    if (timeline != nullptr && timeline->task == id &&
        (!found || found->ended < timeline->ended)) {
      found = *timeline;
    }
  }
  return found;
}

}  // namespace

DiagnosisScope::DiagnosisScope(const Question& question,
                               const Declaration& declaration,
                               const std::vector<Observation>& observations)
    : from(question.from), to(question.to) {
  if (const ServiceQuestion* const service_question =
          std::get_if<ServiceQuestion>(&question.subject)) {
    this->AddService(service_question->service, declaration);
  } else if (const TaskQuestion* const task_question =
                 std::get_if<TaskQuestion>(&question.subject)) {
    this->task_timeline = FindTimeline(task_question->task, observations);
    if (this->task_timeline) {
      this->from = this->task_timeline->queued - kTaskMargin;
      this->to =
          std::min(this->to,
                   this->task_timeline->ended.value_or(this->to) + kTaskMargin);
      const TaskQueue* const queue =
          declaration.FindQueue(this->task_timeline->queue);
      if (queue != nullptr) {
        this->AddService(queue->service, declaration);
      }
    }
  } else {
    this->covers_everything = true;
  }
}

void DiagnosisScope::AddService(const ServiceName& service,
                                const Declaration& declaration) {
  const Service* const found = declaration.FindService(service);
  if (found == nullptr || !this->services.insert(service).second) {
    return;
  }
  this->pools.insert(found->pool);
  for (const TaskQueue& queue : declaration.queues) {
    if (queue.service == service) {
      this->queues.insert(queue.name);
    }
  }
  for (const ServiceName& dependency : found->depends_on) {
    this->AddService(dependency, declaration);
  }
}

bool DiagnosisScope::Covers(const Observation& observation) const {
  if (observation.at < this->from || observation.at > this->to) {
    return false;
  }
  if (this->covers_everything) {
    return true;
  }
  return std::visit(
      [this](const auto& detail) {
        if constexpr (requires { detail.pool; }) {
          return this->pools.count(detail.pool) != 0;
        } else if constexpr (requires { detail.queue; }) {
          return this->queues.count(detail.queue) != 0;
        } else {
          return true;
        }
      },
      observation.detail);
}

std::vector<Observation> DiagnosisScope::Select(
    const std::vector<Observation>& observations) const {
  std::vector<Observation> selected;
  std::copy_if(observations.begin(), observations.end(),
               std::back_inserter(selected),
               [this](const Observation& item) { return this->Covers(item); });
  std::stable_sort(selected.begin(), selected.end(),
                   [](const Observation& left, const Observation& right) {
                     return left.at < right.at;
                   });
  return selected;
}

}  // namespace daisyroad
