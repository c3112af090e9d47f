#ifndef SOURCE_CORE_ENTRY_ENTRY_INSTANCE_H_
#define SOURCE_CORE_ENTRY_ENTRY_INSTANCE_H_

#include <memory>
#include <optional>

#include "Core/Common/result.h"
#include "Core/Config/settings.h"
#include "Core/Keys/key_record.h"

namespace daisyroad {

// An entry instance. Owns the services and the listeners, and runs the event
// loop.
class EntryInstance {
 public:
  EntryInstance(Settings settings, std::optional<KeyRecord> bootstrap_key);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  // Serves requests until SIGTERM or SIGINT, then finishes the tasks and
  // answers in progress. Returns an error if a listener cannot be opened.
  Status Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_ENTRY_INSTANCE_H_
