#ifndef SOURCE_UNITTESTS_JOBS_TAKEOVER_OPTIONS_H_
#define SOURCE_UNITTESTS_JOBS_TAKEOVER_OPTIONS_H_

namespace daisyroad {

struct TakeoverOptions {
  // Lists of machines arrive up to a second after the time that they show.
  bool has_late_machine_lists = false;
  // Processes of instances are paused, and go on with old answers and orders.
  bool has_pauses = false;
  // The store is away for all; leases and entries of workers expire or pause.
  bool has_store_outages = false;
  // Some jobs last, and some tasks take half a worker.
  bool has_lasting_tasks = false;
  // Stops take time, and reports wait for an end.
  bool has_slow_stops = false;
  // Writes without an answer are carried out later if their condition holds.
  bool has_late_writes = false;
  // Workers come back within 50 to 300 ms, and those of one zone at another
  // address.
  bool has_quick_restarts = false;
  // Late orders may reach the next process of their worker.
  bool reaches_next_process = false;
  // Keeps a line for each event.
  bool keeps_trace = false;

  // Whether there are faults beyond those of the first two cases.
  bool HasMoreFaults() const {
    return this->has_pauses || this->has_store_outages ||
           this->has_lasting_tasks || this->has_slow_stops ||
           this->has_late_writes || this->has_quick_restarts ||
           this->reaches_next_process;
  }
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_TAKEOVER_OPTIONS_H_
