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

// Deduplicates non-idempotent requests by their idempotency key. Each key has
// one responsible instance, its registrar, chosen by ChooseRegistrar(); this
// class is the registrar role of one entry incarnation. It writes a claim to
// the store before a task may be sent, so that each request runs at most once.
// Every submission must have a new task identifier.
class ClaimRegistry {
 public:
  struct Options {
    ClaimLog::Options log;
    // Time that an owner in the roster has to seal its own log before others
    // seal it.
    Duration seal_grace = Milliseconds(500);
    std::size_t max_entries = 200000;
    std::size_t max_unflushed = 50000;
  };
  enum class Outcome {
    kClaiming,      // new key: send the task after ClaimReady
    kDuplicate,     // `task` and `state` are those of the earlier submission
    kUnknown,       // a lost registrar may have sent the request
    kNotRegistrar,  // not run here; `registrar` is responsible
    kNotServing,    // not run: earlier logs not all read, or own log sealed
    kFull,          // not run: max_entries or max_unflushed is reached
  };
  struct Answer {
    Outcome outcome = Outcome::kNotServing;
    TaskId task;
    ClaimState state = ClaimState::kOpen;
    EntryName registrar;
  };

  ClaimRegistry(EntryName self, Options options);

  // `previous` holds every earlier roster that was in force within the
  // retention time. `outage_possible` is false only if this instance or a peer
  // knows that no agreed store outage occurred within the retention time.
  std::vector<ClaimAction> StartEpoch(const ClaimRoster& new_roster,
                                      const std::vector<ClaimRoster>& previous,
                                      bool outage_possible,
                                      MonotonicTime now);
  // During an agreed outage, claims are ready before they are in the store
  // (design 3.4, `store_outage`). The caller must pass false as soon as that
  // state ends.
  std::vector<ClaimAction> SetAgreedOutage(bool is_agreed);

  std::pair<Answer, std::vector<ClaimAction>> Submit(const std::string& key,
                                                     const TaskId& task,
                                                     MonotonicTime now);
  // Records whether a task ran (kRan, kNotRun), or that this can no longer be
  // determined (kUnknown). After kNotRun the key can be submitted again.
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
    bool is_ready = false;      // the task may have been sent
    bool is_recovered = false;  // claimed by another registrar
    std::uint64_t epoch = 0;
    MonotonicTime expires_at;
  };
  // All keys of a lost registrar that may have held claims only in memory.
  struct UnknownKeys {
    ClaimRoster roster;
    EntryName incarnation;
    MonotonicTime expires_at;
  };
  struct Expiry {
    MonotonicTime at;
    std::string key;
    TaskId task;
  };
  using TaskStates = std::map<TaskId, ClaimState>;

  std::vector<ClaimAction> ApplyLogActions(std::vector<LogAction> actions);
  void MarkDurable(const RecordsDurable& durable,
                   std::vector<ClaimAction>* actions);
  void MarkLost(const RecordsLost& lost, std::vector<ClaimAction>* actions);
  std::vector<ClaimAction> AppendClaim(const std::string& key,
                                       const TaskId& task,
                                       MonotonicTime now);
  void FinishRecovery(MonotonicTime now);
  void RecoverKey(const std::string& key,
                  const TaskStates& tasks,
                  MonotonicTime now);
  void CollectUnknownKeys(MonotonicTime now);
  bool IsUnknownKey(const std::string& key) const;
  void ExpireEntries(MonotonicTime now);
  void ScheduleExpiry(const std::string& key,
                      const Entry& entry,
                      MonotonicTime at);
  std::vector<ClaimAction> TrimSealedLogs(MonotonicTime now);
  ClaimLog* FindLog(const LogName& name);

  EntryName self;
  Options options;
  ClaimRoster roster;
  std::vector<ClaimRoster> previous_rosters;
  bool had_possible_outage = true;
  bool has_agreed_outage = false;
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
