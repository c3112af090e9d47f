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

// A copy of all keys with a prefix, kept up to date by a watch. When the watch
// has lost history the prefix is listed again.
class PrefixMirror {
 public:
  using Items = std::map<std::string, StoreItem>;
  // Called with the changes since the last call; after a listing, with all
  // items and the deletions found by it.
  using Listener = std::function<void(const std::vector<StoreChange>&)>;

  // `store` and `loop` must outlive this object.
  PrefixMirror(RevisionStore* store,
               EventLoop* loop,
               const std::string& prefix,
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
