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

// Reads and seals the claim logs of earlier epochs. An owner that is still in
// the roster has the time `seal_grace` to seal its log itself as clean.
class ClaimRecovery {
 public:
  struct Source {
    LogName log;
    bool is_owner_in_roster = false;
  };
  using Action = std::variant<CreateBatch, ReadLog>;

  ClaimRecovery(EntryName self,
                const std::vector<Source>& sources,
                Duration seal_grace,
                Duration retry_delay,
                MonotonicTime now);

  std::vector<Action> Tick(MonotonicTime now);
  std::vector<Action> OnCreateAnswer(const LogName& log,
                                     std::uint64_t seq,
                                     CreateOutcome outcome,
                                     MonotonicTime now);
  // Appends each batch of a log once, in order, to Progress::records.
  std::vector<Action> OnReadAnswer(const LogName& log,
                                   std::uint64_t from,
                                   const std::optional<LogPage>& page,
                                   MonotonicTime now);

  bool done() const;
  // Frees the records of all logs and keeps the rest of the progress.
  void DropRecords();
  struct Progress {
    enum class Step { kReading, kCreating, kWaiting, kSealed };
    Step step = Step::kWaiting;
    MonotonicTime next_read_at;     // end of kWaiting
    MonotonicTime seal_not_before;  // end of the grace period
    std::uint64_t next_seq = 0;
    bool clean = false;
    std::vector<ClaimRecord> records;
  };
  const std::map<LogName, Progress>& logs() const { return this->progress; }

 private:
  std::vector<Action> RequestRead(const LogName& log, Progress& log_progress);

  EntryName self;
  Duration retry_delay;
  std::map<LogName, Progress> progress;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_RECOVERY_H_
