#include "Core/Claims/claim_log.h"

#include <algorithm>
#include <iterator>

namespace daisyroad {

ClaimLog::ClaimLog(LogName log, Options options)
    : log(std::move(log)), options(options) {}

std::size_t ClaimLog::unflushed() const {
  return this->queue.size() + this->batch.records.size();
}

void ClaimLog::Append(ClaimRecord record, MonotonicTime now) {
  const MonotonicTime due =
      now + (record.state == ClaimState::kOpen ? this->options.batch_time
                                               : this->options.fate_time);
  this->batch_due = this->queue.empty() ? due : std::min(this->batch_due, due);
  this->queue.push_back(std::move(record));
}

std::vector<LogAction> ClaimLog::Tick(MonotonicTime now) {
  if (this->is_sealed) {
    return this->queue.empty() ? std::vector<LogAction>() : this->Sealed();
  }
  if (this->step == Step::kRetryCreate && now >= this->retry_at) {
    return this->Create();
  }
  if (this->step == Step::kRetryRead && now >= this->retry_at) {
    return this->Read();
  }
  if (this->step != Step::kIdle) {
    return {};
  }
  const bool due = !this->queue.empty() && now >= this->batch_due;
  return due || this->closing ? this->StartBatch(now) : this->Trim(now);
}

std::vector<LogAction> ClaimLog::StartBatch(MonotonicTime now) {
  const std::size_t count =
      std::min(this->queue.size(), this->options.max_batch);
  const std::deque<ClaimRecord>::iterator end =
      this->queue.begin() + static_cast<std::ptrdiff_t>(count);
  this->batch = ClaimBatch{this->log.incarnation, false, false, {}};
  this->batch.records.assign(std::make_move_iterator(this->queue.begin()),
                             std::make_move_iterator(end));
  this->queue.erase(this->queue.begin(), end);
  this->batch.seal = this->closing && this->queue.empty();
  this->batch.clean = this->batch.seal;
  this->batch_due = now + this->options.batch_time;
  return this->Create();
}

std::vector<LogAction> ClaimLog::Create() {
  this->step = Step::kCreating;
  this->exists = false;
  return {CreateBatch{this->log, this->next_seq, this->batch}};
}

std::vector<LogAction> ClaimLog::Read() {
  this->step = Step::kReading;
  return {ReadLog{this->log, this->next_seq}};
}

void ClaimLog::RetryLater(Step next, MonotonicTime now) {
  this->step = next;
  this->retry_at = now + this->options.retry_time;
}

std::vector<LogAction> ClaimLog::OnCreateAnswer(std::uint64_t seq,
                                                CreateOutcome outcome,
                                                MonotonicTime now) {
  // Answers may be reordered. "Created" is proof whenever it arrives; the
  // others matter only to the request that is waiting.
  if (this->is_sealed || seq != this->next_seq || this->step == Step::kIdle) {
    return {};
  }
  if (outcome == CreateOutcome::kCreated) {
    return this->Written(now);
  }
  if (this->step != Step::kCreating) {
    return {};
  }
  this->exists = outcome == CreateOutcome::kExists;
  return this->Read();
}

std::vector<LogAction> ClaimLog::OnReadAnswer(
    std::uint64_t from,
    const std::optional<LogPage>& page,
    MonotonicTime now) {
  if (this->is_sealed || from != this->next_seq ||
      this->step != Step::kReading) {
    return {};
  }
  if (!page) {
    this->RetryLater(Step::kRetryRead, now);
    return {};
  }
  if (page->empty() || page->front().first != this->next_seq) {
    // A read may be stale: a SEQ that is known to exist is read again.
    this->RetryLater(this->exists ? Step::kRetryRead : Step::kRetryCreate, now);
    return {};
  }
  return page->front().second == this->batch ? this->Written(now)
                                             : this->Sealed();
}

std::vector<LogAction> ClaimLog::Written(MonotonicTime now) {
  if (this->written.empty() ||
      now - this->written.back().second >= this->options.trim_interval) {
    this->written.emplace_back(this->next_seq, now);
  }
  this->step = Step::kIdle;
  this->next_seq += 1;
  this->is_sealed = this->batch.seal;
  RecordsDurable durable{std::move(this->batch.records)};
  this->batch = ClaimBatch();
  return {std::move(durable)};
}

std::vector<LogAction> ClaimLog::Sealed() {
  this->is_sealed = true;
  RecordsLost lost{std::move(this->batch.records)};
  lost.records.insert(lost.records.end(), this->queue.begin(),
                      this->queue.end());
  this->batch = ClaimBatch();
  this->queue.clear();
  return {std::move(lost)};
}

std::vector<LogAction> ClaimLog::Trim(MonotonicTime now) {
  if (now < this->next_trim) {
    return {};
  }
  this->next_trim = now + this->options.trim_interval;
  std::uint64_t below = 0;
  // Batches before the second mark were written before the second mark.
  while (this->written.size() > 1 &&
         now - this->written[1].second > this->options.retention) {
    below = this->written[1].first;
    this->written.pop_front();
  }
  if (below <= 1) {
    return {};
  }
  return {TrimLog{this->log, below}};
}

}  // namespace daisyroad
