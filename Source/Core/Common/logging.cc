#include "Core/Common/logging.h"

#include <unistd.h>

#include <chrono>
#include <ctime>
#include <iostream>

#include "Core/Common/bounded_line_writer.h"

INITIALIZE_EASYLOGGINGPP

namespace daisyroad {
namespace {

constexpr const char* kChannels[] = {
    kDaemonLog, kControlLog,    kRoutingLog, kTasksLog,     kLimitsLog,
    kFleetLog,  kMembershipLog, kStandInLog, kTransportLog,
};

LogOutput g_output = LogOutput::kStandardError;
LogLevel g_minimum = LogLevel::kInfo;

constexpr std::int64_t kMillisecondsPerSecond = 1000;

// Above the rate of an instance at the busiest sites. The limit keeps a fault
// that logs repeatedly from using up the CPU.
constexpr double kLinesPerSecond = 2000.0;
// Lines that the task channel, which has several lines for each run, leaves to
// the other channels.
constexpr double kLinesReservedFromTasks = 200.0;

BoundedLineWriter& StandardOutput() {
  static BoundedLineWriter writer(STDOUT_FILENO, kLinesPerSecond);
  return writer;
}

// Replaces the console output of the library, which cannot be redirected to
// another stream.
class StreamDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    if (data->dispatchAction() != el::base::DispatchAction::NormalLog) {
      return;
    }
    try {
      const std::string line =
          data->logMessage()->logger()->logBuilder()->build(data->logMessage(),
                                                            true);
      if (g_output == LogOutput::kStandardError) {
        std::cerr << line << std::flush;
      } else {
        const bool is_task_line =
            data->logMessage()->logger()->id() == kTasksLog;
        StandardOutput().Write(line, std::chrono::steady_clock::now(),
                               is_task_line ? kLinesReservedFromTasks : 0.0);
      }
    } catch (...) {
      // A log line that cannot be written must not end the process.
    }
  }
};

bool IsEnabled(LogLevel level, LogLevel minimum) {
  return static_cast<int>(level) >= static_cast<int>(minimum);
}

// The time in UTC as in the lines of the library.
std::string CurrentTimeText() {
  const std::chrono::milliseconds now =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  const std::time_t seconds =
      static_cast<std::time_t>(now.count() / kMillisecondsPerSecond);
  std::tm time{};
  gmtime_r(&seconds, &time);
  char text[32];
  const std::size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &time);
  std::string fraction = std::to_string(now.count() % kMillisecondsPerSecond +
                                        kMillisecondsPerSecond);
  fraction[0] = '.';
  return std::string(text, size) + fraction;
}

}  // namespace

void InitializeLogging(LogLevel minimum, LogOutput output) {
  g_output = output;
  g_minimum = minimum;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %logger %msg");
  configuration.set(el::Level::Debug, el::ConfigurationType::Enabled,
                    IsEnabled(LogLevel::kDebug, minimum) ? "true" : "false");
  configuration.set(el::Level::Info, el::ConfigurationType::Enabled,
                    IsEnabled(LogLevel::kInfo, minimum) ? "true" : "false");
  configuration.set(el::Level::Warning, el::ConfigurationType::Enabled,
                    IsEnabled(LogLevel::kWarning, minimum) ? "true" : "false");
  el::Loggers::setDefaultConfigurations(configuration, true);
  for (const char* channel : kChannels) {
    el::Loggers::getLogger(channel);
    el::Loggers::reconfigureLogger(channel, configuration);
  }
  el::Helpers::installLogDispatchCallback<StreamDispatch>("StreamDispatch");
}

void LogTaskLines(const std::vector<std::string>& lines) {
  if (g_output == LogOutput::kStandardError) {
    for (const std::string& line : lines) {
      CLOG(INFO, kTasksLog) << line;
    }
    return;
  }
  if (lines.empty() || !IsEnabled(LogLevel::kInfo, g_minimum)) {
    return;
  }
  const std::string prefix =
      CurrentTimeText() + " INFO " + std::string(kTasksLog) + " ";
  std::vector<std::string> complete;
  complete.reserve(lines.size());
  for (const std::string& line : lines) {
    complete.push_back(prefix + line + "\n");
  }
  StandardOutput().WriteLines(complete, std::chrono::steady_clock::now(),
                              kLinesReservedFromTasks);
}

}  // namespace daisyroad
