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

// Writer of one claim log. One batch is in flight at a time, so batches become
// durable in order. Retries repeat the same batch at the same SEQ.
class ClaimLog {
 public:
  struct Options {
    Duration batch_time = Milliseconds(10);
    // Nobody waits for a fate to be durable; it goes along with later claims.
    Duration fate_time = std::chrono::seconds(1);
    Duration retry_time = Milliseconds(100);
    Duration retention = std::chrono::minutes(10);
    Duration trim_interval = std::chrono::minutes(1);
    // Keeps a batch well below the 1 MB that a store value holds.
    std::size_t max_batch = 1000;
  };

  ClaimLog(LogName log, Options options);

  void Append(ClaimRecord record, MonotonicTime now);
  // Seals the log as `clean` after everything appended is durable.
  void Close() { this->closing = true; }
  std::vector<LogAction> Tick(MonotonicTime now);
  std::vector<LogAction> OnCreateAnswer(std::uint64_t seq,
                                        CreateOutcome outcome,
                                        MonotonicTime now);
  // No page: the read failed.
  std::vector<LogAction> OnReadAnswer(std::uint64_t from,
                                      const std::optional<LogPage>& page,
                                      MonotonicTime now);

  const LogName& name() const { return this->log; }
  bool sealed() const { return this->is_sealed; }
  // Records that are not known to be durable.
  std::size_t unflushed() const;

 private:
  enum class Step { kIdle, kCreating, kReading, kRetryCreate, kRetryRead };

  std::vector<LogAction> StartBatch(MonotonicTime now);
  std::vector<LogAction> Create();
  std::vector<LogAction> Read();
  std::vector<LogAction> Written(MonotonicTime now);
  std::vector<LogAction> Sealed();
  std::vector<LogAction> Trim(MonotonicTime now);
  void RetryLater(Step step, MonotonicTime now);

  LogName log;
  Options options;
  Step step = Step::kIdle;
  bool closing = false;
  bool is_sealed = false;
  bool exists = false;  // another writer's or our own batch has this SEQ
  std::uint64_t next_seq = 0;
  ClaimBatch batch;
  std::deque<ClaimRecord> queue;
  MonotonicTime batch_due;
  MonotonicTime retry_at;
  MonotonicTime next_trim;
  // Last SEQ of each trim interval and when it was written.
  std::deque<std::pair<std::uint64_t, MonotonicTime>> written;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_LOG_H_
