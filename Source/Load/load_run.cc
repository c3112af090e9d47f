#include "Load/load_run.h"

#include "Core/Transport/event_loop.h"
#include "Load/call_driver.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kCheckPeriod{50};

}  // namespace

LoadRunResult PlayLoad(const CallSettings& settings,
                       const std::vector<PlannedCall>& calls,
                       const EventPlayer::Options& event_options,
                       const std::vector<ScriptedEvent>& events) {
  EventLoop loop;
  CallDriver driver(&loop, settings, calls);
  EventPlayer player(&loop, event_options, events);
  loop.Every(kCheckPeriod, [&]() {
    if (driver.finished() && player.finished()) {
      loop.Stop();
    }
  });
  LoadRunResult result;
  result.started = std::chrono::system_clock::now();
  driver.Start(std::chrono::steady_clock::now());
  player.Start();
  loop.Run();
  result.ended = std::chrono::system_clock::now();
  result.calls = driver.records();
  result.events = player.events();
  return result;
}

}  // namespace daisyroad
