#ifndef SOURCE_CORE_SHARES_TASK_STORE_H_
#define SOURCE_CORE_SHARES_TASK_STORE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/Shares/fair_task.h"

namespace daisyroad {

// Stores the tasks of one cell in a slab with intrusive lists, so that
// cancelling a task is O(1) at any position of a list.
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
    Resources size;      // declared size, corrected by RuntimeEstimator
    Resources usage;     // current usage while the task runs
    double share = 0.0;  // dominant share of `usage` or, if waiting, `size`
    double expected_seconds = 0.0;
    std::size_t team = 0;
    std::size_t claimant = 0;  // team that gets the resources when reclaimed
    MonotonicTime enqueued_at;
    MonotonicTime started_at;
    bool is_running = false;
    bool is_being_reclaimed = false;
    bool is_throttled = false;
    Index previous = kNone;
    Index next = kNone;
  };

  Index Add(FairTask task);
  void Remove(Index index);  // the node must not be in a list
  Index Find(const TaskId& id) const;
  Node& At(Index index) { return this->nodes[index]; }
  const Node& At(Index index) const { return this->nodes[index]; }

  void PushBack(List& list, Index index);
  void PushFront(List& list, Index index);
  void Unlink(List& list, Index index);

  // All indices are below this; an unused node has an empty task identifier.
  Index index_end() const { return static_cast<Index>(this->nodes.size()); }
  std::size_t size() const { return this->by_id.size(); }

 private:
  std::vector<Node> nodes;
  std::vector<Index> free_indices;
  std::unordered_map<TaskId, Index> by_id;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_TASK_STORE_H_
