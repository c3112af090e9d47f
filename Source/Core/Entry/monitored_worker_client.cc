#include "Core/Entry/monitored_worker_client.h"

#include <utility>

#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kTickPeriod{50};

ProbeOutcome OutcomeOf(const Result<WorkerStatus>& status) {
  if (status.ok()) {
    return ProbeOutcome::kAnswered;
  }
  return status.error().code == Errc::kUnavailable
             ? ProbeOutcome::kRefused
             : ProbeOutcome::kConnectedOnly;
}

template <typename T>
std::error_code CodeOf(const T& result) {
  return result.ok() ? std::error_code() : std::error_code(result.error().code);
}

}  // namespace

MonitoredWorkerClient::MonitoredWorkerClient(EntryContext* context,
                                             WorkerClient* next)
    : context(context), next(next) {}

void MonitoredWorkerClient::Watch(SilentHandler silent_handler) {
  this->handler = std::move(silent_handler);
  this->context->loop->Every(kTickPeriod, [this]() { this->Tick(); });
}

void MonitoredWorkerClient::Start(const std::string& address,
                                  const StartTask& task,
                                  Milliseconds timeout,
                                  StartCallback callback) {
  const RequestId id = this->BeginExchange(address, false);
  this->next->Start(address, task, timeout,
                    [this, id, callback = std::move(callback)](
                        const Result<StartReply>& reply) {
                      this->EndExchange(id, CodeOf(reply));
                      callback(reply);
                    });
}

void MonitoredWorkerClient::Report(const std::string& address,
                                   const TaskId& task,
                                   bool fresh_connection,
                                   ReportCallback callback) {
  if (fresh_connection) {
    this->next->Report(address, task, true, std::move(callback));
    return;
  }
  const RequestId id = this->BeginExchange(address, false);
  this->next->Report(address, task, false,
                     [this, id, callback = std::move(callback)](
                         const Result<TaskReport>& report) {
                       this->EndExchange(id, CodeOf(report));
                       callback(report);
                     });
}

void MonitoredWorkerClient::WaitFinished(
    const std::string& address,
    const std::string& holder,
    const std::vector<TaskId>& acknowledged,
    Milliseconds wait,
    FinishedCallback callback) {
  const RequestId id = this->BeginExchange(address, true);
  this->next->WaitFinished(address, holder, acknowledged, wait,
                           [this, id, callback = std::move(callback)](
                               const Result<std::vector<TaskReport>>& reports) {
                             this->EndExchange(id, CodeOf(reports));
                             callback(reports);
                           });
}

void MonitoredWorkerClient::RenewLeases(const std::string& address,
                                        const std::string& holder,
                                        const std::vector<TaskId>& tasks,
                                        Milliseconds lease,
                                        WorkerClock renew_before,
                                        LeaseCallback callback) {
  const RequestId id = this->BeginExchange(address, false);
  this->next->RenewLeases(address, holder, tasks, lease, renew_before,
                          [this, id, callback = std::move(callback)](
                              const Result<LeaseReply>& reply) {
                            this->EndExchange(id, CodeOf(reply));
                            callback(reply);
                          });
}

void MonitoredWorkerClient::Status(const std::string& address,
                                   bool fresh_connection,
                                   StatusCallback callback) {
  if (fresh_connection) {
    this->next->Status(address, true, std::move(callback));
    return;
  }
  const RequestId id = this->BeginExchange(address, false);
  this->next->Status(address, false,
                     [this, id, callback = std::move(callback)](
                         const Result<WorkerStatus>& status) {
                       this->EndExchange(id, CodeOf(status));
                       callback(status);
                     });
}

void MonitoredWorkerClient::Command(const std::string& address,
                                    WorkerCommand command,
                                    const TaskId& task,
                                    const std::string& incarnation,
                                    CommandCallback callback) {
  const RequestId id = this->BeginExchange(address, false);
  this->next->Command(address, command, task, incarnation,
                      [this, id, callback = std::move(callback)](
                          const daisyroad::Status& status) {
                        this->EndExchange(id, CodeOf(status));
                        callback(status);
                      });
}

void MonitoredWorkerClient::RetireConnections(const std::string& address) {
  this->next->RetireConnections(address);
}

void MonitoredWorkerClient::ExpectFinished(const std::string& address) {
  for (const std::pair<const RequestId, Exchange>& entry : this->exchanges) {
    if (entry.second.is_poll && entry.second.address == address) {
      this->monitor.OnSend(entry.first, entry.first,
                           this->context->settings.worker_request_timeout,
                           Now());
    }
  }
}

RequestId MonitoredWorkerClient::BeginExchange(const std::string& address,
                                               bool is_poll) {
  const RequestId id = this->next_id++;
  this->exchanges[id] = Exchange{address, is_poll, false};
  // A poll without a reply is normal until a task is known to have ended.
  if (!is_poll) {
    this->monitor.OnSend(id, id, this->context->settings.worker_request_timeout,
                         Now());
  }
  return id;
}

void MonitoredWorkerClient::EndExchange(RequestId id,
                                        const std::error_code& error) {
  const auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  if (error == Errc::kTimeout && !found->second.is_poll) {
    // Kept until the probe has shown the cause.
    found->second.has_timed_out = true;
    return;
  }
  const auto probe = this->awaiting_probe.find(found->second.address);
  if (!error && probe != this->awaiting_probe.end() &&
      probe->second.count(id) != 0) {
    this->monitor.OnAnswer(id, id);
    return;  // removed when the probe ends
  }
  this->RemoveExchange(id);
}

void MonitoredWorkerClient::RemoveExchange(RequestId id) {
  this->monitor.OnClosed(id);
  this->exchanges.erase(id);
}

void MonitoredWorkerClient::Tick() {
  for (const ConnectionId id : this->monitor.Tick(Now())) {
    const std::string address = this->exchanges.at(id).address;
    std::set<RequestId>& waiting = this->awaiting_probe[address];
    waiting.insert(id);
    if (waiting.size() == 1) {
      this->Probe(address);
    }
  }
}

void MonitoredWorkerClient::Probe(const std::string& address) {
  this->next->Status(address, true,
                     [this, address](const Result<WorkerStatus>& status) {
                       this->OnProbe(address, status);
                     });
}

void MonitoredWorkerClient::OnProbe(const std::string& address,
                                    const Result<WorkerStatus>& status) {
  const std::set<RequestId> waiting = std::move(this->awaiting_probe[address]);
  this->awaiting_probe.erase(address);
  bool silent = false;
  for (const RequestId id : waiting) {
    const ConnectionFinding finding =
        this->monitor.OnProbe(id, OutcomeOf(status), Now());
    const auto found = this->exchanges.find(id);
    const bool is_silent = finding.verdict == ConnectionVerdict::kSilent;
    silent = silent || is_silent;
    if (found != this->exchanges.end() &&
        (is_silent || found->second.has_timed_out ||
         finding.verdict == ConnectionVerdict::kRecovered)) {
      this->RemoveExchange(id);
    }
  }
  if (silent) {
    this->RetireSilent(address, status.value());
  }
}

void MonitoredWorkerClient::RetireSilent(const std::string& address,
                                         const WorkerStatus& status) {
  ++this->context->metrics->Counter("daisyroad_silent_connections_total");
  this->context->decisions->Write(
      kRoutingLog, LogDecision("connection")
                       .Field("peer", address)
                       .Field("verdict", "silent")
                       .Field("reason", "a new connection answers"));
  this->next->RetireConnections(address);
  if (this->handler) {
    this->handler(address, status);
  }
}

}  // namespace daisyroad
