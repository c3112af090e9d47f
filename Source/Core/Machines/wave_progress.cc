#include "Core/Machines/wave_progress.h"

#include <algorithm>

namespace daisyroad {
namespace {

// An order without an answer may be executed this much later.
constexpr Milliseconds kMaxOrderDelay{15000};

}  // namespace

void WaveProgress::AdoptOrder(const MachineName& machine, MonotonicTime now) {
  this->reserved[machine] = Reservation{true, false, now};
}

void WaveProgress::Reserve(const MachineName& machine) {
  this->reserved.try_emplace(machine);
}

void WaveProgress::OnRecorded(const std::set<MachineName>& machines) {
  for (const MachineName& machine : machines) {
    const std::map<MachineName, Reservation>::iterator found =
        this->reserved.find(machine);
    if (found != this->reserved.end()) {
      found->second.is_recorded = true;
    }
  }
}

bool WaveProgress::IsRecorded(const MachineName& machine) const {
  const std::map<MachineName, Reservation>::const_iterator found =
      this->reserved.find(machine);
  return found != this->reserved.end() && found->second.is_recorded;
}

std::set<MachineName> WaveProgress::Reserved() const {
  std::set<MachineName> machines;
  for (const std::pair<const MachineName, Reservation>& entry :
       this->reserved) {
    machines.insert(entry.first);
  }
  return machines;
}

void WaveProgress::OnOrdered(const MachineName& machine) {
  this->reserved[machine].is_ordered = true;
}

bool WaveProgress::OnAnswer(const MachineName& machine,
                            MachineOrderOutcome outcome) {
  this->OnNotReceived(machine);
  const std::map<MachineName, Reservation>::iterator found =
      this->reserved.find(machine);
  switch (outcome) {
    case MachineOrderOutcome::kDone:
      this->done.insert(machine);
      break;
    case MachineOrderOutcome::kFenced:
      return false;
    case MachineOrderOutcome::kBusy:
      // An earlier order may be the reason, or may be executed later.
      if (found != this->reserved.end() && found->second.unanswered_at) {
        return false;
      }
      break;
    case MachineOrderOutcome::kNotListed:
    case MachineOrderOutcome::kInvalid:
      break;
  }
  if (found != this->reserved.end()) {
    this->reserved.erase(found);
  }
  return true;
}

void WaveProgress::OnNotReceived(const MachineName& machine) {
  const std::map<MachineName, Reservation>::iterator found =
      this->reserved.find(machine);
  if (found != this->reserved.end()) {
    found->second.is_ordered = false;
  }
}

void WaveProgress::OnNoAnswer(const MachineName& machine, MonotonicTime now) {
  const std::map<MachineName, Reservation>::iterator found =
      this->reserved.find(machine);
  if (found != this->reserved.end()) {
    found->second.is_ordered = false;
    found->second.unanswered_at = now;
  }
}

bool WaveProgress::OnListed(const Machine& machine,
                            MonotonicTime requested_at,
                            bool is_shared) {
  const std::map<MachineName, Reservation>::iterator found =
      this->reserved.find(machine.name);
  if (found == this->reserved.end() || found->second.is_ordered) {
    return false;
  }
  const std::optional<MonotonicTime> unanswered_at =
      found->second.unanswered_at;
  if (!unanswered_at) {
    // No order is on its way, and a machine that is not up gets none.
    if (machine.state == MachineState::kUp) {
      return false;
    }
  } else if (machine.state == MachineState::kUpkeep && !is_shared) {
    this->done.insert(machine.name);
  } else if (requested_at < *unanswered_at + kMaxOrderDelay) {
    return false;
  }
  this->reserved.erase(found);
  return true;
}

std::size_t WaveProgress::CountLeft(const std::vector<Machine>& listed) const {
  const std::vector<MachineName>& names = this->wave.machines;
  return static_cast<std::size_t>(std::count_if(
      names.begin(), names.end(), [this, &listed](const MachineName& name) {
        return !this->done.contains(name) &&
               std::any_of(listed.begin(), listed.end(),
                           [&name](const Machine& machine) {
                             return machine.name == name;
                           });
      }));
}

}  // namespace daisyroad
