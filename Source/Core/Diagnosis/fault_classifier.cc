#include "Core/Diagnosis/fault_classifier.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/diagnosis_scope.h"
#include "Core/Diagnosis/observation_filter.h"
#include "Core/Diagnosis/observation_text.h"
#include "Core/Diagnosis/verdict_evidence.h"

namespace daisyroad {
namespace {

constexpr std::size_t kMaxRows = 100;
// Faults whose onsets differ by no more than this are ordered by the values of
// Verdict, which list causes before symptoms: a lost path or worker also fills
// the queues.
constexpr std::chrono::seconds kOnsetTolerance{5};

constexpr std::array<DiagnosisRule, 12> kRules = {
    FindPathCut,           FindIsolatedZone,
    FindSilentConnections, FindWorkerPathCut,
    FindStorePathCut,      FindStoreFault,
    FindFailingWorker,     FindRestartedWorker,
    FindDeadWorker,        FindConfigurationFault,
    FindOverload,          FindShortDeadlines};

std::string JoinVerdictNames(const std::vector<Verdict>& verdicts) {
  std::string text;
  for (const Verdict verdict : verdicts) {
    text += (text.empty() ? "" : ", ") + std::string(VerdictName(verdict));
  }
  return text;
}

std::vector<ExplanationRow> BuildRows(
    const std::vector<Observation>& selected) {
  std::vector<ExplanationRow> rows;
  std::vector<ExplanationRow> other_rows;
  for (const Observation& observation : selected) {
    const VerdictEvidence evidence = VerdictEvidenceOf(observation.detail);
    std::vector<ExplanationRow>& list =
        evidence.supports.empty() ? other_rows : rows;
    list.push_back({observation.at, ObservationText(observation.detail),
                    JoinVerdictNames(evidence.supports),
                    JoinVerdictNames(evidence.contradicts)});
  }
  // Reserves up to half of the rows for observations that support no verdict.
  const std::size_t row_count = std::min(
      rows.size(), kMaxRows - std::min(other_rows.size(), kMaxRows / 2));
  rows.erase(rows.begin(), rows.end() - static_cast<std::ptrdiff_t>(row_count));
  const std::size_t other_count =
      std::min(other_rows.size(), kMaxRows - row_count);
  rows.insert(rows.end(),
              other_rows.end() - static_cast<std::ptrdiff_t>(other_count),
              other_rows.end());
  std::stable_sort(rows.begin(), rows.end(),
                   [](const ExplanationRow& left, const ExplanationRow& right) {
                     return std::tie(left.at, left.observation) <
                            std::tie(right.at, right.observation);
                   });
  return rows;
}

std::string FormatMilliseconds(Duration time) {
  return std::to_string(
             std::chrono::duration_cast<Milliseconds>(time).count()) +
         " ms";
}

std::string DescribeTask(const std::optional<TaskTimeline>& timeline) {
  if (!timeline) {
    return "";
  }
  std::string text = "Task " + timeline->task.str();
  if (timeline->worker.empty()) {
    text += " never started";
  } else if (timeline->started) {
    text +=
        " waited " + FormatMilliseconds(*timeline->started - timeline->queued);
    if (timeline->ended) {
      text +=
          ", ran " + FormatMilliseconds(*timeline->ended - *timeline->started);
    }
  } else {
    text += " was sent to worker " + timeline->worker.str();
  }
  return text + " and is " + timeline->outcome + "; its deadline was " +
         FormatMilliseconds(timeline->deadline) + ". ";
}

std::string BuildParagraph(const std::vector<Finding>& findings,
                           std::size_t observations) {
  if (findings.empty()) {
    return "None of the " + std::to_string(observations) +
           " observations of this span is sufficient to name a cause. "
           "Verdict: not_known.";
  }
  const Finding& main = findings.front();
  std::string text =
      main.summary + " Slow or lost: " + main.affected_part + ". ";
  if (findings.size() > 1) {
    text += "In addition (" + std::string(VerdictName(findings[1].verdict)) +
            "): " + findings[1].summary + " ";
  }
  return text + "Verdict: " + VerdictName(main.verdict) + ".";
}

std::optional<Finding> FindShortTaskDeadline(
    const TaskTimeline& timeline,
    const std::vector<Observation>& observations) {
  std::optional<Finding> found;
  ForEach<ShortDeadline>(
      observations, [&](MonotonicTime at, const ShortDeadline& item) {
        if (item.task == timeline.task) {
          found = Finding{Verdict::kCallerDeadline, at, "the caller's deadline",
                          "The caller's deadline of " +
                              FormatMilliseconds(item.deadline) +
                              " is shorter than the usual run time of " +
                              FormatMilliseconds(item.usual_run) + "."};
        }
      });
  return found;
}

// Runs all rules and returns the earliest finding of each verdict.
std::vector<Finding> EarliestFindings(
    const std::vector<Observation>& observations) {
  std::map<Verdict, Finding> earliest;
  for (const DiagnosisRule rule : kRules) {
    const std::optional<Finding> finding = rule(observations);
    if (!finding) {
      continue;
    }
    const auto [position, is_new] =
        earliest.try_emplace(finding->verdict, *finding);
    if (!is_new && finding->onset < position->second.onset) {
      position->second = *finding;
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

std::vector<Finding> FaultClassifier::FindFaults(
    const std::vector<Observation>& observations) {
  std::vector<Finding> findings = EarliestFindings(observations);
  std::vector<Finding> ordered;
  while (!findings.empty()) {
    const MonotonicTime first =
        std::min_element(findings.begin(), findings.end(),
                         [](const Finding& left, const Finding& right) {
                           return left.onset < right.onset;
                         })
            ->onset;
    const auto next = std::find_if(
        findings.begin(), findings.end(), [first](const Finding& finding) {
          return finding.onset <= first + kOnsetTolerance;
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
  std::vector<Finding> findings = FindFaults(selected);
  if (findings.empty() && scope.timeline()) {
    const std::optional<Finding> deadline =
        FindShortTaskDeadline(*scope.timeline(), selected);
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
  explanation.paragraph = DescribeTask(scope.timeline()) +
                          BuildParagraph(findings, selected.size());
  explanation.rows = BuildRows(selected);
  return explanation;
}

}  // namespace daisyroad
