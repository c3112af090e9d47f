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

class ThreeZones : private InstanceListClient {
 public:
  ThreeZones() {
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

  ZoneRouter& zones() { return this->router; }

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

// Guards against traffic between zones that gains nothing, and against an own
// zone that keeps tasks which another zone would start much earlier.
TEST_CASE("The own zone is used unless another starts the task earlier") {
  ThreeZones zones;
  CHECK(zones.Choose() == "own");
  zones.Report("own", Milliseconds(40));
  CHECK(zones.Choose() == "own");
  zones.Report("own", Milliseconds(2000));
  zones.Report("b", Milliseconds(1000));
  CHECK(zones.Choose() == "a");
}

// Guards against a refused task that is sent to the same cell again.
TEST_CASE("A retry goes to another zone than the one that refused") {
  ThreeZones zones;
  zones.Report("a", Milliseconds(500));
  CHECK(zones.Choose("own") == "b");
}

// Guards against work for a zone taken out, and against a returning zone that
// gets its full load at once.
TEST_CASE("A zone taken out gets nothing and returns by its ramp") {
  ThreeZones zones;
  CHECK(zones.Choose() == "own");
  zones.zones().SetZonesOut({ZoneName("own")});
  for (int i = 0; i < 100; ++i) {
    CHECK(zones.Choose() != "own");
  }
  zones.zones().SetZonesOut({});
  int own = 0;
  for (int i = 0; i < 100; ++i) {
    own += zones.Choose() == "own" ? 1 : 0;
  }
  CHECK(own > 0);
  CHECK(own < 20);
}

// Guards against a peer whose malformed section stops the exchange.
TEST_CASE("Malformed loads are ignored") {
  ThreeZones zones;
  zones.zones().OnSection(Json::Value("text"));
  Json::Value list(Json::arrayValue);
  list.append(1);
  list.append(Json::Value(Json::objectValue));
  zones.zones().OnSection(list);
  CHECK(zones.Choose() == "own");
}

}  // namespace
}  // namespace daisyroad
