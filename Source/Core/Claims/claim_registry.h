#ifndef SOURCE_CORE_CLAIMS_CLAIM_REGISTRY_H_
#define SOURCE_CORE_CLAIMS_CLAIM_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/Claims/claim_actions.h"
#include "Core/Claims/claim_log.h"
#include "Core/Claims/claim_recovery.h"
#include "Core/Claims/registrar_choice.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Registrar of one entry incarnation: decides which keyed non-idempotent
// requests may be sent. The task identifier must differ in each submission.
class ClaimRegistry {
 public:
  struct Options {
    ClaimLog::Options log;
    // Time for a live owner to seal its own log before others seal it.
    Duration seal_grace = Milliseconds(500);
    std::size_t max_entries = 200000;
    std::size_t max_unflushed = 50000;
  };
  enum class Outcome {
    kClaiming,      // new: send when ClaimReady arrives
    kDuplicate,     // `task` and `state` of the earlier submission
    kUnknown,       // may have run under a lost registrar
    kNotRegistrar,  // not run here; `registrar` is responsible
    kNotServing,    // not run: earlier logs are not all read, or log sealed
    kFull,          // not run: bounded memory is used up
  };
  struct Answer {
    Outcome outcome = Outcome::kNotServing;
    TaskId task;
    ClaimState state = ClaimState::kOpen;
    EntryName registrar;
  };

  ClaimRegistry(EntryName self, Options options);

  // `previous`: every earlier roster that was in force within the retention.
  // `outage_possible`: false only if this instance or a peer knows that no
  // agreed store outage occurred within the retention.
  std::vector<ClaimAction> StartEpoch(const ClaimRoster& roster,
                                      const std::vector<ClaimRoster>& previous,
                                      bool outage_possible,
                                      MonotonicTime now);
  // While true, claims are ready before they are in the store (design 3.4,
  // `store_outage`). Call with false as soon as the state ends.
  std::vector<ClaimAction> SetAgreedOutage(bool agreed);

  std::pair<Answer, std::vector<ClaimAction>> Submit(const std::string& key,
                                                     const TaskId& task,
                                                     MonotonicTime now);
  // The fate of a task became known (kNotRun, kRan) or is given up (kUnknown).
  // After kNotRun the key can be submitted again.
  void OnFate(const std::string& key,
              const TaskId& task,
              ClaimState state,
              MonotonicTime now);

  std::vector<ClaimAction> Tick(MonotonicTime now);
  std::vector<ClaimAction> OnCreateAnswer(const LogName& log,
                                          std::uint64_t seq,
                                          CreateOutcome outcome,
                                          MonotonicTime now);
  std::vector<ClaimAction> OnReadAnswer(const LogName& log,
                                        std::uint64_t from,
                                        const std::optional<LogPage>& page,
                                        MonotonicTime now);

  bool serving() const { return this->is_serving; }
  std::size_t size() const { return this->entries.size(); }
  std::size_t unflushed() const;

 private:
  struct Entry {
    TaskId task;
    ClaimState state = ClaimState::kOpen;
    bool ready = false;      // the task may have been sent
    bool recovered = false;  // claimed by another registrar
    std::uint64_t epoch = 0;
    MonotonicTime expires;
  };
  // Keys of a lost registrar that may have held claims only in memory.
  struct UnknownKeys {
    ClaimRoster roster;
    EntryName incarnation;
    MonotonicTime until;
  };
  struct Expiry {
    MonotonicTime at;
    std::string key;
    TaskId task;
  };
  using TaskStates = std::map<TaskId, ClaimState>;

  std::vector<ClaimAction> Apply(std::vector<LogAction> actions);
  void MarkDurable(const RecordsDurable& durable,
                   std::vector<ClaimAction>* actions);
  void MarkLost(const RecordsLost& lost, std::vector<ClaimAction>* actions);
  std::vector<ClaimAction> Claim(const std::string& key,
                                 const TaskId& task,
                                 MonotonicTime now);
  void FinishRecovery(MonotonicTime now);
  void Recover(const std::string& key,
               const TaskStates& tasks,
               MonotonicTime now);
  void NoteUnflushed(MonotonicTime now);
  bool InUnknownKeys(const std::string& key) const;
  void Expire(MonotonicTime now);
  void Schedule(const std::string& key, const Entry& entry, MonotonicTime at);
  std::vector<ClaimAction> TrimSealedLogs(MonotonicTime now);
  ClaimLog* FindLog(const LogName& name);

  EntryName self;
  Options options;
  ClaimRoster roster;
  std::vector<ClaimRoster> earlier;
  bool outage_could_be = true;
  bool agreed_outage = false;
  bool is_serving = false;
  std::map<LogName, ClaimLog> logs;  // own logs; the last is the current one
  std::optional<ClaimRecovery> recovery;
  std::optional<MonotonicTime> trim_at;
  std::unordered_map<std::string, Entry> entries;
  std::vector<UnknownKeys> unknown_keys;
  std::deque<Expiry> expiries;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_CLAIM_REGISTRY_H_
