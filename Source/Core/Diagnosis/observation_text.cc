#include "Core/Diagnosis/observation_text.h"

#include <sstream>

#include "Core/Diagnosis/observation_fields.h"

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
  std::string operator()(const ConfigurationAdopted& value) const {
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

class TextSizeCounter {
 public:
  explicit TextSizeCounter(std::size_t* bytes) : bytes(bytes) {}

  template <typename Tag>
  void operator()(const char*, const StrongString<Tag>& value) {
    *this->bytes += value.str().capacity();
  }
  void operator()(const char*, const std::string& value) {
    *this->bytes += value.capacity();
  }
  template <typename Other>
  void operator()(const char*, const Other&) {}

 private:
  std::size_t* bytes;
};

}  // namespace

std::string ObservationText(const ObservationDetail& detail) {
  return std::visit(TextWriter(), detail);
}

std::size_t ObservationTextBytes(const ObservationDetail& detail) {
  std::size_t bytes = 0;
  std::visit(
      [&bytes](const auto& item) {
        VisitFields(item, TextSizeCounter(&bytes));
      },
      detail);
  return bytes;
}

}  // namespace daisyroad
