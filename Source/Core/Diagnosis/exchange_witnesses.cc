#include "Core/Diagnosis/exchange_witnesses.h"

#include <algorithm>

#include "Core/Diagnosis/observation_filter.h"

namespace daisyroad {
namespace {

// Instances exchange every 500 ms (design 3.8); a witness that comes later may
// belong to an instance that was paused and runs again.
constexpr Milliseconds kWitnessGap{2000};

}  // namespace

ExchangeWitnesses::ExchangeWitnesses(
    const std::vector<Observation>& observations) {
  ForEach<PeerMessage>(
      observations, [this](MonotonicTime at, const PeerMessage& message) {
        if (message.fate == MessageFate::kAnswered) {
          this->exchanges[message.observer].push_back({at, message.to});
          this->exchanges[message.peer].push_back({at, message.from});
        }
      });
}

bool ExchangeWitnesses::Prompt(const EntryName& instance,
                               MonotonicTime at,
                               const ZoneName& except) const {
  const auto found = this->exchanges.find(instance);
  if (found == this->exchanges.end()) {
    return false;
  }
  const std::vector<Exchange>& list = found->second;
  const auto first =
      std::lower_bound(list.begin(), list.end(), at,
                       [](const Exchange& exchange, MonotonicTime time) {
                         return exchange.at < time;
                       });
  return std::any_of(first, list.end(), [at, &except](const Exchange& item) {
    return item.at <= at + kWitnessGap && item.with != except;
  });
}

}  // namespace daisyroad
