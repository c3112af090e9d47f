#ifndef SOURCE_UNITTESTS_LOAD_CHILD_PROCESS_H_
#define SOURCE_UNITTESTS_LOAD_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Runs a program of the build folder with its output in a file. The destructor
// kills the process if it is still running.
class ChildProcess {
 public:
  // Looks up `program` in the folder of the test program. Throws
  // std::runtime_error.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& output_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t id() const { return this->process; }
  // Writes a line to the standard input of the program.
  void WriteLine(const std::string& line);
  // Returns the exit code, the negated signal that ended the process, or
  // kStillRunning after `give_up_after`.
  int WaitForExit(Milliseconds give_up_after);

  static constexpr int kStillRunning = -1000;

 private:
  pid_t process = 0;
  int input = -1;  // write end of the standard input pipe
  bool ended = false;
  int exit_code = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LOAD_CHILD_PROCESS_H_
