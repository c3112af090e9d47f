#ifndef SOURCE_CORE_SITE_LEADERSHIP_H_
#define SOURCE_CORE_SITE_LEADERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/boot_clock.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Platform/revision_store.h"
#include "Core/Site/term_holder.h"

namespace daisyroad {

class EventLoop;
class PrefixMirror;

// A period during which one instance holds a duty: scheduling a pool or
// managing the machines.
struct Term {
  std::string duty;
  // Fencing token: the store revision that created the leader record. It
  // increases with each term of any duty.
  std::int64_t fence = 0;
  std::int64_t number = 0;  // counts the terms of this duty, from 1
  // Whether all processes that held earlier terms have released the duty,
  // terminated, or reached the end of their outage grace period.
  bool is_predecessor_gone = false;
  // The others of these processes.
  std::vector<TermHolder> predecessors;
  MonotonicTime begun_at;
};

// Distributes the duties of the site among its entry instances. The holder of
// a duty is recorded in the store under the lease of its instance.
//
// Lease expiry determines when another instance may take over. It does not
// stop this instance from issuing orders in the meantime: workers reject those
// by their fencing token. While the store does not answer, an instance
// therefore keeps its duties for kOutageGrace, because no other instance can
// take over unless the store serves it.
class Leadership {
 public:
  struct Listener {
    std::function<void(const Term&)> on_term_begin;
    std::function<void(const std::string& duty)> on_term_end;
  };

  static constexpr Milliseconds kLeaseDuration{1500};
  static constexpr Milliseconds kOutageGrace{8000};

  // `address` is where other instances reach this one, `cpu_cores` is the CPU
  // time available to this one. `mirror` mirrors kSitePrefix. All pointers must
  // outlive this object.
  Leadership(RevisionStore* store,
             EventLoop* loop,
             PrefixMirror* mirror,
             const std::string& node,
             const std::string& address,
             double cpu_cores,
             Listener listener);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  // Sets the duties to distribute. They may change with the declaration.
  void SetDuties(std::set<std::string> duties);
  void Start();
  // Releases all duties and acquires no new ones.
  void Stop();
  // Must be called after each change of the mirror.
  void OnMirrorChange();

  // Address of the instance that holds the duty; empty if no instance does.
  std::string LeaderAddress(const std::string& duty) const;
  // Whether it is certain that no other instance holds the duties of this one.
  // False during a store outage, when only duties whose orders workers fence
  // may continue.
  bool IsLeaseValid() const;
  // Whether the duties of this instance may still issue orders: the lease is
  // valid, or its outage grace period is not over. A process that was paused
  // may learn of the end of its terms only after it has handled other events.
  bool MayIssueOrders() const;
  const std::map<std::string, Term>& terms() const;
  // Whether the processes that held earlier terms have terminated by now.
  bool IsPredecessorGone(const Term& term) const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_LEADERSHIP_H_
