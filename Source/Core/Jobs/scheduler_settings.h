#ifndef SOURCE_CORE_JOBS_SCHEDULER_SETTINGS_H_
#define SOURCE_CORE_JOBS_SCHEDULER_SETTINGS_H_

#include "Core/Common/time.h"
#include "Core/Overload/overload_settings.h"

namespace daisyroad {

// Timing parameters of a PoolScheduler. The first group comes from the site
// declaration; the second has fixed defaults.
struct SchedulerSettings {
  // Whether the declared shares of teams decide who goes first in a full pool.
  bool use_shares = true;
  // Longest lease that a worker grants.
  Milliseconds longest_lease{6000};
  // Longest time from a stop order until the run has ended.
  Milliseconds longest_stop{900};
  // Service tasks leave workers that planned work will empty later, instead of
  // waiting until it does.
  bool leaves_early = true;
  // A service task leaves a worker early only after it has been ready there for
  // this long, as an early move may end at another worker that is due.
  Milliseconds early_move_interval{3000};
  // The arrival rate is only extrapolated as far as it grows more than chance
  // explains.
  bool requires_clear_trend = false;
  // Fraction by which a worker's clock may run slow.
  double worker_clock_drift = 0.02;
  OverloadSettings overload;

  // Longest time that a report request waits for a run to end. It also limits
  // the time between lease renewals, so several renewals fit into one lease.
  Milliseconds report_wait{1000};
  // Delay before an unresponsive worker is asked again; it grows by this much
  // with each missed report, up to the maximum.
  Milliseconds retry_delay{250};
  Milliseconds max_retry_delay{1000};
  // The same for a worker whose process has ended; a new one may start under
  // the same name.
  Milliseconds gone_retry_delay{1000};
  // Delay before an unanswered stop order is repeated.
  Milliseconds stop_retry_interval{500};
  // Added to the end of a lease to allow for the transit time of a report.
  Milliseconds lease_margin{150};
  // Progress that closes no job is saved in batches at this interval.
  Milliseconds save_interval{15};
  // Delay after its last run end before an idle worker is asked once more, so
  // that it learns which ends it may discard.
  Milliseconds acknowledge_delay{1000};
  // A run that used no CPU for this long counts as stalled.
  Milliseconds stall_timeout{1500};
  // While another scheduler may be the leader, runs start only on workers whose
  // last report was not requested earlier: a crashed worker is away for longer.
  // A report is held for less, so that there is one at any time.
  Milliseconds unled_report_window{1500};
  Milliseconds unled_report_wait{600};
  // Interval between reports from a worker while some of its ends wait to be
  // saved.
  Milliseconds unsaved_report_interval{300};
  // Interval of the check for unanswered stop orders and services to evict;
  // short compared with stop_retry_interval.
  Milliseconds review_interval{50};
  // Interval at which the jobs that are delayed are chosen again.
  Milliseconds delay_interval{50};
  // Interval of the check for stalled runs; short compared with stall_timeout.
  Milliseconds stall_check_interval{250};
  // Interval between lines on the standing of one team.
  Milliseconds standing_log_interval{1000};
  // A worker with runs is asked again after this time multiplied by the number
  // of workers in the pool, so that one report covers several ends. This limits
  // the pool to 4,000 reports per second, which half a core can handle.
  std::chrono::microseconds report_interval_per_worker{250};
  // Window over which the arrival rate of work is measured: long enough for
  // several jobs, and short compared with machine_lead_time.
  Milliseconds demand_window{800};
  // Time from requesting a machine until it runs its first task. The trend of
  // the arrival rate is extrapolated this far ahead.
  Milliseconds machine_lead_time{2200};
  // A service task counts as available this long after a report first shows it
  // at full speed, because the worker rounds the percentage and other observers
  // may see it slightly later.
  Milliseconds min_ready_duration{300};
  // After this many consecutive failed runs, a worker gets no new runs for
  // `suspension_duration`.
  int failures_before_suspension = 2;
  Milliseconds suspension_duration{4000};
  // A worker that refused a run for lack of capacity gets no new runs for this
  // long; the next report shows its load.
  Milliseconds full_worker_delay{200};

  // Start orders in progress at a time. In a burst that exceeds what the
  // scheduler's processor can send, later ones would time out and be repeated.
  int max_unanswered_starts = 256;

  // An occurrence of a scheduled job is opened when it is due and fewer tasks
  // than this wait in some first step of the open ones: enough for all starts
  // of a pass.
  int min_waiting_tasks = 256;
  // Steps in the open occurrences of a job, if it has more than one open.
  int max_open_steps = 10000;
  // Runs of one job at a time. Exceeds the number of tasks that any supported
  // fleet runs at once.
  int max_runs_per_job = 10000;

  // A task under which this many workers have crashed runs on trial: on a
  // worker without other runs that may be the cause of a crash.
  int crashes_before_trial = 2;
  // A task is given up after this many certain crashes if the last one was
  // alone on trial, and after `uncertain_crashes_before_failure` of any kind
  // otherwise.
  int crashes_before_failure = 3;
  int uncertain_crashes_before_failure = 4;
  // Largest share of the workers that are used for trials at a time. One trial
  // is always allowed.
  double max_trial_share = 0.25;
  // A crash is certain if the worker confirmed the run this shortly before the
  // crash is noticed. Otherwise the run may have ended, or not have started.
  Milliseconds crash_notice_window{1500};
  // A run that has lasted this long has passed its trial.
  Milliseconds trial_duration{500};
  // Tasks with crashes only start on workers whose last report is not older.
  Milliseconds fresh_report_window{1500};
  Milliseconds fresh_trial_report_window{500};
  // Longest time that a report request waits at a worker used for a trial.
  Milliseconds trial_report_wait{200};
  // A run that has lasted this long clears its task of all crashes.
  Milliseconds crash_memory{5000};
  // A worker that was draining, or about to be emptied for planned work, within
  // this time before its end has not crashed.
  Milliseconds planned_end_window{5000};
  // If this many workers of one rack or zone, and this share of its workers,
  // crash within the window, they were lost together.
  int min_joint_loss = 3;
  double min_joint_loss_share = 0.75;
  Milliseconds joint_loss_window{200};
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_SCHEDULER_SETTINGS_H_
