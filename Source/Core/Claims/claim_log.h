#ifndef SOURCE_CORE_CLAIMS_CLAIM_LOG_H_
#define SOURCE_CORE_CLAIMS_CLAIM_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "Core/Claims/claim_actions.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Writes one claim log. Only one batch is in flight at a time, so batches
// become durable in order. A retry writes the same batch at the same SEQ.
class ClaimLog {
 public:
  struct Options {
    // How long an open claim waits for others to share its batch.
    Duration batch_delay = Milliseconds(10);
    // The same for a record of a later state. No request waits for it to become
    // durable, so it is usually written along with later claims.
    Duration fate_batch_delay = std::chrono::seconds(1);
    Duration retry_delay = Milliseconds(100);
    Duration retention = std::chrono::minutes(10);
    Duration trim_interval = std::chrono::minutes(1);
    // Keeps a batch well below the 1 MB limit of a store value.
    std::size_t max_batch_records = 1000;
  };

  ClaimLog(LogName log, Options options);

  void Append(ClaimRecord record, MonotonicTime now);
  // Seals the log as `clean` once all appended records are durable.
  void Close() { this->is_closing = true; }
  std::vector<LogAction> Tick(MonotonicTime now);
  std::vector<LogAction> OnCreateAnswer(std::uint64_t seq,
                                        CreateOutcome outcome,
                                        MonotonicTime now);
  // `page` is empty if the read failed.
  std::vector<LogAction> OnReadAnswer(std::uint64_t from,
                                      const std::optional<LogPage>& page,
                                      MonotonicTime now);

  const LogName& name() const { return this->log; }
  bool sealed() const { return this->is_sealed; }
  // Number of records that are not known to be durable.
  std::size_t unflushed() const;

 private:
  enum class Step { kIdle, kCreating, kReading, kRetryCreate, kRetryRead };

  std::vector<LogAction> StartBatch(MonotonicTime now);
  std::vector<LogAction> RequestCreate();
  std::vector<LogAction> RequestRead();
  std::vector<LogAction> FinishBatch(MonotonicTime now);
  std::vector<LogAction> ReportRecordsLost();
  std::vector<LogAction> Trim(MonotonicTime now);
  void RetryLater(Step retry_step, MonotonicTime now);

  LogName log;
  Options options;
  Step step = Step::kIdle;
  bool is_closing = false;
  bool is_sealed = false;
  // A batch with SEQ `next_seq` exists, of this writer or of another one.
  bool is_seq_taken = false;
  std::uint64_t next_seq = 0;
  ClaimBatch batch;
  std::deque<ClaimRecord> queue;
  MonotonicTime batch_due;
  MonotonicTime retry_at;
  MonotonicTime next_trim;
  // First SEQ written in each trim interval, with the time of the write.
  std::deque<std::pair<std::uint64_t, MonotonicTime>> trim_marks;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_LOG_H_
