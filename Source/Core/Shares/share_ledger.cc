#include "Core/Shares/share_ledger.h"

#include <algorithm>
#include <chrono>

namespace daisyroad {
namespace {

// Weight of the present shortfall against the accumulated deficit. Without it
// a team that is behind takes every slot until it is far ahead.
constexpr double kHorizonSeconds = 1.0;
constexpr double kSmallestShare = 1e-9;

}  // namespace

std::size_t ShareLedger::AddTeam(double weight) {
  this->accounts.push_back(Account{});
  this->SetWeight(this->accounts.size() - 1, weight);
  return this->accounts.size() - 1;
}

void ShareLedger::SetWeight(std::size_t team, double weight) {
  this->accounts[team].weight = std::max(weight, kSmallestShare);
  this->rate_is_stale = true;
}

void ShareLedger::SetWaiting(std::size_t team, bool waiting) {
  Account& account = this->accounts[team];
  this->rate_is_stale = this->rate_is_stale || account.waiting != waiting;
  account.waiting = waiting;
}

void ShareLedger::AddUsage(std::size_t team, double share) {
  Account& account = this->accounts[team];
  account.usage = std::max(0.0, account.usage + share);
  this->rate_is_stale = true;
}

double ShareLedger::Rate() const {
  if (this->rate_is_stale) {
    this->rate = this->ComputeRate();
    this->rate_is_stale = false;
  }
  return this->rate;
}

// Progressive filling: a team without waiting work that uses less than its
// share leaves the rest to the others; one that uses more does not reduce
// theirs.
double ShareLedger::ComputeRate() const {
  double room = 1.0;
  double weight = 0.0;
  std::vector<const Account*> quiet;
  for (const Account& account : this->accounts) {
    if (account.waiting || account.usage > kSmallestShare) {
      weight += account.weight;
    }
    if (!account.waiting && account.usage > kSmallestShare) {
      quiet.push_back(&account);
    }
  }
  if (weight <= 0.0) {
    return 1.0;
  }
  // In this order, the first team above its share ends the filling.
  std::sort(quiet.begin(), quiet.end(), [](const Account* a, const Account* b) {
    return a->usage * b->weight < b->usage * a->weight;
  });
  for (const Account* account : quiet) {
    const double remaining = weight - account->weight;
    if (account->usage * weight > room * account->weight ||
        remaining <= kSmallestShare) {
      break;
    }
    room -= account->usage;
    weight = remaining;
  }
  return room / weight;
}

double ShareLedger::Entitlement(std::size_t team) const {
  return std::max(kSmallestShare, this->Rate() * this->accounts[team].weight);
}

double ShareLedger::EntitlementIfWaiting(std::size_t team) const {
  double active_weight = 0.0;
  for (std::size_t i = 0; i < this->accounts.size(); ++i) {
    const Account& account = this->accounts[i];
    if (i == team || account.waiting || account.usage > kSmallestShare) {
      active_weight += account.weight;
    }
  }
  return std::max(kSmallestShare, this->accounts[team].weight / active_weight);
}

double ShareLedger::Score(std::size_t team, double pending_share) const {
  const Account& account = this->accounts[team];
  const double share = this->Entitlement(team);
  return (account.deficit +
          kHorizonSeconds * (share - account.usage - pending_share)) /
         share;
}

void ShareLedger::Accrue(MonotonicTime now) {
  if (!this->started) {
    this->started = true;
    this->last = now;
  }
  const double seconds =
      std::chrono::duration<double>(now - this->last).count();
  if (seconds <= 0.0) {
    return;
  }
  this->last = now;
  const double fair_rate = this->Rate();
  const double memory = std::chrono::duration<double>(kMemory).count();
  const double kept = std::max(0.0, 1.0 - seconds / memory);
  for (Account& account : this->accounts) {
    const double share = fair_rate * account.weight;
    const double missed = (share - account.usage) * seconds;
    if (account.waiting) {
      account.deficit += missed;
    } else {
      account.deficit = account.deficit * kept + std::min(0.0, missed);
    }
    account.deficit =
        std::clamp(account.deficit, -memory * share, memory * share);
  }
}

}  // namespace daisyroad
