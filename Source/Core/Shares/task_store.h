#ifndef SOURCE_CORE_SHARES_TASK_STORE_H_
#define SOURCE_CORE_SHARES_TASK_STORE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/Shares/fair_task.h"

namespace daisyroad {

// Tasks of one cell in a slab with intrusive lists, so that a cancellation is
// O(1) wherever the task stands.
class TaskStore {
 public:
  using Index = std::uint32_t;
  static constexpr Index kNone = 0xffffffff;

  struct List {
    Index head = kNone;
    Index tail = kNone;
    std::size_t count = 0;
  };
  struct Node {
    FairTask task;
    Resources size;        // corrected by what was learned
    Resources usage;       // charged while it runs
    double share = 0.0;    // dominant share charged, or to be charged
    double seconds = 0.0;  // expected run time
    std::size_t team = 0;
    std::size_t claimant = 0;  // team that gets the room, if reclaiming
    MonotonicTime enqueued;
    MonotonicTime started;
    bool running = false;
    bool reclaiming = false;
    bool throttled = false;
    Index previous = kNone;
    Index next = kNone;
  };

  Index Add(FairTask task);
  void Remove(Index index);  // must be in no list
  Index Find(const TaskId& id) const;
  Node& At(Index index) { return this->nodes[index]; }
  const Node& At(Index index) const { return this->nodes[index]; }

  void PushBack(List& list, Index index);
  void PushFront(List& list, Index index);
  void Unlink(List& list, Index index);

  // Indices are below this; an unused one has an empty task identifier.
  Index index_end() const { return static_cast<Index>(this->nodes.size()); }
  std::size_t size() const { return this->by_id.size(); }

 private:
  std::vector<Node> nodes;
  std::vector<Index> unused;
  std::unordered_map<TaskId, Index> by_id;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_TASK_STORE_H_
