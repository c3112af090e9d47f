#include "Core/Site/prefix_mirror.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Core/Transport/event_loop.h"
#include "UnitTests/Site/fake_revision_store.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kWatchWait{2000};

// Guards against missing keys and against keys that remain after deletion.
TEST_CASE("A mirror follows the changes of its prefix") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  store.Put("a/1", "one");
  int calls = 0;
  PrefixMirror mirror(&store, &loop, "a/", kWatchWait,
                      [&calls](const std::vector<StoreChange>&) { ++calls; });
  mirror.Start();
  loop.RunFor(Milliseconds(20));
  REQUIRE(mirror.is_loaded());
  CHECK(mirror.items().at("a/1").value == "one");
  store.Put("a/2", "two");
  store.Put("b/1", "other");
  loop.RunFor(Milliseconds(20));
  CHECK(mirror.items().size() == 2);
  StoreTransaction transaction;
  transaction.deletions.push_back("a/1");
  store.Commit(transaction, Milliseconds(10),
               [](const Result<TransactionResult>&) {});
  loop.RunFor(Milliseconds(20));
  CHECK(mirror.items().size() == 1);
  CHECK(calls >= 2);
}

// Guards against missing jobs that were accepted while watches delivered
// nothing and the store dropped its history (MIXED at vpl-ajot, scale-1 seed
// 969397599011).
TEST_CASE("A mirror lists its prefix again when a watch is closed") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  PrefixMirror mirror(&store, &loop, "a/", kWatchWait,
                      [](const std::vector<StoreChange>&) {});
  mirror.Start();
  loop.RunFor(Milliseconds(20));
  store.are_watches_suspended = true;
  store.Put("a/1", "one");
  loop.RunFor(Milliseconds(20));
  CHECK(mirror.items().empty());
  store.DropHistory();
  store.are_watches_suspended = false;
  loop.RunFor(Milliseconds(400));
  CHECK(mirror.items().size() == 1);
}

// Guards against starting a cancelled job (UNASKED at izarra-pendulo-grown,
// fresh-cf3c). The job was cancelled while a new scheduler listed thousands of
// jobs, after the page with the cancellations had been read, and was started
// before the watch delivered the cancellation.
TEST_CASE("A listing of several pages is complete when it is published") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  store.page_size = 1;
  for (int i = 10; i < 30; ++i) {
    store.Put("a/" + std::to_string(i), "listed");
  }
  std::vector<std::size_t> sizes;
  PrefixMirror mirror(&store, &loop, "a/", kWatchWait,
                      [&sizes, &mirror](const std::vector<StoreChange>&) {
                        sizes.push_back(mirror.items().size());
                      });
  mirror.Start();
  loop.RunFor(Milliseconds(8));
  REQUIRE(sizes.empty());
  store.Put("a/0", "late");
  loop.RunFor(Milliseconds(400));
  REQUIRE_FALSE(sizes.empty());
  CHECK(sizes.front() == 21);
}

}  // namespace
}  // namespace daisyroad
