#include "Core/Site/allotment_manager.h"

#include <algorithm>

#include "Core/Common/logging.h"
#include "Core/Jobs/team_demand.h"
#include "Core/Site/store_keys.h"

namespace daisyroad {
namespace {

// How often unused allotments are released; other pools may wait for them.
constexpr Milliseconds kReleaseInterval{400};
// How often the record is read to learn what other pools hold, also while a
// pool waits for what they release.
constexpr Milliseconds kReadInterval{1000};
constexpr Milliseconds kWaitingReadInterval{300};
// The same without any limit, and until it was read once.
constexpr Milliseconds kIdleReadInterval{60000};
constexpr Milliseconds kFirstReadInterval{100};
// Minimum time between two writes of an instance to the record.
constexpr Milliseconds kWritePause{40};
// How often the allotments of a pool are compared with its usage.
constexpr Milliseconds kCompareInterval{10};
constexpr Milliseconds kCommitTimeout{500};

bool HasLimit(const Resources& limit) {
  return limit.cpu_millicores < kUnlimited || limit.memory_mb < kUnlimited ||
         limit.accelerators < kUnlimited;
}

template <typename T>
T FindOrDefault(const std::map<TeamName, T>& table, const TeamName& team) {
  const typename std::map<TeamName, T>::const_iterator found = table.find(team);
  return found == table.end() ? T() : found->second;
}

}  // namespace

AllotmentManager::AllotmentManager(RevisionStore* store) : store(store) {}

void AllotmentManager::SetTeams(const std::map<TeamName, TeamConfig>& teams,
                                const std::set<PoolName>& pools) {
  this->teams.clear();
  this->limits.clear();
  this->pools = pools;
  for (const std::pair<const TeamName, TeamConfig>& team : teams) {
    this->teams.insert(team.first);
    if (HasLimit(team.second.limit)) {
      this->limits[team.first] = team.second.limit;
    }
  }
}

void AllotmentManager::Read(MonotonicTime now) {
  if (this->is_reading) {
    return;
  }
  this->is_reading = true;
  this->last_read = now;
  const std::weak_ptr<bool> alive = this->is_alive;
  this->store->Get(
      kLimitsKey, kCommitTimeout,
      [this, alive, now](const Result<std::optional<StoreItem>>& item) {
        if (alive.expired()) {
          return;
        }
        this->is_reading = false;
        if (!item.ok()) {
          return;
        }
        this->known_at = now;
        if (item.value()) {
          this->Adopt(item.value()->value, item.value()->revision);
        }
      });
}

void AllotmentManager::Adopt(const std::string& value, std::int64_t revision) {
  if (revision <= this->revision) {
    return;
  }
  const Result<AllotmentTable> parsed = AllotmentTable::Parse(value);
  if (!parsed.ok()) {
    CLOG(ERROR, kLimitsLog) << "event=limits_unreadable revision=" << revision
                            << " error=\"" << parsed.error().ToString() << "\"";
    return;
  }
  this->table = parsed.value();
  this->revision = revision;
}

bool AllotmentManager::IsRecordKnown(const PoolName& pool) const {
  const std::map<PoolName, MonotonicTime>::const_iterator begun =
      this->terms_begun_at.find(pool);
  return this->known_at && (begun == this->terms_begun_at.end() ||
                            *this->known_at >= begun->second);
}

std::map<TeamName, Resources> AllotmentManager::AllotmentsOf(
    const PoolName& pool) const {
  std::map<TeamName, Resources> allotments;
  if (!this->IsRecordKnown(pool)) {
    for (const TeamName& team : this->teams) {
      allotments[team] = Resources();
    }
    return allotments;
  }
  for (const TeamName& team : this->table.TeamsOf(pool)) {
    allotments[team] = this->table.Allotted(team, pool);
  }
  for (const std::pair<const TeamName, Resources>& team : this->limits) {
    allotments[team.first] =
        this->table.AreCounted(team.first, this->pools)
            ? this->table.Usable(team.first, pool, team.second)
            : Resources();
  }
  return allotments;
}

void AllotmentManager::BeginTerm(const PoolName& pool) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  this->acquired[pool] = std::make_shared<Acquired>();
  this->terms_begun_at[pool] = now;
  this->Read(now);
}

std::map<TeamName, Resources> AllotmentManager::InheritedOf(
    const PoolName& pool) const {
  const std::map<PoolName, std::shared_ptr<Acquired>>::const_iterator found =
      this->acquired.find(pool);
  std::map<TeamName, Resources> inherited;
  for (const TeamName& team : this->table.TeamsOf(pool)) {
    const Resources acquired = found == this->acquired.end()
                                   ? Resources()
                                   : FindOrDefault(*found->second, team);
    inherited[team] = Remainder(this->table.Allotted(team, pool), acquired);
  }
  return inherited;
}

bool AllotmentManager::IsWaiting(const PoolName& pool) const {
  return std::any_of(
      this->limits.begin(), this->limits.end(),
      [this, &pool](const std::pair<const TeamName, Resources>& team) {
        return this->table.IsWaiting(team.first, pool) ||
               !this->table.AreCounted(team.first, this->pools);
      });
}

Milliseconds AllotmentManager::ReadInterval(const PoolName& pool) const {
  if (!this->IsRecordKnown(pool)) {
    return kFirstReadInterval;
  }
  if (this->limits.empty()) {
    return kIdleReadInterval;
  }
  return this->IsWaiting(pool) ? kWaitingReadInterval : kReadInterval;
}

bool AllotmentManager::Adjust(const PoolName& pool,
                              const std::map<TeamName, Resources>& used,
                              const std::map<TeamName, TeamDemand>& demands,
                              bool are_runs_known,
                              bool may_release,
                              AllotmentTable* changed) const {
  bool is_changed = false;
  for (const TeamName& team : this->table.TeamsOf(pool)) {
    // Without a limit the pool may use any amount once it is not counted.
    is_changed |= !this->limits.contains(team) && changed->Withdraw(team, pool);
  }
  for (const std::pair<const TeamName, Resources>& team : this->limits) {
    // Runs that are not known yet would be left out.
    if (!are_runs_known && !this->table.IsCounted(team.first, pool)) {
      continue;
    }
    const bool are_counted = this->table.AreCounted(team.first, this->pools);
    is_changed |= changed->Adjust(
        team.first, pool, team.second, FindOrDefault(used, team.first),
        are_counted ? FindOrDefault(demands, team.first) : TeamDemand(),
        may_release);
  }
  return is_changed;
}

void AllotmentManager::Report(const PoolName& pool,
                              const std::map<TeamName, Resources>& used,
                              const std::map<TeamName, TeamDemand>& demands,
                              bool are_runs_known,
                              MonotonicTime now) {
  if (now - this->last_read >= this->ReadInterval(pool)) {
    this->Read(now);
  }
  MonotonicTime& next_compare = this->next_compare[pool];
  if (this->is_writing || now < this->next_write || now < next_compare ||
      !this->IsRecordKnown(pool)) {
    return;
  }
  next_compare = now + kCompareInterval;
  MonotonicTime& next_release = this->next_release[pool];
  const bool may_release = are_runs_known && now >= next_release;
  if (may_release) {
    next_release = now + kReleaseInterval;
  }
  AllotmentTable changed = this->table;
  if (!this->Adjust(pool, used, demands, are_runs_known, may_release,
                    &changed)) {
    return;
  }
  Acquired acquired;
  for (const std::pair<const TeamName, Resources>& team : this->limits) {
    acquired[team.first] = Remainder(changed.Allotted(team.first, pool),
                                     this->table.Allotted(team.first, pool));
  }
  StoreTransaction transaction;
  transaction.expected.push_back({kLimitsKey, this->revision});
  transaction.writes.push_back({kLimitsKey, changed.Serialize(), 0});
  this->is_writing = true;
  this->next_write = now + kWritePause;
  const std::weak_ptr<bool> alive = this->is_alive;
  this->store->Commit(
      transaction, kCommitTimeout,
      [this, alive, value = transaction.writes.front().value, pool, acquired,
       term = this->acquired[pool]](const Result<TransactionResult>& result) {
        if (alive.expired()) {
          return;
        }
        this->is_writing = false;
        if (!result.ok()) {
          // Read the record at once to learn whether the change was made.
          this->last_read = MonotonicTime();
          CLOG(WARNING, kLimitsLog)
              << "event=limits_not_written pool=" << pool << " error=\""
              << result.error().ToString() << "\"";
          return;
        }
        if (const TransactionCommitted* const committed =
                std::get_if<TransactionCommitted>(&result.value())) {
          this->Adopt(value, committed->revision);
          if (term != nullptr) {
            for (const std::pair<const TeamName, Resources>& team : acquired) {
              (*term)[team.first] += team.second;
            }
          }
          return;
        }
        for (const StoreItem& item :
             std::get<TransactionConflict>(result.value()).items) {
          this->Adopt(item.value, item.revision);
        }
      });
}

}  // namespace daisyroad
