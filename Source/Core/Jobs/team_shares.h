#ifndef SOURCE_CORE_JOBS_TEAM_SHARES_H_
#define SOURCE_CORE_JOBS_TEAM_SHARES_H_

#include <cstddef>
#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/resources.h"
#include "Core/Jobs/team_standing.h"
#include "Core/Shares/share_ledger.h"

namespace daisyroad {

// Tracks what the jobs of each team use of a pool against the declared shares.
// Usage is accounted once a pass: a pass begins with BeginPass(), and reads
// standings that include what it has started so far.
class TeamShares {
 public:
  // Standings closer than this to each other are equal: a hundredth of the time
  // over which the teams get their shares.
  static constexpr Milliseconds kStandingStep =
      std::chrono::duration_cast<Milliseconds>(ShareLedger::kDeficitWindow) /
      100;

  // Teams without a declared weight have a weight of 1.
  void SetWeights(std::map<TeamName, double> weights, MonotonicTime now);
  // Index of the account of the team, which is opened if there is none.
  std::size_t AccountOf(const TeamName& team);
  const TeamName& TeamOf(std::size_t account) const {
    return this->accounts[account].team;
  }
  std::size_t size() const { return this->accounts.size(); }

  void AddUse(std::size_t account, const Resources& use) {
    this->accounts[account].used += use;
  }
  void RemoveUse(std::size_t account, const Resources& use) {
    this->accounts[account].used -= use;
  }

  // `room` is what all jobs of the pool may use.
  void BeginPass(const Resources& room, MonotonicTime now);
  // Marks a team whose tasks are left waiting for room by this pass.
  void SetWaiting(std::size_t account) {
    this->accounts[account].is_waiting = true;
  }
  bool IsWaiting(std::size_t account) const {
    return this->accounts[account].is_waiting;
  }
  // `is_whole` unless the pass left teams out: those wait if they did before.
  void EndPass(bool is_whole);

  // Teams with a higher standing go first. Zero is a team that has its share;
  // each step is kStandingStep of its own share.
  int Standing(std::size_t account) const;
  // Accounts that use or want room, or that are not settled.
  std::vector<TeamStanding> Standings() const;

 private:
  struct Account {
    TeamName team;
    double weight = 1.0;
    Resources used;
    bool is_waiting = false;
    bool was_waiting = false;  // at the end of the last pass
  };

  double ShareOf(const Resources& use) const;
  // Passes what the teams use to the ledger.
  void UpdateUsage();
  double Score(std::size_t account) const;

  std::map<TeamName, double> weights;
  std::map<TeamName, std::size_t> index;
  std::vector<Account> accounts;  // in the order of the ledger
  Resources room;
  ShareLedger ledger;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_TEAM_SHARES_H_
