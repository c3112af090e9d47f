#include "Core/Diagnosis/instance_liveness.h"

#include <algorithm>

#include "Core/Diagnosis/observation_filter.h"

namespace daisyroad {
namespace {

// Instances exchange messages every 500 ms (design 3.8). A later exchange
// proves nothing: the instance may have been paused in between and resumed.
constexpr Milliseconds kLivenessWindow{2000};

}  // namespace

InstanceLiveness::InstanceLiveness(
    const std::vector<Observation>& observations) {
  ForEach<PeerMessage>(
      observations, [this](MonotonicTime at, const PeerMessage& message) {
        if (message.fate == MessageFate::kAnswered) {
          this->exchanges[message.observer].push_back({at, message.to});
          this->exchanges[message.peer].push_back({at, message.from});
        }
      });
}

bool InstanceLiveness::WasResponsive(const EntryName& instance,
                                     MonotonicTime at,
                                     const ZoneName& excluded_zone) const {
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
  return std::any_of(first, list.end(),
                     [at, &excluded_zone](const Exchange& item) {
                       return item.at <= at + kLivenessWindow &&
                              item.peer_zone != excluded_zone;
                     });
}

}  // namespace daisyroad
