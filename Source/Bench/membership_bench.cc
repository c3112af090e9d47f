// Bytes a second that an instance sends and receives for membership, compared
// with exchanges with all others and with relays of each zone.

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
constexpr Milliseconds kStep{100};
constexpr std::size_t kSteps = 600;
constexpr std::size_t kMeasuredSteps = 300;

// Protocol instances without loss or delay.
class Group {
 public:
  Group(std::uint64_t seed, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->nodes.push_back(std::make_unique<GossipProtocol>(
          MemberInfo{EntryName("entry-" + std::to_string(i) + "-5f3a9c21"),
                     ZoneName("zone-" + std::to_string(i % kZones)),
                     std::to_string(i), 0, MemberState::kAlive},
          std::vector<std::string>{"0"}, seed + i));
    }
  }

  // Bytes a second and instance, both directions.
  double Run() {
    for (std::size_t step = 0; step < kSteps; ++step) {
      if (step == kSteps - kMeasuredSteps) {
        this->bytes = 0;
      }
      this->now += kStep;
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->Tick(i);
      }
    }
    const double seconds =
        std::chrono::duration<double>(kMeasuredSteps * kStep).count();
    return 2.0 * static_cast<double>(this->bytes) / seconds /
           static_cast<double>(this->nodes.size());
  }

  std::uint64_t MessageSize() const {
    GossipMessage message;
    message.sender = this->nodes[0]->members().self();
    message.control = this->Report(0);
    return WriteJson(GossipMessageToJson(message, {})).size();
  }

 private:
  PeerReport Report(std::size_t node) const {
    const MemberInfo& self = this->nodes[node]->members().self();
    return {self.name, self.zone, 3300, 3300, Milliseconds(1234), true, {}};
  }

  void Count(const GossipMessage& message) {
    this->bytes += WriteJson(GossipMessageToJson(message, {})).size();
  }

  void Tick(std::size_t node) {
    for (const GossipAction& action :
         this->nodes[node]->OnTick(this->Report(node), this->now)) {
      const SendGossip* send = std::get_if<SendGossip>(&action);
      if (send == nullptr) {
        continue;
      }
      const std::size_t peer = std::stoul(send->address);
      const GossipMessage reply =
          this->nodes[peer]
              ->OnRequest(send->message, this->Report(peer), this->now)
              .first;
      this->Count(send->message);
      this->Count(reply);
      this->nodes[node]->OnReply(send->exchange, reply, this->now);
    }
  }

  std::vector<std::unique_ptr<GossipProtocol>> nodes;
  MonotonicTime now{std::chrono::hours(1)};
  std::uint64_t bytes = 0;
};

std::vector<BenchResult> RunMembershipBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  double smallest = 0.0;
  for (const std::size_t count : {9, 50, 200}) {
    Group group(seed, count);
    const double measured = group.Run();
    const double message = static_cast<double>(group.MessageSize());
    const double n = static_cast<double>(count);
    // Every 500 ms a request to and a reply from each other instance; an
    // instance is on both ends.
    const double all = (n - 1) * 2.0 * 2.0 * 2.0 * message;
    // A relay exchanges with each instance of its zone and each other relay;
    // a reply carries all members, one line of about 50 bytes each.
    const double zone_size = n / static_cast<double>(kZones);
    const double relay =
        (zone_size - 1 + 2.0 * (kZones - 1)) * 2.0 * (2.0 * message + n * 50.0);
    smallest = smallest == 0.0 ? measured : smallest;
    BenchResult result;
    result.name = "membership.bytes." + std::to_string(count);
    result.seed = seed;
    // Fixed cost: at most half as much again as at 9 instances.
    result.ok = measured <= 1.5 * smallest;
    result.baseline = all;
    result.measured = measured;
    result.unit = "B/s per instance";
    result.detail = "baseline: all to all; computed for the relay of a zone: " +
                    std::to_string(static_cast<std::int64_t>(relay));
    results.push_back(result);
  }
  return results;
}

const BenchRegistration kRegistration("membership", RunMembershipBench);

}  // namespace
}  // namespace daisyroad
