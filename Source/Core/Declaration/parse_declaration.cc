#include "Core/Declaration/parse_declaration.h"

#include <array>
#include <optional>
#include <vector>

#include "Core/Declaration/declaration_validator.h"
#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/table_reader.h"
#include "Core/Declaration/time_of_day.h"
#include "Core/Declaration/toml_document.h"

namespace daisyroad {

namespace {

// Limits far above the sizes in design 1.4 that still reject values mistyped
// with a few extra digits.
constexpr std::int64_t kMaxWorkers = 100'000;
constexpr std::int64_t kMaxPerWorker = 100'000;
constexpr std::int64_t kMaxTasks = 10'000'000;
constexpr std::int64_t kMaxShare = 1'000'000;
constexpr std::int64_t kMaxPayloadBytes = 1'000'000;
constexpr Milliseconds kDay = std::chrono::hours(24);

template <typename Name>
Name ReadItemName(TableReader& reader, const std::string& key = "name") {
  std::string text;
  reader.ReadName(key, text);
  return Name(text);
}

template <typename Name>
std::vector<Name> ReadNames(TableReader& reader, const std::string& key) {
  std::vector<Name> names;
  for (const std::string& text : reader.ReadTexts(key, Presence::kOptional)) {
    names.push_back(Name(text));
  }
  return names;
}

Zone ReadZone(TableReader& reader) {
  Zone zone;
  zone.name = ReadItemName<ZoneName>(reader);
  reader.ReadName("region", zone.region);
  return zone;
}

Pool ReadPool(TableReader& reader) {
  Pool pool;
  pool.name = ReadItemName<PoolName>(reader);
  reader.ReadBool("spare", pool.spare);
  const Presence required = Presence::kRequired;
  reader.ReadInt("cores", required, 1, kMaxPerWorker, pool.worker.cores);
  reader.ReadInt("memory_gb", required, 1, kMaxPerWorker,
                 pool.worker.memory_gb);
  reader.ReadInt("accelerators", Presence::kOptional, 0, kMaxPerWorker,
                 pool.worker.accelerators);
  reader.ReadInt("slots", required, 1, kMaxPerWorker, pool.worker.slots);
  reader.ReadInt("connections", required, 1, kMaxPerWorker,
                 pool.worker.connections);
  std::optional<TableReader> workers = reader.ReadTable("workers", required);
  if (workers) {
    for (const std::string& zone : workers->Keys()) {
      std::int64_t& count = pool.workers[ZoneName(zone)];
      workers->ReadInt(zone, required, 0, kMaxWorkers, count);
    }
  }
  return pool;
}

void ReadBudget(TableReader& reader, FaultList& faults, Service& service) {
  MaxDownCount count;
  reader.ReadInt("max_down", Presence::kOptional, 0, kMaxWorkers, count.count);
  MaxDownFraction fraction;
  reader.ReadReal("max_down_fraction", 0, 1, fraction.fraction);
  const bool has_fraction = reader.Has("max_down_fraction");
  // Checked after the reads, which record the line of max_down.
  if (reader.Has("max_down") == has_fraction) {
    faults.Add(reader.FieldPath("max_down"),
               "exactly one of max_down and max_down_fraction is required");
  }
  service.budget =
      has_fraction ? AvailabilityBudget(fraction) : AvailabilityBudget(count);
}

Service ReadService(TableReader& reader, FaultList& faults) {
  Service service;
  service.name = ReadItemName<ServiceName>(reader);
  service.pool = ReadItemName<PoolName>(reader, "pool");
  service.depends_on = ReadNames<ServiceName>(reader, "depends_on");
  reader.ReadReal("service_level", 0.5, 1, service.service_level);
  ReadBudget(reader, faults, service);
  return service;
}

TaskQueue ReadQueue(TableReader& reader) {
  TaskQueue queue;
  queue.name = ReadItemName<QueueName>(reader);
  queue.service = ReadItemName<ServiceName>(reader, "service");
  const std::optional<std::size_t> queue_class =
      reader.ReadChoice("class", Presence::kRequired, {"urgent", "long"});
  queue.queue_class =
      queue_class == 0U ? QueueClass::kUrgent : QueueClass::kLong;
  reader.ReadBool("idempotent", queue.idempotent);
  reader.ReadBool("open_to_all", queue.open_to_all);
  const std::optional<std::size_t> isolated = reader.ReadChoice(
      "when_isolated", Presence::kOptional, {"serve", "refuse"});
  queue.when_isolated =
      isolated == 0U ? WhenIsolated::kServe : WhenIsolated::kRefuse;
  reader.ReadDuration("default_deadline", Milliseconds(10), 7 * kDay,
                      queue.default_deadline);
  reader.ReadInt("max_payload_bytes", Presence::kOptional, 1, kMaxPayloadBytes,
                 queue.max_payload_bytes);
  reader.ReadInt("queue_bound", Presence::kOptional, 1, kMaxTasks,
                 queue.queue_bound);
  reader.ReadDuration("checkpoint_patience", Milliseconds(0), kDay,
                      queue.checkpoint_patience);
  return queue;
}

Team ReadTeam(TableReader& reader) {
  Team team;
  team.name = ReadItemName<TeamName>(reader);
  reader.ReadInt("share", Presence::kRequired, 1, kMaxShare, team.share);
  reader.ReadInt("upper_limit", Presence::kRequired, 0, kMaxTasks,
                 team.upper_limit);
  team.queues = ReadNames<QueueName>(reader, "queues");
  return team;
}

void ReadTimeOfDay(TableReader& reader,
                   FaultList& faults,
                   const std::string& key,
                   std::chrono::minutes& target) {
  std::string text;
  reader.ReadText(key, Presence::kRequired, text);
  const std::optional<std::chrono::minutes> time = ParseTimeOfDay(text);
  if (time) {
    target = *time;
  } else if (!text.empty()) {
    faults.Add(reader.FieldPath(key),
               "must be a time of day from \"00:00\" to \"23:59\" in UTC");
  }
}

MaintenanceWindow ReadWindow(TableReader& reader, FaultList& faults) {
  static const std::vector<std::string> kWeekdays(kWeekdayNames.begin(),
                                                  kWeekdayNames.end());
  MaintenanceWindow window;
  const std::optional<std::size_t> weekday =
      reader.ReadChoice("weekday", Presence::kRequired, kWeekdays);
  window.weekday =
      std::chrono::weekday(static_cast<unsigned>(weekday.value_or(0)));
  ReadTimeOfDay(reader, faults, "start", window.start);
  ReadTimeOfDay(reader, faults, "end", window.end);
  return window;
}

MaintenancePolicy ReadMaintenance(TableReader& reader, FaultList& faults) {
  MaintenancePolicy policy;
  Milliseconds interval = policy.interval;
  reader.ReadDuration("interval", std::chrono::hours(1), 365 * kDay, interval);
  policy.interval = std::chrono::duration_cast<std::chrono::hours>(interval);
  if (policy.interval != interval) {
    faults.Add(reader.FieldPath("interval"), "must be a whole number of hours");
  }
  reader.ReadDuration("patience", Milliseconds(0), kDay, policy.patience);
  for (TableReader& item : reader.ReadTables("windows")) {
    policy.windows.push_back(ReadWindow(item, faults));
    item.ReportUnknown();
  }
  reader.ReportUnknown();
  return policy;
}

template <typename Item, typename Read>
void ReadItems(TableReader& root,
               const std::string& key,
               std::vector<Item>& items,
               const Read& read) {
  for (TableReader& reader : root.ReadTables(key)) {
    items.push_back(read(reader));
    reader.ReportUnknown();
  }
}

Declaration ReadRoot(TableReader& root, FaultList& faults) {
  Declaration declaration;
  root.ReadName("site", declaration.site);
  declaration.regions = root.ReadTexts("regions", Presence::kRequired, 1);
  ReadItems(root, "zones", declaration.zones, ReadZone);
  ReadItems(root, "pools", declaration.pools, ReadPool);
  ReadItems(root, "services", declaration.services,
            [&](TableReader& reader) { return ReadService(reader, faults); });
  ReadItems(root, "queues", declaration.queues, ReadQueue);
  ReadItems(root, "teams", declaration.teams, ReadTeam);
  std::optional<TableReader> maintenance =
      root.ReadTable("maintenance", Presence::kOptional);
  if (maintenance) {
    declaration.maintenance = ReadMaintenance(*maintenance, faults);
  }
  root.ReportUnknown();
  return declaration;
}

}  // namespace

std::optional<Declaration> ReadDeclaration(std::string_view text,
                                           FaultList& faults) {
  const std::optional<TomlValue> document = ParseToml(text, faults);
  if (!document) {
    return std::nullopt;
  }
  TableReader root(*document, "", faults);
  const Declaration declaration = ReadRoot(root, faults);
  ValidateDeclaration(declaration, faults);
  if (!faults.empty()) {
    return std::nullopt;
  }
  return declaration;
}

Result<Declaration> ParseDeclaration(std::string_view text,
                                     const std::string& file_name) {
  FaultList faults;
  const std::optional<Declaration> declaration = ReadDeclaration(text, faults);
  if (!declaration) {
    return faults.ToError("declaration.parse", file_name);
  }
  return *declaration;
}

}  // namespace daisyroad
