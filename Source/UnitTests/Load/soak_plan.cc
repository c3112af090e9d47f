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

constexpr int kLeastFaults = 5;
constexpr int kMostFaults = 10;
constexpr Milliseconds kShortest{300};
constexpr Milliseconds kLongest{3000};
// An instance takes a lost connection to the store for lost until it has a new
// one, and others go by its last report for three seconds.
constexpr Milliseconds kReconnectTime{4000};
// A graceful shutdown takes about a second.
constexpr Milliseconds kStopTime{2500};

class PlanBuilder {
 public:
  PlanBuilder(std::uint64_t seed, const TestDeployment& site)
      : random(seed), site(site) {}

  SoakPlan Build() {
    const int faults =
        kLeastFaults + this->Below(kMostFaults - kLeastFaults + 1);
    for (int i = 0; i < faults; ++i) {
      this->AddFault();
    }
    this->HealAll();
    this->plan.may_leave_unknown_keys =
        this->has_end && this->MayAgreeOnOutage();
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
    const Milliseconds length = this->Between(kShortest, kLongest);
    const Milliseconds at =
        this->Between(SoakPlan::kFirstFault, SoakPlan::kHealedAt - kLongest);
    const int entry = this->Below(TestDeployment::kEntries);
    const int worker = this->Below(TestDeployment::kWorkers);
    switch (this->Below(10)) {
      case 0:
        this->Signal(at, entry, SIGSTOP, "pause");
        this->Signal(at + length, entry, SIGCONT, "continue");
        return;
      case 1:
        this->Signal(at, entry, SIGKILL, "kill");
        this->Restart(at + length, entry);
        this->End(entry, at);
        return;
      case 2:
        this->Signal(at, entry, SIGTERM, "stop");
        this->Restart(at + std::max(length, kStopTime), entry);
        this->End(entry, at);
        return;
      case 3:
        this->Link(at, at + length, entry, "cut");
        return;
      case 4:
        this->Link(at, at + length, entry,
                   this->random.Chance(0.5) ? "cut-to" : "cut-from");
        return;
      case 5:
        this->Link(at, at + length, entry,
                   this->random.Chance(0.5) ? "cut-open" : "reset");
        return;
      case 6:
        this->Link(at, at + length, entry,
                   "delay " + std::to_string(this->Between(Milliseconds(50),
                                                           Milliseconds(400))
                                                 .count()));
        return;
      case 7:
        for (int i = 0; i < TestDeployment::kEntries; ++i) {
          this->LoseStore(i, at, at + length);
        }
        this->Post(at, this->site.store(), "{\"down\":true}");
        this->Post(at + length, this->site.store(), "{\"down\":false}");
        return;
      case 8:
        this->Post(at,
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

  void Signal(Milliseconds at, int entry, int signal, const std::string& name) {
    this->Step(at, name + " entry " + std::to_string(entry),
               [entry, signal](TestDeployment* deployment) {
                 ::kill(deployment->entry(entry)->id(), signal);
               });
  }

  void Restart(Milliseconds at, int entry) {
    this->Step(at, "restart entry " + std::to_string(entry),
               [entry](TestDeployment* deployment) {
                 deployment->RestartEntry(entry);
               });
  }

  void Link(Milliseconds at,
            Milliseconds until,
            int entry,
            const std::string& command) {
    this->LoseStore(entry, at, until);
    this->Step(at, command + " link " + std::to_string(entry),
               [entry, command](TestDeployment* deployment) {
                 deployment->store_link(entry)->Tell(command);
               });
    this->Step(until, "heal link " + std::to_string(entry),
               [entry](TestDeployment* deployment) {
                 deployment->store_link(entry)->Tell("heal");
               });
  }

  void Post(Milliseconds at,
            const std::string& address,
            const std::string& body) {
    this->plan.events.push_back(
        {at, PostFault{address, "/standin/faults", body}});
  }

  void Step(Milliseconds at,
            std::string name,
            std::function<void(TestDeployment*)> act) {
    this->plan.steps.push_back(SoakStep{at, std::move(name), std::move(act)});
  }

  void LoseStore(int entry, Milliseconds from, Milliseconds to) {
    this->without_store.push_back({entry, from, to + kReconnectTime});
  }

  // What the instance knew of the store is lost with it.
  void End(int entry, Milliseconds at) {
    this->has_end = true;
    this->LoseStore(entry, Milliseconds(0), at);
  }

  // Whether more than half of the instances, which are in both zones then, may
  // have been without the store at one time.
  bool MayAgreeOnOutage() const {
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
      this->Signal(SoakPlan::kHealedAt, i, SIGCONT, "continue");
      this->Step(SoakPlan::kHealedAt, "heal link " + std::to_string(i),
                 [i](TestDeployment* deployment) {
                   deployment->store_link(i)->Tell("heal");
                 });
    }
    this->Post(SoakPlan::kHealedAt, this->site.store(),
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
  bool has_end = false;
};

}  // namespace

SoakPlan MakeSoakPlan(std::uint64_t seed, const TestDeployment& site) {
  return PlanBuilder(seed, site).Build();
}

}  // namespace daisyroad
