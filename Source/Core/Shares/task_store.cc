#include "Core/Shares/task_store.h"

#include <utility>

namespace daisyroad {

TaskStore::Index TaskStore::Add(FairTask task) {
  Index index = static_cast<Index>(this->nodes.size());
  if (this->free_indices.empty()) {
    this->nodes.emplace_back();
  } else {
    index = this->free_indices.back();
    this->free_indices.pop_back();
  }
  this->by_id.emplace(task.id, index);
  this->nodes[index].task = std::move(task);
  return index;
}

void TaskStore::Remove(Index index) {
  this->by_id.erase(this->nodes[index].task.id);
  this->nodes[index] = Node{};
  this->free_indices.push_back(index);
}

TaskStore::Index TaskStore::Find(const TaskId& id) const {
  const std::unordered_map<TaskId, Index>::const_iterator it =
      this->by_id.find(id);
  return it == this->by_id.end() ? kNone : it->second;
}

void TaskStore::PushBack(List& list, Index index) {
  Node& node = this->nodes[index];
  node.previous = list.tail;
  node.next = kNone;
  (list.tail == kNone ? list.head : this->nodes[list.tail].next) = index;
  list.tail = index;
  ++list.count;
}

void TaskStore::PushFront(List& list, Index index) {
  Node& node = this->nodes[index];
  node.previous = kNone;
  node.next = list.head;
  (list.head == kNone ? list.tail : this->nodes[list.head].previous) = index;
  list.head = index;
  ++list.count;
}

void TaskStore::Unlink(List& list, Index index) {
  Node& node = this->nodes[index];
  (node.previous == kNone ? list.head : this->nodes[node.previous].next) =
      node.next;
  (node.next == kNone ? list.tail : this->nodes[node.next].previous) =
      node.previous;
  node.previous = kNone;
  node.next = kNone;
  --list.count;
}

}  // namespace daisyroad
