#include "Ctl/lost_answer.h"

#include <chrono>
#include <optional>
#include <thread>

#include "Ctl/response_text.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kPeriod{200};

// Calls `attempt` until it returns an outcome or the time limit has passed.
CallOutcome Retry(const CommandContext& context,
                  const CallOutcome& lost,
                  const std::function<std::optional<CallOutcome>()>& attempt) {
  const MonotonicTime deadline =
      std::chrono::steady_clock::now() + context.invocation.options.timeout;
  while (true) {
    const std::optional<CallOutcome> outcome = attempt();
    if (outcome) {
      return *outcome;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return lost;
    }
    std::this_thread::sleep_for(kPeriod);
  }
}

std::string DeclarationPath(std::uint64_t version) {
  return "/v1/ops/declaration?version=" + std::to_string(version);
}

CallOutcome Written(const Json::Value& version) {
  CallOutcome outcome;
  outcome.body["version"] = version;
  outcome.body["accepted"] = true;
  outcome.body["read_back"] = true;
  return outcome;
}

}  // namespace

CallOutcome ReadBackDeclaration(const CommandContext& context,
                                std::uint64_t base,
                                const std::string& text,
                                const CallOutcome& lost) {
  return Retry(context, lost, [&]() -> std::optional<CallOutcome> {
    const CallOutcome found = Read(context, DeclarationPath(base + 1));
    if (!found.ok()) {
      return std::nullopt;
    }
    if (Text(Member(found.body, "text")) == text) {
      return Written(Member(found.body, "version"));
    }
    CallOutcome conflict;
    conflict.code = ExitCode::kConflict;
    conflict.body["version"] = Member(found.body, "version");
    conflict.message =
        "another change won: version " + Text(Member(found.body, "version"));
    return conflict;
  });
}

CallOutcome ReadBackEffect(
    const CommandContext& context,
    const std::string& path,
    const std::function<bool(const Json::Value&)>& shows_effect,
    const CallOutcome& lost) {
  return Retry(context, lost, [&]() -> std::optional<CallOutcome> {
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
