#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <string>

#include "Core/Common/random.h"
#include "Core/Routing/cell_selector.h"
#include "Core/Routing/retry_budget.h"
#include "Core/Routing/worker_selector.h"

namespace daisyroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
constexpr std::uint64_t kSeed = 7;

// Guards against tasks for workers that are leaving, ejected or full, and
// against decision log lines without all rejected workers.
TEST_CASE("Only eligible workers are chosen and all others are explained") {
  rc::prop("eligible", [](std::uint64_t seed) {
    Random random(seed);
    WorkerSelector selector;
    std::map<WorkerName, WorkerState> states;
    const std::size_t count = 1 + random.Below(6);
    for (std::size_t i = 0; i < count; ++i) {
      const WorkerName name("w" + std::to_string(i));
      states[name] = {4, random.Below(6), random.Chance(0.3),
                      random.Chance(0.3)};
      selector.Update(name, states[name]);
    }
    const WorkerChoice choice = selector.Choose(kStart, random);
    RC_ASSERT(choice.rejected.size() + (choice.worker ? 1 : 0) == count);
    bool has_eligible = false;
    for (const std::pair<const WorkerName, WorkerState>& item : states) {
      const WorkerState& state = item.second;
      const bool is_eligible =
          !state.leaving && !state.ejected && state.running < state.slots;
      has_eligible = has_eligible || is_eligible;
      RC_ASSERT(is_eligible || choice.worker != item.first);
    }
    RC_ASSERT(choice.worker.has_value() ==
              has_eligible);  // nothing was measured
  });
}

// Guards against a worker that fails immediately and therefore looks fast and
// attracts tasks.
TEST_CASE("Fast failures make a worker less likely to be chosen") {
  Random random(kSeed);
  WorkerSelector selector;
  for (const char* name : {"bad", "good"}) {
    selector.Update(WorkerName(name), {8, 0, false, false});
  }
  for (int i = 0; i < 5; ++i) {
    selector.OnEnd(WorkerName("bad"), true, milliseconds(1), kStart);
    selector.OnEnd(WorkerName("good"), false, milliseconds(800), kStart);
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(selector.Choose(kStart, random).worker == WorkerName("good"));
  }
  CHECK(selector.Choose(kStart, random)
            .ToLog(TaskId("t"))
            .line()
            .find("rejected=bad:slower") != std::string::npos);
}

// Guards against a failing worker that gets all tasks while the others are
// full.
TEST_CASE("A task waits for a full worker instead of a failing one") {
  Random random(kSeed);
  WorkerSelector selector;
  selector.Update(WorkerName("bad"), {8, 0, false, false});
  selector.Update(WorkerName("good"), {8, 8, false, false});
  selector.OnEnd(WorkerName("good"), false, milliseconds(800), kStart);
  selector.OnStart(WorkerName("good"));
  CHECK(selector.Choose(kStart, random).worker == WorkerName("bad"));
  selector.OnEnd(WorkerName("bad"), true, milliseconds(1), kStart);
  CHECK_FALSE(selector.Choose(kStart, random).worker.has_value());
  // If all workers fail, waiting has no benefit.
  for (int i = 0; i < 20; ++i) {
    selector.OnEnd(WorkerName("good"), true, milliseconds(800), kStart);
    selector.OnStart(WorkerName("good"));
  }
  CHECK(selector.Choose(kStart, random).worker == WorkerName("bad"));
}

// Guards against a worker that is never selected again after a period of
// failures.
TEST_CASE("A worker with old bad measurements is tried again") {
  Random random(kSeed);
  WorkerSelector selector;
  selector.Update(WorkerName("bad"), {8, 0, false, false});
  selector.Update(WorkerName("good"), {8, 1, false, false});
  selector.OnEnd(WorkerName("bad"), true, milliseconds(1), kStart);
  const MonotonicTime later = kStart + seconds(120);
  selector.Update(WorkerName("good"), {8, 2, false, false});
  selector.OnEnd(WorkerName("good"), false, milliseconds(800), later);
  CHECK(selector.Choose(later, random).worker == WorkerName("bad"));
}

// Guards against retries that multiply the load during an outage.
TEST_CASE("Retries stay within a tenth of the requests") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryRetry(kStart) ? 1 : 0;
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
  Random random(kSeed);
  for (int attempt = -1; attempt < 100; ++attempt) {
    const Duration wait = RetryBudget::Backoff(attempt, random);
    CHECK(wait >= Duration::zero());
    CHECK(wait < seconds(5));
    CHECK((attempt > 1 || wait < milliseconds(50)));
  }
}

// Guards against an accepted task whose retry waits until its deadline because
// no new request refills the budget.
TEST_CASE("An exhausted retry budget allows one retry per second") {
  RetryBudget budget;
  while (budget.TryRetry(kStart)) {
  }
  CHECK_FALSE(budget.TryRetry(kStart + milliseconds(500)));
  CHECK(budget.TryRetry(kStart + seconds(1)));
  CHECK_FALSE(budget.TryRetry(kStart + seconds(1)));
  int retries = 0;
  for (int second = 2; second <= 61; ++second) {
    retries += budget.TryRetry(kStart + seconds(second)) ? 1 : 0;
  }
  CHECK(retries == 60);
}

CellSelector MakeSelectorWithThreeZones() {
  CellSelector selector(ZoneName("a"));
  for (const char* zone : {"a", "b", "c"}) {
    selector.Update(ZoneName(zone), 3, Duration::zero(), kStart);
  }
  return selector;
}

// Guards against transfers between zones without a benefit, and against a zone
// that queues tasks while others are idle.
TEST_CASE("The own zone is used unless another starts noticeably earlier") {
  Random random(kSeed);
  CellSelector selector = MakeSelectorWithThreeZones();
  CHECK(selector.Choose(kStart, random).zone == ZoneName("a"));
  selector.Update(ZoneName("a"), 3, milliseconds(40), kStart);
  CHECK(selector.Choose(kStart, random).zone == ZoneName("a"));
  selector.Update(ZoneName("a"), 3, seconds(1), kStart);
  CHECK(selector.Choose(kStart, random).zone != ZoneName("a"));
}

// Guards against starts in a zone that is out of service, against all instances
// choosing the same other zone, and against all of them returning at once.
TEST_CASE("A zone out of service gets no tasks and ramps up on return") {
  Random random(kSeed);
  CellSelector selector = MakeSelectorWithThreeZones();
  selector.SetOut(ZoneName("a"), true, kStart);
  std::map<ZoneName, int> counts;
  for (int i = 0; i < 1000; ++i) {
    ++counts[*selector.Choose(kStart, random).zone];
  }
  CHECK(counts[ZoneName("a")] == 0);
  CHECK(counts[ZoneName("b")] > 400);
  CHECK(counts[ZoneName("c")] > 400);
  selector.SetOut(ZoneName("a"), false, kStart);
  for (const int second : {0, 5, 10}) {
    const MonotonicTime now = kStart + seconds(second);
    int own_count = 0;
    for (int i = 0; i < 1000; ++i) {
      own_count += selector.Choose(now, random).zone == ZoneName("a") ? 1 : 0;
    }
    CHECK(std::abs(own_count / 1000.0 -
                   selector.RampFraction(ZoneName("a"), now)) < 0.06);
  }
}

// Guards against refused tasks because the only remaining zone is ramping up.
TEST_CASE("A ramping zone gets all tasks if there is no other zone") {
  Random random(kSeed);
  CellSelector selector(ZoneName("b"));
  selector.Update(ZoneName("a"), 3, Duration::zero(), kStart);
  selector.SetOut(ZoneName("a"), true, kStart);
  CHECK_FALSE(selector.Choose(kStart, random).zone.has_value());
  selector.SetOut(ZoneName("a"), false, kStart);
  for (int i = 0; i < 50; ++i) {
    const CellChoice choice = selector.Choose(kStart, random);
    CHECK(choice.zone == ZoneName("a"));
    CHECK(choice.rejected.empty());
  }
}

}  // namespace
}  // namespace daisyroad
