// The parts of ClaimRegistry that follow a change of epoch or of time.

#include <algorithm>
#include <utility>

#include "Core/Claims/claim_registry.h"

namespace daisyroad {
namespace {

ClaimState MoreKnown(ClaimState a, ClaimState b) {
  for (const ClaimState state :
       {ClaimState::kRan, ClaimState::kNotRun, ClaimState::kUnknown}) {
    if (a == state || b == state) {
      return state;
    }
  }
  return ClaimState::kOpen;
}

}  // namespace

void ClaimRegistry::FinishRecovery(MonotonicTime now) {
  std::map<std::string, TaskStates> found;
  for (const std::pair<const LogName, ClaimRecovery::Progress>& item :
       this->recovery->logs()) {
    for (const ClaimRecord& record : item.second.records) {
      ClaimState& state =
          found[record.key].emplace(record.task, record.state).first->second;
      state = MoreKnown(state, record.state);
    }
  }
  for (const std::pair<const std::string, TaskStates>& item : found) {
    if (ChooseRegistrar(item.first, this->roster) == this->self) {
      this->Recover(item.first, item.second, now);
    }
  }
  this->NoteUnflushed(now);
  this->recovery->DropRecords();
  this->trim_at = now + this->options.log.retention;
  this->is_serving = true;
}

void ClaimRegistry::Recover(const std::string& key,
                            const TaskStates& tasks,
                            MonotonicTime now) {
  const std::unordered_map<std::string, Entry>::iterator known =
      this->entries.find(key);
  TaskStates blocking = tasks;
  if (known != this->entries.end()) {
    ClaimState& state =
        blocking.emplace(known->second.task, known->second.state).first->second;
    state = MoreKnown(state, known->second.state);
    known->second.state = state;
  }
  std::erase_if(blocking, [](const std::pair<const TaskId, ClaimState>& task) {
    return task.second == ClaimState::kNotRun;
  });
  if (blocking.empty() ||
      (blocking.size() == 1 && known != this->entries.end() &&
       blocking.begin()->first == known->second.task)) {
    return;
  }
  // With several tasks whose fate is open, learning that one did not run must
  // not free the key: no task is named, so that no fate applies.
  Entry entry{
      TaskId(), ClaimState::kUnknown, true,
      true,     this->roster.epoch,   now + this->options.log.retention};
  if (blocking.size() == 1) {
    entry.task = blocking.begin()->first;
  }
  for (const std::pair<const TaskId, ClaimState>& task : blocking) {
    if (task.second == ClaimState::kRan) {
      entry.state = ClaimState::kRan;
      entry.task = task.first;
    }
  }
  this->entries[key] = entry;
  this->Schedule(key, entry, entry.expires);
}

void ClaimRegistry::NoteUnflushed(MonotonicTime now) {
  this->unknown_keys.clear();
  if (!this->outage_could_be) {
    return;
  }
  for (const ClaimRoster& old : this->earlier) {
    for (const ClaimMember& member : old.members) {
      const LogName log{old.epoch, member.incarnation};
      if (member.incarnation != this->self &&
          !this->recovery->logs().at(log).clean) {
        this->unknown_keys.push_back(UnknownKeys{
            old, member.incarnation, now + this->options.log.retention});
      }
    }
  }
}

bool ClaimRegistry::InUnknownKeys(const std::string& key) const {
  return std::any_of(this->unknown_keys.begin(), this->unknown_keys.end(),
                     [&key](const UnknownKeys& lost) {
                       return ChooseRegistrar(key, lost.roster) ==
                              lost.incarnation;
                     });
}

void ClaimRegistry::Schedule(const std::string& key,
                             const Entry& entry,
                             MonotonicTime at) {
  this->expiries.push_back(Expiry{at, key, entry.task});
}

void ClaimRegistry::Expire(MonotonicTime now) {
  std::erase_if(this->unknown_keys,
                [now](const UnknownKeys& lost) { return lost.until <= now; });
  // Times differ by at most the retention, so the order is only approximate and
  // an entry may stay for up to one retention longer.
  while (!this->expiries.empty() && this->expiries.front().at <= now) {
    const Expiry due = this->expiries.front();
    this->expiries.pop_front();
    const std::unordered_map<std::string, Entry>::iterator found =
        this->entries.find(due.key);
    if (found == this->entries.end() || found->second.task != due.task) {
      continue;
    }
    const Entry& entry = found->second;
    if (entry.state != ClaimState::kOpen) {
      if (entry.expires <= now) {
        this->entries.erase(found);
      }
      continue;
    }
    // A claim whose task may still run is written again, so that it outlives
    // the trimming of its first record.
    ClaimLog* log = this->FindLog({this->roster.epoch, this->self});
    if (log != nullptr && !log->sealed()) {
      log->Append(ClaimRecord{due.key, due.task, ClaimState::kOpen}, now);
    }
    this->Schedule(due.key, entry, now + this->options.log.retention / 2);
  }
}

std::vector<ClaimAction> ClaimRegistry::TrimSealedLogs(MonotonicTime now) {
  std::vector<ClaimAction> actions;
  if (!this->trim_at || now < *this->trim_at) {
    return actions;
  }
  this->trim_at.reset();
  for (const std::pair<const LogName, ClaimRecovery::Progress>& item :
       this->recovery->logs()) {
    // The seal itself stays.
    if (item.second.next_seq > 2) {
      actions.emplace_back(TrimLog{item.first, item.second.next_seq - 1});
    }
  }
  return actions;
}

}  // namespace daisyroad
