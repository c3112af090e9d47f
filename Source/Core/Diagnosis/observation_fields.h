#ifndef SOURCE_CORE_DIAGNOSIS_OBSERVATION_FIELDS_H_
#define SOURCE_CORE_DIAGNOSIS_OBSERVATION_FIELDS_H_

#include <type_traits>

#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Calls `visit(name, member)` for each member. The names are the keys used in
// messages between instances.
template <typename Detail, typename Visit>
void VisitFields(Detail& item, Visit visit) {
  using Type = std::remove_const_t<Detail>;
  if constexpr (requires { item.observer; }) {
    visit("observer", item.observer);
  }
  if constexpr (requires { item.peer; }) {
    visit("peer", item.peer);
  }
  if constexpr (requires { item.task; }) {
    visit("task", item.task);
  }
  if constexpr (requires { item.team; }) {
    visit("team", item.team);
  }
  if constexpr (requires { item.queue; }) {
    visit("queue", item.queue);
  }
  if constexpr (requires { item.worker; }) {
    visit("worker", item.worker);
  }
  if constexpr (requires { item.pool; }) {
    visit("pool", item.pool);
  }
  if constexpr (requires { item.from; }) {
    visit("from", item.from);
  }
  if constexpr (requires { item.to; }) {
    visit("to", item.to);
  }
  if constexpr (requires { item.zone; }) {
    visit("zone", item.zone);
  }
  if constexpr (std::is_same_v<Type, ZoneProbe>) {
    visit("arrived", item.arrived);
  } else if constexpr (std::is_same_v<Type, PeerMessage>) {
    visit("fate", item.fate);
  } else if constexpr (std::is_same_v<Type, WorkerResults>) {
    visit("done", item.done);
    visit("failed", item.failed);
  } else if constexpr (std::is_same_v<Type, WorkerContact>) {
    visit("reached", item.reached);
  } else if constexpr (std::is_same_v<Type, TaskTimeline>) {
    visit("queued", item.queued);
    visit("started", item.started);
    visit("ended", item.ended);
    visit("deadline", item.deadline);
    visit("outcome", item.outcome);
  } else if constexpr (std::is_same_v<Type, QueueDelay>) {
    visit("wait", item.wait);
    visit("service", item.service);
  } else if constexpr (std::is_same_v<Type, StoreSample>) {
    visit("latency", item.latency);
    visit("failed", item.failed);
  } else if constexpr (std::is_same_v<Type, ConfigurationAdopted>) {
    visit("version", item.version);
    visit("effect", item.effect);
    visit("subject", item.subject);
  } else if constexpr (std::is_same_v<Type, ShortDeadline>) {
    visit("deadline", item.deadline);
    visit("usual_run", item.usual_run);
  } else if constexpr (std::is_same_v<Type, Refusal>) {
    visit("reason", item.reason);
  }
}

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_OBSERVATION_FIELDS_H_
