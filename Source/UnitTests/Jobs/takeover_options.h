#ifndef SOURCE_UNITTESTS_JOBS_TAKEOVER_OPTIONS_H_
#define SOURCE_UNITTESTS_JOBS_TAKEOVER_OPTIONS_H_

namespace daisyroad {

struct TakeoverOptions {
  // Lists of machines arrive up to a second after the time that they show.
  bool has_late_machine_lists = false;
  // Keeps a line for each event.
  bool keeps_trace = false;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_TAKEOVER_OPTIONS_H_
