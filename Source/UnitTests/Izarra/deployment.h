#ifndef SOURCE_UNITTESTS_IZARRA_DEPLOYMENT_H_
#define SOURCE_UNITTESTS_IZARRA_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Core/Common/time.h"
#include "Load/blocking_http.h"
#include "UnitTests/Izarra/platform_stand_in.h"

namespace daisyroad {

class ChildProcess;

namespace platform {

inline constexpr char kPool[] = "pool-a";
inline constexpr char kWorkerKey[] = "servers/i-good";
// The longest lease of a worker: what a successor waits for a worker that may
// still run tasks.
inline constexpr Milliseconds kWorkerLease{6000};

// Returns whether the condition held within the time.
bool AwaitFor(Milliseconds timeout, const std::function<bool()>& condition);

// One entry instance beside the stand-in of its platform, with one worker that
// the test registers under kWorkerKey.
class Deployment {
 public:
  Deployment();
  ~Deployment();

  // `store_address` is that of the stand-in by default. `more_settings` is
  // added to the settings of the instance.
  void Start(const std::string& store_address = "",
             const std::string& more_settings = "");
  void Stop();
  bool IsRunning();

  // Submits a job of one task until it is accepted. Returns the task's name.
  std::string Submit();
  // Sends a job of one task once. Returns the status of the response, or 0.
  int SubmitOnce(const std::string& job) const;

  bool IsStarted(const std::string& task) const;
  std::string Output() const;
  int CountLines(const std::string& pattern) const;
  // Waits until the entries of the workers have been read and adopted.
  bool AwaitReads() const;

  pid_t process_id() const;
  const std::string& callers_address() const { return this->callers; }

  PlatformStandIn platform;

 private:
  HttpClientRequest MakeSubmission(const std::string& job) const;
  std::string OutputFile() const { return this->folder + "/entry.log"; }

  std::string folder;
  std::string callers;
  std::uint64_t jobs = 0;
  BlockingHttp http;
  std::unique_ptr<ChildProcess> process;
};

}  // namespace platform
}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_IZARRA_DEPLOYMENT_H_
