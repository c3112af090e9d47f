#ifndef SOURCE_CORE_ENTRY_ENTRY_INSTANCE_H_
#define SOURCE_CORE_ENTRY_ENTRY_INSTANCE_H_

#include <memory>
#include <optional>

#include "Core/Common/result.h"
#include "Core/Config/settings.h"
#include "Core/Keys/key_record.h"

namespace daisyroad {

// One entry instance of the system: owns the services, the listeners and the
// core thread.
class EntryInstance {
 public:
  EntryInstance(Settings settings, std::optional<KeyRecord> bootstrap_key);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  // Serves until a SIGTERM or SIGINT, then finishes the tasks and answers in
  // progress. Fails if a listener cannot be opened.
  Status Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_ENTRY_INSTANCE_H_
