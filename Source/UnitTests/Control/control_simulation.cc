#include "UnitTests/Control/control_simulation.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Core/Control/control_document_builder.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kTickInterval{100};
constexpr Milliseconds kGossipInterval{500};
constexpr Milliseconds kCallTimeout{500};
constexpr Milliseconds kMargin{1};

ControlDocument FirstDocument(std::size_t zones, std::size_t per_zone) {
  RosterMembers members;
  for (std::size_t i = 0; i < zones * per_zone; ++i) {
    const EntryName name("i" + std::to_string(i));
    members[name] = {name, ZoneName("z" + std::to_string(i / per_zone)), ""};
  }
  return ControlDocumentBuilder()
      .Members(members)
      .NextVersion(ChangeId("first"))
      .Build();
}

}  // namespace

struct ControlSimulation::Instance {
  Instance(EntryName name, const ZoneName& zone, MonotonicTime now)
      : tracker(name, zone), contacts(name, zone, now) {}

  AuthorityTracker tracker;
  PeerContacts contacts;
  ControlReplica replica;
  std::map<ChangeId, ChangeAcceptance> changes;
  Duration clock_offset{};
  MonotonicTime paused_until;
  bool ended = false;
  bool watches = false;
  MonotonicTime last_read;
  std::uint64_t reads = 0;
  std::uint64_t highest_version = 0;
};

ControlSimulation::ControlSimulation(std::uint64_t seed,
                                     std::size_t zones,
                                     std::size_t instances_per_zone)
    : links(zones * instances_per_zone),
      store_cuts(zones * instances_per_zone, 0),
      idle(zones * instances_per_zone),
      start(queue.now()),
      random(seed),
      per_zone(instances_per_zone),
      store(FirstDocument(zones, instances_per_zone)) {
  for (std::size_t i = 0; i < zones * instances_per_zone; ++i) {
    const Duration offset = this->random.DurationBelow(std::chrono::hours(1));
    this->instances.push_back(std::make_unique<Instance>(
        this->NameOf(i), this->NameOfZone(this->ZoneOf(i)),
        this->start + offset));
    Instance& instance = *this->instances.back();
    instance.clock_offset = offset;
    instance.last_read = this->Local(i) - std::chrono::seconds(2);
    std::vector<EntryName> zone_members;
    for (std::size_t j = 0; j < zones * instances_per_zone; ++j) {
      if (this->ZoneOf(j) == this->ZoneOf(i)) {
        zone_members.push_back(this->NameOf(j));
      }
    }
    instance.watches = ControlReplica::Watches(
        this->NameOf(i), this->NameOfZone(this->ZoneOf(i)), zone_members);
    instance.replica.OnHead(this->store.head(), StoreSource{}, this->Local(i));
    for (const auto& [digest, text] : this->store.parts()) {
      instance.replica.OnPart(digest, text);
    }
    this->OnVersionAdopted(i);
    this->Deliver(i, this->random.DurationBelow(kTickInterval),
                  [this, i] { this->Tick(i); });
    this->Deliver(i, this->random.DurationBelow(kGossipInterval),
                  [this, i] { this->Gossip(i); });
  }
}

ControlSimulation::~ControlSimulation() = default;

void ControlSimulation::At(Duration time, std::function<void()> action) {
  this->queue.At(this->start + time, std::move(action));
}

void ControlSimulation::RunUntil(Duration time) {
  this->queue.RunUntil(this->start + time);
}

ZoneName ControlSimulation::NameOfZone(std::size_t zone) const {
  return ZoneName("z" + std::to_string(zone));
}

EntryName ControlSimulation::NameOf(std::size_t node) const {
  return EntryName("i" + std::to_string(node));
}

const ControlDocument& ControlSimulation::DocumentOf(std::size_t node) const {
  return this->instances[node]->replica.document();
}

Authority ControlSimulation::AuthorityOf(std::size_t node) const {
  return this->instances[node]->tracker.Assess(this->Local(node));
}

MonotonicTime ControlSimulation::Local(std::size_t node) const {
  return this->queue.now() + this->instances[node]->clock_offset;
}

void ControlSimulation::LetEveryInstanceWatch() {
  for (const std::unique_ptr<Instance>& instance : this->instances) {
    instance->watches = true;
  }
}

void ControlSimulation::Pause(std::size_t node, Duration length) {
  Instance& instance = *this->instances[node];
  instance.paused_until =
      std::max(instance.paused_until, this->queue.now() + length);
}

void ControlSimulation::Kill(std::size_t node, Duration notice) {
  this->instances[node]->ended = true;
  this->queue.After(notice, [this, node] {
    for (const std::unique_ptr<Instance>& instance : this->instances) {
      instance->contacts.OnEnded(this->NameOf(node));
    }
  });
}

// Actions for a paused instance run when it resumes; those for an ended one are
// dropped.
void ControlSimulation::Deliver(std::size_t node,
                                Duration delay,
                                std::function<void()> action) {
  this->queue.After(delay, [this, node, action = std::move(action)]() mutable {
    const Instance& instance = *this->instances[node];
    if (instance.ended) {
      return;
    }
    if (instance.paused_until > this->queue.now()) {
      this->Deliver(node, instance.paused_until - this->queue.now(),
                    std::move(action));
      return;
    }
    action();
    this->CheckAuthority(node);
  });
}

void ControlSimulation::Tick(std::size_t node) {
  Instance& instance = *this->instances[node];
  const MonotonicTime now = this->Local(node);
  this->Run(node, instance.replica.OnTick(now));
  if (instance.tracker.ShouldReadStore(instance.watches,
                                       now - instance.last_read, now)) {
    this->ReadStore(node);
  }
  std::vector<ChangeId> ids;
  for (const auto& [id, change] : instance.changes) {
    ids.push_back(id);
  }
  for (const ChangeId& id : ids) {
    this->Run(node, id, instance.changes.at(id).OnTick(instance.contacts, now));
  }
  if (!instance.tracker.Assess(now).MayStart()) {
    this->idle[node] += kTickInterval;
  }
  this->Deliver(node, kTickInterval, [this, node] { this->Tick(node); });
}

void ControlSimulation::Gossip(std::size_t node) {
  for (int i = 0; i < 2 && this->size() > 1; ++i) {
    this->SendRequest(
        node, (node + 1 + this->random.Below(this->size() - 1)) % this->size());
  }
  this->Deliver(node, kGossipInterval, [this, node] { this->Gossip(node); });
}

void ControlSimulation::SendRequest(std::size_t node, std::size_t peer) {
  ++this->messages;
  const std::optional<Duration> delay =
      this->links.Send(node, peer, this->random);
  if (delay) {
    const MonotonicTime sent = this->Local(node);
    const PeerReport report = this->instances[node]->tracker.Report(sent);
    this->Deliver(peer, *delay, [this, peer, node, report, sent] {
      this->OnRequest(peer, node, report, sent);
    });
  }
}

void ControlSimulation::OnRequest(std::size_t node,
                                  std::size_t from,
                                  const PeerReport& report,
                                  MonotonicTime sent) {
  Instance& instance = *this->instances[node];
  const MonotonicTime now = this->Local(node);
  instance.tracker.OnVersionKnown(report.known_version);
  this->Run(node, instance.replica.OnVersionHeard(report.known_version,
                                                  report.name, now));
  const std::optional<Duration> delay =
      this->links.Send(node, from, this->random);
  if (delay) {
    const PeerReport reply = instance.tracker.Report(now);
    this->Deliver(from, *delay, [this, from, reply, sent] {
      this->OnReply(from, reply, sent);
    });
  }
}

void ControlSimulation::OnReply(std::size_t node,
                                const PeerReport& report,
                                MonotonicTime sent) {
  Instance& instance = *this->instances[node];
  instance.tracker.OnPeerReply(report, sent);
  instance.contacts.OnPeerReply(report, sent);
  this->Run(node, instance.replica.OnVersionHeard(
                      report.known_version, report.name, this->Local(node)));
}

bool ControlSimulation::CanReachStore(std::size_t node) const {
  return this->store_up && this->store_cuts[node] == 0;
}

// Calls the store. `effect` runs at the store and returns the action that the
// answer triggers at the caller. `lost` runs after the timeout if no answer has
// arrived.
void ControlSimulation::CallStore(std::size_t node,
                                  std::function<std::function<void()>()> effect,
                                  std::function<void()> lost) {
  ++this->store_calls;
  const std::shared_ptr<bool> is_completed = std::make_shared<bool>(false);
  this->Deliver(node, kCallTimeout, [is_completed, lost = std::move(lost)] {
    if (!*is_completed) {
      *is_completed = true;
      lost();
    }
  });
  const Duration limit = this->random.Chance(this->links.slow)
                             ? this->links.longest
                             : Duration(Milliseconds(5));
  this->queue.After(
      this->random.DurationBelow(limit),
      [this, node, is_completed, limit, effect = std::move(effect)] {
        if (!this->CanReachStore(node)) {
          return;
        }
        std::function<void()> answer = effect();
        if (this->random.Chance(this->lost_answers)) {
          return;
        }
        this->Deliver(node, this->random.DurationBelow(limit),
                      [is_completed, answer = std::move(answer)] {
                        if (!*is_completed) {
                          *is_completed = true;
                          answer();
                        }
                      });
      });
}

void ControlSimulation::ReadStore(std::size_t node) {
  Instance& instance = *this->instances[node];
  const std::uint64_t read = ++instance.reads;
  instance.last_read = this->Local(node);
  instance.tracker.OnStoreReadStarted(read, instance.last_read);
  this->CallStore(
      node,
      [this, node, read] {
        const ControlHead head = this->store.head();
        return [this, node, read, head] {
          Instance& reader = *this->instances[node];
          reader.tracker.OnStoreReadAnswered(read, head.version);
          this->Run(node, reader.replica.OnHead(head, StoreSource{},
                                                this->Local(node)));
        };
      },
      [this, node, read] {
        this->instances[node]->tracker.OnStoreReadFailed(read);
      });
}

void ControlSimulation::Watch(std::size_t node, const ControlHead& head) {
  ++this->watch_calls;
  if (!this->CanReachStore(node)) {
    return;
  }
  const std::vector<ControlHead>& history = this->store.history();
  const ControlHead received_head =
      this->random.Chance(this->stale_watches)
          ? history[this->random.Below(history.size())]
          : head;
  this->Deliver(
      node, this->random.DurationBelow(Milliseconds(5)),
      [this, node, received_head] {
        Instance& instance = *this->instances[node];
        instance.tracker.OnVersionKnown(received_head.version);
        this->Run(node, instance.replica.OnHead(received_head, StoreSource{},
                                                this->Local(node)));
      });
}

void ControlSimulation::Run(std::size_t node,
                            const std::vector<ReplicaAction>& actions) {
  for (const ReplicaAction& action : actions) {
    std::visit(
        [this, node](const auto& step) {
          if constexpr (std::is_same_v<std::decay_t<decltype(step)>,
                                       VersionAdopted>) {
            this->OnVersionAdopted(node);
          } else {
            this->Fetch(node, step);
          }
        },
        action);
  }
}

void ControlSimulation::Fetch(std::size_t node, const FetchHead& fetch) {
  const auto deliver = [this, node](const ControlHead& head,
                                    const ControlSource& source) {
    this->Run(node, this->instances[node]->replica.OnHead(head, source,
                                                          this->Local(node)));
  };
  if (const PeerSource* peer = std::get_if<PeerSource>(&fetch.source)) {
    const std::size_t other = std::stoul(peer->peer.str().substr(1));
    const std::optional<Duration> there =
        this->links.Send(node, other, this->random);
    const std::optional<Duration> back =
        this->links.Send(other, node, this->random);
    if (there && back) {
      this->Deliver(other, *there, [=, this, source = fetch.source] {
        const ControlHead head = this->DocumentOf(other).Head();
        this->Deliver(node, *back, [=] { deliver(head, source); });
      });
    }
    return;
  }
  this->CallStore(
      node,
      [this, deliver] {
        const ControlHead head = this->store.head();
        return [deliver, head] { deliver(head, StoreSource{}); };
      },
      [] {});
}

void ControlSimulation::Fetch(std::size_t node, const FetchPart& fetch) {
  const auto deliver = [this, node, digest = fetch.digest](
                           const std::optional<std::string>& text) {
    if (text) {
      this->Run(node, this->instances[node]->replica.OnPart(digest, *text));
    }
  };
  if (const PeerSource* peer = std::get_if<PeerSource>(&fetch.source)) {
    const std::size_t other = std::stoul(peer->peer.str().substr(1));
    const std::optional<Duration> there =
        this->links.Send(node, other, this->random);
    const std::optional<Duration> back =
        this->links.Send(other, node, this->random);
    if (there && back) {
      this->Deliver(other, *there, [=, this, digest = fetch.digest] {
        const std::optional<std::string> text =
            this->instances[other]->replica.Part(digest);
        this->Deliver(node, *back, [=] { deliver(text); });
      });
    }
    return;
  }
  this->CallStore(
      node,
      [this, deliver, digest = fetch.digest] {
        const std::string text = this->store.parts().at(digest);
        return [deliver, text] { deliver(text); };
      },
      [] {});
}

void ControlSimulation::OnVersionAdopted(std::size_t node) {
  Instance& instance = *this->instances[node];
  const ControlDocument& document = instance.replica.document();
  if (document.version() <= instance.highest_version) {
    this->violations.push_back(this->NameOf(node).str() +
                               " adopted a version that is not newer: " +
                               std::to_string(document.version()));
  }
  instance.highest_version = document.version();
  instance.contacts.OnOwnVersion(document.version());
  instance.tracker.OnVersionInForce(document.version(), document.roster());
  std::vector<ChangeId> ids;
  for (const auto& [id, change] : instance.changes) {
    ids.push_back(id);
  }
  for (const ChangeId& id : ids) {
    this->Run(node, id,
              instance.changes.at(id).OnDocument(document, instance.contacts,
                                                 this->Local(node)));
  }
}

void ControlSimulation::Propose(std::size_t node,
                                const ChangeId& id,
                                ControlChange change) {
  this->outcomes[id].proposed = this->now();
  this->Deliver(node, Duration::zero(), [this, node, id, change] {
    Instance& instance = *this->instances[node];
    const ControlDocument& document = instance.replica.document();
    const auto [entry, added] = instance.changes.emplace(
        id, ChangeAcceptance({id, change, document.version()}));
    this->Run(
        node, id,
        entry->second.Start(document, instance.contacts, this->Local(node)));
  });
}

void ControlSimulation::Run(std::size_t node,
                            const ChangeId& id,
                            const std::vector<ChangeAction>& actions) {
  Instance& instance = *this->instances[node];
  Outcome& outcome = this->outcomes[id];
  for (const ChangeAction& action : actions) {
    if (const auto* write = std::get_if<WriteVersion>(&action)) {
      this->Write(node, id, *write);
    } else if (std::holds_alternative<ReadHeadBack>(action)) {
      this->ReadBack(node, id);
    } else if (const auto* ask = std::get_if<AskMembers>(&action)) {
      for (const EntryName& member : ask->members) {
        this->SendRequest(node, std::stoul(member.str().substr(1)));
      }
    } else if (const auto* wanted = std::get_if<CatchUp>(&action)) {
      if (instance.replica.document().version() >= wanted->version) {
        this->Run(node, id,
                  instance.changes.at(id).OnDocument(
                      instance.replica.document(), instance.contacts,
                      this->Local(node)));
      }
    } else if (const auto* written = std::get_if<TellWritten>(&action)) {
      outcome.version = written->version;
      instance.tracker.OnVersionKnown(written->version);
    } else if (const auto* accepted = std::get_if<TellAccepted>(&action)) {
      outcome.accepted = this->now();
      this->work_deadlines[accepted->version] =
          this->queue.now() + kFreshness + kMargin;
    } else if (std::holds_alternative<TellInForce>(action)) {
      if (instance.changes.at(id).finished()) {
        outcome.in_force = this->now();
      }
    } else if (std::holds_alternative<TellConflict>(action)) {
      outcome.conflict = true;
    }
  }
}

void ControlSimulation::Write(std::size_t node,
                              const ChangeId& id,
                              const WriteVersion& write) {
  const auto answer = [this, node, id](WriteAnswer result) {
    Instance& instance = *this->instances[node];
    this->Run(node, id,
              instance.changes.at(id).OnWriteAnswered(result, instance.contacts,
                                                      this->Local(node)));
  };
  this->CallStore(
      node,
      [this, write, answer] {
        const bool done = this->store.CompareAndSwap(write);
        if (done) {
          for (std::size_t i = 0; i < this->size(); ++i) {
            if (this->instances[i]->watches) {
              this->Watch(i, write.head);
            }
          }
        }
        return [answer, done] {
          answer(done ? WriteAnswer::kWritten : WriteAnswer::kConflict);
        };
      },
      [answer] { answer(WriteAnswer::kLost); });
}

void ControlSimulation::ReadBack(std::size_t node, const ChangeId& id) {
  this->CallStore(
      node,
      [this, node, id] {
        const ControlHead head = this->store.head();
        return [this, node, id, head] {
          Instance& instance = *this->instances[node];
          const MonotonicTime now = this->Local(node);
          this->Run(node, instance.replica.OnHead(head, StoreSource{}, now));
          this->Run(
              node, id,
              instance.changes.at(id).OnHeadRead(head, instance.contacts, now));
        };
      },
      [this, node, id] { this->ReadBack(node, id); });
}

void ControlSimulation::CheckAuthority(std::size_t node) {
  const Instance& instance = *this->instances[node];
  const auto first_deadline =
      this->work_deadlines.upper_bound(instance.highest_version);
  if (first_deadline == this->work_deadlines.end()) {
    return;
  }
  MonotonicTime limit = first_deadline->second;
  for (auto work_deadline = first_deadline;
       work_deadline != this->work_deadlines.end(); ++work_deadline) {
    limit = std::min(limit, work_deadline->second);
  }
  const Authority authority = instance.tracker.Assess(this->Local(node));
  if (!authority.MayStart()) {
    return;
  }
  if (authority.deadline - instance.clock_offset > limit) {
    this->violations.push_back(
        this->NameOf(node).str() + " may start work under version " +
        std::to_string(instance.highest_version) +
        " after the freshness bound in state " +
        AuthorityStateName(authority.state) + ": " + authority.reason);
  }
}

void ControlSimulation::Finish() {
  std::map<ChangeId, std::uint64_t> written;
  std::uint64_t version = 0;
  for (const ControlHead& head : this->store.history()) {
    if (head.version <= version) {
      this->violations.push_back("the version in the store did not increase");
    }
    version = head.version;
    if (!written.emplace(head.recent.back().id, head.version).second) {
      this->violations.push_back("change written twice: " +
                                 head.recent.back().id.str());
    }
  }
  for (const auto& [id, outcome] : this->outcomes) {
    const auto found = written.find(id);
    const std::uint64_t written_version =
        found == written.end() ? 0 : found->second;
    if (outcome.conflict
            ? written_version != 0
            : outcome.version != 0 && written_version != outcome.version) {
      this->violations.push_back("wrong outcome reported for change " +
                                 id.str());
    }
  }
}

}  // namespace daisyroad
