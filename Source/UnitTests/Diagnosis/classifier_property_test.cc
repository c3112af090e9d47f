#include <catch2/catch.hpp>

#include <algorithm>

#include "Bench/diagnosis_simulation.h"
#include "Core/Common/random.h"
#include "Core/Declaration/declaration.h"
#include "Core/Diagnosis/evidence_log.h"
#include "Core/Diagnosis/fault_classifier.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kDelayAfterOnset{9000};
constexpr std::chrono::seconds kSpan{30};

Explanation Explain(const std::vector<Observation>& observations,
                    MonotonicTime now) {
  return FaultClassifier::Explain({SpanQuestion{}, now - kSpan, now},
                                  Declaration(), observations);
}

bool IsNetworkEvidence(const ObservationDetail& detail) {
  if (const PeerMessage* const message = std::get_if<PeerMessage>(&detail)) {
    return message->fate == MessageFate::kUnanswered ||
           message->fate == MessageFate::kLate;
  }
  const ZoneProbe* const probe = std::get_if<ZoneProbe>(&detail);
  const WorkerContact* const contact = std::get_if<WorkerContact>(&detail);
  const StoreSample* const sample = std::get_if<StoreSample>(&detail);
  return std::holds_alternative<SilentConnection>(detail) ||
         (probe != nullptr && !probe->arrived) ||
         (contact != nullptr && !contact->reached) ||
         (sample != nullptr &&
          (sample->failed || sample->latency.count() > 99));
}

// Guards against a verdict that depends on the order in which peers reply.
TEST_CASE("The order of arrival does not change the verdict") {
  for (const InjectedFault& fault : InjectedFaults()) {
    const DiagnosisSimulation simulation(fault, 3);
    const MonotonicTime now = simulation.onset() + kDelayAfterOnset;
    std::vector<Observation> observations = simulation.Gather(1, now);
    const Explanation first = Explain(observations, now);
    Random random(11);
    for (std::size_t i = observations.size(); i > 1; --i) {
      std::swap(observations[i - 1], observations[random.Below(i)]);
    }
    EvidenceLog log(10'000'000, 2 * kSpan);
    for (const Observation& item : observations) {
      log.Add(item, now);
    }
    const Explanation second = Explain(log.Between(now - kSpan, now), now);
    INFO(fault.name);
    CHECK(first.verdict == second.verdict);
    CHECK(first.other == second.other);
    CHECK(first.paragraph == second.paragraph);
  }
}

// Guards against the network being the default verdict when no other cause
// matches.
TEST_CASE("Without network evidence the verdict is not the network") {
  for (const InjectedFault& fault : InjectedFaults()) {
    const DiagnosisSimulation simulation(fault, 5);
    const MonotonicTime now = simulation.onset() + kDelayAfterOnset;
    std::vector<Observation> observations = simulation.Gather(1, now);
    std::erase_if(observations, [](const Observation& item) {
      return IsNetworkEvidence(item.detail);
    });
    const Explanation answer = Explain(observations, now);
    INFO(fault.name);
    CHECK(answer.verdict != Verdict::kNetwork);
    CHECK(answer.other != Verdict::kNetwork);
  }
}

// Guards against naming a cause without any observation.
TEST_CASE("Without observations the verdict is not known") {
  const Explanation answer = Explain({}, MonotonicTime(std::chrono::hours(1)));
  CHECK(answer.verdict == Verdict::kNotKnown);
  CHECK(answer.paragraph.find("not_known") != std::string::npos);
  CHECK(answer.rows.empty());
}

// Guards against attributing a fault of an unrelated pool to a service.
TEST_CASE("A question covers the service and what it depends on") {
  Declaration declaration;
  declaration.services = {
      {ServiceName("front"), PoolName("a"), {ServiceName("back")}, 0.99, {}},
      {ServiceName("back"), PoolName("b"), {}, 0.99, {}},
      {ServiceName("apart"), PoolName("c"), {}, 0.99, {}}};
  const MonotonicTime now(std::chrono::hours(1));
  const std::vector<Observation> observations = {
      {now - Milliseconds(500),
       WorkerResults{WorkerName("w"), PoolName("b"), 0, 9}}};
  const auto ask = [&](const char* service) {
    return FaultClassifier::Explain(
               {ServiceQuestion{ServiceName(service)}, now - kSpan, now},
               declaration, observations)
        .verdict;
  };
  CHECK(ask("front") == Verdict::kWorker);
  CHECK(ask("back") == Verdict::kWorker);
  CHECK(ask("apart") == Verdict::kNotKnown);
}

// Guards against reporting a one-way cut in the wrong direction: the requests
// arrive here, so the replies were lost.
TEST_CASE("A lost reply names the direction of the reply") {
  std::vector<Observation> observations;
  const MonotonicTime start(std::chrono::hours(1));
  const ZoneName a("a");
  const ZoneName b("b");
  for (int i = 0; i < 12; ++i) {
    const MonotonicTime at = start + i * Milliseconds(500);
    const EntryName peer("b" + std::to_string(i % 2));
    observations.push_back({at, PeerMessage{EntryName("a0"), peer, a, b,
                                            MessageFate::kUnanswered}});
    observations.push_back(
        {at, PeerMessage{peer, EntryName("a0"), a, b, MessageFate::kArrived}});
    for (const EntryName& end : {EntryName("a0"), peer}) {
      observations.push_back(
          {at, PeerMessage{EntryName("c0"), end, ZoneName("c"),
                           end == peer ? b : a, MessageFate::kAnswered}});
    }
  }
  const Explanation answer =
      Explain(observations, start + std::chrono::seconds(7));
  CHECK(answer.verdict == Verdict::kNetwork);
  CHECK(answer.paragraph.find("from zone b to zone a") != std::string::npos);
}

}  // namespace
}  // namespace daisyroad
