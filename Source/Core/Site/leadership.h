#ifndef SOURCE_CORE_SITE_LEADERSHIP_H_
#define SOURCE_CORE_SITE_LEADERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Core/Common/boot_clock.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Platform/revision_store.h"

namespace daisyroad {

class EventLoop;
class PrefixMirror;

// A period in which one instance carries out a duty: the scheduling of a pool,
// or the care of the machines.
struct Term {
  std::string duty;
  // Rises with each term of any duty; the revision that created the record.
  std::int64_t fence = 0;
  std::int64_t number = 0;  // counts the terms of the duty from 1
  // The process of the term before has given the duty up or has ended.
  bool is_predecessor_gone = false;
  std::string predecessor;  // its node
  std::int64_t predecessor_incarnation = 0;
};

// Divides the duties of the site among its entry instances, by records in the
// store that live as long as the lease of their instance.
//
// The end of a lease decides when another instance may step in. It does not
// keep this one from giving orders meanwhile: workers do that, by the fence.
// While the store does not answer, an instance therefore goes on for
// kOutageGrace, since nobody can step in unless the store serves others.
class Leadership {
 public:
  struct Listener {
    std::function<void(const Term&)> on_term_begin;
    std::function<void(const std::string& duty)> on_term_end;
  };

  static constexpr Milliseconds kLeaseDuration{1500};
  static constexpr Milliseconds kOutageGrace{8000};

  // `address` is where other instances reach this one; `processor` is what
  // this one may use, in cores. `mirror` holds kSitePrefix. All must outlive
  // this object.
  Leadership(RevisionStore* store,
             EventLoop* loop,
             PrefixMirror* mirror,
             const std::string& node,
             const std::string& address,
             double processor,
             Listener listener);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  // `duties` may grow and shrink with the declaration.
  void SetDuties(std::set<std::string> duties);
  void Start();
  // Gives all duties up and takes no new ones.
  void Stop();
  // To be called after each change of the mirror.
  void OnMirrorChange();

  // Address of the instance that has the duty; empty if there is none.
  std::string LeaderAddress(const std::string& duty) const;
  // Whether no other instance can have the duties of this one. False during
  // an outage of the store, while duties that workers guard go on.
  bool IsLeaseValid() const;
  const std::map<std::string, Term>& terms() const;
  // Whether the process that had the duty before has ended by now.
  bool IsPredecessorGone(const Term& term) const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_LEADERSHIP_H_
