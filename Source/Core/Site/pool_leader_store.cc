// Store access of a pool leader: loads jobs and progress, saves progress, and
// deletes expired jobs.

#include "Core/Site/pool_leader_state.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kSaveTimeout{600};
constexpr Milliseconds kRetryPause{150};
// A transaction has one expectation for the record of the term, plus one
// expectation and one write per job.
constexpr std::size_t kMaxJobsPerSave = (kMostTransactionEntries - 1) / 2;
// While a job's progress waits to be stored, its workers are not asked for
// their next ends, so a busy pool stores several batches at a time.
constexpr int kMaxSavesInProgress = 4;
constexpr Milliseconds kDeletionInterval{5000};
// A transaction that deletes jobs has one expectation for the record of the
// term.
constexpr std::size_t kMaxDeletions = kMostTransactionEntries - 1;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

void PoolLeader::State::LoadProgress(const std::string& after) {
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.store->List(
      ProgressPrefix(this->pool), after, kLoadTimeout,
      [self, after](const Result<StorePage>& page) {
        if (self->is_stopped) {
          return;
        }
        if (!page.ok()) {
          CLOG(WARNING, kTasksLog)
              << "event=progress_not_loaded pool=" << self->pool << " error=\""
              << page.error().ToString() << "\"";
          self->context.loop->After(
              kRetryPause, [self, after]() { self->LoadProgress(after); });
          return;
        }
        self->AdoptProgress(page.value());
      });
}

void PoolLeader::State::AdoptProgress(const StorePage& page) {
  for (const StoreItem& item : page.items) {
    const JobId job(item.key.substr(ProgressPrefix(this->pool).size()));
    this->progress_revisions[job] = item.revision;
    const Result<Json::Value> json = ParseJson(item.value);
    const Result<JobProgress> parsed = json.ok()
                                           ? ParseJobProgress(job, json.value())
                                           : Result<JobProgress>(json.error());
    if (!parsed.ok()) {
      CLOG(ERROR, kTasksLog)
          << "event=progress_unreadable job=" << job << " error=\""
          << parsed.error().ToString() << "\"";
      continue;
    }
    this->progress[job] = parsed.value();
  }
  if (page.has_more && !page.items.empty()) {
    this->LoadProgress(page.items.back().key);
    return;
  }
  this->is_progress_loaded = true;
  this->inbox = std::make_unique<PrefixMirror>(
      this->context.store, this->context.loop, InboxPrefix(this->pool),
      kInboxWatchWait, [this](const std::vector<StoreChange>& changes) {
        this->OnInbox(changes);
      });
  this->inbox->Start();
}

void PoolLeader::State::OnInbox(const std::vector<StoreChange>& changes) {
  this->UpdateSole();
  const std::string job_prefix = InboxPrefix(this->pool) + "job/";
  const std::string cancel_prefix = InboxPrefix(this->pool) + "cancel/";
  for (const StoreChange& change : changes) {
    if (!change.value) {
      continue;
    }
    if (change.key.starts_with(job_prefix)) {
      this->AddJob(*change.value, change.key);
    } else if (change.key.starts_with(cancel_prefix)) {
      const JobId job(change.key.substr(cancel_prefix.size()));
      this->cancelled_jobs.insert(job);
      this->scheduler.CancelJob(job, Now());
    }
  }
  if (!this->is_inbox_loaded) {
    this->is_inbox_loaded = true;
    this->progress.clear();
    CLOG(INFO, kTasksLog) << "event=pool_ready pool=" << this->pool
                          << " fence=" << this->term.fence
                          << " jobs=" << this->inbox->items().size();
  }
  this->SchedulePass();
}

void PoolLeader::State::AddJob(const std::string& value,
                               const std::string& key) {
  const Result<Json::Value> json = ParseJson(value);
  const Result<AcceptedJob> job = json.ok() ? ParseAcceptedJob(json.value())
                                            : Result<AcceptedJob>(json.error());
  if (!job.ok()) {
    CLOG(ERROR, kTasksLog) << "event=job_unreadable key=" << key << " error=\""
                           << job.error().ToString() << "\"";
    return;
  }
  const JobId id = job.value().id;
  this->scheduler.AddJob(job.value(), this->progress[id],
                         !this->is_inbox_loaded && this->term.number > 1,
                         Now());
  if (this->cancelled_jobs.contains(id)) {
    this->scheduler.CancelJob(id, Now());
  }
}

void PoolLeader::State::Save(MonotonicTime now) {
  while (this->saves_in_progress < kMaxSavesInProgress &&
         this->SaveBatch(now)) {
  }
}

bool PoolLeader::State::SaveBatch(MonotonicTime now) {
  const std::vector<std::pair<JobId, JobProgress>> batch =
      this->scheduler.TakeUnsaved(kMaxJobsPerSave, now);
  if (batch.empty()) {
    return false;
  }
  StoreTransaction transaction;
  transaction.expected.push_back(
      {kLeaderPrefix + this->term.duty, this->term.fence});
  std::vector<JobId> jobs;
  for (const std::pair<JobId, JobProgress>& entry : batch) {
    const std::string key = ProgressKey(this->pool, entry.first);
    transaction.expected.push_back(
        {key, this->progress_revisions[entry.first]});
    transaction.writes.push_back({key, WriteJson(ToJson(entry.second)), 0});
    jobs.push_back(entry.first);
  }
  ++this->saves_in_progress;
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.store->Commit(
      transaction, kSaveTimeout,
      [self, jobs, sent_at = Now()](const Result<TransactionResult>& result) {
        if (!self->is_stopped) {
          self->save_latency.Observe(Now() - sent_at);
          --self->saves_in_progress;
          self->OnSaveResult(jobs, result);
        }
      });
  return true;
}

void PoolLeader::State::OnSaveResult(const std::vector<JobId>& jobs,
                                     const Result<TransactionResult>& result) {
  if (!result.ok()) {
    this->Count("daisyroad_saves_total", "outcome=\"failed\"");
    CLOG(WARNING, kTasksLog) << "event=progress_not_stored pool=" << this->pool
                             << " jobs=" << jobs.size() << " error=\""
                             << result.error().ToString() << "\"";
    // The next pass retries.
    this->scheduler.OnSaveFailed(jobs);
    return;
  }
  if (const TransactionCommitted* const committed =
          std::get_if<TransactionCommitted>(&result.value())) {
    this->Count("daisyroad_saves_total", "outcome=\"stored\"");
    for (const JobId& job : jobs) {
      this->progress_revisions[job] = committed->revision;
    }
    this->scheduler.OnSaved(jobs);
    this->SchedulePass();
    return;
  }
  this->OnSaveConflict(jobs,
                       std::get<TransactionConflict>(result.value()).items);
}

void PoolLeader::State::OnSaveConflict(const std::vector<JobId>& jobs,
                                       const std::vector<StoreItem>& items) {
  this->Count("daisyroad_saves_total", "outcome=\"conflict\"");
  for (const StoreItem& item : items) {
    if (item.key.starts_with(ProgressPrefix(this->pool))) {
      const JobId job(item.key.substr(ProgressPrefix(this->pool).size()));
      this->progress_revisions[job] = item.revision;
    }
  }
  this->scheduler.OnSaveFailed(jobs);
}

void PoolLeader::State::DeleteExpiredJobs(MonotonicTime now) {
  if (now < this->next_deletion) {
    return;
  }
  this->next_deletion = now + kDeletionInterval;
  StoreTransaction transaction;
  std::vector<JobId> jobs;
  for (const std::pair<const std::string, StoreItem>& entry :
       this->inbox->items()) {
    const std::string prefix = InboxPrefix(this->pool) + "job/";
    if (!entry.first.starts_with(prefix)) {
      continue;
    }
    const JobId job(entry.first.substr(prefix.size()));
    const std::optional<JobStatus> status = this->scheduler.StatusOf(job);
    if (!status || !IsFinal(*status)) {
      continue;
    }
    const MonotonicTime since =
        this->final_since.emplace(job, now).first->second;
    if (now - since <= this->context.retention) {
      continue;
    }
    std::vector<std::string> keys{entry.first, JobPoolKey(job),
                                  ProgressKey(this->pool, job)};
    if (this->cancelled_jobs.contains(job)) {
      keys.push_back(CancelKey(this->pool, job));
    }
    if (transaction.deletions.size() + keys.size() <= kMaxDeletions) {
      jobs.push_back(job);
      transaction.deletions.insert(transaction.deletions.end(), keys.begin(),
                                   keys.end());
    }
  }
  if (jobs.empty()) {
    return;
  }
  transaction.expected.push_back(
      {kLeaderPrefix + this->term.duty, this->term.fence});
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.store->Commit(
      transaction, kSaveTimeout,
      [self, jobs](const Result<TransactionResult>& result) {
        if (self->is_stopped || !result.ok() ||
            !std::holds_alternative<TransactionCommitted>(result.value())) {
          return;
        }
        for (const JobId& job : jobs) {
          self->scheduler.ForgetJob(job);
          self->final_since.erase(job);
          self->progress_revisions.erase(job);
          self->cancelled_jobs.erase(job);
        }
      });
}

}  // namespace daisyroad
