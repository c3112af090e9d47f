#ifndef SOURCE_UNITTESTS_CONTROL_CONTROL_SIMULATION_H_
#define SOURCE_UNITTESTS_CONTROL_CONTROL_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Control/authority_tracker.h"
#include "Core/Control/change_acceptance.h"
#include "Core/Control/control_replica.h"
#include "Core/Control/peer_contacts.h"
#include "UnitTests/Control/event_queue.h"
#include "UnitTests/Control/fake_links.h"
#include "UnitTests/Control/fake_store.h"

namespace daisyroad {

// Simulates entry instances that run the control classes against a fake store
// over faulty links in virtual time. The clock of each instance has its own
// offset. Violated invariants are collected in `violations`.
class ControlSimulation {
 public:
  ControlSimulation(std::uint64_t seed,
                    std::size_t zones,
                    std::size_t instances_per_zone);

  ~ControlSimulation();

  // Times are relative to the start of the simulation.
  void At(Duration time, std::function<void()> action);
  void RunUntil(Duration time);
  Duration now() const { return this->queue.now() - this->start; }

  std::size_t size() const { return this->instances.size(); }
  std::size_t ZoneOf(std::size_t node) const { return node / this->per_zone; }
  ZoneName NameOfZone(std::size_t zone) const;
  EntryName NameOf(std::size_t node) const;
  const ControlDocument& DocumentOf(std::size_t node) const;
  Authority AuthorityOf(std::size_t node) const;

  // Baseline of the benchmark: every instance keeps a watch and reads the head
  // once a second.
  void LetEveryInstanceWatch();

  // Faults.
  FakeLinks links;
  bool store_up = true;
  double lost_answers = 0.0;   // fraction of store answers that are lost
  double stale_watches = 0.0;  // fraction of watch events with an older head
  // Number of faults that cut each instance off from the store.
  std::vector<int> store_cuts;
  void Pause(std::size_t node, Duration length);
  // Ends the instance permanently; the others are notified after `notice`.
  void Kill(std::size_t node, Duration notice);

  // Results.
  struct Outcome {
    Duration proposed{};
    Duration accepted{-1};
    Duration in_force{-1};  // time at which it was in force in every zone
    std::uint64_t version = 0;
    bool conflict = false;
  };
  void Propose(std::size_t node, const ChangeId& id, ControlChange change);
  std::map<ChangeId, Outcome> outcomes;
  std::vector<std::string> violations;
  std::uint64_t store_calls = 0;
  std::uint64_t watch_calls = 0;
  std::uint64_t messages = 0;
  // For each instance, the time without authority to start work while it was
  // running and not paused.
  std::vector<Duration> idle;
  // Checks the invariants over the whole run, which need the complete history
  // of the store.
  void Finish();

 private:
  struct Instance;

  MonotonicTime Local(std::size_t node) const;
  void Deliver(std::size_t node, Duration delay, std::function<void()> action);
  void Tick(std::size_t node);
  void Gossip(std::size_t node);
  void SendRequest(std::size_t node, std::size_t peer);
  void OnRequest(std::size_t node,
                 std::size_t from,
                 const PeerReport& report,
                 MonotonicTime sent);
  void OnReply(std::size_t node, const PeerReport& report, MonotonicTime sent);
  void ReadStore(std::size_t node);
  void CallStore(std::size_t node,
                 std::function<std::function<void()>()> effect,
                 std::function<void()> lost);
  void Watch(std::size_t node, const ControlHead& head);
  void Run(std::size_t node, const std::vector<ReplicaAction>& actions);
  void Fetch(std::size_t node, const FetchHead& fetch);
  void Fetch(std::size_t node, const FetchPart& fetch);
  void OnVersionAdopted(std::size_t node);
  void Run(std::size_t node,
           const ChangeId& id,
           const std::vector<ChangeAction>& actions);
  void Write(std::size_t node, const ChangeId& id, const WriteVersion& write);
  void ReadBack(std::size_t node, const ChangeId& id);
  void CheckAuthority(std::size_t node);
  bool CanReachStore(std::size_t node) const;

  EventQueue queue;
  MonotonicTime start;
  Random random;
  std::size_t per_zone;
  FakeStore store;
  std::vector<std::unique_ptr<Instance>> instances;
  // For each accepted version, the latest time at which work under an older
  // version may start.
  std::map<std::uint64_t, MonotonicTime> work_deadlines;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CONTROL_CONTROL_SIMULATION_H_
