#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Core/Site/pool_leader.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Site/fake_revision_store.h"

namespace daisyroad {
namespace {

constexpr std::size_t kItemsPerPage = 500;
constexpr int kItems = 2400;
// Time limit from the cancellation of a job until none of its tasks is started.
constexpr Milliseconds kCancellationLimit{4000};

void FillStore(FakeRevisionStore* store) {
  store->page_size = kItemsPerPage;
  for (int i = 0; i < kItems; ++i) {
    store->Put("a/" + std::to_string(i), "accepted");
  }
}

// Guards against a scheduler that learns of no job and no cancellation because
// its listing starts over whenever one page is late (issue 19).
TEST_CASE("A listing continues with the page that did not arrive") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  FillStore(&store);
  store.lost_page_interval = 4;
  PrefixMirror mirror(&store, &loop, "a/", PoolLeader::kInboxWatchWait,
                      [](const std::vector<StoreChange>&) {});
  mirror.Start();
  loop.RunFor(kCancellationLimit);
  CHECK(mirror.items().size() == kItems);
}

// Guards against a listing that never ends because each of its pages takes
// longer than the first timeout (issue 19).
TEST_CASE("A page that arrives late is waited for longer") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  store.Put("a/1", "accepted");
  store.page_duration = Milliseconds(1500);
  PrefixMirror mirror(&store, &loop, "a/", PoolLeader::kInboxWatchWait,
                      [](const std::vector<StoreChange>&) {});
  mirror.Start();
  loop.RunFor(kCancellationLimit);
  CHECK(mirror.is_loaded());
}

}  // namespace
}  // namespace daisyroad
