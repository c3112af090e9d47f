#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "Core/Common/metrics_registry.h"
#include "Core/Site/site_codec.h"
#include "Core/Site/site_instance.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "UnitTests/Site/fake_revision_store.h"
#include "UnitTests/Site/no_machines.h"

namespace daisyroad {
namespace {

constexpr char kConfigKey[] = "op/config";

// Reads any declaration as one with a queue for one of three pools.
class FakeCodec : public SiteCodec {
 public:
  std::string OperatorPrefix() const override { return "op/"; }
  std::string ConfigKey() const override { return kConfigKey; }
  void DecodeOperator(const std::vector<StoreItem>&,
                      OperatorState* state) override {
    SiteConfig config;
    config.version = 1;
    config.queues[QueueName("queue")].pool = PoolName("used");
    config.pools[PoolName("used")] = PoolConfig{};
    config.pools[PoolName("left")] = PoolConfig{};
    config.pools[PoolName("spare")] = PoolConfig{true};
    state->config = std::make_shared<const SiteConfig>(config);
  }
  std::string WorkerPrefix() const override { return "worker/"; }
  Result<WorkerListing> DecodeWorker(const std::string& key,
                                     const std::string&) override {
    return Error{Errc::kProtocol, "worker.parse", key, "no worker"};
  }
  StoreWrite EncodeWaveStatus(std::int64_t, bool) override { return {}; }
};

// Guards against jobs that never end because no queue uses their pool any more
// and the duty of scheduling it stays vacant.
TEST_CASE("Each pool that is not spare has a scheduler") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  MetricsRegistry metrics;
  HttpClient http([&loop](std::function<void()> function) {
    loop.Post(std::move(function));
  });
  FakeCodec codec;
  NoMachines machines;
  SiteSettings settings;
  settings.node = "one";
  settings.callers_address = "127.0.0.1:0";
  settings.readiness_address = "127.0.0.1:0";
  settings.peers_address = "127.0.0.1:0";
  SiteInstance instance(SitePlatform{&loop, &http, &store, nullptr, &machines,
                                     nullptr, &codec, &metrics},
                        settings);
  instance.OnConfig([](const SiteConfig&) {});
  store.Put(kConfigKey, "any");
  loop.After(Milliseconds(3000), [&loop, &store]() {
    CHECK(store.items.contains(kLeaderPrefix + "pool/used"));
    CHECK(store.items.contains(kLeaderPrefix + "pool/left"));
    CHECK_FALSE(store.items.contains(kLeaderPrefix + "pool/spare"));
    loop.Stop();
  });
  REQUIRE(instance.Run([](const HttpRequest&, const HttpResponder&) {}).ok());
}

}  // namespace
}  // namespace daisyroad
