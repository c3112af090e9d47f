#include "UnitTests/Load/run_checks.h"

#include <algorithm>
#include <sstream>

namespace daisyroad {
namespace {

constexpr std::size_t kMaxLines = 8;

bool IsUndone(const CallRecord& call) {
  return call.state != CallState::kDone;
}

std::string DescribeCall(const CallRecord& call) {
  std::ostringstream text;
  text << call.plan.echo << " " << call.plan.queue.str() << " at "
       << call.plan.at.count() << " ms, state " << static_cast<int>(call.state)
       << " after "
       << std::chrono::duration_cast<Milliseconds>(call.ended - call.sent)
              .count()
       << " ms, attempts " << call.attempts << ", accepted "
       << call.was_accepted << ", status " << call.status << ", task "
       << call.task << ", " << call.detail << "\n";
  return text.str();
}

}  // namespace

std::size_t CountUndone(const LoadRunResult& run) {
  return static_cast<std::size_t>(
      std::count_if(run.calls.begin(), run.calls.end(), IsUndone));
}

std::string DescribeRun(const LoadRunResult& run) {
  std::vector<CallRecord> calls = run.calls;
  // Unknown outcomes first, then by duration, longest first.
  std::sort(
      calls.begin(), calls.end(), [](const CallRecord& a, const CallRecord& b) {
        const bool a_unknown = a.state == CallState::kUnknown;
        const bool b_unknown = b.state == CallState::kUnknown;
        return a_unknown != b_unknown ? a_unknown
                                      : a.ended - a.sent > b.ended - b.sent;
      });
  std::ostringstream text;
  for (std::size_t i = 0; i < calls.size() && i < kMaxLines; ++i) {
    text << DescribeCall(calls[i]);
  }
  return text.str();
}

std::string DescribeCalls(const LoadRunResult& run, const Echoes& echoes) {
  std::string text;
  for (const CallRecord& call : run.calls) {
    if (std::find(echoes.begin(), echoes.end(), call.plan.echo) !=
        echoes.end()) {
      text += DescribeCall(call);
    }
  }
  return text;
}

bool AllEventsSucceeded(const LoadRunResult& run) {
  return std::all_of(run.events.begin(), run.events.end(),
                     [](const PlayedEvent& event) { return event.ok; });
}

}  // namespace daisyroad
