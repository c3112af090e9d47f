#ifndef SOURCE_CORE_SITE_PREFIX_MIRROR_H_
#define SOURCE_CORE_SITE_PREFIX_MIRROR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Platform/revision_store.h"

namespace daisyroad {

class EventLoop;

// A local copy of all keys with a prefix, kept up to date by a watch. The
// prefix is listed again when the watch fails or the store has dropped changes
// that the watch has not received.
class PrefixMirror {
 public:
  using Items = std::map<std::string, StoreItem>;
  // Called with the changes since the last call. After a listing, these are the
  // items that are new or changed and the deletions that the listing revealed.
  using Listener = std::function<void(const std::vector<StoreChange>&)>;

  // `store` and `loop` must outlive this object. A watch is renewed after
  // `watch_wait`; a silent one is noticed kWatchGrace later.
  PrefixMirror(RevisionStore* store,
               EventLoop* loop,
               const std::string& prefix,
               Milliseconds watch_wait,
               Listener listener);
  ~PrefixMirror();
  PrefixMirror(const PrefixMirror&) = delete;
  PrefixMirror& operator=(const PrefixMirror&) = delete;

  void Start();
  bool is_loaded() const;
  const Items& items() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_PREFIX_MIRROR_H_
