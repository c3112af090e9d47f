#include "system.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr int kCallMs = 3000;
constexpr int kReadyMs = 1000;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Fill(std::string text,
                 const std::map<std::string, std::string>& fields) {
  for (const auto& [name, value] : fields) {
    const std::string mark = "{{" + name + "}}";
    for (std::size_t at = 0; (at = text.find(mark)) != std::string::npos;) {
      text.replace(at, mark.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("a placeholder of the template is not known");
  }
  return text;
}

// The value of the line `run = "..."` of the deploy file, split at spaces.
std::vector<std::string> RunCommand(const std::string& deploy) {
  const std::size_t begin = deploy.find("run = \"") + 7;
  std::istringstream words(
      deploy.substr(begin, deploy.find('"', begin) - begin));
  std::vector<std::string> command;
  for (std::string word; words >> word;) {
    command.push_back(word);
  }
  return command;
}

}  // namespace

System::System(const std::string& root, Record* record)
    : root(root),
      record(record),
      folder(std::filesystem::temp_directory_path() / "review-2-XXXXXX"),
      command(RunCommand(ReadFile(root + "/deploy/system.toml"))),
      settings_template(ReadFile(root + "/deploy/settings.toml")) {
  if (::mkdtemp(this->folder.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
}

System::~System() {
  for (Entry& entry : this->entries) {
    if (entry.process > 0) {
      ::kill(entry.process, SIGKILL);
      ::waitpid(entry.process, nullptr, 0);
    }
  }
  const char* const keep = std::getenv("KEEP_LOGS");
  std::error_code ignored;
  if (keep == nullptr) {
    std::filesystem::remove_all(this->folder, ignored);
  }
}

void System::StartEntries(int count, const std::string& platform_address) {
  for (int i = 0; i < count; ++i) {
    Entry entry;
    entry.name = "entry-" + std::to_string(i + 1);
    entry.callers = "127.0.0.1:" + std::to_string(FreePort());
    entry.readiness = "127.0.0.1:" + std::to_string(FreePort());
    entry.settings = this->folder + "/" + entry.name + ".toml";
    entry.log = this->folder + "/" + entry.name + ".log";
    const std::map<std::string, std::string> fields{
        {"Node", entry.name},
        {"Zone", "zone-" + std::string(1, static_cast<char>('a' + i))},
        {"Bounds.RevokeMs", "5000"},
        {"Bounds.GraceS", "6"},
        {"Bounds.status_s", "120"},
        {"Listen.Front", entry.callers},
        {"Listen.Ready", entry.readiness},
        {"Ip", "127.0.0.1"},
        {"PortRange.0", std::to_string(FreePort())},
        {"platform.Address", platform_address},
        {"Cloud.Address", platform_address},
        {"Advice", platform_address},
        {"Bounds.HoldMaxMs", std::to_string(kHoldMaxMs)},
        {"Bounds.StopMs", std::to_string(kStopMs)},
        {"Limits.CpuShare", "0.25"},
        {"Limits.Cores", "1"}};
    std::ofstream(entry.settings) << Fill(this->settings_template, fields);
    this->entries.push_back(entry);
  }
  for (Entry& entry : this->entries) {
    this->Start(&entry);
  }
}

void System::Start(Entry* entry) {
  const std::string variable = "DAISYROAD_SETTINGS=" + entry->settings;
  const std::string path = "PATH=/usr/bin:/bin";
  const pid_t process = ::fork();
  if (process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::chdir(this->root.c_str()) != 0) {
      ::_exit(127);
    }
    const int output =
        ::open(entry->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::vector<char*> arguments;
    for (std::string& word : this->command) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::string settings = variable;
    std::string search = path;
    char* const environment[] = {settings.data(), search.data(), nullptr};
    ::execve(arguments[0], arguments.data(), environment);
    ::_exit(127);
  }
  entry->process = process;
  this->record->Line(entry->name + " is started");
}

bool System::IsReady(int entry) const {
  return Call(this->entries[entry].readiness, "GET", "/v1/readiness", {}, "",
              kReadyMs)
             .status == 200;
}

bool System::AwaitReady(int limit_ms) const {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  for (int i = 0; i < this->entry_count();) {
    if (this->IsReady(i)) {
      ++i;
    } else if (std::chrono::steady_clock::now() > until) {
      return false;
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  return true;
}

long System::MemoryMb(int entry) const {
  std::ifstream status("/proc/" + std::to_string(this->entries[entry].process) +
                       "/status");
  for (std::string word; status >> word;) {
    if (word == "VmRSS:") {
      long kb = 0;
      status >> kb;
      return kb / 1024;
    }
  }
  return 0;
}

void System::Kill(int entry) {
  ::kill(this->entries[entry].process, SIGKILL);
  ::waitpid(this->entries[entry].process, nullptr, 0);
  this->entries[entry].process = -1;
}

bool System::HasEnded(int entry) {
  Entry& ended = this->entries[entry];
  if (ended.process > 0 &&
      ::waitpid(ended.process, nullptr, WNOHANG) == ended.process) {
    ended.process = -1;
  }
  return ended.process <= 0;
}

void System::StartAgain(int entry) {
  this->Start(&this->entries[entry]);
}

Response System::AskQuietly(int entry,
                            const std::string& method,
                            const std::string& path,
                            const std::string& key,
                            const std::string& body) const {
  std::map<std::string, std::string> headers{
      {"Host", "h.example"}, {"X-Request-Deadline", std::to_string(kCallMs)}};
  if (!key.empty()) {
    headers["Authorization"] = "Bearer " + key;
  }
  return Call(this->entries[entry].callers, method, path, headers, body,
              kCallMs);
}

Response System::Ask(int entry,
                     const std::string& method,
                     const std::string& path,
                     const std::string& key,
                     const std::string& body) {
  const Response response = this->AskQuietly(entry, method, path, key, body);
  this->record->Line(
      this->entries[entry].name + ": " + method + " " + path +
      (key.empty() ? "" : " key " + key) + " " + body.substr(0, 300) + " -> " +
      (response.status == 0 ? "no answer" : std::to_string(response.status)) +
      " " + response.body.substr(0, 120));
  return response;
}

Response System::AskAgain(const std::string& method,
                          const std::string& path,
                          const std::string& key,
                          const std::string& body,
                          int limit_ms) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  while (true) {
    this->next_entry = (this->next_entry + 1) % this->entry_count();
    const Response response =
        this->Ask(this->next_entry, method, path, key, body);
    const bool is_final =
        response.status != 0 && response.status != 429 && response.status < 500;
    if (is_final || std::chrono::steady_clock::now() > until) {
      return response;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
}

}  // namespace review
