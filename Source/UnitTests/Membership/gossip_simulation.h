#ifndef SOURCE_UNITTESTS_MEMBERSHIP_GOSSIP_SIMULATION_H_
#define SOURCE_UNITTESTS_MEMBERSHIP_GOSSIP_SIMULATION_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Core/Common/json.h"
#include "Core/Common/random.h"
#include "Core/Membership/gossip_protocol.h"
#include "UnitTests/Control/event_queue.h"
#include "UnitTests/Control/fake_links.h"

namespace daisyroad {

// Simulates instances that run GossipProtocol over FakeLinks in virtual time.
// Instance 0 is the only seed. The address of an instance is its node number.
class GossipSimulation {
 public:
  GossipSimulation(std::uint64_t seed, std::size_t count, std::size_t zones)
      : links(count),
        random(seed),
        start(queue.now()),
        paused_until(count),
        ended(count, false) {
    for (std::size_t i = 0; i < count; ++i) {
      const MemberInfo self{NameOf(i),
                            ZoneName("zone-" + std::to_string(i % zones)),
                            std::to_string(i), 0, MemberState::kAlive};
      this->nodes.push_back(std::make_unique<GossipProtocol>(
          self, std::vector<std::string>{"0"}, seed * 1000 + i));
      this->Deliver(i, this->random.DurationBelow(Milliseconds(500)),
                    [this, i] { this->Tick(i); });
    }
  }

  static EntryName NameOf(std::size_t node) {
    return EntryName("entry-" + std::to_string(node) + "-5f3a9c21");
  }

  void RunUntil(Duration time) { this->queue.RunUntil(this->start + time); }
  void At(Duration time, std::function<void()> action) {
    this->queue.At(this->start + time, std::move(action));
  }
  Duration now() const { return this->queue.now() - this->start; }
  std::size_t size() const { return this->nodes.size(); }
  const MemberTable& TableOf(std::size_t node) const {
    return this->nodes[node]->members();
  }
  std::set<EntryName> LiveOf(std::size_t node) const {
    const std::vector<EntryName> live = this->TableOf(node).Live();
    return {live.begin(), live.end()};
  }
  std::set<EntryName> Running() const {
    std::set<EntryName> names;
    for (std::size_t i = 0; i < this->size(); ++i) {
      if (!this->ended[i]) {
        names.insert(NameOf(i));
      }
    }
    return names;
  }
  // Whether the live members known to every running instance are exactly the
  // running instances.
  bool HasConverged() const {
    const std::set<EntryName> running = this->Running();
    for (std::size_t i = 0; i < this->size(); ++i) {
      if (!this->ended[i] && this->LiveOf(i) != running) {
        return false;
      }
    }
    return true;
  }
  void Kill(std::size_t node) { this->ended[node] = true; }
  void Pause(std::size_t node, Duration length) {
    this->paused_until[node] = this->queue.now() + length;
  }

  FakeLinks links;
  bool measure = false;
  std::uint64_t bytes = 0;
  std::uint64_t largest = 0;
  std::uint64_t messages = 0;

 private:
  void Deliver(std::size_t node, Duration delay, std::function<void()> action) {
    this->queue.After(
        delay, [this, node, action = std::move(action)]() mutable {
          if (this->ended[node]) {
            return;
          }
          if (this->paused_until[node] > this->queue.now()) {
            this->Deliver(node, this->paused_until[node] - this->queue.now(),
                          std::move(action));
            return;
          }
          action();
        });
  }

  PeerReport ReportOf(std::size_t node) const {
    return {NameOf(node),
            this->TableOf(node).self().zone,
            7,
            7,
            Milliseconds(1234),
            true,
            {}};
  }

  void Tick(std::size_t node) {
    this->Run(node, this->nodes[node]->OnTick(this->ReportOf(node),
                                              this->queue.now()));
    this->Deliver(node, Milliseconds(100), [this, node] { this->Tick(node); });
  }

  void Count(const GossipMessage& message) {
    ++this->messages;
    if (this->measure) {
      const std::uint64_t size =
          WriteJson(GossipMessageToJson(message, this->document)).size();
      this->bytes += size;
      this->largest = std::max(this->largest, size);
    }
  }

  void Run(std::size_t node, const std::vector<GossipAction>& actions) {
    for (const GossipAction& action : actions) {
      if (const auto* send = std::get_if<SendGossip>(&action)) {
        this->Send(node, *send);
      } else if (const auto* probe = std::get_if<AskProbe>(&action)) {
        this->Probe(node, *probe);
      }
    }
  }

  void Send(std::size_t node, const SendGossip& send) {
    const std::size_t peer = std::stoul(send.address);
    this->Count(send.message);
    const std::optional<Duration> delay =
        this->links.Send(node, peer, this->random);
    if (!delay) {
      return;
    }
    this->Deliver(peer, *delay, [this, node, peer, send] {
      auto [reply, actions] = this->nodes[peer]->OnRequest(
          send.message, this->ReportOf(peer), this->queue.now());
      this->Run(peer, actions);
      this->Count(reply);
      const std::optional<Duration> back =
          this->links.Send(peer, node, this->random);
      if (back) {
        this->Deliver(node, *back, [this, node, send, message = reply] {
          this->Run(node, this->nodes[node]->OnReply(send.exchange, message,
                                                     this->queue.now()));
        });
      }
    });
  }

  void Probe(std::size_t node, const AskProbe& probe) {
    const std::size_t helper = std::stoul(probe.helper_address);
    const std::size_t target = std::stoul(probe.target_address);
    const std::size_t path[] = {node, helper, target, helper, node};
    Duration total{};
    for (std::size_t i = 0; i + 1 < std::size(path); ++i) {
      const std::optional<Duration> delay =
          this->links.Send(path[i], path[i + 1], this->random);
      const std::size_t next = path[i + 1];
      if (!delay || this->ended[next] ||
          this->paused_until[next] > this->queue.now()) {
        return;
      }
      total += *delay;
    }
    this->Deliver(node, total, [this, node, probe] {
      this->Run(node, this->nodes[node]->OnProbeAnswer(probe.exchange, true));
    });
  }

  EventQueue queue;
  Random random;
  MonotonicTime start;
  ControlDocument document;
  std::vector<std::unique_ptr<GossipProtocol>> nodes;
  std::vector<MonotonicTime> paused_until;
  std::vector<bool> ended;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_MEMBERSHIP_GOSSIP_SIMULATION_H_
