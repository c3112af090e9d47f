#ifndef SOURCE_CORE_SHARES_SHARE_LEDGER_H_
#define SOURCE_CORE_SHARES_SHARE_LEDGER_H_

#include <cstddef>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Weighted shares of one cell. Usage and entitlement are dominant shares, in
// fractions of the cell. A team's deficit is the entitlement that it missed
// while it had work waiting, in fractions times seconds; negative after
// receiving more.
class ShareLedger {
 public:
  // Deficits are bounded to this much of a team's own share, and a deficit of a
  // team without waiting work decays over it.
  static constexpr std::chrono::seconds kMemory{30};

  std::size_t AddTeam(double weight);
  void SetWeight(std::size_t team, double weight);
  void SetWaiting(std::size_t team, bool waiting);
  void AddUsage(std::size_t team, double share);
  // Brings all deficits up to `now`; call before any of the changes above.
  void Accrue(MonotonicTime now);

  double Usage(std::size_t team) const { return this->accounts[team].usage; }
  double Deficit(std::size_t team) const {
    return this->accounts[team].deficit;
  }
  // Share that the team may use now, given which teams have work.
  double Entitlement(std::size_t team) const;
  // Lower bound of the share the team would get if it had work waiting.
  double EntitlementIfWaiting(std::size_t team) const;
  // Seconds of its own entitlement by which the team is behind, plus its
  // present shortfall weighted by a short horizon; the highest starts next.
  double Score(std::size_t team, double pending_share) const;

 private:
  struct Account {
    double weight = 1.0;
    double usage = 0.0;
    double deficit = 0.0;
    bool waiting = false;
  };

  // Share per unit of weight of the teams with waiting work.
  double Rate() const;
  double ComputeRate() const;

  std::vector<Account> accounts;
  MonotonicTime last;
  bool started = false;
  // Rate() scans all teams and is asked for once a team in every decision.
  mutable double rate = 0.0;
  mutable bool rate_is_stale = true;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_SHARE_LEDGER_H_
