#ifndef SOURCE_UNITTESTS_CONTROL_FAKE_STORE_H_
#define SOURCE_UNITTESTS_CONTROL_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Core/Control/change_action.h"
#include "Core/Control/control_document.h"

namespace daisyroad {

// In-memory store of the control keys: the head, which is written by
// compare-and-swap, and the parts.
class FakeStore {
 public:
  explicit FakeStore(const ControlDocument& first)
      : heads{first.Head()}, texts(first.Parts()) {}

  const ControlHead& head() const { return this->heads.back(); }
  // All heads in the order of their writes.
  const std::vector<ControlHead>& history() const { return this->heads; }
  const std::map<PartDigest, std::string>& parts() const { return this->texts; }

  bool CompareAndSwap(const WriteVersion& write) {
    this->texts.insert(write.parts.begin(), write.parts.end());
    if (this->head().version != write.expected_version) {
      return false;
    }
    this->heads.push_back(write.head);
    return true;
  }

 private:
  std::vector<ControlHead> heads;
  std::map<PartDigest, std::string> texts;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CONTROL_FAKE_STORE_H_
