// Sends the orders of the scheduler and passes it the answers.

#include "Core/Site/pool_leader_state.h"

#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/overloaded.h"
#include "Core/Platform/run_client.h"
#include "Core/Site/advice_dispatcher.h"

namespace daisyroad {
namespace {

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

const WorkerListing* PoolLeader::State::FindWorker(
    const WorkerName& worker) const {
  const std::map<WorkerName, WorkerListing>::const_iterator found =
      this->known_workers.find(worker);
  return found == this->known_workers.end() ? nullptr : &found->second;
}

void PoolLeader::State::Count(const char* name, const std::string& labels) {
  ++this->context.metrics->Counter(name, labels);
}

void PoolLeader::State::Send(const Order& order) {
  std::visit(
      Overloaded{[this](const StartRun& start) { this->SendStart(start); },
                 [this](const StopRun& stop) { this->SendStop(stop); },
                 [this](const PaceRun& pace) { this->SendPace(pace); },
                 [this](const AskReport& ask) { this->RequestReport(ask); },
                 [this](const AskAdvice& ask) { this->RequestAdvice(ask); }},
      order);
}

void PoolLeader::State::SendStart(const StartRun& order) {
  const WorkerListing* const worker = this->FindWorker(order.worker);
  if (worker == nullptr) {
    return;
  }
  this->activity.OnStartSent();
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.workers->Start(
      *worker, order, this->term.fence,
      [self, order, sent_at = Now()](const StartAnswer& answer) {
        if (self->is_stopped) {
          return;
        }
        self->start_latency.Observe(Now() - sent_at);
        self->Count(
            "daisyroad_run_starts_total",
            std::string("outcome=\"") + ToString(answer.outcome) + "\"");
        self->activity.OnStartAnswered(answer.outcome);
        if (answer.outcome == StartOutcome::kFenced) {
          self->OnFenced(order.worker);
        }
        self->UpdateSole();
        self->scheduler.OnStart(order, answer.outcome, answer.worker_clock,
                                Now());
        self->SchedulePass();
      });
}

void PoolLeader::State::SendStop(const StopRun& order) {
  const WorkerListing* const worker = this->FindWorker(order.worker);
  if (worker == nullptr) {
    return;
  }
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.workers->Stop(
      *worker, order, this->term.fence,
      [self, order, requested_at = Now()](const Status& status) {
        if (self->is_stopped) {
          return;
        }
        self->Count("daisyroad_run_stops_total", "");
        self->UpdateSole();
        self->OnRequestStatus(order.worker, status, requested_at);
        self->scheduler.OnStop(order, status.ok(), requested_at, Now());
        self->SchedulePass();
      });
}

void PoolLeader::State::RequestAdvice(const AskAdvice& question) {
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.advisor->Ask(
      question,
      [self, question](const Result<std::vector<PlacementTicket>>& tickets) {
        if (self->is_stopped) {
          return;
        }
        if (tickets.ok()) {
          self->scheduler.OnAdvice(question, tickets.value(), Now());
        } else {
          self->scheduler.OnNoAdvice(question, Now());
        }
        self->SchedulePass();
      });
}

void PoolLeader::State::SendPace(const PaceRun& order) {
  const WorkerListing* const worker = this->FindWorker(order.worker);
  if (worker == nullptr) {
    return;
  }
  this->context.workers->Pace(*worker, order, this->term.fence,
                              [](const Status&) {});
}

void PoolLeader::State::RequestReport(const AskReport& order) {
  const WorkerListing* const worker = this->FindWorker(order.worker);
  if (worker == nullptr) {
    return;
  }
  const MonotonicTime requested_at = Now();
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.workers->Report(
      *worker, order, this->term.fence,
      [self, order, requested_at](const Result<RunReport>& report) {
        if (self->is_stopped) {
          return;
        }
        self->activity.OnReportAnswered(report.ok());
        self->UpdateSole();
        if (report.ok()) {
          self->absences.erase(order.worker);
          self->scheduler.OnReport(order.worker, report.value(), requested_at,
                                   Now());
        } else {
          self->OnRequestStatus(order.worker, report.error(), requested_at);
          self->scheduler.OnReportFailed(order.worker, Now());
        }
        self->SchedulePass();
      });
}

void PoolLeader::State::OnRequestStatus(const WorkerName& worker,
                                        const Status& status,
                                        MonotonicTime requested_at) {
  if (status.ok()) {
    return;
  }
  if (status.error().code == Errc::kNotFound) {
    this->scheduler.OnWorkerGone(worker, requested_at, Now());
  } else if (status.error().code == Errc::kConflict) {
    this->OnFenced(worker);
  }
}

void PoolLeader::State::OnFenced(const WorkerName& worker) {
  if (!this->is_fenced) {
    this->is_fenced = true;
    CLOG(WARNING, kTasksLog)
        << "decision=term_fenced pool=" << this->pool
        << " fence=" << this->term.fence << " worker=" << worker;
  }
}

}  // namespace daisyroad
