// Prints a table of the injected faults with the actual cause, the verdict and
// the time to the verdict. Each run queries one instance of every zone, as
// operators do. A zone that cannot be queried counts as not_known.

#include <catch2/catch.hpp>

#include <iomanip>
#include <sstream>

#include "Bench/diagnosis_simulation.h"
#include "Core/Declaration/declaration.h"
#include "Core/Diagnosis/fault_classifier.h"

namespace daisyroad {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr std::size_t kEntries = 8;
constexpr std::size_t kEntriesInZone = 2;
constexpr Milliseconds kStep{1000};
constexpr Milliseconds kMaxTimeToVerdict{10'000};
constexpr Milliseconds kObservationTime{14'000};

struct Outcome {
  Verdict verdict =
      Verdict::kNotKnown;  // the actual cause if any zone named it
  bool is_other_named = false;
  bool is_network_blamed = false;
  Milliseconds time{0};
};

Explanation Ask(const DiagnosisSimulation& simulation,
                std::size_t entry,
                MonotonicTime now) {
  return FaultClassifier::Explain(
      {SpanQuestion{}, now - std::chrono::seconds(30), now}, Declaration(),
      simulation.Gather(entry, now));
}

void RecordAnswer(Outcome& outcome,
                  const InjectedFault& fault,
                  const Explanation& answer,
                  Milliseconds time) {
  outcome.is_network_blamed |= answer.verdict == Verdict::kNetwork;
  outcome.is_other_named |= answer.verdict == fault.truth &&
                            (!fault.other || answer.other == fault.other);
  if (answer.verdict != Verdict::kNotKnown && outcome.verdict != fault.truth &&
      (outcome.verdict == Verdict::kNotKnown ||
       answer.verdict == fault.truth)) {
    outcome.verdict = answer.verdict;
    outcome.time = time;
  }
}

Outcome Run(const InjectedFault& fault) {
  const DiagnosisSimulation simulation(fault, kSeed);
  Outcome outcome;
  for (Milliseconds time = kStep; time <= kObservationTime; time += kStep) {
    const MonotonicTime now = simulation.onset() + time;
    for (std::size_t i = 0; i < kEntries; i += kEntriesInZone) {
      if (simulation.CanAsk(i, now)) {
        RecordAnswer(outcome, fault, Ask(simulation, i, now), time);
      }
    }
  }
  return outcome;
}

// Guards against causes that are missed, named late or confused with others,
// and against naming the network for a fault that has another cause.
TEST_CASE("Injected faults are named by their cause") {
  REQUIRE(InjectedFaults().size() >= 24);
  std::ostringstream table;
  for (const InjectedFault& fault : InjectedFaults()) {
    const Outcome outcome = Run(fault);
    table << std::left << std::setw(40) << fault.name << std::setw(16)
          << VerdictName(fault.truth) << std::setw(16)
          << VerdictName(outcome.verdict) << outcome.time.count() << " ms\n";
    INFO(fault.name << " at " << outcome.time.count() << " ms");
    if (fault.truth != Verdict::kNotKnown) {
      CHECK(std::string(VerdictName(outcome.verdict)) ==
            VerdictName(fault.truth));
      CHECK(outcome.time <= kMaxTimeToVerdict);
      CHECK(outcome.is_other_named);
    }
    if (fault.truth != Verdict::kNetwork && fault.other != Verdict::kNetwork) {
      CHECK_FALSE(outcome.is_network_blamed);
    }
  }
  INFO(table.str());
  SUCCEED();
  WARN(table.str());
}

}  // namespace
}  // namespace daisyroad
