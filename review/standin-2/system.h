// The system under test: entry instances started with the command and the
// settings template of the deploy file.
#ifndef REVIEW_STANDIN_2_SYSTEM_H_
#define REVIEW_STANDIN_2_SYSTEM_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

// Figures of a small deployment, as the users' pages give them.
inline constexpr int kStopMs = 900;
inline constexpr int kHoldMaxMs = 6000;
inline constexpr int kMemoryMb = 260;

class System {
 public:
  // `root` is the root of the repository.
  System(const std::string& root, Record* record);
  ~System();
  System(const System&) = delete;
  System& operator=(const System&) = delete;

  void StartEntries(int count, const std::string& platform_address);
  int entry_count() const { return static_cast<int>(this->entries.size()); }
  bool IsReady(int entry) const;
  // Waits until all entries are ready; false after the time limit.
  bool AwaitReady(int limit_ms) const;
  // Resident memory of the process; 0 if it has ended.
  long MemoryMb(int entry) const;
  // Ends the process, as the platform does with one over its memory.
  void Kill(int entry);
  // Whether the process has ended.
  bool HasEnded(int entry);
  void StartAgain(int entry);

  // A consumer's call, sent to one entry.
  Response Ask(int entry,
               const std::string& method,
               const std::string& path,
               const std::string& key,
               const std::string& body);
  // The answer's body is kept out of the record.
  Response AskQuietly(int entry,
                      const std::string& method,
                      const std::string& path,
                      const std::string& key,
                      const std::string& body) const;
  // A consumer's call that is sent again, at another entry, after no answer, a
  // 429 or a 5xx.
  Response AskAgain(const std::string& method,
                    const std::string& path,
                    const std::string& key,
                    const std::string& body,
                    int limit_ms);

 private:
  struct Entry {
    std::string name;
    std::string callers;
    std::string readiness;
    std::string settings;
    std::string log;
    pid_t process = -1;
  };

  void Start(Entry* entry);

  std::string root;
  Record* record;
  std::string folder;
  std::vector<std::string> command;
  std::string settings_template;
  std::vector<Entry> entries;
  int next_entry = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_SYSTEM_H_
