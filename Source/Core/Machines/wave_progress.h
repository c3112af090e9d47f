#ifndef SOURCE_CORE_MACHINES_WAVE_PROGRESS_H_
#define SOURCE_CORE_MACHINES_WAVE_PROGRESS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Machines/maintenance_wave.h"
#include "Core/Platform/machine_client.h"

namespace daisyroad {

// Progress of a maintenance wave that is being carried out.
//
// A machine that was ordered into maintenance counts against the limit of the
// wave until it is known to be done. An order without an answer may have been
// executed, or may be executed later; repeating it for the same machine is safe
// and settles it.
class WaveProgress {
 public:
  // The order of an earlier leader for the machine may still be executed.
  void AdoptOrder(const MachineName& machine, MonotonicTime now);
  // The machine is about to be ordered into maintenance.
  void Reserve(const MachineName& machine);
  // The reservation is known to the next leader.
  void OnRecorded(const std::set<MachineName>& machines);

  bool IsReserved(const MachineName& machine) const {
    return this->reserved.contains(machine);
  }
  bool IsRecorded(const MachineName& machine) const;
  std::set<MachineName> Reserved() const;

  void OnOrdered(const MachineName& machine);
  // Returns whether a reservation ended, with the machine done or not.
  bool OnAnswer(const MachineName& machine, MachineOrderOutcome outcome);
  // The order was certainly not executed.
  void OnNotReceived(const MachineName& machine);
  // The order may have been executed, or may be executed later.
  void OnNoAnswer(const MachineName& machine, MonotonicTime now);
  // Reviews the reservations by a list of machines. `is_shared` tells whether
  // another wave may have ordered the machine into maintenance. Returns whether
  // a reservation ended.
  bool OnListed(const Machine& machine,
                MonotonicTime requested_at,
                bool is_shared);

  // Machines that the wave still has to maintain; those that are not listed do
  // not count.
  std::size_t CountLeft(const std::vector<Machine>& listed) const;

  MaintenanceWave wave;
  MonotonicTime begun_at;
  std::set<MachineName> done;

 private:
  struct Reservation {
    bool is_recorded = false;
    bool is_ordered = false;  // and not answered yet
    // When the last order that got no answer was given up.
    std::optional<MonotonicTime> unanswered_at;
  };

  std::map<MachineName, Reservation> reserved;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MACHINES_WAVE_PROGRESS_H_
