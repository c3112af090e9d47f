#include "Core/Shares/share_ledger.h"

#include <algorithm>
#include <chrono>

namespace daisyroad {
namespace {

// Weight of the current shortfall relative to the accumulated deficit. Without
// it, a team that is behind takes every slot until it is far ahead.
constexpr double kShortfallHorizonSeconds = 1.0;
constexpr double kMinimumShare = 1e-9;

}  // namespace

std::size_t ShareLedger::AddTeam(double weight) {
  this->accounts.push_back(Account{});
  this->SetWeight(this->accounts.size() - 1, weight);
  return this->accounts.size() - 1;
}

void ShareLedger::SetWeight(std::size_t team, double weight) {
  this->accounts[team].weight = std::max(weight, kMinimumShare);
  this->is_cache_stale = true;
}

void ShareLedger::SetWaiting(std::size_t team, bool has_waiting) {
  Account& account = this->accounts[team];
  this->is_cache_stale =
      this->is_cache_stale || account.has_waiting != has_waiting;
  account.has_waiting = has_waiting;
}

void ShareLedger::AddUsage(std::size_t team, double share_change) {
  Account& account = this->accounts[team];
  account.usage = std::max(0.0, account.usage + share_change);
  this->is_cache_stale = true;
}

double ShareLedger::SharePerWeight() const {
  if (this->is_cache_stale) {
    this->cached_share_per_weight = this->ComputeSharePerWeight();
    this->is_cache_stale = false;
  }
  return this->cached_share_per_weight;
}

// Progressive filling: a team without waiting work that uses less than its
// share leaves the remainder to the other teams; one that uses more than its
// share does not reduce theirs.
double ShareLedger::ComputeSharePerWeight() const {
  double remaining_share = 1.0;
  double weight = 0.0;
  std::vector<const Account*> not_waiting;
  for (const Account& account : this->accounts) {
    if (account.has_waiting || account.usage > kMinimumShare) {
      weight += account.weight;
    }
    if (!account.has_waiting && account.usage > kMinimumShare) {
      not_waiting.push_back(&account);
    }
  }
  if (weight <= 0.0) {
    return 1.0;
  }
  // Sorted by usage per weight, so that the first team above its share ends the
  // filling.
  std::sort(not_waiting.begin(), not_waiting.end(),
            [](const Account* a, const Account* b) {
              return a->usage * b->weight < b->usage * a->weight;
            });
  for (const Account* account : not_waiting) {
    const double remaining_weight = weight - account->weight;
    if (account->usage * weight > remaining_share * account->weight ||
        remaining_weight <= kMinimumShare) {
      break;
    }
    remaining_share -= account->usage;
    weight = remaining_weight;
  }
  return remaining_share / weight;
}

double ShareLedger::Entitlement(std::size_t team) const {
  return std::max(kMinimumShare,
                  this->SharePerWeight() * this->accounts[team].weight);
}

double ShareLedger::EntitlementIfWaiting(std::size_t team) const {
  double active_weight = 0.0;
  for (std::size_t i = 0; i < this->accounts.size(); ++i) {
    const Account& account = this->accounts[i];
    if (i == team || account.has_waiting || account.usage > kMinimumShare) {
      active_weight += account.weight;
    }
  }
  return std::max(kMinimumShare, this->accounts[team].weight / active_weight);
}

double ShareLedger::Score(std::size_t team, double pending_share) const {
  const Account& account = this->accounts[team];
  const double share = this->Entitlement(team);
  return (account.deficit +
          kShortfallHorizonSeconds * (share - account.usage - pending_share)) /
         share;
}

void ShareLedger::Accrue(MonotonicTime now) {
  if (!this->has_accrued) {
    this->has_accrued = true;
    this->last_accrual = now;
  }
  const double seconds =
      std::chrono::duration<double>(now - this->last_accrual).count();
  if (seconds <= 0.0) {
    return;
  }
  this->last_accrual = now;
  const double share_per_weight = this->SharePerWeight();
  const double window_seconds =
      std::chrono::duration<double>(kDeficitWindow).count();
  const double decay_factor = std::max(0.0, 1.0 - seconds / window_seconds);
  for (Account& account : this->accounts) {
    const double share = share_per_weight * account.weight;
    const double shortfall = (share - account.usage) * seconds;
    if (account.has_waiting) {
      account.deficit += shortfall;
    } else {
      account.deficit =
          account.deficit * decay_factor + std::min(0.0, shortfall);
    }
    account.deficit = std::clamp(account.deficit, -window_seconds * share,
                                 window_seconds * share);
  }
}

}  // namespace daisyroad
