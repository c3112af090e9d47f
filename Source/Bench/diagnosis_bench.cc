// Measures how often the classifier identifies the cause of an injected fault
// and how often it wrongly blames the network, compared with simpler rules on
// the same observations.

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <string>

#include "Bench/bench_registry.h"
#include "Bench/diagnosis_layout.h"
#include "Bench/diagnosis_simulation.h"
#include "Core/Diagnosis/fault_classifier.h"
#include "Core/Diagnosis/observation_filter.h"

namespace daisyroad {
namespace {

using namespace diagnosis_layout;

constexpr std::uint64_t kRunsPerFault = 4;
constexpr Milliseconds kStep{1000};
constexpr Milliseconds kMaxTimeToVerdict{10'000};
constexpr Milliseconds kObservationTime{14'000};
constexpr std::chrono::seconds kMaxObservationAge{30};
constexpr std::chrono::seconds kRecentTime{5};
constexpr double kIdentifiedTarget = 0.9;

using Rule = Verdict (*)(const std::vector<Observation>& observations);

struct Calls {
  std::size_t timeouts = 0;
  std::size_t answers = 0;
  std::size_t refused = 0;
};

Calls CountRecent(const std::vector<Observation>& observations) {
  Calls calls;
  const auto count = [&calls](bool answered) {
    ++(answered ? calls.answers : calls.timeouts);
  };
  ForEach<PeerMessage>(observations,
                       [&count](MonotonicTime, const PeerMessage& message) {
                         if (message.fate != MessageFate::kArrived) {
                           count(message.fate == MessageFate::kAnswered);
                         }
                       });
  ForEach<WorkerContact>(observations,
                         [&count](MonotonicTime, const WorkerContact& contact) {
                           count(contact.reached);
                         });
  ForEach<StoreSample>(observations,
                       [&count](MonotonicTime, const StoreSample& sample) {
                         count(!sample.failed);
                       });
  ForEach<RefusedConnection>(
      observations,
      [&calls](MonotonicTime, const RefusedConnection&) { ++calls.refused; });
  return calls;
}

std::vector<Observation> KeepRecent(
    const std::vector<Observation>& observations) {
  std::vector<Observation> recent;
  if (observations.empty()) {
    return recent;
  }
  const MonotonicTime last = observations.back().at;
  std::copy_if(observations.begin(), observations.end(),
               std::back_inserter(recent), [last](const Observation& item) {
                 return item.at >= last - kRecentTime;
               });
  return recent;
}

Verdict Classify(const std::vector<Observation>& observations) {
  const std::vector<Finding> findings =
      FaultClassifier::FindFaults(observations);
  return findings.empty() ? Verdict::kNotKnown : findings.front().verdict;
}

Verdict NetworkVerdictIf(bool blamed) {
  return blamed ? Verdict::kNetwork : Verdict::kNotKnown;
}

Verdict BlameOnAnyTimeout(const std::vector<Observation>& observations) {
  return NetworkVerdictIf(CountRecent(KeepRecent(observations)).timeouts > 0);
}

Verdict BlameOnMostTimeouts(const std::vector<Observation>& observations) {
  const Calls calls = CountRecent(KeepRecent(observations));
  return NetworkVerdictIf(calls.timeouts > calls.answers);
}

Verdict BlameOnRefusedConnection(const std::vector<Observation>& observations) {
  return NetworkVerdictIf(CountRecent(KeepRecent(observations)).refused > 0);
}

struct NamedRule {
  const char* name;
  Rule rule;
};

constexpr std::array<NamedRule, 4> kRules = {
    NamedRule{"classifier", Classify},
    NamedRule{"any timeout", BlameOnAnyTimeout},
    NamedRule{"most timeouts", BlameOnMostTimeouts},
    NamedRule{"refused only", BlameOnRefusedConnection}};

// The verdicts of one rule in one run of a fault scenario, over one instance
// per zone.
struct Outcome {
  bool is_identified = false;  // correct verdict within kMaxTimeToVerdict
  // The same for the instance of one zone, which the seed selects.
  bool is_identified_alone = false;
  bool has_blamed_network = false;
  Milliseconds time_to_verdict{0};  // to the first correct verdict
  Verdict last = Verdict::kNotKnown;
};

std::vector<Observation> KeepRecentSorted(std::vector<Observation> observations,
                                          MonotonicTime now) {
  std::erase_if(observations, [now](const Observation& item) {
    return item.at < now - kMaxObservationAge;
  });
  std::stable_sort(observations.begin(), observations.end(),
                   [](const Observation& left, const Observation& right) {
                     return left.at < right.at;
                   });
  return observations;
}

bool HasNetworkFault(const InjectedFault& fault) {
  return fault.truth == Verdict::kNetwork || fault.other == Verdict::kNetwork;
}

std::array<Outcome, kRules.size()> Run(const InjectedFault& fault,
                                       std::uint64_t seed) {
  std::array<Outcome, kRules.size()> outcomes;
  const DiagnosisSimulation simulation(fault, seed);
  const std::size_t alone = seed % kZones;
  for (Milliseconds time = kStep; time <= kObservationTime; time += kStep) {
    const MonotonicTime now = simulation.onset() + time;
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      const std::size_t asked = zone * kEntriesInZone + seed % kEntriesInZone;
      if (!simulation.CanAsk(asked, now)) {
        continue;
      }
      const std::vector<Observation> seen =
          KeepRecentSorted(simulation.Gather(asked, now), now);
      for (std::size_t i = 0; i < kRules.size(); ++i) {
        Outcome& outcome = outcomes[i];
        const Verdict verdict = kRules[i].rule(seen);
        outcome.has_blamed_network |= verdict == Verdict::kNetwork;
        if (verdict != Verdict::kNotKnown) {
          outcome.last = verdict;
        }
        if (verdict == fault.truth && time <= kMaxTimeToVerdict) {
          outcome.time_to_verdict =
              outcome.is_identified ? outcome.time_to_verdict : time;
          outcome.is_identified = true;
          outcome.is_identified_alone |= zone == alone;
        }
      }
    }
  }
  return outcomes;
}

struct Totals {
  std::size_t network_faults = 0;
  std::size_t network_identified = 0;
  std::size_t network_identified_alone = 0;
  std::size_t other_faults = 0;
  std::size_t others_blamed = 0;
  std::size_t others_identified = 0;
  std::size_t others_identifiable = 0;
  Milliseconds time_to_verdict{0};
  std::map<std::string, std::string> missed;
};

void AddOutcome(Totals& totals,
                const InjectedFault& fault,
                const Outcome& outcome) {
  if (fault.truth == Verdict::kNetwork) {
    ++totals.network_faults;
    totals.network_identified += outcome.is_identified;
    totals.network_identified_alone += outcome.is_identified_alone;
    totals.time_to_verdict += outcome.time_to_verdict;
  } else if (!HasNetworkFault(fault)) {
    ++totals.other_faults;
    totals.others_blamed += outcome.has_blamed_network;
  }
  if (fault.truth != Verdict::kNetwork && fault.truth != Verdict::kNotKnown) {
    ++totals.others_identifiable;
    totals.others_identified += outcome.is_identified;
  }
}

std::string FormatRatio(std::size_t part, std::size_t whole) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%zu/%zu", part, whole);
  return text.data();
}

double Ratio(std::size_t part, std::size_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

std::string Describe(const NamedRule& rule, const Totals& totals) {
  return std::string(rule.name) + ": network named " +
         FormatRatio(totals.network_identified, totals.network_faults) +
         " (one zone asked " +
         FormatRatio(totals.network_identified_alone, totals.network_faults) +
         "), others blamed " +
         FormatRatio(totals.others_blamed, totals.other_faults) +
         ", others named " +
         FormatRatio(totals.others_identified, totals.others_identifiable);
}

std::vector<BenchResult> RunDiagnosisBench(std::uint64_t seed) {
  std::array<Totals, kRules.size()> totals;
  std::vector<BenchResult> results;
  for (const InjectedFault& fault : InjectedFaults()) {
    std::map<Verdict, std::size_t> verdicts;
    std::size_t named = 0;
    std::size_t alone = 0;
    std::size_t blamed = 0;
    Milliseconds time{0};
    for (std::uint64_t run = 0; run < kRunsPerFault; ++run) {
      const std::array<Outcome, kRules.size()> outcomes =
          Run(fault, seed * 1'000'003 + run);
      for (std::size_t i = 0; i < kRules.size(); ++i) {
        AddOutcome(totals[i], fault, outcomes[i]);
      }
      ++verdicts[outcomes[0].last];
      named += outcomes[0].is_identified;
      alone += outcomes[0].is_identified_alone;
      blamed += outcomes[0].has_blamed_network;
      time += outcomes[0].time_to_verdict;
    }
    BenchResult row;
    row.name = "diagnosis.fault." + fault.name;
    row.seed = seed;
    row.measured = Ratio(named, kRunsPerFault);
    row.unit = "share named in 10 s";
    row.ok = HasNetworkFault(fault) || blamed == 0;
    row.detail =
        "truth " + std::string(VerdictName(fault.truth)) + "; one zone asked " +
        FormatRatio(alone, kRunsPerFault) + "; blamed on the network " +
        FormatRatio(blamed, kRunsPerFault) + "; mean time to verdict " +
        std::to_string(named == 0 ? 0
                                  : time.count() / static_cast<long>(named)) +
        " ms; last verdicts:";
    for (const std::pair<const Verdict, std::size_t>& item : verdicts) {
      row.detail += " " + std::string(VerdictName(item.first)) + "=" +
                    std::to_string(item.second);
    }
    results.push_back(row);
  }
  BenchResult named;
  named.name = "diagnosis.network_named";
  named.seed = seed;
  named.measured =
      Ratio(totals[0].network_identified, totals[0].network_faults);
  named.unit = "share in 10 s";
  named.ok = named.measured >= kIdentifiedTarget;
  BenchResult blamed = named;
  blamed.detail = "simple rules: see diagnosis.network_named";
  blamed.name = "diagnosis.others_blamed";
  blamed.measured = Ratio(totals[0].others_blamed, totals[0].other_faults);
  blamed.unit = "share";
  blamed.ok = totals[0].others_blamed == 0;
  blamed.baseline = 1.0;
  for (std::size_t i = 0; i < kRules.size(); ++i) {
    named.detail += (i == 0 ? "" : "; ") + Describe(kRules[i], totals[i]);
    if (i > 0) {
      named.baseline = std::max(
          named.baseline,
          Ratio(totals[i].network_identified, totals[i].network_faults));
      blamed.baseline =
          std::min(blamed.baseline,
                   Ratio(totals[i].others_blamed, totals[i].other_faults));
    }
  }
  results.push_back(named);
  results.push_back(blamed);
  return results;
}

const BenchRegistration kRegistration("diagnosis", RunDiagnosisBench);

}  // namespace
}  // namespace daisyroad
