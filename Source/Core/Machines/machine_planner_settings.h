#ifndef SOURCE_CORE_MACHINES_MACHINE_PLANNER_SETTINGS_H_
#define SOURCE_CORE_MACHINES_MACHINE_PLANNER_SETTINGS_H_

namespace daisyroad {

struct MachinePlannerSettings {
  // Fraction of its home size that a pool keeps while no pool lacks machines,
  // and while another one does. Workers with service tasks stay in any case.
  double resting_size = 0.6;
  double lending_size = 0.5;
  // Spare machines that a wave still has to maintain move to pools last.
  bool moves_due_last = true;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MACHINES_MACHINE_PLANNER_SETTINGS_H_
