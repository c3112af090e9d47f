#include "Core/Site/site_instance.h"

#include <csignal>
#include <map>
#include <set>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/latency_histogram.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Platform/paced_store.h"
#include "Core/Site/advice_dispatcher.h"
#include "Core/Site/allotment_manager.h"
#include "Core/Site/fleet_leader.h"
#include "Core/Site/job_service.h"
#include "Core/Site/leadership.h"
#include "Core/Site/operator_reader.h"
#include "Core/Site/pool_leader.h"
#include "Core/Site/pool_load_codec.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Site/site_codec.h"
#include "Core/Site/store_keys.h"
#include "Core/Site/worker_directory.h"
#include "Core/Transport/client_guard.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/http_server.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_server.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kFailureLineInterval{1000};
constexpr Milliseconds kSiteWatchWait{2000};
// Part of the grace period still left when the process exits on its own.
constexpr Milliseconds kStopReserve{700};
// Idle connections of callers are kept open, because the platform's load
// balancer keeps the connection of a caller with its instance.
constexpr std::chrono::seconds kIdleConnectionTimeout{120};
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr std::size_t kMaxPeerConnections = 600;
constexpr std::size_t kMaxReadinessConnections = 64;

HttpServerOptions ServerOptionsFor(
    const std::string& address,
    std::size_t max_connections,
    const std::shared_ptr<ClientGuard>& clients) {
  const std::size_t colon = address.rfind(':');
  HttpServerOptions options;
  options.address = address.substr(0, colon);
  options.port =
      static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
  options.max_connections = max_connections;
  options.max_body_bytes = kMaxBodyBytes;
  options.request_read_timeout = kIdleConnectionTimeout;
  options.clients = clients;
  options.is_trusted = true;
  return options;
}

std::set<WorkerName> ParseNames(const Json::Value& json) {
  std::set<WorkerName> names;
  for (const Json::Value& name : json) {
    names.emplace(name.asString());
  }
  return names;
}

HttpResponse TextResponse(int status, const std::string& text) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "text/plain; version=0.0.4";
  response.body = text;
  return response;
}

}  // namespace

class SiteInstance::Impl {
 public:
  Impl(const SitePlatform& platform, const SiteSettings& settings)
      : platform(platform),
        settings(settings),
        store_pacer(std::make_shared<StorePacer>(platform.loop,
                                                 platform.metrics,
                                                 settings.store_calls,
                                                 StableHash(settings.node))),
        duty_store(this->store_pacer,
                   platform.store,
                   StoreCallClass::kDuty,
                   StoreCallClass::kDuty),
        caller_store(this->store_pacer,
                     platform.store,
                     StoreCallClass::kCaller,
                     StoreCallClass::kCaller),
        store(this->store_pacer,
              platform.store,
              StoreCallClass::kRead,
              StoreCallClass::kWrite),
        rpc_client(platform.http),
        site_mirror(
            &this->store,
            platform.loop,
            kSitePrefix,
            kSiteWatchWait,
            [this](const std::vector<StoreChange>&) { this->OnSiteChange(); }),
        allotments(&this->store),
        advice(platform.advisor, platform.loop, platform.metrics),
        workers(&this->store,
                platform.loop,
                platform.codec,
                WorkerDirectory::Listener{
                    [this]() { return !this->leaders.empty(); },
                    [this]() { this->OnWorkersChange(); }}),
        leadership(
            &this->duty_store,
            platform.loop,
            &this->site_mirror,
            settings.node,
            settings.peers_address,
            settings.processor_share * settings.processor_cores,
            Leadership::Listener{
                [this](const Term& term) { this->BeginTerm(term); },
                [this](const std::string& duty) { this->EndTerm(duty); }}),
        jobs(
            &this->caller_store,
            platform.loop,
            &this->rpc_client,
            &this->leadership,
            [this](const PoolName& pool) { return this->FindLeader(pool); },
            settings.key_withdrawal,
            settings.store_value_bytes),
        operator_reader(&this->store,
                        platform.loop,
                        platform.codec->ConfigKey(),
                        platform.codec->OperatorPrefix(),
                        OperatorReader::Listener{
                            [this](const std::vector<StoreItem>& items,
                                   BootClock::time_point confirmed_at) {
                              if (this->operator_reader.is_current()) {
                                this->RecordOperatorReadResult("");
                              }
                              this->AdoptOperators(items, confirmed_at);
                            },
                            [this](const Error& error) {
                              this->RecordOperatorReadResult(error.ToString());
                            }}) {}

  ~Impl() { this->store_pacer->Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Status Run(HttpHandler callers) {
    this->AddMethods();
    Status peers_status = this->peers_server.Start(
        ServerOptionsFor(this->settings.peers_address, kMaxPeerConnections,
                         this->clients),
        this->DispatchToLoop(
            [this](const HttpRequest& request, const HttpResponder& respond) {
              respond(request.path == "/metrics"
                          ? TextResponse(200, this->platform.metrics->Render())
                          : this->rpc_server.Handle(request));
            }));
    if (!peers_status.ok()) {
      return peers_status;
    }
    Status readiness_status = this->readiness_server.Start(
        ServerOptionsFor(this->settings.readiness_address,
                         kMaxReadinessConnections, this->clients),
        this->DispatchToLoop(
            [this](const HttpRequest&, const HttpResponder& respond) {
              respond(TextResponse(this->IsReady() ? 200 : 503, ""));
            }));
    if (!readiness_status.ok()) {
      return readiness_status;
    }
    HttpServerOptions callers_options =
        ServerOptionsFor(this->settings.callers_address,
                         this->settings.callers.connections, this->clients);
    callers_options.is_trusted = false;
    Status callers_status = this->callers_server.Start(
        callers_options,
        this->DispatchToLoop(this->WithMetrics(std::move(callers))));
    if (!callers_status.ok()) {
      return callers_status;
    }
    this->platform.loop->OnSignals(
        {SIGTERM, SIGINT, SIGHUP},
        [this](int signal) { this->OnSignal(signal); });
    CLOG(INFO, kDaemonLog) << "event=start node=" << this->settings.node
                           << " zone=" << this->settings.zone;
    this->site_mirror.Start();
    this->workers.Start();
    this->leadership.Start();
    this->operator_reader.Start();
    this->platform.loop->Run();
    this->callers_server.Stop();
    this->readiness_server.Stop();
    this->peers_server.Stop();
    CLOG(INFO, kDaemonLog) << "event=stopped node=" << this->settings.node;
    return OkStatus();
  }

  PoolLeader* FindLeader(const PoolName& pool) {
    const std::map<std::string, std::unique_ptr<PoolLeader>>::iterator found =
        this->leaders.find(PoolDuty(pool));
    return found == this->leaders.end() ? nullptr : found->second.get();
  }

  SitePlatform platform;
  SiteSettings settings;
  std::shared_ptr<StorePacer> store_pacer;
  PacedStore duty_store;
  PacedStore caller_store;
  PacedStore store;  // of all other callers
  RpcClient rpc_client;
  RpcServer rpc_server;
  PrefixMirror site_mirror;
  AllotmentManager allotments;
  AdviceDispatcher advice;
  WorkerDirectory workers;
  Leadership leadership;
  JobService jobs;
  OperatorReader operator_reader;
  std::function<void(const SiteConfig&)> config_listener;
  std::function<Result<SiteSettings>()> reload;

 private:
  HttpHandler DispatchToLoop(HttpHandler handler) {
    EventLoop* const loop = this->platform.loop;
    const std::shared_ptr<const HttpHandler> shared =
        std::make_shared<const HttpHandler>(std::move(handler));
    return [loop, shared](HttpRequest request, HttpResponder respond) {
      loop->Post(
          [shared, request = std::move(request),
           respond = std::move(respond)]() { (*shared)(request, respond); });
    };
  }

  void OnSiteChange() {
    this->leadership.OnMirrorChange();
    for (const std::pair<const std::string, Term>& term :
         this->leadership.terms()) {
      const std::map<std::string, std::unique_ptr<PoolLeader>>::iterator
          leader = this->leaders.find(term.first);
      if (leader != this->leaders.end() &&
          this->leadership.IsPredecessorGone(term.second)) {
        leader->second->OnPredecessorGone();
      }
    }
  }

  // Wraps a handler to count its answers by status and measure their latency.
  HttpHandler WithMetrics(HttpHandler handler) {
    return [this, handler = std::move(handler)](const HttpRequest& request,
                                                const HttpResponder& respond) {
      const MonotonicTime begun = std::chrono::steady_clock::now();
      handler(request, [this, begun, method = request.method,
                        respond](const HttpResponse& response) {
        ++this->platform.metrics->Counter(
            "daisyroad_requests_total", "method=\"" + method + "\",status=\"" +
                                            std::to_string(response.status) +
                                            "\"");
        LatencyHistogram(this->platform.metrics, "daisyroad_request_ms",
                         "method=\"" + method + "\"")
            .Observe(std::chrono::steady_clock::now() - begun);
        respond(response);
      });
    };
  }

  bool IsReady() const {
    return !this->is_stopping && this->jobs.HasConfig() &&
           this->jobs.AreKeysFresh();
  }

  void OnSignal(int signal) {
    if (signal == SIGHUP) {
      const Result<SiteSettings> loaded = this->reload();
      CLOG(INFO, kDaemonLog)
          << "event=reload node=" << this->settings.node << " result=\""
          << (loaded.ok() ? "the settings are valid, a restart applies them"
                          : loaded.error().detail)
          << "\"";
      return;
    }
    if (this->is_stopping) {
      return;
    }
    this->is_stopping = true;
    CLOG(INFO, kDaemonLog) << "event=stop node=" << this->settings.node
                           << " duties=" << this->leaders.size();
    this->leadership.Stop();
    this->platform.loop->After(
        std::max(Milliseconds(0), this->settings.stop_grace - kStopReserve),
        [this]() { this->platform.loop->Stop(); });
  }

  void RecordOperatorReadResult(const std::string& error) {
    ++this->platform.metrics->Counter(
        "daisyroad_operator_reads_total",
        error.empty() ? "outcome=\"read\"" : "outcome=\"failed\"");
    this->LogFailedOperatorRead(error);
    if (error.empty() == this->is_operator_state_current) {
      return;
    }
    this->is_operator_state_current = error.empty();
    CLOG(WARNING, kControlLog)
        << "event=" << (error.empty() ? "store_regained" : "store_lost")
        << " error=\"" << error << "\"";
  }

  // Writes at most one line per kFailureLineInterval.
  void LogFailedOperatorRead(const std::string& error) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (error.empty()) {
      this->failed_operator_reads = 0;
      return;
    }
    ++this->failed_operator_reads;
    if (now < this->next_operator_failure_line) {
      return;
    }
    this->next_operator_failure_line = now + kFailureLineInterval;
    CLOG(WARNING, kControlLog)
        << "event=operators_not_read failures=" << this->failed_operator_reads
        << " version="
        << (this->operators.config ? this->operators.config->version : 0)
        << " keys_fresh=" << this->jobs.AreKeysFresh() << " error=\"" << error
        << "\"";
  }

  void AdoptOperators(const std::vector<StoreItem>& items,
                      BootClock::time_point confirmed_at) {
    const std::int64_t version =
        this->operators.config ? this->operators.config->version : 0;
    this->platform.codec->DecodeOperator(items, &this->operators);
    this->jobs.SetOperatorState(this->operators, confirmed_at);
    if (!this->operators.config) {
      return;
    }
    const SiteConfig& config = *this->operators.config;
    if (config.version != version) {
      CLOG(INFO, kControlLog) << "event=config version=" << config.version
                              << " queues=" << config.queues.size()
                              << " teams=" << config.teams.size();
      this->config_listener(config);
      this->allotments.SetTeams(config.teams, ScheduledPools(config));
      this->leadership.SetDuties(DutiesOf(config));
    }
    for (const std::pair<const std::string, std::unique_ptr<PoolLeader>>&
             leader : this->leaders) {
      leader.second->SetOperatorState(this->operators);
    }
    if (this->fleet_leader) {
      this->fleet_leader->SetOperatorState(this->operators);
    }
  }

  static std::set<std::string> DutiesOf(const SiteConfig& config) {
    std::set<std::string> duties{kFleetDuty};
    for (const PoolName& pool : ScheduledPools(config)) {
      duties.insert(PoolDuty(pool));
    }
    return duties;
  }

  void OnWorkersChange() {
    for (const std::pair<const std::string, std::unique_ptr<PoolLeader>>&
             leader : this->leaders) {
      this->UpdateListing(leader.first, leader.second.get());
    }
  }

  void UpdateListing(const std::string& duty, PoolLeader* leader) {
    std::map<WorkerName, WorkerListing> listing;
    for (const std::pair<const WorkerName, WorkerListing>& entry :
         this->workers.workers()) {
      if (PoolDuty(entry.second.pool) == duty) {
        listing.insert(entry);
      }
    }
    leader->SetListing(listing);
  }

  void BeginTerm(const Term& term) {
    if (term.duty == kFleetDuty) {
      this->BeginFleetTerm(term);
      return;
    }
    const PoolName pool(term.duty.substr(PoolDuty(PoolName()).size()));
    PoolLeaderContext context;
    context.store = &this->store;
    context.workers = this->platform.workers;
    context.machines = this->platform.machines;
    context.advisor = &this->advice;
    context.loop = this->platform.loop;
    context.allotments = &this->allotments;
    context.metrics = this->platform.metrics;
    context.may_issue_orders = [this]() {
      return this->leadership.MayIssueOrders();
    };
    context.is_lease_valid = [this]() {
      return this->leadership.IsLeaseValid();
    };
    context.settings = this->settings.scheduler;
    context.retention = this->settings.job_retention;
    std::unique_ptr<PoolLeader> leader =
        std::make_unique<PoolLeader>(context, pool, term);
    leader->SetOperatorState(this->operators);
    this->UpdateListing(term.duty, leader.get());
    leader->Start();
    this->leaders[term.duty] = std::move(leader);
    this->workers.Refresh();
  }

  void BeginFleetTerm(const Term& term) {
    FleetLeaderContext context;
    context.store = &this->store;
    context.machines = this->platform.machines;
    context.loop = this->platform.loop;
    context.peers = &this->rpc_client;
    context.codec = this->platform.codec;
    context.metrics = this->platform.metrics;
    context.leadership = &this->leadership;
    context.planner = this->settings.planner;
    context.find_leader = [this](const PoolName& pool) {
      return this->FindLeader(pool);
    };
    this->fleet_leader = std::make_unique<FleetLeader>(context, term);
    this->fleet_leader->SetOperatorState(this->operators);
    this->fleet_leader->Start();
  }

  void EndTerm(const std::string& duty) {
    if (duty == kFleetDuty) {
      this->fleet_leader.reset();
    } else {
      this->leaders.erase(duty);
    }
  }

  void AddMethods() {
    this->rpc_server.AddMethod("pool.load", [this](const Json::Value& params) {
      PoolLeader* const leader =
          this->FindLeader(PoolName(params["pool"].asString()));
      if (leader == nullptr || !leader->is_ready()) {
        return Json::Value(Json::objectValue);
      }
      leader->SetVacating(ParseNames(params["vacate"]),
                          params.isMember("due")
                              ? std::make_optional(ParseNames(params["due"]))
                              : std::nullopt);
      return ToJson(leader->Load());
    });
    this->rpc_server.AddMethod("job.status", [this](const Json::Value& params) {
      Json::Value result(Json::objectValue);
      const PoolLeader* const leader =
          this->FindLeader(PoolName(params["pool"].asString()));
      if (leader != nullptr) {
        const std::optional<JobStatus> status =
            leader->StatusOf(JobId(params["job"].asString()));
        if (status) {
          result["status"] = ToString(*status);
        }
      }
      return result;
    });
    this->rpc_server.AddMethod(
        "queue.pending", [this](const Json::Value& params) {
          Json::Value result(Json::objectValue);
          const PoolLeader* const leader =
              this->FindLeader(PoolName(params["pool"].asString()));
          if (leader != nullptr && leader->is_ready()) {
            result["jobs"] =
                leader->PendingJobs(QueueName(params["queue"].asString()));
          }
          return result;
        });
  }

  const std::shared_ptr<ClientGuard> clients =
      std::make_shared<ClientGuard>(this->settings.callers,
                                    this->platform.metrics);
  HttpServer peers_server;
  HttpServer readiness_server;
  HttpServer callers_server;
  OperatorState operators;
  std::map<std::string, std::unique_ptr<PoolLeader>> leaders;
  std::unique_ptr<FleetLeader> fleet_leader;
  bool is_operator_state_current = false;
  int failed_operator_reads = 0;  // since the last successful one
  MonotonicTime next_operator_failure_line;
  bool is_stopping = false;
};

SiteInstance::SiteInstance(const SitePlatform& platform,
                           const SiteSettings& settings)
    : impl(std::make_unique<Impl>(platform, settings)) {}

SiteInstance::~SiteInstance() = default;

JobService* SiteInstance::jobs() {
  return &this->impl->jobs;
}

void SiteInstance::OnConfig(std::function<void(const SiteConfig&)> listener) {
  this->impl->config_listener = std::move(listener);
}

void SiteInstance::OnReload(std::function<Result<SiteSettings>()> reload) {
  this->impl->reload = std::move(reload);
}

Status SiteInstance::Run(HttpHandler callers) {
  return this->impl->Run(std::move(callers));
}

}  // namespace daisyroad
