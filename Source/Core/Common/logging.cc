#include "Core/Common/logging.h"

#include <unistd.h>

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

}  // namespace

void InitializeLogging(LogLevel minimum, LogOutput output) {
  g_output = output;
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

}  // namespace daisyroad
