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
  const MonotonicTime due = now + (record.state == ClaimState::kOpen
                                       ? this->options.batch_delay
                                       : this->options.fate_batch_delay);
  this->batch_due = this->queue.empty() ? due : std::min(this->batch_due, due);
  this->queue.push_back(std::move(record));
}

std::vector<LogAction> ClaimLog::Tick(MonotonicTime now) {
  if (this->is_sealed) {
    return this->queue.empty() ? std::vector<LogAction>()
                               : this->ReportRecordsLost();
  }
  if (this->step == Step::kRetryCreate && now >= this->retry_at) {
    return this->RequestCreate();
  }
  if (this->step == Step::kRetryRead && now >= this->retry_at) {
    return this->RequestRead();
  }
  if (this->step != Step::kIdle) {
    return {};
  }
  const bool is_due = !this->queue.empty() && now >= this->batch_due;
  return is_due || this->is_closing ? this->StartBatch(now) : this->Trim(now);
}

std::vector<LogAction> ClaimLog::StartBatch(MonotonicTime now) {
  const std::size_t count =
      std::min(this->queue.size(), this->options.max_batch_records);
  const std::deque<ClaimRecord>::iterator end =
      this->queue.begin() + static_cast<std::ptrdiff_t>(count);
  this->batch = ClaimBatch{this->log.incarnation, false, false, {}};
  this->batch.records.assign(std::make_move_iterator(this->queue.begin()),
                             std::make_move_iterator(end));
  this->queue.erase(this->queue.begin(), end);
  this->batch.seal = this->is_closing && this->queue.empty();
  this->batch.clean = this->batch.seal;
  this->batch_due = now + this->options.batch_delay;
  return this->RequestCreate();
}

std::vector<LogAction> ClaimLog::RequestCreate() {
  this->step = Step::kCreating;
  this->is_seq_taken = false;
  return {CreateBatch{this->log, this->next_seq, this->batch}};
}

std::vector<LogAction> ClaimLog::RequestRead() {
  this->step = Step::kReading;
  return {ReadLog{this->log, this->next_seq}};
}

void ClaimLog::RetryLater(Step retry_step, MonotonicTime now) {
  this->step = retry_step;
  this->retry_at = now + this->options.retry_delay;
}

std::vector<LogAction> ClaimLog::OnCreateAnswer(std::uint64_t seq,
                                                CreateOutcome outcome,
                                                MonotonicTime now) {
  // Answers may arrive out of order. kCreated proves that the batch was
  // written, whichever attempt it answers; other outcomes matter only while a
  // create request is pending.
  if (this->is_sealed || seq != this->next_seq || this->step == Step::kIdle) {
    return {};
  }
  if (outcome == CreateOutcome::kCreated) {
    return this->FinishBatch(now);
  }
  if (this->step != Step::kCreating) {
    return {};
  }
  this->is_seq_taken = outcome == CreateOutcome::kExists;
  return this->RequestRead();
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
    // The read may be stale. If the SEQ is known to exist, it is read again.
    this->RetryLater(this->is_seq_taken ? Step::kRetryRead : Step::kRetryCreate,
                     now);
    return {};
  }
  return page->front().second == this->batch ? this->FinishBatch(now)
                                             : this->ReportRecordsLost();
}

std::vector<LogAction> ClaimLog::FinishBatch(MonotonicTime now) {
  if (this->trim_marks.empty() ||
      now - this->trim_marks.back().second >= this->options.trim_interval) {
    this->trim_marks.emplace_back(this->next_seq, now);
  }
  this->step = Step::kIdle;
  this->next_seq += 1;
  this->is_sealed = this->batch.seal;
  RecordsDurable durable{std::move(this->batch.records)};
  this->batch = ClaimBatch();
  return {std::move(durable)};
}

std::vector<LogAction> ClaimLog::ReportRecordsLost() {
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
  // All batches before the second mark are at least as old as that mark.
  while (this->trim_marks.size() > 1 &&
         now - this->trim_marks[1].second > this->options.retention) {
    below = this->trim_marks[1].first;
    this->trim_marks.pop_front();
  }
  if (below <= 1) {
    return {};
  }
  return {TrimLog{this->log, below}};
}

}  // namespace daisyroad
