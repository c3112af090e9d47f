#include "Core/Claims/claim_recovery.h"

#include <algorithm>
#include <utility>

namespace daisyroad {

ClaimRecovery::ClaimRecovery(EntryName self,
                             const std::vector<Source>& sources,
                             Duration seal_grace,
                             Duration retry_delay,
                             MonotonicTime now)
    : self(std::move(self)), retry_delay(retry_delay) {
  for (const Source& source : sources) {
    Progress& log_progress = this->progress[source.log];
    log_progress.next_read_at = now;
    log_progress.seal_not_before =
        source.is_owner_in_roster ? now + seal_grace : now;
  }
}

std::vector<ClaimRecovery::Action> ClaimRecovery::RequestRead(
    const LogName& log,
    Progress& log_progress) {
  log_progress.step = Progress::Step::kReading;
  return {ReadLog{log, log_progress.next_seq}};
}

std::vector<ClaimRecovery::Action> ClaimRecovery::Tick(MonotonicTime now) {
  std::vector<Action> actions;
  for (std::pair<const LogName, Progress>& item : this->progress) {
    Progress& log_progress = item.second;
    if (log_progress.step == Progress::Step::kWaiting &&
        now >= log_progress.next_read_at) {
      const std::vector<Action> read =
          this->RequestRead(item.first, log_progress);
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
  Progress& log_progress = found->second;
  if (outcome == CreateOutcome::kCreated) {
    log_progress.step = Progress::Step::kSealed;
    return {};
  }
  if (outcome == CreateOutcome::kNoAnswer) {
    log_progress.step = Progress::Step::kWaiting;
    log_progress.next_read_at = now + this->retry_delay;
    return {};
  }
  return this->RequestRead(log, log_progress);
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
  Progress& log_progress = found->second;
  if (!page || (page->empty() && now < log_progress.seal_not_before)) {
    log_progress.step = Progress::Step::kWaiting;
    log_progress.next_read_at = now + this->retry_delay;
    return {};
  }
  if (page->empty()) {
    log_progress.step = Progress::Step::kCreating;
    return {CreateBatch{log, log_progress.next_seq,
                        ClaimBatch{this->self, true, false, {}}}};
  }
  for (const std::pair<std::uint64_t, ClaimBatch>& item : *page) {
    log_progress.records.insert(log_progress.records.end(),
                                item.second.records.begin(),
                                item.second.records.end());
    log_progress.next_seq = item.first + 1;
    if (item.second.seal) {
      log_progress.step = Progress::Step::kSealed;
      log_progress.clean = item.second.clean;
      return {};
    }
  }
  return this->RequestRead(log, log_progress);
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
