#include "Ctl/lost_answer.h"

#include <chrono>
#include <optional>
#include <thread>

#include "Ctl/response_text.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kPollInterval{200};

// Calls `attempt` until it returns an outcome or the time limit has passed;
// then returns `unknown_outcome`.
CallOutcome PollUntilTimeout(
    const CommandContext& context,
    const CallOutcome& unknown_outcome,
    const std::function<std::optional<CallOutcome>()>& attempt) {
  const MonotonicTime deadline =
      std::chrono::steady_clock::now() + context.invocation.options.timeout;
  while (true) {
    const std::optional<CallOutcome> outcome = attempt();
    if (outcome) {
      return *outcome;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return unknown_outcome;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::string DeclarationPath(std::uint64_t version) {
  return "/v1/ops/declaration?version=" + std::to_string(version);
}

CallOutcome MakeAcceptedOutcome(const Json::Value& version) {
  CallOutcome outcome;
  outcome.body["version"] = version;
  outcome.body["accepted"] = true;
  outcome.body["read_back"] = true;
  return outcome;
}

}  // namespace

CallOutcome ReadBackDeclaration(const CommandContext& context,
                                std::uint64_t base_version,
                                const std::string& text,
                                const CallOutcome& unknown_outcome) {
  return PollUntilTimeout(
      context, unknown_outcome, [&]() -> std::optional<CallOutcome> {
        const CallOutcome found =
            Read(context, DeclarationPath(base_version + 1));
        if (!found.ok()) {
          return std::nullopt;
        }
        if (ValueText(Member(found.body, "text")) == text) {
          return MakeAcceptedOutcome(Member(found.body, "version"));
        }
        CallOutcome conflict;
        conflict.code = ExitCode::kConflict;
        conflict.body["version"] = Member(found.body, "version");
        conflict.message = "another change won: version " +
                           ValueText(Member(found.body, "version"));
        return conflict;
      });
}

CallOutcome ReadBackEffect(
    const CommandContext& context,
    const std::string& path,
    const std::function<bool(const Json::Value&)>& shows_effect,
    const CallOutcome& unknown_outcome) {
  return PollUntilTimeout(
      context, unknown_outcome, [&]() -> std::optional<CallOutcome> {
        const CallOutcome found = Read(context, path);
        if (!found.ok() || !shows_effect(found.body)) {
          return std::nullopt;
        }
        CallOutcome outcome;
        outcome.body["read_back"] = true;
        outcome.body["accepted"] = true;
        if (!Member(found.body, "version").isNull()) {
          outcome.body["version"] = Member(found.body, "version");
        }
        return outcome;
      });
}

}  // namespace daisyroad
