#include "Core/Claims/claim_recovery.h"

#include <algorithm>
#include <utility>

namespace daisyroad {

ClaimRecovery::ClaimRecovery(EntryName self,
                             const std::vector<Source>& sources,
                             Duration grace,
                             Duration retry_time,
                             MonotonicTime now)
    : self(std::move(self)), retry_time(retry_time) {
  for (const Source& source : sources) {
    Progress& entry = this->progress[source.log];
    entry.next_at = now;
    entry.seal_after = source.owner_remains ? now + grace : now;
  }
}

std::vector<ClaimRecovery::Action> ClaimRecovery::Read(const LogName& log,
                                                       Progress& entry) {
  entry.step = Progress::Step::kReading;
  return {ReadLog{log, entry.next_seq}};
}

std::vector<ClaimRecovery::Action> ClaimRecovery::Tick(MonotonicTime now) {
  std::vector<Action> actions;
  for (std::pair<const LogName, Progress>& item : this->progress) {
    Progress& entry = item.second;
    if (entry.step == Progress::Step::kWaiting && now >= entry.next_at) {
      const std::vector<Action> read = this->Read(item.first, entry);
      actions.insert(actions.end(), read.begin(), read.end());
    }
  }
  return actions;
}

std::vector<ClaimRecovery::Action> ClaimRecovery::OnCreateAnswer(
    const LogName& log,
    std::uint64_t seq,
    CreateOutcome outcome,
    MonotonicTime now) {
  const std::map<LogName, Progress>::iterator found = this->progress.find(log);
  if (found == this->progress.end() || seq != found->second.next_seq ||
      found->second.step != Progress::Step::kCreating) {
    return {};
  }
  Progress& entry = found->second;
  if (outcome == CreateOutcome::kCreated) {
    entry.step = Progress::Step::kSealed;
    return {};
  }
  if (outcome == CreateOutcome::kNoAnswer) {
    entry.step = Progress::Step::kWaiting;
    entry.next_at = now + this->retry_time;
    return {};
  }
  return this->Read(log, entry);
}

std::vector<ClaimRecovery::Action> ClaimRecovery::OnReadAnswer(
    const LogName& log,
    std::uint64_t from,
    const std::optional<LogPage>& page,
    MonotonicTime now) {
  const std::map<LogName, Progress>::iterator found = this->progress.find(log);
  if (found == this->progress.end() || from != found->second.next_seq ||
      found->second.step != Progress::Step::kReading) {
    return {};
  }
  Progress& entry = found->second;
  if (!page || (page->empty() && now < entry.seal_after)) {
    entry.step = Progress::Step::kWaiting;
    entry.next_at = now + this->retry_time;
    return {};
  }
  if (page->empty()) {
    entry.step = Progress::Step::kCreating;
    return {CreateBatch{log, entry.next_seq,
                        ClaimBatch{this->self, true, false, {}}}};
  }
  for (const std::pair<std::uint64_t, ClaimBatch>& item : *page) {
    entry.records.insert(entry.records.end(), item.second.records.begin(),
                         item.second.records.end());
    entry.next_seq = item.first + 1;
    if (item.second.seal) {
      entry.step = Progress::Step::kSealed;
      entry.clean = item.second.clean;
      return {};
    }
  }
  return this->Read(log, entry);
}

bool ClaimRecovery::done() const {
  return std::all_of(this->progress.begin(), this->progress.end(),
                     [](const std::pair<const LogName, Progress>& item) {
                       return item.second.step == Progress::Step::kSealed;
                     });
}

void ClaimRecovery::DropRecords() {
  for (std::pair<const LogName, Progress>& item : this->progress) {
    std::vector<ClaimRecord>().swap(item.second.records);
  }
}

}  // namespace daisyroad
