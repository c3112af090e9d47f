// The parts of ClaimRegistry that handle recovery after a roster change and
// expiry.

#include <algorithm>
#include <utility>

#include "Core/Claims/claim_registry.h"

namespace daisyroad {
namespace {

ClaimState MoreCertain(ClaimState a, ClaimState b) {
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
  std::map<std::string, TaskStates> states_by_key;
  for (const std::pair<const LogName, ClaimRecovery::Progress>& item :
       this->recovery->logs()) {
    for (const ClaimRecord& record : item.second.records) {
      ClaimState& state = states_by_key[record.key]
                              .emplace(record.task, record.state)
                              .first->second;
      state = MoreCertain(state, record.state);
    }
  }
  for (const std::pair<const std::string, TaskStates>& item : states_by_key) {
    if (ChooseRegistrar(item.first, this->roster) == this->self) {
      this->RecoverKey(item.first, item.second, now);
    }
  }
  this->CollectUnknownKeys(now);
  this->recovery->DropRecords();
  this->trim_at = now + this->options.log.retention;
  this->is_serving = true;
}

void ClaimRegistry::RecoverKey(const std::string& key,
                               const TaskStates& tasks,
                               MonotonicTime now) {
  const std::unordered_map<std::string, Entry>::iterator known =
      this->entries.find(key);
  TaskStates blocking = tasks;
  if (known != this->entries.end()) {
    ClaimState& state =
        blocking.emplace(known->second.task, known->second.state).first->second;
    state = MoreCertain(state, known->second.state);
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
  // If several tasks may have run, learning that one of them did not run must
  // not free the key. The entry then names no task, so that OnFate() for any of
  // them has no effect.
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
  this->ScheduleExpiry(key, entry, entry.expires_at);
}

void ClaimRegistry::CollectUnknownKeys(MonotonicTime now) {
  this->unknown_keys.clear();
  if (!this->had_possible_outage) {
    return;
  }
  for (const ClaimRoster& previous_roster : this->previous_rosters) {
    for (const ClaimMember& member : previous_roster.members) {
      const LogName log{previous_roster.epoch, member.incarnation};
      if (member.incarnation != this->self &&
          !this->recovery->logs().at(log).clean) {
        this->unknown_keys.push_back(
            UnknownKeys{previous_roster, member.incarnation,
                        now + this->options.log.retention});
      }
    }
  }
}

bool ClaimRegistry::IsUnknownKey(const std::string& key) const {
  return std::any_of(this->unknown_keys.begin(), this->unknown_keys.end(),
                     [&key](const UnknownKeys& unknown) {
                       return ChooseRegistrar(key, unknown.roster) ==
                              unknown.incarnation;
                     });
}

void ClaimRegistry::ScheduleExpiry(const std::string& key,
                                   const Entry& entry,
                                   MonotonicTime at) {
  this->expiries.push_back(Expiry{at, key, entry.task});
}

void ClaimRegistry::ExpireEntries(MonotonicTime now) {
  std::erase_if(this->unknown_keys, [now](const UnknownKeys& unknown) {
    return unknown.expires_at <= now;
  });
  // The queue is not sorted by time. Its times differ by at most the retention
  // time, so an entry may be kept for up to one retention time longer.
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
      if (entry.expires_at <= now) {
        this->entries.erase(found);
      }
      continue;
    }
    // A claim whose task may still run is written again, because its first
    // record will be trimmed.
    ClaimLog* log = this->FindLog({this->roster.epoch, this->self});
    if (log != nullptr && !log->sealed()) {
      log->Append(ClaimRecord{due.key, due.task, ClaimState::kOpen}, now);
    }
    this->ScheduleExpiry(due.key, entry, now + this->options.log.retention / 2);
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
    // The seal itself is kept.
    if (item.second.next_seq > 2) {
      actions.emplace_back(TrimLog{item.first, item.second.next_seq - 1});
    }
  }
  return actions;
}

}  // namespace daisyroad
