#include "UnitTests/Load/soak_plan.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>
#include <vector>

#include "Core/Common/random.h"
#include "UnitTests/Load/test_deployment.h"

namespace daisyroad {
namespace {

constexpr int kMinFaults = 5;
constexpr int kMaxFaults = 10;
constexpr Milliseconds kMinFaultLength{300};
constexpr Milliseconds kMaxFaultLength{3000};
// An instance treats the store as lost until it has reconnected, and the other
// instances use its last report for three seconds.
constexpr Milliseconds kReconnectTime{4000};
// A graceful shutdown takes about a second.
constexpr Milliseconds kStopTime{2500};

class PlanBuilder {
 public:
  PlanBuilder(std::uint64_t seed, const TestDeployment& site)
      : random(seed), site(site) {}

  SoakPlan Build() {
    const int faults = kMinFaults + this->Below(kMaxFaults - kMinFaults + 1);
    for (int i = 0; i < faults; ++i) {
      this->AddFault();
    }
    this->HealAll();
    this->plan.may_leave_unknown_keys =
        this->has_entry_exit && this->MajorityMayLoseStore();
    std::stable_sort(this->plan.steps.begin(), this->plan.steps.end(),
                     [](const SoakStep& left, const SoakStep& right) {
                       return left.at < right.at;
                     });
    return std::move(this->plan);
  }

 private:
  int Below(int bound) { return static_cast<int>(this->random.Below(bound)); }

  Milliseconds Between(Milliseconds low, Milliseconds high) {
    return low + Milliseconds(this->random.Below((high - low).count() + 1));
  }

  void AddFault() {
    const Milliseconds length = this->Between(kMinFaultLength, kMaxFaultLength);
    const Milliseconds at = this->Between(
        SoakPlan::kFirstFault, SoakPlan::kHealedAt - kMaxFaultLength);
    const int entry = this->Below(TestDeployment::kEntries);
    const int worker = this->Below(TestDeployment::kWorkers);
    switch (this->Below(10)) {
      case 0:
        this->AddSignal(at, entry, SIGSTOP, "pause");
        this->AddSignal(at + length, entry, SIGCONT, "continue");
        return;
      case 1:
        this->AddSignal(at, entry, SIGKILL, "kill");
        this->AddRestart(at + length, entry);
        this->RecordEntryExit(entry, at);
        return;
      case 2:
        this->AddSignal(at, entry, SIGTERM, "stop");
        this->AddRestart(at + std::max(length, kStopTime), entry);
        this->RecordEntryExit(entry, at);
        return;
      case 3:
        this->AddLinkFault(at, at + length, entry, "cut");
        return;
      case 4:
        this->AddLinkFault(at, at + length, entry,
                           this->random.Chance(0.5) ? "cut-to" : "cut-from");
        return;
      case 5:
        this->AddLinkFault(at, at + length, entry,
                           this->random.Chance(0.5) ? "cut-open" : "reset");
        return;
      case 6:
        this->AddLinkFault(
            at, at + length, entry,
            "delay " + std::to_string(
                           this->Between(Milliseconds(50), Milliseconds(400))
                               .count()));
        return;
      case 7:
        for (int i = 0; i < TestDeployment::kEntries; ++i) {
          this->RecordStoreLoss(i, at, at + length);
        }
        this->AddFaultPost(at, this->site.store(), "{\"down\":true}");
        this->AddFaultPost(at + length, this->site.store(), "{\"down\":false}");
        return;
      case 8:
        this->AddFaultPost(at,
                           this->random.Chance(0.5) ? this->site.store()
                                                    : this->site.worker(worker),
                           "{\"lose_answers\":5}");
        return;
      default:
        this->plan.events.push_back({at, PostFault{this->site.worker(worker),
                                                   "/standin/silence", "{}"}});
        return;
    }
  }

  void AddSignal(Milliseconds at,
                 int entry,
                 int signal,
                 const std::string& name) {
    this->AddStep(at, name + " entry " + std::to_string(entry),
                  [entry, signal](TestDeployment* deployment) {
                    ::kill(deployment->entry(entry)->id(), signal);
                  });
  }

  void AddRestart(Milliseconds at, int entry) {
    this->AddStep(at, "restart entry " + std::to_string(entry),
                  [entry](TestDeployment* deployment) {
                    deployment->RestartEntry(entry);
                  });
  }

  void AddLinkFault(Milliseconds at,
                    Milliseconds until,
                    int entry,
                    const std::string& command) {
    this->RecordStoreLoss(entry, at, until);
    this->AddStep(at, command + " link " + std::to_string(entry),
                  [entry, command](TestDeployment* deployment) {
                    deployment->store_link(entry)->WriteLine(command);
                  });
    this->AddStep(until, "heal link " + std::to_string(entry),
                  [entry](TestDeployment* deployment) {
                    deployment->store_link(entry)->WriteLine("heal");
                  });
  }

  void AddFaultPost(Milliseconds at,
                    const std::string& address,
                    const std::string& body) {
    this->plan.events.push_back(
        {at, PostFault{address, "/standin/faults", body}});
  }

  void AddStep(Milliseconds at,
               std::string name,
               std::function<void(TestDeployment*)> act) {
    this->plan.steps.push_back(SoakStep{at, std::move(name), std::move(act)});
  }

  void RecordStoreLoss(int entry, Milliseconds from, Milliseconds to) {
    this->without_store.push_back({entry, from, to + kReconnectTime});
  }

  // A stopped instance loses its knowledge of earlier store access, so it
  // counts as without the store from the start of the run.
  void RecordEntryExit(int entry, Milliseconds at) {
    this->has_entry_exit = true;
    this->RecordStoreLoss(entry, Milliseconds(0), at);
  }

  // Returns true if more than half of the instances, and so instances in both
  // zones, may have been without the store at the same time.
  bool MajorityMayLoseStore() const {
    return std::any_of(
        this->without_store.begin(), this->without_store.end(),
        [this](const WithoutStore& first) {
          std::set<int> entries;
          for (const WithoutStore& other : this->without_store) {
            if (other.from <= first.from && other.to >= first.from) {
              entries.insert(other.entry);
            }
          }
          return 2 * entries.size() > TestDeployment::kEntries;
        });
  }

  void HealAll() {
    for (int i = 0; i < TestDeployment::kEntries; ++i) {
      this->AddSignal(SoakPlan::kHealedAt, i, SIGCONT, "continue");
      this->AddStep(SoakPlan::kHealedAt, "heal link " + std::to_string(i),
                    [i](TestDeployment* deployment) {
                      deployment->store_link(i)->WriteLine("heal");
                    });
    }
    this->AddFaultPost(SoakPlan::kHealedAt, this->site.store(),
                       "{\"down\":false,\"lose_answers\":0}");
  }

  struct WithoutStore {
    int entry = 0;
    Milliseconds from{0};
    Milliseconds to{0};
  };

  Random random;
  const TestDeployment& site;
  SoakPlan plan;
  std::vector<WithoutStore> without_store;
  bool has_entry_exit = false;
};

}  // namespace

SoakPlan MakeSoakPlan(std::uint64_t seed, const TestDeployment& site) {
  return PlanBuilder(seed, site).Build();
}

}  // namespace daisyroad
