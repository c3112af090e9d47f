#include "Core/Entry/entry_instance.h"

#include <csignal>
#include <string>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/random.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/caller_api.h"
#include "Core/Entry/claim_service.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/dispatch_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/explain_service.h"
#include "Core/Entry/fleet_api.h"
#include "Core/Entry/fleet_service.h"
#include "Core/Entry/limit_service.h"
#include "Core/Entry/monitored_worker_client.h"
#include "Core/Entry/operator_api.h"
#include "Core/Entry/peer_service.h"
#include "Core/Entry/problem.h"
#include "Core/Entry/task_service.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/http_instance_list_client.h"
#include "Core/Platform/http_store_client.h"
#include "Core/Platform/http_worker_client.h"
#include "Core/Transport/client_guard.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/http_server.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_server.h"

namespace daisyroad {
namespace {

constexpr int kDecisionLinesPerSecond = 500;
// The shutdown waits at most this long for open tasks.
constexpr std::chrono::seconds kShutdownTimeout{60};
constexpr Milliseconds kShutdownPollInterval{100};
// Time between the end of the last task and the exit, in which answers are sent
// and the instance leaves the roster. If it fails to leave, other instances
// remove it.
constexpr Milliseconds kLeaveGracePeriod{1000};
constexpr Milliseconds kFleetRecordsTimeout{1000};

std::string MakeIncarnation(const std::string& name) {
  const std::int64_t now =
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return name + "." + std::to_string(now);
}

std::uint64_t SeedFor(const std::string& incarnation) {
  return std::hash<std::string>()(incarnation) ^
         static_cast<std::uint64_t>(std::random_device()());
}

CallerLimits LimitsOf(const Settings& settings) {
  CallerLimits limits;
  limits.request_bytes = static_cast<std::size_t>(settings.max_held_bytes);
  limits.connections = static_cast<std::size_t>(settings.max_connections);
  limits.request_time = settings.header_timeout;
  return limits;
}

HttpServerOptions ServerOptions(const Settings& settings,
                                const std::string& address,
                                const std::shared_ptr<ClientGuard>& clients) {
  const std::size_t colon = address.rfind(':');
  HttpServerOptions options;
  options.address = address.substr(0, colon);
  options.port =
      static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
  options.max_connections = static_cast<std::size_t>(settings.max_connections);
  options.max_body_bytes = static_cast<std::size_t>(settings.max_request_bytes);
  options.request_read_timeout = settings.header_timeout;
  options.clients = clients;
  options.is_trusted = address == settings.peers_address;
  return options;
}

HttpResponse TextResponse(int status, const std::string& text) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "text/plain; version=0.0.4";
  response.body = text;
  return response;
}

}  // namespace

class EntryInstance::Impl {
 public:
  Impl(Settings settings, std::optional<KeyRecord> bootstrap_key)
      : context(MakeContext(std::move(settings))),
        random(SeedFor(this->context.self.str())),
        decisions(&this->metrics, kDecisionLinesPerSecond),
        http(
            [this](std::function<void()> function) {
              this->loop.Post(std::move(function));
            },
            &this->metrics),
        rpc(&this->http),
        store(&this->http,
              HttpStoreClient::Options{
                  this->context.settings.store_addresses.front(),
                  this->context.settings.zone,
                  this->context.settings.store_request_timeout}),
        instance_list(&this->http,
                      this->context.settings.instance_list_address,
                      this->context.settings.zone,
                      this->context.settings.store_request_timeout),
        workers(&this->http,
                this->context.settings.zone,
                this->context.settings.worker_request_timeout),
        peers(this->InitializeContext()),
        control(&this->context, &this->peers),
        directory(&this->context),
        dispatch(&this->context,
                 &this->peers,
                 &this->control,
                 &this->directory),
        limits(&this->context, &this->peers, &this->control, &this->dispatch),
        claims(&this->context, &this->peers, &this->control),
        tasks(&this->context,
              &this->peers,
              &this->control,
              &this->dispatch,
              &this->directory,
              &this->claims),
        fleet(&this->context, this->MakeFleetSources(), &this->directory),
        fleet_api(&this->fleet,
                  &this->directory,
                  [this]() -> const Declaration& {
                    return this->control.declaration();
                  }),
        explain(&this->context, &this->peers, &this->control, &this->directory),
        caller_api(&this->context, &this->control, &this->tasks),
        operator_api(
            &this->context,
            OperatorApi::Services{&this->peers, &this->control, &this->dispatch,
                                  &this->tasks, &this->directory,
                                  &this->fleet_api, &this->explain},
            std::move(bootstrap_key)) {}

  Status Run() {
    this->AddRpcMethods();
    const Settings& settings = this->context.settings;
    Status started = this->peer_server.Start(
        ServerOptions(settings, settings.peers_address, this->clients),
        [this](const HttpRequest& request, const HttpResponder& respond) {
          this->loop.Post([this, request, respond]() {
            respond(this->rpc_server.Handle(request));
          });
        });
    if (!started.ok()) {
      return started;
    }
    started = this->caller_server.Start(
        ServerOptions(settings, settings.callers_address, this->clients),
        [this](const HttpRequest& request, const HttpResponder& respond) {
          this->loop.Post(
              [this, request, respond]() { this->Route(request, respond); });
        });
    if (!started.ok()) {
      return started;
    }
    this->explain.Start();
    this->control.Start();
    this->directory.Start();
    this->dispatch.Start(
        [this](const DispatchUpdate& update) { this->tasks.OnUpdate(update); },
        [this](const TeamName& team) { return this->limits.TryStart(team); },
        [this](const TeamName& team) { this->limits.OnFinished(team); });
    this->monitored_workers.Watch(
        [this](const std::string& address, const WorkerStatus& status) {
          this->dispatch.OnSilentConnection(address, status);
        });
    this->limits.Start();
    this->tasks.Start();
    this->fleet.Start();
    this->peers.Start(
        [this]() { return this->control.Report(); },
        [this]() -> const ControlDocument& { return this->control.document(); },
        [this](const PeerReport& report, MonotonicTime sent) {
          this->control.OnPeerReply(report, sent);
        });
    this->loop.OnSignals({SIGTERM, SIGINT},
                         [this](int) { this->BeginShutdown(); });
    CLOG(INFO, kDaemonLog) << "serving as " << this->context.self
                           << " callers=" << settings.callers_address
                           << " peers=" << settings.peers_address;
    this->loop.Run();
    this->caller_server.Stop();
    this->peer_server.Stop();
    return OkStatus();
  }

 private:
  static EntryContext MakeContext(Settings settings) {
    EntryContext context;
    context.self = EntryName(MakeIncarnation(settings.instance_name));
    context.zone = ZoneName(settings.zone);
    context.settings = std::move(settings);
    return context;
  }

  EntryContext* InitializeContext() {
    this->context.loop = &this->loop;
    this->context.http = &this->http;
    this->context.rpc = &this->rpc;
    this->context.store = &this->store;
    this->context.instance_list = &this->instance_list;
    this->context.workers = &this->monitored_workers;
    this->context.metrics = &this->metrics;
    this->context.decisions = &this->decisions;
    this->context.random = &this->random;
    return &this->context;
  }

  FleetSources MakeFleetSources() {
    FleetSources sources;
    sources.now = []() { return Now(); };
    sources.wall_clock = []() { return std::chrono::system_clock::now(); };
    sources.is_authority_confirmed = [this]() {
      return this->control.Assess().state == AuthorityState::kConfirmed;
    };
    sources.declaration = [this]() -> const Declaration& {
      return this->control.declaration();
    };
    sources.zones_out = [this]() -> const std::set<ZoneName>& {
      return this->control.document().zones_out();
    };
    sources.live_instances = [this]() { return this->peers.LiveNames(); };
    sources.fetch_records = [this](
                                const EntryName& peer,
                                const Json::Value& params,
                                const FleetSources::AnswerCallback& callback) {
      const std::optional<std::string> address = this->peers.AddressOf(peer);
      if (address) {
        this->rpc.Call(*address, "fleet.records", params, kFleetRecordsTimeout,
                       callback);
      } else {
        callback(Error{Errc::kUnavailable, "fleet.records", peer.str(),
                       "no address"});
      }
    };
    return sources;
  }

  void AddRpcMethods() {
    this->rpc_server.AddMethod("peer.exchange", [this](const Json::Value& p) {
      return this->peers.ServeExchange(p);
    });
    this->rpc_server.AddMethod("peer.report", [this](const Json::Value&) {
      return this->peers.ServeReport();
    });
    this->rpc_server.AddMethod("peer.probe", [this](const Json::Value& p) {
      return this->peers.ServeProbe(p);
    });
    this->rpc_server.AddMethod("peer.probed", [this](const Json::Value& p) {
      return this->peers.ServeProbed(p);
    });
    this->rpc_server.AddMethod("diagnosis.evidence",
                               [this](const Json::Value& p) {
                                 return this->explain.ServeEvidence(p);
                               });
    this->rpc_server.AddMethod("diagnosis.probe", [this](const Json::Value& p) {
      return this->explain.ServeProbe(p);
    });
    this->rpc_server.AddMethod("control.head", [this](const Json::Value&) {
      return this->control.ServeHead();
    });
    this->rpc_server.AddMethod("control.part", [this](const Json::Value& p) {
      return this->control.ServePart(p);
    });
    this->rpc_server.AddMethod("dispatch.enqueue",
                               [this](const Json::Value& p) {
                                 return this->dispatch.ServeEnqueue(p);
                               });
    this->rpc_server.AddMethod("dispatch.renew", [this](const Json::Value& p) {
      return this->dispatch.ServeRenew(p);
    });
    this->rpc_server.AddMethod("dispatch.cancel", [this](const Json::Value& p) {
      return this->dispatch.ServeCancel(p);
    });
    this->rpc_server.AddMethod("fleet.records", [this](const Json::Value& p) {
      return this->fleet.ServeRecords(p);
    });
    this->rpc_server.AddMethod("claims.witness", [this](const Json::Value&) {
      return this->claims.ServeWitness();
    });
    this->rpc_server.AddMethod("task.submit", [this](const Json::Value& p) {
      return this->tasks.ServeSubmit(p);
    });
    this->rpc_server.AddMethod("task.lookup", [this](const Json::Value& p) {
      return this->tasks.ServeLookup(p);
    });
    this->rpc_server.AddMethod("task.cancel", [this](const Json::Value& p) {
      return this->tasks.ServeCancel(p);
    });
    this->rpc_server.AddMethod("task.update", [this](const Json::Value& p) {
      return this->tasks.ServeUpdate(p);
    });
  }

  void Route(const HttpRequest& request, const HttpResponder& respond) {
    if (request.path == "/healthz") {
      respond(TextResponse(200, "ok\n"));
    } else if (request.path == "/readyz") {
      const std::string reason = this->NotReadyReason();
      respond(reason.empty() ? TextResponse(200, "ready\n")
                             : TextResponse(503, reason + "\n"));
    } else if (request.path == "/metrics") {
      respond(TextResponse(200, this->metrics.Render()));
    } else if (request.path == "/v1/tasks" ||
               request.path.rfind("/v1/tasks/", 0) == 0) {
      if (this->stopping && request.method == "POST") {
        respond(Problem(503, RunOutcome::kNotRun, "shutting down",
                        "use another entry instance"));
        return;
      }
      this->caller_api.Handle(request, respond);
    } else if (request.path.rfind("/v1/ops/", 0) == 0) {
      this->operator_api.Handle(request, respond);
    } else {
      respond(PlainProblem(404, "not found", "no such path"));
    }
  }

  std::string NotReadyReason() const {
    if (this->stopping) {
      return "shutting down";
    }
    if (this->control.document().version() == 0) {
      return "no configuration yet";
    }
    if (this->directory.workers().empty()) {
      return "no workers known yet";
    }
    return "";
  }

  void BeginShutdown() {
    if (this->stopping) {
      return;
    }
    this->stopping = true;
    this->shutdown_deadline = Now() + kShutdownTimeout;
    CLOG(INFO, kDaemonLog) << "shutting down, open tasks: "
                           << this->tasks.open_tasks();
    this->ContinueShutdown();
  }

  // Finishes the tasks in progress on this instance, because their callers hold
  // connections to it.
  void ContinueShutdown() {
    bool idle = this->tasks.open_tasks() == 0;
    for (const std::pair<const std::pair<PoolName, ZoneName>,
                         std::unique_ptr<CellDispatcher>>& cell :
         this->dispatch.cells()) {
      idle = idle && cell.second->idle();
    }
    if (idle || Now() > this->shutdown_deadline) {
      this->control.Leave([]() {});
      this->loop.After(kLeaveGracePeriod, [this]() { this->loop.Stop(); });
      return;
    }
    this->loop.After(kShutdownPollInterval,
                     [this]() { this->ContinueShutdown(); });
  }

  EntryContext context;
  Random random;
  MetricsRegistry metrics;
  DecisionLog decisions;
  EventLoop loop;
  HttpClient http;
  RpcClient rpc;
  HttpStoreClient store;
  HttpInstanceListClient instance_list;
  HttpWorkerClient workers;
  MonitoredWorkerClient monitored_workers{&this->context, &this->workers};
  PeerService peers;
  ControlService control;
  WorkerDirectory directory;
  DispatchService dispatch;
  LimitService limits;
  ClaimService claims;
  TaskService tasks;
  FleetService fleet;
  FleetApi fleet_api;
  ExplainService explain;
  CallerApi caller_api;
  OperatorApi operator_api;
  RpcServer rpc_server;
  const std::shared_ptr<ClientGuard> clients =
      std::make_shared<ClientGuard>(LimitsOf(this->context.settings),
                                    &this->metrics);
  HttpServer peer_server;
  HttpServer caller_server;
  bool stopping = false;
  MonotonicTime shutdown_deadline;
};

EntryInstance::EntryInstance(Settings settings,
                             std::optional<KeyRecord> bootstrap_key)
    : impl(std::make_unique<Impl>(std::move(settings),
                                  std::move(bootstrap_key))) {}

EntryInstance::~EntryInstance() = default;

Status EntryInstance::Run() {
  return this->impl->Run();
}

}  // namespace daisyroad
