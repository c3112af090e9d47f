#include "Core/Entry/zone_router.h"

#include <catch2/catch.hpp>

#include "Core/Common/random.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/instance_list_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

const PoolName kPool("pool");

class ThreeZoneFixture : private InstanceListClient {
 public:
  ThreeZoneFixture() {
    this->context.zone = ZoneName("own");
    this->context.loop = &this->loop;
    this->context.random = &this->random;
    this->context.instance_list = this;
    this->router.Start();
    this->directory.Start();
  }

  void Report(const std::string& zone, Milliseconds wait) {
    CellLoad load;
    load.pool = kPool;
    load.zone = ZoneName(zone);
    load.urgent_wait = wait;
    this->router.OnSection(ZoneRouter::ToJson({load}));
  }
  std::string Choose(const std::string& refused_by = "") {
    const CellChoice choice =
        this->router.Choose(kPool, true, ZoneName(refused_by));
    return choice.zone ? choice.zone->str() : "none";
  }

  ZoneRouter& zone_router() { return this->router; }

 private:
  void Fetch(Callback callback) override {
    std::vector<ListedInstance> listed;
    for (const char* zone : {"own", "a", "b"}) {
      ListedInstance instance;
      instance.name = WorkerName(std::string("w-") + zone);
      instance.zone = ZoneName(zone);
      instance.initial_pool = kPool;
      listed.push_back(instance);
    }
    callback(listed);
  }

  Random random{1};
  EventLoop loop;
  EntryContext context;
  WorkerDirectory directory{&this->context};
  ZoneRouter router{&this->context, &this->directory};
};

// Guards against needless traffic between zones, and against keeping tasks in
// the own zone that another zone would start much earlier.
TEST_CASE("The own zone is used unless another starts the task earlier") {
  ThreeZoneFixture fixture;
  CHECK(fixture.Choose() == "own");
  fixture.Report("own", Milliseconds(40));
  CHECK(fixture.Choose() == "own");
  fixture.Report("own", Milliseconds(2000));
  fixture.Report("b", Milliseconds(1000));
  CHECK(fixture.Choose() == "a");
}

// Guards against sending a refused task to the same cell again.
TEST_CASE("A retry goes to another zone than the one that refused") {
  ThreeZoneFixture fixture;
  fixture.Report("a", Milliseconds(500));
  CHECK(fixture.Choose("own") == "b");
}

// Guards against sending tasks to a zone that was taken out of service, and
// against sending a returning zone its full load at once.
TEST_CASE("A zone taken out gets no tasks and returns gradually") {
  ThreeZoneFixture fixture;
  CHECK(fixture.Choose() == "own");
  fixture.zone_router().SetZonesOut({ZoneName("own")});
  for (int i = 0; i < 100; ++i) {
    CHECK(fixture.Choose() != "own");
  }
  fixture.zone_router().SetZonesOut({});
  int own = 0;
  for (int i = 0; i < 100; ++i) {
    own += fixture.Choose() == "own" ? 1 : 0;
  }
  CHECK(own > 0);
  CHECK(own < 20);
}

// Guards against a malformed section of a peer that stops the exchange.
TEST_CASE("Malformed loads are ignored") {
  ThreeZoneFixture fixture;
  fixture.zone_router().OnSection(Json::Value("text"));
  Json::Value list(Json::arrayValue);
  list.append(1);
  list.append(Json::Value(Json::objectValue));
  fixture.zone_router().OnSection(list);
  CHECK(fixture.Choose() == "own");
}

}  // namespace
}  // namespace daisyroad
