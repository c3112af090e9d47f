#ifndef SOURCE_UNITTESTS_CONTROL_FAKE_LINKS_H_
#define SOURCE_UNITTESTS_CONTROL_FAKE_LINKS_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Directed links between numbered nodes, each with a count of the faults that
// cut it. Messages are delayed at random, so they can overtake each other.
class FakeLinks {
 public:
  explicit FakeLinks(std::size_t nodes)
      : cuts(nodes, std::vector<int>(nodes, 0)) {}

  void Cut(const std::set<std::size_t>& from,
           const std::set<std::size_t>& to,
           int change) {
    for (const std::size_t a : from) {
      for (const std::size_t b : to) {
        this->cuts[a][b] += a == b ? 0 : change;
      }
    }
  }

  bool IsCut(std::size_t from, std::size_t to) const {
    return this->cuts[from][to] > 0;
  }

  // Delay of a message, or nothing if it is lost.
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

  double loss = 0.0;
  double slow = 0.0;  // share of messages that take up to `longest`
  Duration longest = Milliseconds(2000);

 private:
  std::vector<std::vector<int>> cuts;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CONTROL_FAKE_LINKS_H_
