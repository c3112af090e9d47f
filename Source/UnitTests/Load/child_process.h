#ifndef SOURCE_UNITTESTS_LOAD_CHILD_PROCESS_H_
#define SOURCE_UNITTESTS_LOAD_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// A program of the build folder, started with its output in a file and killed
// by its process id at the latest when this object ends.
class ChildProcess {
 public:
  // `program` is looked up beside the test program. Throws std::runtime_error.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& output_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t id() const { return this->process; }
  // Writes a line to the standard input of the program.
  void Tell(const std::string& line);
  // Exit code, minus the signal that ended it, or kStillRunning after
  // `patience`.
  int WaitForEnd(Milliseconds patience);

  static constexpr int kStillRunning = -1000;

 private:
  pid_t process = 0;
  int input = -1;  // write end of its standard input
  bool ended = false;
  int exit_code = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LOAD_CHILD_PROCESS_H_
