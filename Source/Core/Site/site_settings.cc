#include "Core/Site/site_settings.h"

#include <fstream>
#include <optional>
#include <sstream>

#include "Core/Declaration/table_reader.h"
#include "Core/Declaration/toml_document.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kMinDuration{1};
constexpr Milliseconds kMaxDuration = std::chrono::minutes(10);
// A body of 1 MiB and its headers, unless it comes in tiny chunks: in chunks of
// one byte it takes 12,600,000.
constexpr std::int64_t kMinRequestBytes = 4'000'000;
constexpr std::int64_t kMaxRequestBytes = 100'000'000'000;
constexpr std::int64_t kMinConnections = 16;
constexpr std::int64_t kMaxConnections = 100000;
constexpr Milliseconds kMinRequestTime{100};
constexpr double kMinShare = 0.001;
constexpr double kMaxCores = 1024.0;
constexpr Milliseconds kMinStoreDelay{10};
// Entries of the store must be current again within two seconds of its return.
constexpr Milliseconds kMaxStoreDelay{1000};
constexpr double kMaxRetryShare = 10.0;
constexpr std::int64_t kMinValueBytes = 10'000;
constexpr std::int64_t kMaxValueBytes = 1'000'000'000;
constexpr double kMaxUsefulFor = 1000.0;

void ReadListen(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> listen =
      root->ReadTable("listen", Presence::kRequired);
  if (!listen) {
    return;
  }
  listen->ReadText("callers", Presence::kRequired, settings->callers_address);
  listen->ReadText("readiness", Presence::kRequired,
                   settings->readiness_address);
  listen->ReadText("peers", Presence::kRequired, settings->peers_address);
  listen->ReportUnknown();
}

void ReadServices(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> platform =
      root->ReadTable("platform", Presence::kRequired);
  if (!platform) {
    return;
  }
  platform->ReadText("store", Presence::kRequired, settings->store_address);
  platform->ReadText("machines", Presence::kRequired,
                     settings->machines_address);
  platform->ReadText("advice", Presence::kOptional, settings->advice_address);
  platform->ReportUnknown();
}

void ReadWorkers(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> workers =
      root->ReadTable("workers", Presence::kOptional);
  if (!workers) {
    return;
  }
  workers->ReadDuration("lease", kMinDuration, kMaxDuration,
                        settings->scheduler.longest_lease);
  workers->ReadDuration("stop", kMinDuration, kMaxDuration,
                        settings->scheduler.longest_stop);
  workers->ReportUnknown();
}

void ReadScheduler(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> scheduler =
      root->ReadTable("scheduler", Presence::kOptional);
  if (!scheduler) {
    return;
  }
  scheduler->ReadBool("shares", settings->scheduler.use_shares);
  scheduler->ReportUnknown();
}

void ReadCallers(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> callers =
      root->ReadTable("callers", Presence::kOptional);
  if (!callers) {
    return;
  }
  CallerLimits& limits = settings->callers;
  std::int64_t bytes = static_cast<std::int64_t>(limits.request_bytes);
  std::int64_t connections = static_cast<std::int64_t>(limits.connections);
  callers->ReadInt("request_bytes", Presence::kOptional, kMinRequestBytes,
                   kMaxRequestBytes, bytes);
  callers->ReadInt("connections", Presence::kOptional, kMinConnections,
                   kMaxConnections, connections);
  callers->ReadDuration("request_time", kMinRequestTime, kMaxDuration,
                        limits.request_time);
  limits.request_bytes = static_cast<std::size_t>(bytes);
  limits.connections = static_cast<std::size_t>(connections);
  callers->ReportUnknown();
}

void ReadProcessor(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> processor =
      root->ReadTable("processor", Presence::kOptional);
  if (!processor) {
    return;
  }
  processor->ReadReal("share", kMinShare, 1.0, settings->processor_share);
  processor->ReadReal("cores", kMinShare, kMaxCores, settings->processor_cores);
  processor->ReportUnknown();
}

void ReadStore(TableReader* root, FaultList* faults, SiteSettings* settings) {
  std::optional<TableReader> store =
      root->ReadTable("store", Presence::kOptional);
  if (!store) {
    return;
  }
  StoreCallSettings* const calls = &settings->store_calls;
  store->ReadBool("paced", calls->is_paced);
  store->ReadDuration("first_delay", kMinStoreDelay, kMaxStoreDelay,
                      calls->first_delay);
  store->ReadDuration("longest_delay", kMinStoreDelay, kMaxStoreDelay,
                      calls->longest_delay);
  store->ReadReal("retry_share", 0.0, kMaxRetryShare, calls->retry_share);
  std::int64_t bytes = static_cast<std::int64_t>(settings->store_value_bytes);
  store->ReadInt("value_bytes", Presence::kOptional, kMinValueBytes,
                 kMaxValueBytes, bytes);
  settings->store_value_bytes = static_cast<std::size_t>(bytes);
  store->ReportUnknown();
  if (calls->longest_delay < calls->first_delay) {
    faults->Add("store.longest_delay", "must not be below store.first_delay");
  }
}

void ReadPools(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> pools =
      root->ReadTable("pools", Presence::kOptional);
  if (!pools) {
    return;
  }
  pools->ReadBool("leave_early", settings->scheduler.leaves_early);
  settings->planner.moves_due_last = settings->scheduler.leaves_early;
  pools->ReadBool("clear_trend", settings->scheduler.requires_clear_trend);
  pools->ReadReal("resting_size", 0.0, 1.0, settings->planner.resting_size);
  pools->ReadReal("lending_size", 0.0, 1.0, settings->planner.lending_size);
  pools->ReportUnknown();
}

void ReadOverload(TableReader* root, SiteSettings* settings) {
  std::optional<TableReader> overload =
      root->ReadTable("overload", Presence::kOptional);
  if (!overload) {
    return;
  }
  OverloadSettings& target = settings->scheduler.overload;
  overload->ReadBool("delay", target.delay);
  overload->ReadReal("useful_for", 1.0, kMaxUsefulFor, target.useful_for);
  overload->ReportUnknown();
}

}  // namespace

Result<SiteSettings> ParseSiteSettings(std::string_view text,
                                       const std::string& file_name) {
  FaultList faults;
  SiteSettings settings;
  const std::optional<TomlValue> document = ParseToml(text, faults);
  if (document) {
    TableReader root(*document, "", faults);
    root.ReadText("node", Presence::kRequired, settings.node);
    root.ReadText("zone", Presence::kRequired, settings.zone);
    root.ReadDuration("key_withdrawal", Milliseconds(1000), kMaxDuration,
                      settings.key_withdrawal);
    root.ReadDuration("stop_grace", Milliseconds(100), kMaxDuration,
                      settings.stop_grace);
    Milliseconds retention = settings.job_retention;
    root.ReadDuration("job_retention", Milliseconds(1000),
                      std::chrono::hours(24), retention);
    settings.job_retention =
        std::chrono::duration_cast<std::chrono::seconds>(retention);
    ReadListen(&root, &settings);
    ReadServices(&root, &settings);
    ReadWorkers(&root, &settings);
    ReadScheduler(&root, &settings);
    ReadCallers(&root, &settings);
    ReadProcessor(&root, &settings);
    ReadStore(&root, &faults, &settings);
    ReadPools(&root, &settings);
    ReadOverload(&root, &settings);
    root.ReportUnknown();
  }
  if (!faults.empty()) {
    return faults.ToError("settings.read", file_name);
  }
  return settings;
}

Result<SiteSettings> LoadSiteSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{Errc::kNotFound, "settings.read", "",
                 path + ": the file cannot be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSiteSettings(text.str(), path);
}

}  // namespace daisyroad
