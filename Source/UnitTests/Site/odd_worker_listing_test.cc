// The list of workers while one of its entries is odd.

#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

#include "Core/Site/site_codec.h"
#include "Core/Site/worker_directory.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Site/captured_log.h"
#include "UnitTests/Site/fake_revision_store.h"

namespace daisyroad {
namespace {

// Long enough for one read of the list after a change.
constexpr Milliseconds kReadTime{400};
constexpr char kUnreadable[] = "unreadable";
constexpr char kThrowing[] = "throwing";

// Decodes a value as the pool of a worker.
class OddCodec : public SiteCodec {
 public:
  std::string OperatorPrefix() const override { return "op/"; }
  std::string ConfigKey() const override { return "op/config"; }
  void DecodeOperator(const std::vector<StoreItem>&, OperatorState*) override {}
  std::string WorkerPrefix() const override { return "worker/"; }
  Result<WorkerListing> DecodeWorker(const std::string& key,
                                     const std::string& value) override {
    if (value.starts_with(kThrowing)) {
      throw std::out_of_range("the value is out of range");
    }
    if (value.starts_with(kUnreadable)) {
      return Error{Errc::kProtocol, "worker.parse", key, "no worker"};
    }
    WorkerListing worker;
    worker.name = WorkerName(key);
    worker.pool = PoolName(value);
    return worker;
  }
  StoreWrite EncodeWaveStatus(std::int64_t, bool) override { return {}; }
};

struct Fixture {
  Fixture()
      : store(&loop),
        directory(&store,
                  &loop,
                  &codec,
                  WorkerDirectory::Listener{[]() { return true; }, []() {}}) {}

  void Write(const std::string& key, const std::string& value) {
    this->store.Put(key, value);
    this->loop.RunFor(kReadTime);
  }
  void Remove(const std::string& key) {
    this->store.items.erase(key);
    this->loop.RunFor(kReadTime);
  }
  // The pool of a listed worker; empty if it is not listed.
  std::string PoolOf(const std::string& key) const {
    const WorkerDirectory::Workers& workers = this->directory.workers();
    const WorkerDirectory::Workers::const_iterator found =
        workers.find(WorkerName(key));
    return found == workers.end() ? "" : found->second.pool.str();
  }

  EventLoop loop;
  FakeRevisionStore store;
  OddCodec codec;
  WorkerDirectory directory;
};

void CheckOthersAreFollowed(const std::string& odd) {
  Fixture fixture;
  fixture.store.Put("worker/1", "north");
  fixture.store.Put("worker/2", odd);
  fixture.store.Put("worker/3", "north");
  fixture.directory.Start();
  fixture.loop.RunFor(kReadTime);
  CHECK(fixture.directory.workers().size() == 2);
  // While it is there.
  fixture.Write("worker/3", "south");
  CHECK(fixture.PoolOf("worker/3") == "south");
  fixture.Write("worker/4", "north");
  CHECK(fixture.PoolOf("worker/4") == "north");
  fixture.Remove("worker/1");
  CHECK(fixture.PoolOf("worker/1").empty());
  // When it changes.
  fixture.Write("worker/2", odd + " again");
  fixture.Write("worker/3", "west");
  CHECK(fixture.PoolOf("worker/3") == "west");
  CHECK(fixture.directory.workers().size() == 2);
  // When it goes.
  fixture.Remove("worker/2");
  fixture.Write("worker/3", "east");
  CHECK(fixture.PoolOf("worker/3") == "east");
  // When it takes the place of a worker, and when the worker is back.
  fixture.Write("worker/4", odd);
  CHECK(fixture.PoolOf("worker/4").empty());
  CHECK(fixture.PoolOf("worker/3") == "east");
  fixture.Write("worker/4", "south");
  CHECK(fixture.PoolOf("worker/4") == "south");
}

TEST_CASE("Workers are followed beside an entry that is not readable",
          "[others]") {
  CheckOthersAreFollowed(kUnreadable);
}

TEST_CASE("Workers are followed on later pages than an unreadable entry",
          "[others]") {
  Fixture fixture;
  fixture.store.page_size = 1;
  fixture.store.Put("worker/1", kUnreadable);
  fixture.store.Put("worker/2", "north");
  fixture.store.Put("worker/3", "north");
  fixture.directory.Start();
  fixture.loop.RunFor(kReadTime);
  CHECK(fixture.directory.workers().size() == 2);
  fixture.Write("worker/3", "south");
  CHECK(fixture.PoolOf("worker/3") == "south");
}

TEST_CASE("Workers are followed beside an entry that the codec throws on",
          "[throwing]") {
  CheckOthersAreFollowed(kThrowing);
}

TEST_CASE("An entry that stays unreadable is logged once", "[once]") {
  Fixture fixture;
  const CapturedLog log;
  fixture.directory.Start();
  for (int i = 0; i < 3; ++i) {
    fixture.Write("worker/1", kUnreadable + std::to_string(i));
  }
  CHECK(log.Count("worker_unreadable") == 1);
}

// A key that is remembered after its entry has gone is never forgotten.
TEST_CASE("Keys of unreadable entries that have gone are not kept", "[keys]") {
  Fixture fixture;
  const CapturedLog log;
  fixture.directory.Start();
  fixture.Write("worker/1", kUnreadable);
  fixture.Remove("worker/1");
  fixture.Write("worker/1", kUnreadable);
  CHECK(log.Count("worker_unreadable") == 2);
}

TEST_CASE("The line about an unreadable entry shows no raw bytes of its key",
          "[raw]") {
  Fixture fixture;
  const CapturedLog log;
  fixture.directory.Start();
  fixture.Write("worker/a\nb\x1b[2J", kUnreadable);
  CHECK(log.Count("worker_unreadable") == 1);
  CHECK(log.Count("a\nb") == 0);
  CHECK(log.Count("\x1b") == 0);
}

}  // namespace
}  // namespace daisyroad
