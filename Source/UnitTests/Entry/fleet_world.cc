#include "UnitTests/Entry/fleet_world.h"

#include <algorithm>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"

namespace daisyroad {
namespace {

Declaration MakeDeclaration() {
  Declaration declaration;
  declaration.zones.push_back({ZoneName("north"), "hills"});
  Pool web;
  web.name = PoolName("web");
  web.workers[ZoneName("north")] = 3;
  Pool spare;
  spare.name = PoolName("spare");
  spare.spare = true;
  declaration.pools = {web, spare};
  Service site;
  site.name = ServiceName("site");
  site.pool = web.name;
  site.budget = MaxDownCount{1};
  declaration.services = {site};
  return declaration;
}

}  // namespace

void FleetWorld::List::Fetch(Callback callback) {
  std::vector<ListedInstance> instances;
  for (const char* name : {"web-1", "web-2", "web-3", "spare-1"}) {
    ListedInstance instance;
    instance.name = WorkerName(name);
    instance.address = name;
    instance.zone = ZoneName("north");
    instance.rack = RackName("north-1");
    instance.initial_pool =
        PoolName(name == std::string("spare-1") ? "spare" : "web");
    instance.leaving = this->leaving.count(name) != 0;
    instances.push_back(instance);
  }
  callback(instances);
}

FleetWorld::Entry::Entry(FleetWorld* world, const std::string& name)
    : decisions(&this->metrics, 1000) {
  this->context.self = EntryName(name);
  this->context.settings.instance_list_interval = Milliseconds(1);
  this->context.loop = &world->loop;
  this->context.store = &world->store;
  this->context.instance_list = &world->list;
  this->context.workers = &world->workers;
  this->context.metrics = &this->metrics;
  this->context.decisions = &this->decisions;
  this->directory = std::make_unique<WorkerDirectory>(&this->context);
  this->fleet = std::make_unique<FleetService>(&this->context, world->Sources(),
                                               this->directory.get());
  this->directory->Start();
}

FleetWorld::FleetWorld() : declaration(MakeDeclaration()) {
  InitializeLogging(LogLevel::kError);
  for (const char* name : {"web-1", "web-2", "web-3", "spare-1"}) {
    this->workers.Boot(name);
  }
  for (const char* name : {"entry-1", "entry-2"}) {
    this->entries.push_back(std::make_unique<Entry>(this, name));
  }
}

FleetSources FleetWorld::Sources() {
  FleetSources sources;
  sources.now = [this]() { return this->now; };
  sources.wall_clock = []() { return WallTime(std::chrono::hours(24 * 365)); };
  sources.is_authority_confirmed = [this]() {
    return this->is_authority_confirmed;
  };
  sources.declaration = [this]() -> const Declaration& {
    return this->declaration;
  };
  sources.zones_out = [this]() -> const std::set<ZoneName>& {
    return this->zones_out;
  };
  sources.live_instances = [this]() {
    std::vector<EntryName> names;
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      if (!this->IsStopped(*entry)) {
        names.push_back(entry->context.self);
      }
    }
    return names;
  };
  sources.fetch_records = [this](const EntryName& peer,
                                 const Json::Value& params,
                                 const FleetSources::AnswerCallback& callback) {
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      if (entry->context.self == peer && !this->IsStopped(*entry)) {
        callback(entry->fleet->ServeRecords(params));
        return;
      }
    }
    callback(Error{Errc::kUnavailable, "ask", peer.str(), "stopped"});
  };
  return sources;
}

FleetWorld::Entry& FleetWorld::FindEntry(bool is_leader) {
  const auto found =
      std::find_if(this->entries.begin(), this->entries.end(),
                   [is_leader](const std::unique_ptr<Entry>& entry) {
                     return entry->fleet->IsLeader() == is_leader;
                   });
  return **found;
}

void FleetWorld::Stop(const Entry& entry) {
  this->stopped.push_back(&entry);
}

bool FleetWorld::IsStopped(const Entry& entry) const {
  return std::find(this->stopped.begin(), this->stopped.end(), &entry) !=
         this->stopped.end();
}

bool FleetWorld::RunUntil(const std::function<bool()>& done) {
  for (int second = 0; second < 120 && !done(); ++second) {
    this->now += std::chrono::seconds(1);
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      if (!this->IsStopped(*entry)) {
        entry->fleet->Tick();
      }
    }
    this->CompleteReboots();
  }
  return done();
}

void FleetWorld::Run(std::chrono::seconds time) {
  const MonotonicTime until = this->now + time;
  this->RunUntil([this, until]() { return this->now >= until; });
}

void FleetWorld::CompleteReboots() {
  for (std::pair<const std::string, FleetFakeWorkers::Worker>& entry :
       this->workers.workers) {
    if (this->reboots_complete && entry.second.reboots > 0 &&
        entry.second.status.leaving) {
      this->workers.Boot(entry.first);
    }
  }
}

InstanceRecord FleetWorld::Record(const std::string& worker) const {
  const auto found = this->store.entries.find(InstanceKey(WorkerName(worker)));
  if (found == this->store.entries.end()) {
    return InstanceRecord();
  }
  return ParseInstanceRecord(ParseJson(found->second.value).value()).value();
}

std::size_t FleetWorld::Charges() const {
  const StoreEntry& entry =
      this->store.entries.at(BudgetKey(ServiceName("site")));
  return ParseBudgetRecord(ParseJson(entry.value).value())
      .value()
      .charges.size();
}

void FleetWorld::MakeMaintenanceDue() {
  for (const char* name : {"web-1", "web-2", "web-3", "spare-1"}) {
    InstanceRecord record = this->Record(name);
    record.maintained_cycle = 0;
    this->store.Put(InstanceKey(record.worker), WriteJson(ToJson(record)));
  }
}

int FleetWorld::Drains() const {
  int drains = 0;
  for (const std::pair<const std::string, FleetFakeWorkers::Worker>& entry :
       this->workers.workers) {
    drains += entry.second.drains;
  }
  return drains;
}

std::vector<std::string> FleetWorld::DecisionLines(
    const std::string& text) const {
  std::vector<std::string> lines;
  for (const std::unique_ptr<Entry>& entry : this->entries) {
    for (const DecisionLog::Line& line : entry->decisions.Containing(text)) {
      lines.push_back(line.text);
    }
  }
  return lines;
}

}  // namespace daisyroad
