#ifndef SOURCE_CORE_SHARES_SHARE_LEDGER_H_
#define SOURCE_CORE_SHARES_SHARE_LEDGER_H_

#include <cstddef>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Tracks the weighted shares of the teams of one cell. Usage and entitlement
// are dominant shares, in fractions of the cell. The deficit of a team is the
// entitlement that it did not receive while it had work waiting, in fractions
// times seconds; it is negative after the team has received more.
class ShareLedger {
 public:
  // Deficits are limited to the team's own share over this time, and the
  // deficit of a team without waiting work decays to zero within it.
  static constexpr std::chrono::seconds kDeficitWindow{30};

  std::size_t AddTeam(double weight);
  void SetWeight(std::size_t team, double weight);
  void SetWaiting(std::size_t team, bool has_waiting);
  void AddUsage(std::size_t team, double share_change);
  // Updates all deficits up to `now`; call it before any of the changes above.
  void Accrue(MonotonicTime now);

  double Usage(std::size_t team) const { return this->accounts[team].usage; }
  double Deficit(std::size_t team) const {
    return this->accounts[team].deficit;
  }
  // Share to which the team is entitled now, given which teams have work.
  double Entitlement(std::size_t team) const;
  // Lower bound of the entitlement that the team would have if it had work
  // waiting.
  double EntitlementIfWaiting(std::size_t team) const;
  // Scheduling priority; the team with the highest score starts next. Seconds
  // of its own entitlement by which the team is behind, plus its current
  // shortfall weighted by a short horizon. `pending_share` is counted as usage.
  double Score(std::size_t team, double pending_share) const;

 private:
  struct Account {
    double weight = 1.0;
    double usage = 0.0;
    double deficit = 0.0;
    bool has_waiting = false;
  };

  // Fair share per unit of weight of the teams with waiting work.
  double SharePerWeight() const;
  double ComputeSharePerWeight() const;

  std::vector<Account> accounts;
  MonotonicTime last_accrual;
  bool has_accrued = false;
  // ComputeSharePerWeight() scans all teams, and every decision needs the value
  // once per team.
  mutable double cached_share_per_weight = 0.0;
  mutable bool is_cache_stale = true;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_SHARE_LEDGER_H_
