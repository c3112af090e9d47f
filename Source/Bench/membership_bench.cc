// Measures the bytes per second that an instance sends and receives for
// membership, compared with an all-to-all exchange and with one relay per zone.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Common/json.h"
#include "Core/Membership/gossip_protocol.h"

namespace daisyroad {
namespace {

constexpr std::size_t kZones = 4;
constexpr Milliseconds kTickInterval{100};
constexpr std::size_t kTicks = 600;
constexpr std::size_t kMeasuredTicks = 300;

// Gossip instances that exchange messages without loss or delay.
class MembershipSimulation {
 public:
  MembershipSimulation(std::uint64_t seed, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->instances.push_back(std::make_unique<GossipProtocol>(
          MemberInfo{EntryName("entry-" + std::to_string(i) + "-5f3a9c21"),
                     ZoneName("zone-" + std::to_string(i % kZones)),
                     std::to_string(i), 0, MemberState::kAlive},
          std::vector<std::string>{"0"}, seed + i));
    }
  }

  // Returns bytes per second and instance, sent and received.
  double Run() {
    for (std::size_t step = 0; step < kTicks; ++step) {
      if (step == kTicks - kMeasuredTicks) {
        this->bytes = 0;
      }
      this->now += kTickInterval;
      for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->Tick(i);
      }
    }
    const double seconds =
        std::chrono::duration<double>(kMeasuredTicks * kTickInterval).count();
    return 2.0 * static_cast<double>(this->bytes) / seconds /
           static_cast<double>(this->instances.size());
  }

  std::uint64_t MessageSize() const {
    GossipMessage message;
    message.sender = this->instances[0]->members().self();
    message.control = this->MakeReport(0);
    return WriteJson(GossipMessageToJson(message, {})).size();
  }

 private:
  PeerReport MakeReport(std::size_t instance) const {
    const MemberInfo& self = this->instances[instance]->members().self();
    return {self.name, self.zone, 3300, 3300, Milliseconds(1234), true, {}};
  }

  void CountBytes(const GossipMessage& message) {
    this->bytes += WriteJson(GossipMessageToJson(message, {})).size();
  }

  void Tick(std::size_t instance) {
    for (const GossipAction& action : this->instances[instance]->OnTick(
             this->MakeReport(instance), this->now)) {
      const SendGossip* send = std::get_if<SendGossip>(&action);
      if (send == nullptr) {
        continue;
      }
      const std::size_t peer = std::stoul(send->address);
      const GossipMessage reply =
          this->instances[peer]
              ->OnRequest(send->message, this->MakeReport(peer), this->now)
              .first;
      this->CountBytes(send->message);
      this->CountBytes(reply);
      this->instances[instance]->OnReply(send->exchange, reply, this->now);
    }
  }

  std::vector<std::unique_ptr<GossipProtocol>> instances;
  MonotonicTime now{std::chrono::hours(1)};
  std::uint64_t bytes = 0;
};

std::vector<BenchResult> RunMembershipBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  double first_measured = 0.0;
  for (const std::size_t count : {9, 50, 200}) {
    MembershipSimulation simulation(seed, count);
    const double measured = simulation.Run();
    const double message = static_cast<double>(simulation.MessageSize());
    const double n = static_cast<double>(count);
    // Every 500 ms, each instance sends a request to every other instance and
    // gets a reply; both ends count the bytes.
    const double all_to_all = (n - 1) * 2.0 * 2.0 * 2.0 * message;
    // A relay exchanges messages with each instance of its zone and each other
    // relay; a reply lists all members, with about 50 bytes each.
    const double zone_size = n / static_cast<double>(kZones);
    const double zone_relay =
        (zone_size - 1 + 2.0 * (kZones - 1)) * 2.0 * (2.0 * message + n * 50.0);
    first_measured = first_measured == 0.0 ? measured : first_measured;
    BenchResult result;
    result.name = "membership.bytes." + std::to_string(count);
    result.seed = seed;
    // The cost must stay nearly constant: at most 1.5 times that of 9
    // instances.
    result.ok = measured <= 1.5 * first_measured;
    result.baseline = all_to_all;
    result.measured = measured;
    result.unit = "B/s per instance";
    result.detail = "baseline: all to all; computed for the relay of a zone: " +
                    std::to_string(static_cast<std::int64_t>(zone_relay));
    results.push_back(result);
  }
  return results;
}

const BenchRegistration kRegistration("membership", RunMembershipBench);

}  // namespace
}  // namespace daisyroad
