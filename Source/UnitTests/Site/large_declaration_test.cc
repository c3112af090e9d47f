#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Core/Common/metrics_registry.h"
#include "Core/Site/job_service.h"
#include "Core/Site/site_codec.h"
#include "Core/Site/site_instance.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "UnitTests/Site/fake_revision_store.h"
#include "UnitTests/Site/no_machines.h"

namespace daisyroad {
namespace {

// The link of the smallest instances, 10 Mbit/s.
constexpr std::int64_t kLinkBytesPerSecond = 1'250'000;
// The largest value that the platform's store takes.
constexpr std::size_t kLargestValueBytes = 1 << 20;
// Time until a declaration is in force.
constexpr Milliseconds kInForceLimit{3000};
constexpr Milliseconds kSiteInForceLimit{2000};  // the same at small sites
constexpr char kConfigKey[] = "op/config";

std::string Declaration(std::int64_t version, std::size_t bytes) {
  std::string text = std::to_string(version) + " ";
  text.resize(bytes, '.');
  return text;
}

// Reads declarations that consist of their version and padding.
class FakeCodec : public SiteCodec {
 public:
  std::string OperatorPrefix() const override { return "op/"; }
  std::string ConfigKey() const override { return kConfigKey; }
  void DecodeOperator(const std::vector<StoreItem>& items,
                      OperatorState* state) override {
    for (const StoreItem& item : items) {
      if (item.key == kConfigKey && item.revision > this->revision) {
        SiteConfig config;
        config.version = std::stoll(item.value);
        state->config = std::make_shared<const SiteConfig>(config);
        this->revision = item.revision;
      }
    }
  }
  std::string WorkerPrefix() const override { return "worker/"; }
  Result<WorkerListing> DecodeWorker(const std::string& key,
                                     const std::string&) override {
    return Error{Errc::kProtocol, "worker.parse", key, "no worker"};
  }
  StoreWrite EncodeWaveStatus(std::int64_t, bool) override { return {}; }

 private:
  std::int64_t revision = 0;
};

SiteSettings LoopbackSettings() {
  SiteSettings settings;
  settings.node = "one";
  settings.callers_address = "127.0.0.1:0";
  settings.readiness_address = "127.0.0.1:0";
  settings.peers_address = "127.0.0.1:0";
  return settings;
}

// An entry instance that reaches the store over a slow link.
class SlowLinkInstance {
 public:
  SlowLinkInstance()
      : store(&loop),
        http([this](std::function<void()> function) {
          this->loop.Post(std::move(function));
        }),
        instance(SitePlatform{&loop, &http, &store, nullptr, &machines, nullptr,
                              &codec, &metrics},
                 LoopbackSettings()) {
    this->store.link_bytes_per_second = kLinkBytesPerSecond;
    this->instance.OnConfig([this](const SiteConfig& config) {
      this->in_force[config.version] = std::chrono::steady_clock::now();
    });
  }

  void At(Milliseconds time, std::function<void()> function) {
    this->loop.After(time, std::move(function));
  }
  // Counts the checks, one in 50 ms from `begin` on, that find the keys too
  // old to serve callers.
  void WatchKeysFrom(Milliseconds begin) {
    this->At(begin, [this]() {
      this->loop.Every(Milliseconds(50), [this]() {
        this->stale_checks += !this->instance.jobs()->AreKeysFresh();
      });
    });
  }
  void SilenceStore(Milliseconds begin, Milliseconds duration) {
    this->At(begin, [this]() { this->store.is_silent = true; });
    this->At(begin + duration, [this]() { this->store.is_silent = false; });
  }
  void RunFor(Milliseconds duration) {
    this->At(duration, [this]() { this->loop.Stop(); });
    const Status status =
        this->instance.Run([](const HttpRequest&, const HttpResponder&) {});
    REQUIRE(status.ok());
  }

  EventLoop loop;
  FakeRevisionStore store;
  MetricsRegistry metrics;
  HttpClient http;
  FakeCodec codec;
  NoMachines machines;
  SiteInstance instance;
  std::map<std::int64_t, MonotonicTime> in_force;
  int stale_checks = 0;
};

// Guards against instances that refuse all callers for good after the
// declaration has grown beyond what their link carries in one timeout.
TEST_CASE("A declaration that takes long to read is put in force") {
  SlowLinkInstance slow;
  slow.store.Put(kConfigKey, Declaration(1, 50'000));
  MonotonicTime written_at;
  slow.At(Milliseconds(2000), [&slow, &written_at]() {
    slow.store.Put(kConfigKey, Declaration(2, kLargestValueBytes));
    written_at = std::chrono::steady_clock::now();
  });
  slow.WatchKeysFrom(Milliseconds(1000));
  slow.RunFor(Milliseconds(10000));
  CHECK(slow.stale_checks == 0);
  REQUIRE(slow.in_force.contains(2));
  CHECK(slow.in_force.at(2) - written_at <= kInForceLimit);
}

// Guards against a link that is full of copies of the same declaration.
TEST_CASE("A declaration is read once as long as it does not change") {
  SlowLinkInstance slow;
  slow.store.Put(kConfigKey, Declaration(1, 50'000));
  slow.RunFor(Milliseconds(4000));
  CHECK(slow.in_force.contains(1));
  CHECK(slow.store.sent_bytes < 2 * 50'000 * 4 / 3);
}

// Guards against reads whose timeout, made longer for large declarations,
// outlasts the silence of a store.
TEST_CASE("A silent store delays keys and declaration only while it lasts") {
  constexpr Milliseconds kShortSilence{2600};
  constexpr Milliseconds kLongSilence{9000};
  SlowLinkInstance brief;
  brief.store.Put(kConfigKey, Declaration(1, 50'000));
  brief.WatchKeysFrom(Milliseconds(1000));
  brief.SilenceStore(Milliseconds(2000), kShortSilence);
  brief.RunFor(Milliseconds(7000));
  CHECK(brief.stale_checks == 0);

  SlowLinkInstance lasting;
  lasting.store.Put(kConfigKey, Declaration(1, 50'000));
  lasting.SilenceStore(Milliseconds(1000), kLongSilence);
  lasting.At(Milliseconds(1000) + kLongSilence, [&lasting]() {
    lasting.store.Put(kConfigKey, Declaration(2, 50'000));
  });
  lasting.RunFor(Milliseconds(1000) + kLongSilence + kSiteInForceLimit);
  CHECK(lasting.in_force.contains(2));
}

// Guards against a declaration that is read whole again and again because the
// store takes longer than usual to answer.
TEST_CASE("An unchanged declaration is not read from a slow store") {
  SlowLinkInstance slow;
  slow.store.Put(kConfigKey, Declaration(1, 50'000));
  slow.At(Milliseconds(1000),
          [&slow]() { slow.store.response_delay = Milliseconds(450); });
  slow.WatchKeysFrom(Milliseconds(1000));
  slow.RunFor(Milliseconds(7000));
  CHECK(slow.stale_checks == 0);
  CHECK(slow.store.sent_bytes < 2 * 50'000 * 4 / 3);
}

// Guards against callers who are served by an instance that does not hear of
// zones taken out.
TEST_CASE("Keys count as stale if the other entries cannot be listed") {
  SlowLinkInstance slow;
  slow.store.Put(kConfigKey, Declaration(1, 50'000));
  slow.At(Milliseconds(1000), [&slow]() { slow.store.lost_page_interval = 1; });
  slow.At(Milliseconds(7000), [&slow]() { slow.store.lost_page_interval = 0; });
  slow.WatchKeysFrom(Milliseconds(6500));
  slow.RunFor(Milliseconds(9500));
  CHECK(slow.stale_checks > 0);
  CHECK(slow.instance.jobs()->AreKeysFresh());
}

// Guards against instances that refuse all callers while the store loses the
// answers of transactions.
TEST_CASE("Keys stay fresh while the answers of transactions are lost") {
  SlowLinkInstance slow;
  slow.store.Put(kConfigKey, Declaration(1, 50'000));
  slow.At(Milliseconds(2000), [&slow]() { slow.store.loses_answers = true; });
  slow.WatchKeysFrom(Milliseconds(1000));
  slow.RunFor(Milliseconds(9000));
  CHECK(slow.stale_checks == 0);
}

}  // namespace
}  // namespace daisyroad
