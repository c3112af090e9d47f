// Orders to the workers and their answers.

#include <utility>

#include "UnitTests/Jobs/takeover_simulation.h"
#include "UnitTests/Jobs/takeover_timing.h"

namespace daisyroad {

void TakeoverSimulation::Answer(const LeaderPointer& leader,
                                Duration delay,
                                std::function<void()> handle) {
  this->queue.After(delay, [this, leader, handle = std::move(handle)]() {
    if (leader->is_stopped) {
      return;
    }
    if (this->IsPaused(leader->instance)) {
      ++this->totals->answers_after_pauses;
      this->Answer(leader,
                   this->instances[leader->instance].paused_until -
                       this->Now() + this->Upto(30),
                   handle);
      return;
    }
    handle();
  });
}

void TakeoverSimulation::Depart(const LeaderPointer& leader,
                                Host* host,
                                std::function<void(const Departure&)> arrive) {
  const Departure departure{TargetProcess(*host), false};
  const std::int64_t process = this->instances[leader->instance].start_count;
  this->queue.After(this->Delay(), [this, leader, host, departure, process,
                                    arrive = std::move(arrive)]() {
    if (!this->IsPaused(leader->instance) || this->random.Chance(0.3)) {
      arrive(departure);
      return;
    }
    const Instance& instance = this->instances[leader->instance];
    this->queue.After(
        instance.paused_until - this->Now() + this->Upto(30),
        [this, leader, host, process, departure, arrive]() {
          if (this->instances[leader->instance].start_count == process &&
              this->instances[leader->instance].is_alive) {
            ++this->totals->orders_after_pauses;
            // An order names the process that it is meant for.
            const int target = this->options.reaches_next_process
                                   ? TargetProcess(*host)
                                   : departure.target;
            arrive(Departure{target, this->random.Chance(0.5)});
          }
        });
  });
}

int TakeoverSimulation::TargetProcess(const Host& host) {
  return host.worker == nullptr ? 0 : host.start_count;
}

void TakeoverSimulation::ExecuteLate(Host* host,
                                     std::function<void()> execute) {
  ++this->totals->late_orders;
  // Without the option, an order that a worker has delayed is lost when the
  // worker restarts.
  this->queue.After(Milliseconds(500) + this->Upto(8000),
                    [this, host, start_count = host->start_count,
                     execute = std::move(execute)]() {
                      const bool is_same = host->start_count == start_count;
                      if (host->worker != nullptr &&
                          (is_same || this->options.reaches_next_process)) {
                        this->totals->orders_to_next_process += !is_same;
                        execute();
                      }
                    });
}

StartOutcome TakeoverSimulation::ExecuteStart(const LeaderPointer& leader,
                                              const StartRun& order) {
  Host& host = this->hosts.at(order.worker);
  // After the faults all tasks are short, so that each job can end.
  const double length =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 0.0;
  FakeWorker::RunPlan run_plan{
      length < 0.7   ? Milliseconds(100) + this->Upto(1500)
      : length < 0.9 ? Milliseconds(2000) + this->Upto(10000)
                     : Milliseconds(10000) + this->Upto(15000),
      this->random.Chance(0.03) ? EndKind::kFailed : EndKind::kDone};
  const bool is_lasting = this->lasting_jobs.contains(order.task.job);
  if (is_lasting && run_plan.end == EndKind::kDone) {
    run_plan.duration.reset();
  }
  this->Check();
  const std::map<TaskRef, FakeWorker::Run>::const_iterator before =
      host.worker->runs().find(order.task);
  const bool is_there =
      before != host.worker->runs().end() && before->second.number == order.run;
  const StartOutcome outcome =
      host.worker->Start(order, leader->fence, run_plan, this->TimeAt(host));
  this->Trace("fence " + std::to_string(leader->fence) + " orders " +
              order.task.ToString() + " run " + std::to_string(order.run) +
              " on " + order.worker.str() + ": " + ToString(outcome));
  if (outcome == StartOutcome::kStarted && !is_there) {
    ++this->totals->starts;
    this->totals->starts_of_lasting += is_lasting;
    this->totals->starts_by_replaced += this->IsReplaced(*leader);
    ++this->starts[order.task];
    this->starter = this->IsReplaced(*leader) ? ", by a replaced scheduler"
                                              : ", by the latest scheduler";
    if (this->acknowledged_done.contains(order.task)) {
      this->Fail("start of " + order.task.ToString() +
                 " after its completion was acknowledged" + this->starter);
    }
    this->Check();
  }
  return outcome;
}

void TakeoverSimulation::SendStart(const LeaderPointer& leader,
                                   const StartRun& order) {
  Host& host = this->hosts.at(order.worker);
  const double fault =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 1.0;
  const bool is_answer_lost = fault < 0.05;
  const bool is_late = fault >= 0.05 && fault < 0.09;
  const bool is_lost = fault >= 0.09 && fault < 0.11;
  this->Depart(
      leader, &host,
      [this, leader, order, &host, is_answer_lost, is_late,
       is_lost](const Departure& departure) {
        StartOutcome outcome = StartOutcome::kUnknown;
        std::optional<Milliseconds> clock;
        const bool is_linked = this->IsLinked(*leader, host) && !is_lost;
        const bool has_arrived = is_linked && host.worker != nullptr &&
                                 host.start_count == departure.target;
        if (is_linked && host.worker == nullptr) {
          outcome = StartOutcome::kNotReceived;
        } else if (has_arrived && is_late) {
          this->ExecuteLate(&host, [this, leader, order]() {
            this->ExecuteStart(leader, order);
          });
        } else if (has_arrived) {
          outcome = this->ExecuteStart(leader, order);
          clock = host.worker->Clock(this->TimeAt(host));
          if (is_answer_lost || departure.is_timed_out) {
            ++this->totals->lost_answers;
            outcome = StartOutcome::kUnknown;
            clock.reset();
          }
        }
        this->Answer(
            leader,
            outcome == StartOutcome::kUnknown ? kOrderTimeout : this->Delay(),
            [this, leader, order, outcome, clock]() {
              leader->is_fenced |= outcome == StartOutcome::kFenced;
              leader->scheduler.OnStart(order, outcome, clock, this->Now());
              this->TraceDecisions(leader.get());
            });
      });
}

void TakeoverSimulation::SendStop(const LeaderPointer& leader,
                                  const StopRun& order) {
  Host& host = this->hosts.at(order.worker);
  const double fault =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 1.0;
  this->Depart(
      leader, &host,
      [this, leader, order, &host, fault,
       asked_at = this->Now()](const Departure& departure) {
        const auto execute = [this, leader, order, &host]() {
          this->Check();
          const Milliseconds takes =
              this->options.has_slow_stops ? this->Upto(880) : Milliseconds(0);
          this->totals->slow_stops += takes.count() > 100;
          const bool is_done = host.worker->Stop(order, leader->fence,
                                                 this->TimeAt(host), takes);
          this->Trace("fence " + std::to_string(leader->fence) + " stops " +
                      order.task.ToString() + " run " +
                      std::to_string(order.run) + " on " + order.worker.str() +
                      (is_done ? "" : ": refused"));
          return is_done;
        };
        bool is_executed = false;
        bool is_fenced = false;
        if (this->IsLinked(*leader, host) && host.worker != nullptr &&
            host.start_count == departure.target && fault >= 0.04) {
          if (fault < 0.07) {
            this->ExecuteLate(&host, [execute]() { execute(); });
          } else {
            is_executed = execute();
            is_fenced = !is_executed;
          }
        }
        // The answer to one order in 25 is lost.
        const bool is_answered =
            is_executed && fault >= 0.11 && !departure.is_timed_out;
        this->Answer(leader, is_answered ? this->Delay() : kOrderTimeout,
                     [this, leader, order, is_answered, is_fenced, asked_at]() {
                       this->UpdateSole(leader);
                       leader->is_fenced |= is_fenced;
                       leader->scheduler.OnStop(order, is_answered, asked_at,
                                                this->Now());
                     });
      });
}

std::optional<RunReport> TakeoverSimulation::ExecuteAsk(
    const LeaderPointer& leader,
    const AskReport& order) {
  this->Check();
  Host& host = this->hosts.at(order.worker);
  std::vector<NotedEnd> acknowledged;
  for (const RunEnd& end : host.worker->ends()) {
    if (end.sequence <= order.acknowledged &&
        end.sequence > host.worker->lapsed_ends() &&
        end.kind == EndKind::kDone) {
      acknowledged.push_back(host.ends.at(end.sequence));
    }
  }
  std::optional<RunReport> report =
      host.worker->Report(order, leader->fence, this->TimeAt(host));
  if (!report) {
    return report;
  }
  this->totals->renewals_by_replaced +=
      this->IsReplaced(*leader) && order.lease_until.count() > 0;
  for (const NotedEnd& end : acknowledged) {
    this->acknowledged_done.insert(end.task);
    this->Trace("fence " + std::to_string(leader->fence) + " acknowledges " +
                end.task.ToString() + " done on " + order.worker.str());
    if (this->starts[end.task] > end.starts) {
      this->Fail("start of " + end.task.ToString() +
                 " after its end, which was acknowledged later");
    }
  }
  return report;
}

void TakeoverSimulation::SendAsk(const LeaderPointer& leader,
                                 const AskReport& order) {
  Host& host = this->hosts.at(order.worker);
  const double fault =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 1.0;
  this->Depart(
      leader, &host,
      [this, leader, order, &host, fault,
       asked_at = this->Now()](const Departure& departure) {
        std::optional<RunReport> report;
        bool is_fenced = false;
        const bool is_linked = this->IsLinked(*leader, host);
        const bool has_arrived = is_linked && host.worker != nullptr &&
                                 host.start_count == departure.target &&
                                 fault >= 0.02;
        if (has_arrived && fault < 0.03) {
          this->ExecuteLate(&host, [this, leader, order]() {
            this->ExecuteAsk(leader, order);
          });
        } else if (has_arrived) {
          report = this->ExecuteAsk(leader, order);
          is_fenced = !report;
        }
        // The answer to one request in 50 is lost.
        const bool is_answered =
            (report || is_fenced) && fault >= 0.05 && !departure.is_timed_out;
        // A worker that is down refuses connections.
        const bool is_refused = is_linked && host.worker == nullptr;
        const auto handle =
            [this, leader, order, is_answered, is_fenced,
             asked_at](const std::optional<RunReport>& received) {
              this->UpdateSole(leader);
              leader->is_fenced |= is_answered && is_fenced;
              if (is_answered && received) {
                this->TraceReport(*leader, order, *received);
                leader->scheduler.OnReport(order.worker, *received, asked_at,
                                           this->Now());
              } else {
                leader->scheduler.OnReportFailed(order.worker, this->Now());
              }
              this->TraceDecisions(leader.get());
            };
        if (this->options.has_slow_stops && is_answered && report &&
            report->ended.empty() && order.wait.count() > 0) {
          ++this->totals->held_reports;
          this->HoldReport(
              leader,
              HeldReport{order, host.start_count, this->Now() + order.wait},
              handle);
          return;
        }
        this->Answer(leader,
                     is_answered || is_refused ? this->Delay() : kOrderTimeout,
                     [handle, report]() { handle(report); });
      });
}

void TakeoverSimulation::HoldReport(
    const LeaderPointer& leader,
    const HeldReport& held,
    std::function<void(const std::optional<RunReport>&)> answer) {
  this->Check();
  Host& host = this->hosts.at(held.order.worker);
  const bool is_there =
      host.worker != nullptr && host.start_count == held.target;
  if (is_there && host.worker->ends().empty() && this->Now() < held.until) {
    this->queue.After(kTick, [this, leader, held, answer]() {
      this->HoldReport(leader, held, answer);
    });
    return;
  }
  const bool is_linked = this->IsLinked(*leader, host);
  std::optional<RunReport> report;
  if (is_there && is_linked) {
    AskReport read;
    read.worker = held.order.worker;
    report =
        host.worker->Report(read, host.worker->fence(), this->TimeAt(host));
  }
  this->Answer(leader, is_linked ? this->Delay() : kOrderTimeout,
               [answer, report]() { answer(report); });
}

}  // namespace daisyroad
