#ifndef SOURCE_CORE_CLAIMS_CLAIM_RECOVERY_H_
#define SOURCE_CORE_CLAIMS_CLAIM_RECOVERY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Core/Claims/claim_actions.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Reads and seals the logs of earlier epochs. The owner of a log that is still
// in the roster gets `grace` to seal it itself as clean.
class ClaimRecovery {
 public:
  struct Source {
    LogName log;
    bool owner_remains = false;
  };
  using Action = std::variant<CreateBatch, ReadLog>;

  ClaimRecovery(EntryName self,
                const std::vector<Source>& sources,
                Duration grace,
                Duration retry_time,
                MonotonicTime now);

  std::vector<Action> Tick(MonotonicTime now);
  std::vector<Action> OnCreateAnswer(const LogName& log,
                                     std::uint64_t seq,
                                     CreateOutcome outcome,
                                     MonotonicTime now);
  // Passes each batch once, in order, to `records` of the log.
  std::vector<Action> OnReadAnswer(const LogName& log,
                                   std::uint64_t from,
                                   const std::optional<LogPage>& page,
                                   MonotonicTime now);

  bool done() const;
  // Frees the records; the progress stays.
  void DropRecords();
  struct Progress {
    enum class Step { kReading, kCreating, kWaiting, kSealed };
    Step step = Step::kWaiting;
    MonotonicTime next_at;  // when kWaiting ends
    MonotonicTime seal_after;
    std::uint64_t next_seq = 0;
    bool clean = false;
    std::vector<ClaimRecord> records;
  };
  const std::map<LogName, Progress>& logs() const { return this->progress; }

 private:
  std::vector<Action> Read(const LogName& log, Progress& entry);

  EntryName self;
  Duration retry_time;
  std::map<LogName, Progress> progress;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_RECOVERY_H_
