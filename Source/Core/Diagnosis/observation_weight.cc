#include "Core/Diagnosis/observation_weight.h"

#include "Core/Diagnosis/thresholds.h"

namespace daisyroad {
namespace {

ObservationWeight For(Verdict verdict) {
  return {{verdict}, {}};
}

ObservationWeight Against(Verdict verdict) {
  return {{}, {verdict}};
}

ObservationWeight Either(bool fault, Verdict verdict) {
  return fault ? For(verdict) : Against(verdict);
}

struct Weigher {
  ObservationWeight operator()(const SilentConnection&) const {
    return For(Verdict::kNetwork);
  }
  // A refusal is an answer of the host: the path works both ways.
  ObservationWeight operator()(const RefusedConnection&) const {
    return {{Verdict::kWorker}, {Verdict::kNetwork}};
  }
  ObservationWeight operator()(const ZoneProbe& value) const {
    return Either(!value.arrived, Verdict::kNetwork);
  }
  ObservationWeight operator()(const PeerMessage& value) const {
    return Either(value.fate == MessageFate::kUnanswered ||
                      value.fate == MessageFate::kLate,
                  Verdict::kNetwork);
  }
  ObservationWeight operator()(const WorkerResults& value) const {
    return Either(value.failed > value.done, Verdict::kWorker);
  }
  ObservationWeight operator()(const WorkerRestarted&) const {
    return For(Verdict::kWorker);
  }
  ObservationWeight operator()(const WorkerContact& value) const {
    return value.reached
               ? Against(Verdict::kNetwork)
               : ObservationWeight{{Verdict::kNetwork, Verdict::kWorker}, {}};
  }
  ObservationWeight operator()(const TaskTimeline&) const { return {}; }
  ObservationWeight operator()(const QueueDelay& value) const {
    return Either(IsLongWait(value), Verdict::kOverload);
  }
  ObservationWeight operator()(const StoreSample& value) const {
    return Either(IsBadStoreSample(value), Verdict::kStore);
  }
  ObservationWeight operator()(const ConfigurationAdopted& value) const {
    return value.effect == ConfigurationEffect::kOther
               ? ObservationWeight{}
               : For(Verdict::kConfiguration);
  }
  ObservationWeight operator()(const ShortDeadline&) const {
    return For(Verdict::kCallerDeadline);
  }
  ObservationWeight operator()(const Refusal& value) const {
    return value.reason == RefusalReason::kLimit
               ? ObservationWeight{{Verdict::kConfiguration,
                                    Verdict::kOverload},
                                   {}}
               : For(Verdict::kConfiguration);
  }
};

}  // namespace

ObservationWeight WeighObservation(const ObservationDetail& detail) {
  return std::visit(Weigher(), detail);
}

}  // namespace daisyroad
