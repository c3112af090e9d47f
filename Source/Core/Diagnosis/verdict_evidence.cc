#include "Core/Diagnosis/verdict_evidence.h"

#include "Core/Diagnosis/thresholds.h"

namespace daisyroad {
namespace {

VerdictEvidence Supports(Verdict verdict) {
  return {{verdict}, {}};
}

VerdictEvidence Contradicts(Verdict verdict) {
  return {{}, {verdict}};
}

VerdictEvidence SupportsIf(bool is_fault, Verdict verdict) {
  return is_fault ? Supports(verdict) : Contradicts(verdict);
}

struct VerdictEvidenceVisitor {
  VerdictEvidence operator()(const SilentConnection&) const {
    return Supports(Verdict::kNetwork);
  }
  // A refused connection is a reply from the host, so the path works in both
  // directions.
  VerdictEvidence operator()(const RefusedConnection&) const {
    return {{Verdict::kWorker}, {Verdict::kNetwork}};
  }
  VerdictEvidence operator()(const ZoneProbe& value) const {
    return SupportsIf(!value.arrived, Verdict::kNetwork);
  }
  VerdictEvidence operator()(const PeerMessage& value) const {
    return SupportsIf(value.fate == MessageFate::kUnanswered ||
                          value.fate == MessageFate::kLate,
                      Verdict::kNetwork);
  }
  VerdictEvidence operator()(const WorkerResults& value) const {
    return SupportsIf(value.failed > value.done, Verdict::kWorker);
  }
  VerdictEvidence operator()(const WorkerRestarted&) const {
    return Supports(Verdict::kWorker);
  }
  VerdictEvidence operator()(const WorkerContact& value) const {
    return value.reached
               ? Contradicts(Verdict::kNetwork)
               : VerdictEvidence{{Verdict::kNetwork, Verdict::kWorker}, {}};
  }
  VerdictEvidence operator()(const TaskTimeline&) const { return {}; }
  VerdictEvidence operator()(const QueueDelay& value) const {
    return SupportsIf(IsLongWait(value), Verdict::kOverload);
  }
  VerdictEvidence operator()(const StoreSample& value) const {
    return SupportsIf(IsBadStoreSample(value), Verdict::kStore);
  }
  VerdictEvidence operator()(const ConfigurationAdopted& value) const {
    return value.effect == ConfigurationEffect::kOther
               ? VerdictEvidence{}
               : Supports(Verdict::kConfiguration);
  }
  VerdictEvidence operator()(const ShortDeadline&) const {
    return Supports(Verdict::kCallerDeadline);
  }
  VerdictEvidence operator()(const Refusal& value) const {
    return value.reason == RefusalReason::kLimit
               ? VerdictEvidence{{Verdict::kConfiguration, Verdict::kOverload},
                                 {}}
               : Supports(Verdict::kConfiguration);
  }
};

}  // namespace

VerdictEvidence VerdictEvidenceOf(const ObservationDetail& detail) {
  return std::visit(VerdictEvidenceVisitor(), detail);
}

}  // namespace daisyroad
