#include "Core/Diagnosis/observation_text.h"

#include <sstream>

namespace daisyroad {
namespace {

const char* FateText(MessageFate fate) {
  switch (fate) {
    case MessageFate::kAnswered:
      return " was answered";
    case MessageFate::kLate:
      return " was answered late";
    case MessageFate::kUnanswered:
      return " was not answered";
    case MessageFate::kArrived:
      return " arrived";
  }
  return "";
}

const char* EffectText(ConfigurationEffect effect) {
  switch (effect) {
    case ConfigurationEffect::kLimit:
      return "changed the limit of ";
    case ConfigurationEffect::kZoneOut:
      return "took out zone ";
    case ConfigurationEffect::kKeyWithdrawn:
      return "withdrew a key of ";
    case ConfigurationEffect::kQueue:
      return "changed queue ";
    case ConfigurationEffect::kOther:
      return "changed ";
  }
  return "";
}

const char* ReasonText(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kLimit:
      return "limit";
    case RefusalReason::kKey:
      return "key";
    case RefusalReason::kQueue:
      return "queue";
    case RefusalReason::kZone:
      return "zone";
  }
  return "";
}

class TextWriter {
 public:
  std::string operator()(const SilentConnection& value) const {
    return Join(value.observer, ": connection to worker ", value.worker,
                " silent while a new one answers");
  }
  std::string operator()(const RefusedConnection& value) const {
    return Join(value.observer, ": connection refused by the host of worker ",
                value.worker);
  }
  std::string operator()(const ZoneProbe& value) const {
    return Join(value.observer, ": probe from zone ", value.from, " to ",
                value.to, value.arrived ? " arrived" : " did not arrive");
  }
  std::string operator()(const PeerMessage& value) const {
    return Join(value.observer, ": request from zone ", value.from, " to ",
                value.to, " (peer ", value.peer, ")", FateText(value.fate));
  }
  std::string operator()(const WorkerResults& value) const {
    return Join("worker ", value.worker, ": ", value.done, " done, ",
                value.failed, " failed");
  }
  std::string operator()(const WorkerRestarted& value) const {
    return Join("worker ", value.worker, " restarted");
  }
  std::string operator()(const WorkerContact& value) const {
    return Join(value.observer, ": worker ", value.worker,
                value.reached ? " reached" : " not reached", " from zone ",
                value.from);
  }
  std::string operator()(const TaskTimeline& value) const {
    return Join("task ", value.task, " ended as ", value.outcome);
  }
  std::string operator()(const QueueDelay& value) const {
    return Join("pool ", value.pool, " in zone ", value.zone, ": waited ",
                value.wait.count(), " ms, ran ", value.service.count(), " ms");
  }
  std::string operator()(const StoreSample& value) const {
    return Join(value.observer, ": store call ",
                value.failed ? "failed" : "answered", " after ",
                value.latency.count(), " ms");
  }
  std::string operator()(const VersionAdopted& value) const {
    return Join("version ", value.version, " ", EffectText(value.effect),
                value.subject);
  }
  std::string operator()(const ShortDeadline& value) const {
    return Join("task ", value.task, ": deadline ", value.deadline.count(),
                " ms, usual run ", value.usual_run.count(), " ms");
  }
  std::string operator()(const Refusal& value) const {
    return Join("team ", value.team, ", queue ", value.queue,
                ": refused because of its ", ReasonText(value.reason));
  }

 private:
  template <typename... Parts>
  static std::string Join(const Parts&... parts) {
    std::ostringstream out;
    (out << ... << parts);
    return out.str();
  }
};

class SizeCounter {
 public:
  std::size_t operator()(const SilentConnection& value) const {
    return Sum(value.observer, value.worker, value.pool, value.from, value.to);
  }
  std::size_t operator()(const RefusedConnection& value) const {
    return Sum(value.observer, value.worker, value.pool, value.to);
  }
  std::size_t operator()(const ZoneProbe& value) const {
    return Sum(value.observer, value.peer, value.from, value.to);
  }
  std::size_t operator()(const PeerMessage& value) const {
    return Sum(value.observer, value.peer, value.from, value.to);
  }
  std::size_t operator()(const WorkerResults& value) const {
    return Sum(value.worker, value.pool);
  }
  std::size_t operator()(const WorkerRestarted& value) const {
    return Sum(value.worker, value.pool);
  }
  std::size_t operator()(const WorkerContact& value) const {
    return Sum(value.observer, value.worker, value.pool, value.from, value.to);
  }
  std::size_t operator()(const TaskTimeline& value) const {
    return Sum(value.task, value.queue, value.worker) +
           value.outcome.capacity();
  }
  std::size_t operator()(const QueueDelay& value) const {
    return Sum(value.pool, value.zone);
  }
  std::size_t operator()(const StoreSample& value) const {
    return Sum(value.observer, value.from);
  }
  std::size_t operator()(const VersionAdopted& value) const {
    return value.subject.capacity();
  }
  std::size_t operator()(const ShortDeadline& value) const {
    return Sum(value.task, value.queue);
  }
  std::size_t operator()(const Refusal& value) const {
    return Sum(value.team, value.queue, value.zone);
  }

 private:
  template <typename... Names>
  static std::size_t Sum(const Names&... names) {
    return (names.str().capacity() + ...);
  }
};

}  // namespace

std::string ObservationText(const ObservationDetail& detail) {
  return std::visit(TextWriter(), detail);
}

std::size_t ObservationTextBytes(const ObservationDetail& detail) {
  return std::visit(SizeCounter(), detail);
}

}  // namespace daisyroad
