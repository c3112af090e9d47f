#include "Core/Diagnosis/fault_classifier.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/diagnosis_scope.h"
#include "Core/Diagnosis/observation_filter.h"
#include "Core/Diagnosis/observation_text.h"
#include "Core/Diagnosis/observation_weight.h"

namespace daisyroad {
namespace {

constexpr std::size_t kMaxRows = 100;
// Faults that begin together are ordered by Verdict, causes before symptoms:
// a lost path or worker also fills the queues.
constexpr std::chrono::seconds kSameOnset{5};

constexpr std::array<DiagnosisRule, 12> kRules = {
    FindPathCut,           FindIsolatedZone,
    FindSilentConnections, FindWorkerPathCut,
    FindStorePathCut,      FindStoreFault,
    FindFailingWorker,     FindRestartedWorker,
    FindDeadWorker,        FindConfigurationFault,
    FindOverload,          FindShortDeadlines};

std::string VerdictList(const std::vector<Verdict>& verdicts) {
  std::string text;
  for (const Verdict verdict : verdicts) {
    text += (text.empty() ? "" : ", ") + std::string(VerdictName(verdict));
  }
  return text;
}

std::vector<ExplanationRow> Rows(const std::vector<Observation>& selected) {
  std::vector<ExplanationRow> rows;
  std::vector<ExplanationRow> background;
  for (const Observation& observation : selected) {
    const ObservationWeight weight = WeighObservation(observation.detail);
    std::vector<ExplanationRow>& list =
        weight.speaks_for.empty() ? background : rows;
    list.push_back({observation.at, ObservationText(observation.detail),
                    VerdictList(weight.speaks_for),
                    VerdictList(weight.speaks_against)});
  }
  // Half of the room is kept for what speaks against.
  const std::size_t kept = std::min(
      rows.size(), kMaxRows - std::min(background.size(), kMaxRows / 2));
  rows.erase(rows.begin(), rows.end() - static_cast<std::ptrdiff_t>(kept));
  const std::size_t room = std::min(background.size(), kMaxRows - kept);
  rows.insert(rows.end(), background.end() - static_cast<std::ptrdiff_t>(room),
              background.end());
  std::stable_sort(rows.begin(), rows.end(),
                   [](const ExplanationRow& left, const ExplanationRow& right) {
                     return std::tie(left.at, left.observation) <
                            std::tie(right.at, right.observation);
                   });
  return rows;
}

std::string MillisecondsText(Duration time) {
  return std::to_string(
             std::chrono::duration_cast<Milliseconds>(time).count()) +
         " ms";
}

std::string TaskText(const std::optional<TaskTimeline>& line) {
  if (!line) {
    return "";
  }
  std::string text = "Task " + line->task.str();
  if (line->worker.empty()) {
    text += " never started";
  } else if (line->started) {
    text += " waited " + MillisecondsText(*line->started - line->queued);
    if (line->ended) {
      text += ", ran " + MillisecondsText(*line->ended - *line->started);
    }
  } else {
    text += " was sent to worker " + line->worker.str();
  }
  return text + " and is " + line->outcome + "; its deadline was " +
         MillisecondsText(line->deadline) + ". ";
}

std::string Paragraph(const std::vector<Finding>& findings,
                      std::size_t observations) {
  if (findings.empty()) {
    return "None of the " + std::to_string(observations) +
           " observations of this span is sufficient to name a cause. "
           "Verdict: not_known.";
  }
  const Finding& main = findings.front();
  std::string text = main.summary + " Slow or lost: " + main.part + ". ";
  if (findings.size() > 1) {
    text += "In addition (" + std::string(VerdictName(findings[1].verdict)) +
            "): " + findings[1].summary + " ";
  }
  return text + "Verdict: " + VerdictName(main.verdict) + ".";
}

std::optional<Finding> TaskDeadlineFinding(
    const TaskTimeline& line,
    const std::vector<Observation>& observations) {
  std::optional<Finding> found;
  ForEach<ShortDeadline>(
      observations, [&](MonotonicTime at, const ShortDeadline& item) {
        if (item.task == line.task) {
          found = Finding{Verdict::kCallerDeadline, at, "the caller's deadline",
                          "The caller's deadline of " +
                              MillisecondsText(item.deadline) +
                              " is shorter than the usual run time of " +
                              MillisecondsText(item.usual_run) + "."};
        }
      });
  return found;
}

// The earliest finding of each verdict.
std::vector<Finding> Earliest(const std::vector<Observation>& observations) {
  std::map<Verdict, Finding> earliest;
  for (const DiagnosisRule rule : kRules) {
    const std::optional<Finding> finding = rule(observations);
    if (!finding) {
      continue;
    }
    const auto [place, added] =
        earliest.try_emplace(finding->verdict, *finding);
    if (!added && finding->onset < place->second.onset) {
      place->second = *finding;
    }
  }
  std::vector<Finding> findings;
  findings.reserve(earliest.size());
  for (const auto& [verdict, finding] : earliest) {
    findings.push_back(finding);
  }
  return findings;
}

}  // namespace

std::vector<Finding> FaultClassifier::Judge(
    const std::vector<Observation>& observations) {
  std::vector<Finding> findings = Earliest(observations);
  std::vector<Finding> ordered;
  while (!findings.empty()) {
    const MonotonicTime first =
        std::min_element(findings.begin(), findings.end(),
                         [](const Finding& left, const Finding& right) {
                           return left.onset < right.onset;
                         })
            ->onset;
    const auto next = std::find_if(findings.begin(), findings.end(),
                                   [first](const Finding& finding) {
                                     return finding.onset <= first + kSameOnset;
                                   });
    ordered.push_back(*next);
    findings.erase(next);
  }
  return ordered;
}

Explanation FaultClassifier::Explain(
    const Question& question,
    const Declaration& declaration,
    const std::vector<Observation>& observations) {
  const DiagnosisScope scope(question, declaration, observations);
  const std::vector<Observation> selected = scope.Select(observations);
  std::vector<Finding> findings = Judge(selected);
  if (findings.empty() && scope.timeline()) {
    const std::optional<Finding> deadline =
        TaskDeadlineFinding(*scope.timeline(), selected);
    if (deadline) {
      findings.push_back(*deadline);
    }
  }
  Explanation explanation;
  if (!findings.empty()) {
    explanation.verdict = findings.front().verdict;
  }
  if (findings.size() > 1) {
    explanation.other = findings[1].verdict;
  }
  explanation.paragraph =
      TaskText(scope.timeline()) + Paragraph(findings, selected.size());
  explanation.rows = Rows(selected);
  return explanation;
}

}  // namespace daisyroad
