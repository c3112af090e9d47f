#include "Core/Declaration/declaration_validator.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace daisyroad {

namespace {

std::string ItemPath(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

std::string NotDeclaredProblem(const std::string& kind,
                               const std::string& name) {
  return kind + " \"" + name + "\" is not declared";
}

template <typename Item>
void CheckDuplicates(const std::vector<Item>& items,
                     const std::string& list,
                     FaultList& faults) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const std::string& name = items[i].name.str();
    if (!name.empty() && !seen.insert(name).second) {
      faults.Add(ItemPath(list, i) + ".name",
                 "duplicate name \"" + name + "\"");
    }
  }
}

template <typename Name>
void CheckReferences(const std::vector<Name>& names,
                     const std::string& field,
                     const std::set<std::string>& declared,
                     const std::string& kind,
                     FaultList& faults) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < names.size(); ++i) {
    const std::string& name = names[i].str();
    if (name.empty()) {
      continue;
    }
    if (!declared.contains(name)) {
      faults.Add(ItemPath(field, i), NotDeclaredProblem(kind, name));
    } else if (!seen.insert(name).second) {
      faults.Add(ItemPath(field, i), "duplicate name \"" + name + "\"");
    }
  }
}

void CheckReference(const std::string& name,
                    const std::string& field,
                    const std::set<std::string>& declared,
                    const std::string& kind,
                    FaultList& faults) {
  if (!name.empty() && !declared.contains(name)) {
    faults.Add(field, NotDeclaredProblem(kind, name));
  }
}

template <typename Item>
std::set<std::string> NameSet(const std::vector<Item>& items) {
  std::set<std::string> names;
  for (const Item& item : items) {
    names.insert(item.name.str());
  }
  return names;
}

void CheckRegions(const Declaration& declaration, FaultList& faults) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < declaration.regions.size(); ++i) {
    const std::string& name = declaration.regions[i];
    if (!name.empty() && !seen.insert(name).second) {
      faults.Add(ItemPath("regions", i), "duplicate name \"" + name + "\"");
    }
  }
  for (std::size_t i = 0; i < declaration.zones.size(); ++i) {
    CheckReference(declaration.zones[i].region,
                   ItemPath("zones", i) + ".region", seen, "region", faults);
  }
}

void CheckPools(const Declaration& declaration, FaultList& faults) {
  const std::set<std::string> zones = NameSet(declaration.zones);
  bool has_spare = false;
  for (std::size_t i = 0; i < declaration.pools.size(); ++i) {
    const Pool& pool = declaration.pools[i];
    for (const auto& [zone, count] : pool.workers) {
      CheckReference(zone.str(),
                     ItemPath("pools", i) + ".workers." + zone.str(), zones,
                     "zone", faults);
    }
    if (pool.spare && has_spare) {
      faults.Add(ItemPath("pools", i) + ".spare",
                 "only one pool can be the spare");
    }
    has_spare = has_spare || pool.spare;
  }
}

// Depth-first search over the service dependencies. Each back edge is reported
// as a cycle at the service that it starts from. The search keeps an explicit
// stack because recursion over a chain of thousands of services would overflow
// the call stack.
class CycleDetector {
 public:
  CycleDetector(const Declaration& declaration, FaultList& fault_list)
      : services(declaration.services), faults(fault_list) {
    for (std::size_t i = 0; i < this->services.size(); ++i) {
      this->index.emplace(this->services[i].name.str(), i);
    }
  }

  void Run() {
    this->states.assign(this->services.size(), State::kUnvisited);
    for (std::size_t i = 0; i < this->services.size(); ++i) {
      if (this->states[i] == State::kUnvisited) {
        this->Visit(i);
      }
    }
  }

 private:
  enum class State { kUnvisited, kOnPath, kDone };

  struct Step {
    std::size_t service;
    std::size_t next_dependency;
  };

  void Visit(std::size_t start) {
    this->PushService(start);
    while (!this->path.empty()) {
      Step& step = this->path.back();
      const std::vector<ServiceName>& dependencies =
          this->services[step.service].depends_on;
      if (step.next_dependency == dependencies.size()) {
        this->states[step.service] = State::kDone;
        this->path.pop_back();
        continue;
      }
      const std::size_t dependency = step.next_dependency++;
      this->FollowDependency(step.service, dependency);
    }
  }

  void PushService(std::size_t service) {
    this->states[service] = State::kOnPath;
    this->path.push_back({service, 0});
  }

  void FollowDependency(std::size_t service, std::size_t dependency) {
    const auto target =
        this->index.find(this->services[service].depends_on[dependency].str());
    if (target == this->index.end()) {
      return;
    }
    if (this->states[target->second] == State::kUnvisited) {
      this->PushService(target->second);
    } else if (this->states[target->second] == State::kOnPath) {
      this->faults.Add(
          ItemPath(ItemPath("services", service) + ".depends_on", dependency),
          "dependency cycle: " + this->CycleText(target->second));
    }
  }

  std::string CycleText(std::size_t target) const {
    std::string text;
    bool is_in_cycle = false;
    for (const Step& step : this->path) {
      is_in_cycle = is_in_cycle || step.service == target;
      if (is_in_cycle) {
        text += this->services[step.service].name.str() + " -> ";
      }
    }
    return text + this->services[target].name.str();
  }

  const std::vector<Service>& services;
  FaultList& faults;
  std::map<std::string, std::size_t> index;
  std::vector<State> states;
  std::vector<Step> path;
};

}  // namespace

void ValidateDeclaration(const Declaration& declaration, FaultList& faults) {
  CheckDuplicates(declaration.zones, "zones", faults);
  CheckDuplicates(declaration.pools, "pools", faults);
  CheckDuplicates(declaration.services, "services", faults);
  CheckDuplicates(declaration.queues, "queues", faults);
  CheckDuplicates(declaration.teams, "teams", faults);
  CheckRegions(declaration, faults);
  CheckPools(declaration, faults);
  const std::set<std::string> pools = NameSet(declaration.pools);
  const std::set<std::string> services = NameSet(declaration.services);
  for (std::size_t i = 0; i < declaration.services.size(); ++i) {
    const Service& service = declaration.services[i];
    const std::string path = ItemPath("services", i);
    CheckReference(service.pool.str(), path + ".pool", pools, "pool", faults);
    CheckReferences(service.depends_on, path + ".depends_on", services,
                    "service", faults);
  }
  CycleDetector(declaration, faults).Run();
  for (std::size_t i = 0; i < declaration.queues.size(); ++i) {
    CheckReference(declaration.queues[i].service.str(),
                   ItemPath("queues", i) + ".service", services, "service",
                   faults);
  }
  const std::set<std::string> queues = NameSet(declaration.queues);
  for (std::size_t i = 0; i < declaration.teams.size(); ++i) {
    CheckReferences(declaration.teams[i].queues,
                    ItemPath("teams", i) + ".queues", queues, "queue", faults);
  }
}

}  // namespace daisyroad
