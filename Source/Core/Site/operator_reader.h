#ifndef SOURCE_CORE_SITE_OPERATOR_READER_H_
#define SOURCE_CORE_SITE_OPERATOR_READER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Core/Common/boot_clock.h"
#include "Core/Common/error.h"
#include "Core/Platform/revision_store.h"

namespace daisyroad {

class EventLoop;

// Reads the operators' entries at regular intervals. The declaration may be
// larger than what a small instance receives in a second, so it is transferred
// only when it has changed: otherwise the store just confirms its revision.
class OperatorReader {
 public:
  struct Listener {
    // `items` are all entries; the declaration is among them only if it has
    // changed since the last call. They were current at `confirmed_at`.
    std::function<void(const std::vector<StoreItem>& items,
                       BootClock::time_point confirmed_at)>
        on_read;
    std::function<void(const Error& error)> on_failure;
  };

  // `config_key` is the key of the declaration; the other entries are those
  // with `prefix` that sort after it. `store` and `loop` must outlive this
  // object.
  OperatorReader(RevisionStore* store,
                 EventLoop* loop,
                 const std::string& config_key,
                 const std::string& prefix,
                 Listener listener);
  ~OperatorReader();
  OperatorReader(const OperatorReader&) = delete;
  OperatorReader& operator=(const OperatorReader&) = delete;

  void Start();
  // Whether the last reads of the declaration and of the other entries both
  // succeeded.
  bool is_current() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_OPERATOR_READER_H_
