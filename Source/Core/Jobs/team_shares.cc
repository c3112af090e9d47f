#include "Core/Jobs/team_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace daisyroad {
namespace {

// A team with a share near zero is behind or ahead without bounds.
constexpr double kMaxStanding = 1e6;

double Fraction(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

Milliseconds ToMilliseconds(double seconds) {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void TeamShares::SetWeights(std::map<TeamName, double> weights,
                            MonotonicTime now) {
  this->ledger.Accrue(now);
  this->weights = std::move(weights);
  for (std::size_t i = 0; i < this->accounts.size(); ++i) {
    Account& account = this->accounts[i];
    const std::map<TeamName, double>::const_iterator found =
        this->weights.find(account.team);
    account.weight = found == this->weights.end() ? 1.0 : found->second;
    this->ledger.SetWeight(i, account.weight);
  }
}

std::size_t TeamShares::AccountOf(const TeamName& team) {
  const std::map<TeamName, std::size_t>::const_iterator found =
      this->index.find(team);
  if (found != this->index.end()) {
    return found->second;
  }
  Account account;
  account.team = team;
  const std::map<TeamName, double>::const_iterator weight =
      this->weights.find(team);
  account.weight = weight == this->weights.end() ? 1.0 : weight->second;
  const std::size_t number = this->ledger.AddTeam(account.weight);
  this->accounts.push_back(account);
  this->index[team] = number;
  return number;
}

void TeamShares::BeginPass(const Resources& room, MonotonicTime now) {
  this->ledger.Accrue(now);
  this->room = room;
  this->UpdateUsage();
  for (Account& account : this->accounts) {
    account.was_waiting = std::exchange(account.is_waiting, false);
  }
}

void TeamShares::EndPass(bool is_whole) {
  this->UpdateUsage();
  for (std::size_t i = 0; i < this->accounts.size(); ++i) {
    Account& account = this->accounts[i];
    account.is_waiting |= !is_whole && account.was_waiting;
    this->ledger.SetWaiting(i, account.is_waiting);
  }
}

int TeamShares::Standing(std::size_t account) const {
  const double step = std::chrono::duration<double>(kStandingStep).count();
  return static_cast<int>(std::clamp(std::round(this->Score(account) / step),
                                     -kMaxStanding, kMaxStanding));
}

std::vector<TeamStanding> TeamShares::Standings() const {
  std::vector<TeamStanding> standings;
  for (std::size_t i = 0; i < this->accounts.size(); ++i) {
    const Account& account = this->accounts[i];
    const double entitlement = this->ledger.Entitlement(i);
    TeamStanding standing;
    standing.team = account.team;
    standing.weight = account.weight;
    standing.use = this->ShareOf(account.used);
    standing.entitlement = entitlement;
    standing.deficit = ToMilliseconds(this->ledger.Deficit(i) / entitlement);
    standing.standing = ToMilliseconds(this->Score(i));
    standing.is_waiting = account.is_waiting;
    if (standing.is_waiting || standing.use > 0.0 ||
        standing.deficit != Milliseconds(0)) {
      standings.push_back(standing);
    }
  }
  return standings;
}

double TeamShares::ShareOf(const Resources& use) const {
  return std::max({Fraction(use.cpu_millicores, this->room.cpu_millicores),
                   Fraction(use.memory_mb, this->room.memory_mb),
                   Fraction(use.accelerators, this->room.accelerators), 0.0});
}

void TeamShares::UpdateUsage() {
  for (std::size_t i = 0; i < this->accounts.size(); ++i) {
    const double change =
        this->ShareOf(this->accounts[i].used) - this->ledger.Usage(i);
    if (change != 0.0) {
      this->ledger.AddUsage(i, change);
    }
  }
}

double TeamShares::Score(std::size_t account) const {
  const double started =
      this->ShareOf(this->accounts[account].used) - this->ledger.Usage(account);
  return this->ledger.Score(account, started);
}

}  // namespace daisyroad
