#include "Core/Site/worker_directory.h"

#include <catch2/catch.hpp>
#include <string>

#include "Core/Site/site_codec.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Site/fake_revision_store.h"

namespace daisyroad {
namespace {

// Decodes a value as the pool of a worker. An empty value is not a worker.
class FakeCodec : public SiteCodec {
 public:
  std::string OperatorPrefix() const override { return "op/"; }
  std::string ConfigKey() const override { return "op/config"; }
  void DecodeOperator(const std::vector<StoreItem>&, OperatorState*) override {}
  std::string WorkerPrefix() const override { return "worker/"; }
  Result<WorkerListing> DecodeWorker(const std::string& key,
                                     const std::string& value) override {
    ++this->decoded;
    if (value.empty()) {
      return Error{Errc::kProtocol, "worker.parse", key, "no worker"};
    }
    WorkerListing worker;
    worker.name = WorkerName(key);
    worker.pool = PoolName(value);
    return worker;
  }
  StoreWrite EncodeWaveStatus(std::int64_t, bool) override { return {}; }

  int decoded = 0;
};

struct Fixture {
  Fixture()
      : store(&loop),
        directory(
            &store,
            &loop,
            &codec,
            WorkerDirectory::Listener{[this]() { return this->is_needed; },
                                      [this]() { ++this->changes; }}) {}

  bool is_needed = true;
  int changes = 0;
  EventLoop loop;
  FakeRevisionStore store;
  FakeCodec codec;
  WorkerDirectory directory;
};

// Guards against missing workers, and against reads that use up the CPU time of
// a scheduler. At izarra-pendulo-grown they used a quarter of it.
TEST_CASE("Entries of workers are decoded again only when they change") {
  Fixture fixture;
  fixture.store.Put("worker/1", "north");
  fixture.store.Put("worker/2", "");
  fixture.directory.Start();
  fixture.loop.RunFor(Milliseconds(900));
  CHECK(fixture.directory.workers().size() == 1);
  CHECK(fixture.codec.decoded == 2);
  CHECK(fixture.changes == 1);
  fixture.store.Put("worker/1", "south");
  fixture.loop.RunFor(Milliseconds(400));
  CHECK(fixture.codec.decoded == 3);
  CHECK(fixture.directory.workers().at(WorkerName("worker/1")).pool ==
        PoolName("south"));
  CHECK(fixture.changes == 2);
}

// Guards against losing all workers during a store outage, and against reading
// the store while the workers are not needed.
TEST_CASE("Workers stay known while the store is silent") {
  Fixture fixture;
  fixture.store.Put("worker/1", "north");
  fixture.directory.Start();
  fixture.loop.RunFor(Milliseconds(100));
  fixture.store.is_silent = true;
  fixture.loop.RunFor(Milliseconds(600));
  CHECK(fixture.directory.workers().size() == 1);
  Fixture idle;
  idle.is_needed = false;
  idle.store.Put("worker/1", "north");
  idle.directory.Start();
  idle.loop.RunFor(Milliseconds(400));
  CHECK(idle.directory.workers().empty());
}

// Guards against a new scheduler that takes the workers of its last term for
// present ones, which it would ask and store.
TEST_CASE("Workers are forgotten while they are not needed") {
  Fixture fixture;
  fixture.store.Put("worker/1", "north");
  fixture.directory.Start();
  fixture.loop.RunFor(Milliseconds(100));
  REQUIRE(fixture.directory.workers().size() == 1);
  fixture.is_needed = false;
  fixture.loop.RunFor(Milliseconds(600));
  CHECK(fixture.directory.workers().empty());
  fixture.is_needed = true;
  fixture.directory.Refresh();
  fixture.loop.RunFor(Milliseconds(100));
  CHECK(fixture.directory.workers().size() == 1);
  CHECK(fixture.changes == 2);
}

}  // namespace
}  // namespace daisyroad
