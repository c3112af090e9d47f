#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "Core/Common/metrics_registry.h"
#include "Core/Site/allotment_manager.h"
#include "Core/Site/pool_leader.h"
#include "Core/Site/site_codec.h"
#include "Core/Site/store_keys.h"
#include "Core/Site/worker_directory.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Site/fake_revision_store.h"
#include "UnitTests/Site/no_machines.h"

namespace daisyroad {
namespace {

// Half of the link of the smallest instances, 10 Mbit/s; callers and workers
// use the rest.
constexpr std::int64_t kLinkBytesPerSecond = 625'000;
// The platform's store sends at most this much in a page.
constexpr std::size_t kItemsPerPage = 500;
constexpr std::size_t kItemBytes = 2000;
constexpr Milliseconds kReadLimit{8000};

void FillPage(FakeRevisionStore* store, const std::string& prefix) {
  store->link_bytes_per_second = kLinkBytesPerSecond;
  store->page_size = kItemsPerPage;
  for (std::size_t i = 0; i < kItemsPerPage; ++i) {
    store->Put(prefix + std::to_string(i), std::string(kItemBytes, '.'));
  }
}

// Decodes each value as a worker.
class FakeCodec : public SiteCodec {
 public:
  std::string OperatorPrefix() const override { return "op/"; }
  std::string ConfigKey() const override { return "op/config"; }
  void DecodeOperator(const std::vector<StoreItem>&, OperatorState*) override {}
  std::string WorkerPrefix() const override { return "worker/"; }
  Result<WorkerListing> DecodeWorker(const std::string& key,
                                     const std::string&) override {
    WorkerListing worker;
    worker.name = WorkerName(key);
    return worker;
  }
  StoreWrite EncodeWaveStatus(std::int64_t, bool) override { return {}; }
};

// Guards against a scheduler without workers because each read of their entries
// is given up and begun again, beside others that are still in progress.
TEST_CASE("Entries of workers that take long to read are read in the end") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  FillPage(&store, "worker/");
  FakeCodec codec;
  WorkerDirectory directory(
      &store, &loop, &codec,
      WorkerDirectory::Listener{[]() { return true; }, []() {}});
  directory.Start();
  loop.RunFor(kReadLimit);
  CHECK(directory.workers().size() == kItemsPerPage);
}

// Guards against a pool that has no scheduler for good because the progress of
// its jobs takes longer to read than one timeout.
TEST_CASE("Progress that takes long to read is read in the end") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  const PoolName pool("pool");
  FillPage(&store, ProgressPrefix(pool));
  MetricsRegistry metrics;
  NoMachines machines;
  AllotmentManager allotments(&store);
  PoolLeaderContext context;
  context.store = &store;
  context.machines = &machines;
  context.loop = &loop;
  context.allotments = &allotments;
  context.metrics = &metrics;
  context.may_issue_orders = []() { return true; };
  context.is_lease_valid = []() { return true; };
  PoolLeader leader(context, pool, Term());
  leader.Start();
  loop.RunFor(kReadLimit);
  CHECK(leader.is_ready());
}

}  // namespace
}  // namespace daisyroad
