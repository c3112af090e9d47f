#ifndef SOURCE_CTL_EXIT_CODE_H_
#define SOURCE_CTL_EXIT_CODE_H_

namespace daisyroad {

// Exit codes of daisyroadctl; scripts rely on the values, see docs/ctl.md.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kOutcomeUnknown = 4,
  kUnreachable = 5,
  kDoubtful = 6,
};

}  // namespace daisyroad

#endif  // SOURCE_CTL_EXIT_CODE_H_
