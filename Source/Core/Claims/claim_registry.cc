#include "Core/Claims/claim_registry.h"

#include <algorithm>
#include <utility>

namespace daisyroad {
namespace {

void AppendActions(std::vector<ClaimAction>* actions,
                   std::vector<ClaimAction> added) {
  actions->insert(actions->end(), std::make_move_iterator(added.begin()),
                  std::make_move_iterator(added.end()));
}

std::vector<ClaimAction> ToClaimActions(
    const std::vector<ClaimRecovery::Action>& recovery_actions) {
  std::vector<ClaimAction> actions;
  for (const ClaimRecovery::Action& action : recovery_actions) {
    std::visit([&actions](const auto& item) { actions.emplace_back(item); },
               action);
  }
  return actions;
}

bool Contains(const ClaimRoster& roster, const EntryName& name) {
  return std::any_of(roster.members.begin(), roster.members.end(),
                     [&name](const ClaimMember& member) {
                       return member.incarnation == name;
                     });
}

// Orders states by certainty. A later record never replaces a state by a less
// certain one.
int CertaintyRank(ClaimState state) {
  switch (state) {
    case ClaimState::kOpen:
      return 0;
    case ClaimState::kUnknown:
      return 1;
    case ClaimState::kNotRun:
      return 2;
    case ClaimState::kRan:
      return 3;
  }
  return 0;
}

}  // namespace

ClaimRegistry::ClaimRegistry(EntryName self, Options options)
    : self(std::move(self)), options(options) {}

std::size_t ClaimRegistry::unflushed() const {
  std::size_t count = 0;
  for (const std::pair<const LogName, ClaimLog>& item : this->logs) {
    count += item.second.unflushed();
  }
  return count;
}

ClaimLog* ClaimRegistry::FindLog(const LogName& name) {
  const std::map<LogName, ClaimLog>::iterator found = this->logs.find(name);
  return found == this->logs.end() ? nullptr : &found->second;
}

std::vector<ClaimAction> ClaimRegistry::StartEpoch(
    const ClaimRoster& new_roster,
    const std::vector<ClaimRoster>& previous,
    bool outage_possible,
    MonotonicTime now) {
  for (std::pair<const LogName, ClaimLog>& item : this->logs) {
    item.second.Close();
  }
  this->roster = new_roster;
  this->previous_rosters = previous;
  this->had_possible_outage = outage_possible;
  this->is_serving = false;
  this->trim_at.reset();
  const LogName own{new_roster.epoch, this->self};
  this->logs.emplace(own, ClaimLog(own, this->options.log));
  std::vector<ClaimRecovery::Source> sources;
  for (const ClaimRoster& previous_roster : previous) {
    for (const ClaimMember& member : previous_roster.members) {
      // This incarnation's own claims are already in `entries`.
      if (member.incarnation == this->self) {
        continue;
      }
      sources.push_back({LogName{previous_roster.epoch, member.incarnation},
                         Contains(new_roster, member.incarnation)});
    }
  }
  this->recovery.emplace(this->self, sources, this->options.seal_grace,
                         this->options.log.retry_delay, now);
  return this->Tick(now);
}

std::vector<ClaimAction> ClaimRegistry::SetAgreedOutage(bool is_agreed) {
  this->has_agreed_outage = is_agreed;
  std::vector<ClaimAction> actions;
  const ClaimLog* log = this->FindLog({this->roster.epoch, this->self});
  if (!is_agreed || !this->is_serving || log == nullptr || log->sealed()) {
    return actions;
  }
  for (std::pair<const std::string, Entry>& item : this->entries) {
    Entry& entry = item.second;
    // A seal may already fence off a pending claim in the log of an earlier
    // epoch, and its key may have another registrar by now.
    if (entry.state == ClaimState::kOpen && !entry.is_ready &&
        entry.epoch == this->roster.epoch) {
      entry.is_ready = true;
      actions.emplace_back(ClaimReady{item.first, entry.task});
    }
  }
  return actions;
}

std::pair<ClaimRegistry::Answer, std::vector<ClaimAction>>
ClaimRegistry::Submit(const std::string& key,
                      const TaskId& task,
                      MonotonicTime now) {
  const std::optional<EntryName> registrar = ChooseRegistrar(key, this->roster);
  if (!registrar || *registrar != this->self) {
    return {Answer{Outcome::kNotRegistrar, task, ClaimState::kNotRun,
                   registrar.value_or(EntryName())},
            {}};
  }
  const ClaimLog* log = this->FindLog({this->roster.epoch, this->self});
  if (!this->is_serving || log == nullptr || log->sealed()) {
    return {Answer{Outcome::kNotServing, task, ClaimState::kNotRun, this->self},
            {}};
  }
  const std::unordered_map<std::string, Entry>::iterator found =
      this->entries.find(key);
  if (found != this->entries.end() &&
      found->second.state != ClaimState::kNotRun) {
    return {Answer{Outcome::kDuplicate, found->second.task, found->second.state,
                   this->self},
            {}};
  }
  // An entry of this epoch was checked against the unknown keys when it was
  // claimed. After an older one, another registrar may have claimed the key in
  // memory only.
  const bool was_checked =
      found != this->entries.end() && found->second.epoch == this->roster.epoch;
  if (!was_checked && this->IsUnknownKey(key)) {
    return {Answer{Outcome::kUnknown, task, ClaimState::kUnknown, this->self},
            {}};
  }
  if (this->entries.size() >= this->options.max_entries ||
      this->unflushed() >= this->options.max_unflushed) {
    return {Answer{Outcome::kFull, task, ClaimState::kNotRun, this->self}, {}};
  }
  return {Answer{Outcome::kClaiming, task, ClaimState::kOpen, this->self},
          this->AppendClaim(key, task, now)};
}

std::vector<ClaimAction> ClaimRegistry::AppendClaim(const std::string& key,
                                                    const TaskId& task,
                                                    MonotonicTime now) {
  Entry& entry = this->entries[key];
  entry = Entry{task,  ClaimState::kOpen,  this->has_agreed_outage,
                false, this->roster.epoch, now + this->options.log.retention};
  this->ScheduleExpiry(key, entry, now + this->options.log.retention / 2);
  this->FindLog({this->roster.epoch, this->self})
      ->Append(ClaimRecord{key, task, ClaimState::kOpen}, now);
  if (!entry.is_ready) {
    return {};
  }
  return {ClaimReady{key, task}};
}

void ClaimRegistry::OnFate(const std::string& key,
                           const TaskId& task,
                           ClaimState state,
                           MonotonicTime now) {
  const std::unordered_map<std::string, Entry>::iterator found =
      this->entries.find(key);
  if (found == this->entries.end() || found->second.task != task ||
      CertaintyRank(state) <= CertaintyRank(found->second.state)) {
    return;
  }
  found->second.state = state;
  found->second.expires_at = now + this->options.log.retention;
  this->ScheduleExpiry(key, found->second, found->second.expires_at);
  ClaimLog* log = this->FindLog({this->roster.epoch, this->self});
  if (log != nullptr && !log->sealed()) {
    log->Append(ClaimRecord{key, task, state}, now);
  }
}

void ClaimRegistry::MarkDurable(const RecordsDurable& durable,
                                std::vector<ClaimAction>* actions) {
  for (const ClaimRecord& record : durable.records) {
    const std::unordered_map<std::string, Entry>::iterator found =
        this->entries.find(record.key);
    if (found != this->entries.end() && found->second.task == record.task &&
        !found->second.is_ready && !found->second.is_recovered) {
      found->second.is_ready = true;
      actions->emplace_back(ClaimReady{record.key, record.task});
    }
  }
}

void ClaimRegistry::MarkLost(const RecordsLost& lost,
                             std::vector<ClaimAction>* actions) {
  for (const ClaimRecord& record : lost.records) {
    const std::unordered_map<std::string, Entry>::iterator found =
        this->entries.find(record.key);
    if (found == this->entries.end() || found->second.task != record.task ||
        found->second.is_ready || found->second.is_recovered) {
      continue;
    }
    actions->emplace_back(ClaimRefused{record.key, record.task});
    this->entries.erase(found);
  }
}

std::vector<ClaimAction> ClaimRegistry::ApplyLogActions(
    std::vector<LogAction> actions) {
  std::vector<ClaimAction> result;
  struct Visitor {
    ClaimRegistry* registry;
    std::vector<ClaimAction>* result;
    void operator()(CreateBatch& action) {
      this->result->push_back(std::move(action));
    }
    void operator()(ReadLog& action) {
      this->result->push_back(std::move(action));
    }
    void operator()(TrimLog& action) {
      this->result->push_back(std::move(action));
    }
    void operator()(RecordsDurable& action) {
      this->registry->MarkDurable(action, this->result);
    }
    void operator()(RecordsLost& action) {
      this->registry->MarkLost(action, this->result);
    }
  };
  for (LogAction& action : actions) {
    std::visit(Visitor{this, &result}, action);
  }
  return result;
}

std::vector<ClaimAction> ClaimRegistry::Tick(MonotonicTime now) {
  std::vector<ClaimAction> actions;
  for (std::pair<const LogName, ClaimLog>& item : this->logs) {
    AppendActions(&actions, this->ApplyLogActions(item.second.Tick(now)));
  }
  std::erase_if(
      this->logs, [this](const std::pair<const LogName, ClaimLog>& item) {
        return item.second.sealed() && item.first.epoch < this->roster.epoch &&
               item.second.unflushed() == 0;
      });
  if (this->recovery) {
    AppendActions(&actions, ToClaimActions(this->recovery->Tick(now)));
    if (!this->is_serving && this->recovery->done()) {
      this->FinishRecovery(now);
    }
    AppendActions(&actions, this->TrimSealedLogs(now));
  }
  this->ExpireEntries(now);
  return actions;
}

std::vector<ClaimAction> ClaimRegistry::OnCreateAnswer(const LogName& log,
                                                       std::uint64_t seq,
                                                       CreateOutcome outcome,
                                                       MonotonicTime now) {
  std::vector<ClaimAction> actions;
  if (ClaimLog* own = this->FindLog(log)) {
    actions = this->ApplyLogActions(own->OnCreateAnswer(seq, outcome, now));
  }
  if (this->recovery) {
    AppendActions(&actions, ToClaimActions(this->recovery->OnCreateAnswer(
                                log, seq, outcome, now)));
  }
  return actions;
}

std::vector<ClaimAction> ClaimRegistry::OnReadAnswer(
    const LogName& log,
    std::uint64_t from,
    const std::optional<LogPage>& page,
    MonotonicTime now) {
  std::vector<ClaimAction> actions;
  if (ClaimLog* own = this->FindLog(log)) {
    actions = this->ApplyLogActions(own->OnReadAnswer(from, page, now));
  }
  if (this->recovery) {
    AppendActions(&actions, ToClaimActions(this->recovery->OnReadAnswer(
                                log, from, page, now)));
  }
  return actions;
}

}  // namespace daisyroad
