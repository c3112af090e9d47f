#ifndef SOURCE_CORE_COMMON_LOGGING_H_
#define SOURCE_CORE_COMMON_LOGGING_H_

#include <easylogging++.h>

#include <string>
#include <vector>

namespace daisyroad {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogOutput { kStandardError, kStandardOutput };

// Names of the log channels, one per subsystem; use as
// CLOG(INFO, kRoutingLog) << ...
inline constexpr char kDaemonLog[] = "daemon";
inline constexpr char kControlLog[] = "control";
inline constexpr char kRoutingLog[] = "routing";
inline constexpr char kTasksLog[] = "tasks";
inline constexpr char kLimitsLog[] = "limits";
inline constexpr char kMembershipLog[] = "membership";
inline constexpr char kFleetLog[] = "fleet";
inline constexpr char kTransportLog[] = "transport";
inline constexpr char kStandInLog[] = "standin";

// Registers the channels and writes one line per event with UTC time, level and
// channel. Call once, before the first log line.
void InitializeLogging(LogLevel minimum,
                       LogOutput output = LogOutput::kStandardError);

// Writes lines to the task channel at level INFO, cheaper than one by one.
void LogTaskLines(const std::vector<std::string>& lines);

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_LOGGING_H_
