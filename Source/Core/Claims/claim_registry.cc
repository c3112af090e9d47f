#include "Core/Claims/claim_registry.h"

#include <algorithm>
#include <utility>

namespace daisyroad {
namespace {

void Join(std::vector<ClaimAction>* all, std::vector<ClaimAction> more) {
  all->insert(all->end(), std::make_move_iterator(more.begin()),
              std::make_move_iterator(more.end()));
}

std::vector<ClaimAction> Widen(const std::vector<ClaimRecovery::Action>& some) {
  std::vector<ClaimAction> all;
  for (const ClaimRecovery::Action& action : some) {
    std::visit([&all](const auto& item) { all.emplace_back(item); }, action);
  }
  return all;
}

bool Contains(const ClaimRoster& roster, const EntryName& name) {
  return std::any_of(roster.members.begin(), roster.members.end(),
                     [&name](const ClaimMember& member) {
                       return member.incarnation == name;
                     });
}

// How much a state tells; a later record never takes knowledge away.
int Knowledge(ClaimState state) {
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
    const ClaimRoster& next,
    const std::vector<ClaimRoster>& previous,
    bool outage_possible,
    MonotonicTime now) {
  for (std::pair<const LogName, ClaimLog>& item : this->logs) {
    item.second.Close();
  }
  this->roster = next;
  this->earlier = previous;
  this->outage_could_be = outage_possible;
  this->is_serving = false;
  this->trim_at.reset();
  const LogName own{next.epoch, this->self};
  this->logs.emplace(own, ClaimLog(own, this->options.log));
  std::vector<ClaimRecovery::Source> sources;
  for (const ClaimRoster& old : previous) {
    for (const ClaimMember& member : old.members) {
      // The entries hold what this incarnation claimed itself.
      if (member.incarnation == this->self) {
        continue;
      }
      sources.push_back({LogName{old.epoch, member.incarnation},
                         Contains(next, member.incarnation)});
    }
  }
  this->recovery.emplace(this->self, sources, this->options.seal_grace,
                         this->options.log.retry_time, now);
  return this->Tick(now);
}

std::vector<ClaimAction> ClaimRegistry::SetAgreedOutage(bool agreed) {
  this->agreed_outage = agreed;
  std::vector<ClaimAction> actions;
  const ClaimLog* log = this->FindLog({this->roster.epoch, this->self});
  if (!agreed || !this->is_serving || log == nullptr || log->sealed()) {
    return actions;
  }
  for (std::pair<const std::string, Entry>& item : this->entries) {
    Entry& entry = item.second;
    // A pending claim in the log of an earlier epoch may already be fenced by a
    // seal, and its key may have another registrar.
    if (entry.state == ClaimState::kOpen && !entry.ready &&
        entry.epoch == this->roster.epoch) {
      entry.ready = true;
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
  // An entry of this epoch was checked when it was claimed. An older one may
  // precede a claim that another registrar held only in memory.
  const bool checked =
      found != this->entries.end() && found->second.epoch == this->roster.epoch;
  if (!checked && this->InUnknownKeys(key)) {
    return {Answer{Outcome::kUnknown, task, ClaimState::kUnknown, this->self},
            {}};
  }
  if (this->entries.size() >= this->options.max_entries ||
      this->unflushed() >= this->options.max_unflushed) {
    return {Answer{Outcome::kFull, task, ClaimState::kNotRun, this->self}, {}};
  }
  return {Answer{Outcome::kClaiming, task, ClaimState::kOpen, this->self},
          this->Claim(key, task, now)};
}

std::vector<ClaimAction> ClaimRegistry::Claim(const std::string& key,
                                              const TaskId& task,
                                              MonotonicTime now) {
  Entry& entry = this->entries[key];
  entry = Entry{task,  ClaimState::kOpen,  this->agreed_outage,
                false, this->roster.epoch, now + this->options.log.retention};
  this->Schedule(key, entry, now + this->options.log.retention / 2);
  this->FindLog({this->roster.epoch, this->self})
      ->Append(ClaimRecord{key, task, ClaimState::kOpen}, now);
  if (!entry.ready) {
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
      Knowledge(state) <= Knowledge(found->second.state)) {
    return;
  }
  found->second.state = state;
  found->second.expires = now + this->options.log.retention;
  this->Schedule(key, found->second, found->second.expires);
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
        !found->second.ready && !found->second.recovered) {
      found->second.ready = true;
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
        found->second.ready || found->second.recovered) {
      continue;
    }
    actions->emplace_back(ClaimRefused{record.key, record.task});
    this->entries.erase(found);
  }
}

std::vector<ClaimAction> ClaimRegistry::Apply(std::vector<LogAction> actions) {
  std::vector<ClaimAction> result;
  struct Visitor {
    ClaimRegistry* registry;
    std::vector<ClaimAction>* result;
    void operator()(CreateBatch& a) { this->result->push_back(std::move(a)); }
    void operator()(ReadLog& a) { this->result->push_back(std::move(a)); }
    void operator()(TrimLog& a) { this->result->push_back(std::move(a)); }
    void operator()(RecordsDurable& a) {
      this->registry->MarkDurable(a, this->result);
    }
    void operator()(RecordsLost& a) {
      this->registry->MarkLost(a, this->result);
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
    Join(&actions, this->Apply(item.second.Tick(now)));
  }
  std::erase_if(
      this->logs, [this](const std::pair<const LogName, ClaimLog>& x) {
        return x.second.sealed() && x.first.epoch < this->roster.epoch &&
               x.second.unflushed() == 0;
      });
  if (this->recovery) {
    Join(&actions, Widen(this->recovery->Tick(now)));
    if (!this->is_serving && this->recovery->done()) {
      this->FinishRecovery(now);
    }
    Join(&actions, this->TrimSealedLogs(now));
  }
  this->Expire(now);
  return actions;
}

std::vector<ClaimAction> ClaimRegistry::OnCreateAnswer(const LogName& log,
                                                       std::uint64_t seq,
                                                       CreateOutcome outcome,
                                                       MonotonicTime now) {
  std::vector<ClaimAction> actions;
  if (ClaimLog* own = this->FindLog(log)) {
    actions = this->Apply(own->OnCreateAnswer(seq, outcome, now));
  }
  if (this->recovery) {
    Join(&actions,
         Widen(this->recovery->OnCreateAnswer(log, seq, outcome, now)));
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
    actions = this->Apply(own->OnReadAnswer(from, page, now));
  }
  if (this->recovery) {
    Join(&actions, Widen(this->recovery->OnReadAnswer(log, from, page, now)));
  }
  return actions;
}

}  // namespace daisyroad
