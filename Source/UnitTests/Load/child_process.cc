#include "UnitTests/Load/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace daisyroad {
namespace {

std::string PathOf(const std::string& program) {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() /
         program;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& output_file) {
  const std::string path = PathOf(program);
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe for " + path);
  }
  this->input = pipe_ends[1];
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, pipe_ends[0], STDIN_FILENO);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  const int failure = posix_spawn(&this->process, path.c_str(), &files, nullptr,
                                  argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  ::close(pipe_ends[0]);
  if (failure != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

ChildProcess::~ChildProcess() {
  if (!this->ended) {
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
  }
  ::close(this->input);
}

void ChildProcess::WriteLine(const std::string& line) {
  const std::string text = line + "\n";
  if (::write(this->input, text.data(), text.size()) !=
      static_cast<ssize_t>(text.size())) {
    throw std::runtime_error("cannot write to the input of a process");
  }
}

int ChildProcess::WaitForExit(Milliseconds give_up_after) {
  const MonotonicTime until = std::chrono::steady_clock::now() + give_up_after;
  while (!this->ended) {
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) == this->process) {
      this->ended = true;
      this->exit_code =
          WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() > until) {
      return kStillRunning;
    } else {
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }
  return this->exit_code;
}

}  // namespace daisyroad
