#ifndef SOURCE_UNITTESTS_CONTROL_FAKE_LINKS_H_
#define SOURCE_UNITTESTS_CONTROL_FAKE_LINKS_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Directed links between numbered nodes. Each link counts the faults that
// currently cut it. Messages have random delays, so they can be reordered.
class FakeLinks {
 public:
  explicit FakeLinks(std::size_t nodes)
      : cut_counts(nodes, std::vector<int>(nodes, 0)) {}

  void Cut(const std::set<std::size_t>& from,
           const std::set<std::size_t>& to,
           int change) {
    for (const std::size_t source : from) {
      for (const std::size_t destination : to) {
        this->cut_counts[source][destination] +=
            source == destination ? 0 : change;
      }
    }
  }

  bool IsCut(std::size_t from, std::size_t to) const {
    return this->cut_counts[from][to] > 0;
  }

  // Returns the delay of a message, or nothing if the message is lost.
  std::optional<Duration> Send(std::size_t from,
                               std::size_t to,
                               Random& random) const {
    if (this->IsCut(from, to) || random.Chance(this->loss)) {
      return std::nullopt;
    }
    return Milliseconds(1) + random.DurationBelow(random.Chance(this->slow)
                                                      ? this->longest
                                                      : Milliseconds(5));
  }

  double loss = 0.0;  // fraction of messages that are lost
  double slow = 0.0;  // fraction of messages that are delayed up to `longest`
  Duration longest = Milliseconds(2000);

 private:
  std::vector<std::vector<int>> cut_counts;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CONTROL_FAKE_LINKS_H_
