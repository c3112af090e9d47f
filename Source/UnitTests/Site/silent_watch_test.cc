#include <catch2/catch.hpp>
#include <vector>

#include "Core/Site/pool_leader.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Site/fake_revision_store.h"

namespace daisyroad {
namespace {

// How long the watches of a store that drops its history deliver nothing.
constexpr Milliseconds kSilence{1000};
// Urgent work starts within this time of its acceptance.
constexpr Milliseconds kUrgentStartTarget{2700};
// Part of it that a scheduler needs to place and start a task in a burst.
constexpr Milliseconds kPlacementTime{700};

// Guards against jobs that stay unknown to their scheduler while a watch is
// silent, so that they wait and the pool is sized without them (issue 19).
TEST_CASE("A job accepted during a silent watch is known in time to start") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  PrefixMirror mirror(&store, &loop, "a/", PoolLeader::kInboxWatchWait,
                      [](const std::vector<StoreChange>&) {});
  mirror.Start();
  loop.RunFor(Milliseconds(20));
  REQUIRE(mirror.is_loaded());
  store.are_watches_suspended = true;
  store.Put("a/1", "accepted");
  loop.RunFor(kSilence);
  store.DisconnectWatches();
  store.are_watches_suspended = false;
  loop.RunFor(kUrgentStartTarget - kSilence - kPlacementTime);
  CHECK(mirror.items().contains("a/1"));
}

}  // namespace
}  // namespace daisyroad
