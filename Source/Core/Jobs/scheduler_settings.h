#ifndef SOURCE_CORE_JOBS_SCHEDULER_SETTINGS_H_
#define SOURCE_CORE_JOBS_SCHEDULER_SETTINGS_H_

#include "Core/Common/time.h"

namespace daisyroad {

// Times that the scheduler of a pool works with. The first group comes from
// the site's declaration, the second is the project's own choice.
struct SchedulerSettings {
  // Longest lease that a worker grants.
  Milliseconds longest_lease{6000};
  // Longest time from an order to stop until the run is gone.
  Milliseconds longest_stop{900};
  // Part by which a worker's clock may run slow.
  double worker_clock_drift = 0.02;

  // Longest wait of a report for an end; also the longest time between two
  // renewals, so several fit into a lease.
  Milliseconds report_wait{1000};
  // Pause before a worker that did not answer is asked again.
  Milliseconds retry_pause{250};
  // The same for a worker whose life is over; it may come back under its name.
  Milliseconds gone_pause{1000};
  // Pause before an unanswered order to stop is repeated.
  Milliseconds stop_retry{500};
  // Added to the end of a lease for the time a report is on its way.
  Milliseconds lease_margin{150};
  // Ends that complete no job are written together within this time.
  Milliseconds save_interval{15};
  // An idle worker is asked once more after its last end, so that it can
  // forget its ends.
  Milliseconds acknowledge_pause{1000};
  // A run that used no processor for this long stands still.
  Milliseconds stall{1500};
  // While ends wait to be stored, workers are asked this often.
  Milliseconds unsaved_pause{300};
  // Runs that stand still and orders to stop without an answer are looked for
  // this often; a part of the times that they wait.
  Milliseconds review_interval{50};
  // A worker with runs is asked again after this pause for each worker of the
  // pool, so that one answer tells of several ends: at most 4,000 reports a
  // second, which half a core can take.
  std::chrono::microseconds report_pause{250};
  // The work that arrives is measured over this time: long enough for several
  // jobs, short against the time that machines take to come.
  Milliseconds demand_window{800};
  // Machines that are ordered now take this long to run their first task; the
  // trend of the work that arrives is followed that far ahead.
  Milliseconds machine_lead{2200};
  // A task that lasts counts as at work this long after a report first shows it
  // at full speed: its worker rounds, and others may see it a little later.
  Milliseconds at_work_margin{300};
  // A worker that failed this many runs in a row gets no more for a while.
  int failures_before_suspension = 2;
  Milliseconds suspension{4000};
  // A worker that rejected a run for want of room gets no more for this long;
  // its load is known from the next report.
  Milliseconds full_pause{200};
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_SCHEDULER_SETTINGS_H_
