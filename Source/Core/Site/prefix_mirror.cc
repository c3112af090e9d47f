#include "Core/Site/prefix_mirror.h"

#include <algorithm>
#include <utility>

#include "Core/Common/growing_timeout.h"
#include "Core/Common/logging.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kListTimeout{1000};
constexpr Milliseconds kMaxListTimeout{4000};
constexpr Milliseconds kRetryPause{150};
constexpr Milliseconds kFailureLineInterval{1000};
// Wait time of the watch that fetches changes made during a listing of several
// pages. If there are any, the store answers at once.
constexpr Milliseconds kCatchUpWait{20};

}  // namespace

struct PrefixMirror::State : std::enable_shared_from_this<State> {
  RevisionStore* store = nullptr;
  EventLoop* loop = nullptr;
  std::string prefix;
  Milliseconds watch_wait{0};
  Listener listener;
  Items items;
  Items listed;
  std::int64_t revision = 0;
  bool is_loaded = false;
  bool is_stopped = false;
  bool has_failed = false;
  MonotonicTime next_failure_line;
  GrowingTimeout list_timeout{kListTimeout, kMaxListTimeout};

  void List(const std::string& after) {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->List(this->prefix, after, this->list_timeout.value(),
                      [self, after](const Result<StorePage>& page) {
                        self->OnPage(after, page);
                      });
  }

  // Requests the page again that follows the key `after`. The pages before it
  // are kept, so that a listing of many pages ends even if some are late.
  void RetryPage(const std::string& after, const Error& error) {
    this->RecordFailure(error);
    this->list_timeout.OnError(error);
    const std::shared_ptr<State> self = this->shared_from_this();
    this->loop->After(kRetryPause, [self, after]() {
      if (!self->is_stopped) {
        self->List(after);
      }
    });
  }

  void ScheduleRestart() {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->loop->After(kRetryPause, [self]() { self->Restart(); });
  }

  void Restart() {
    if (this->is_stopped) {
      return;
    }
    this->listed.clear();
    this->revision = 0;
    this->List("");
  }

  void RecordFailure(const Error& error) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (this->has_failed && now < this->next_failure_line) {
      return;
    }
    CLOG(WARNING, kControlLog)
        << "event=" << (this->has_failed ? "mirror_not_listed" : "mirror_lost")
        << " prefix=" << this->prefix << " listed=" << this->listed.size()
        << " error=\"" << error.ToString() << "\"";
    this->has_failed = true;
    this->next_failure_line = now + kFailureLineInterval;
  }

  void RecordSuccess() {
    if (this->has_failed) {
      this->has_failed = false;
      CLOG(INFO, kControlLog)
          << "event=mirror_regained prefix=" << this->prefix;
    }
  }

  void OnPage(const std::string& after, const Result<StorePage>& page) {
    if (this->is_stopped) {
      return;
    }
    if (!page.ok()) {
      this->RetryPage(after, page.error());
      return;
    }
    // The watch starts at the revision of the first page, because later pages
    // may be newer.
    const bool is_first = this->revision == 0;
    if (is_first) {
      this->revision = page.value().store_revision;
    }
    std::string last;
    for (const StoreItem& item : page.value().items) {
      this->listed[item.key] = item;
      last = item.key;
    }
    if (page.value().has_more && !last.empty()) {
      this->List(last);
      return;
    }
    if (!is_first) {
      this->CatchUp();
      return;
    }
    this->RecordSuccess();
    this->Adopt();
    this->Watch();
  }

  // Applies the changes made since the first page before the listing is
  // published, because the pages of a listing are not a snapshot.
  void CatchUp() {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->Watch(this->prefix, this->revision, kCatchUpWait,
                       [self](const Result<StoreChanges>& changes) {
                         self->OnCaughtUp(changes);
                       });
  }

  void OnCaughtUp(const Result<StoreChanges>& changes) {
    if (this->is_stopped) {
      return;
    }
    if (!changes.ok()) {
      this->RecordFailure(changes.error());
      this->ScheduleRestart();
      return;
    }
    if (changes.value().is_history_lost) {
      this->Restart();
      return;
    }
    this->RecordSuccess();
    Apply(changes.value().changes, &this->listed);
    this->AdvanceRevision(changes.value());
    this->Adopt();
    this->Watch();
  }

  void Adopt() {
    std::vector<StoreChange> changes;
    for (const std::pair<const std::string, StoreItem>& entry : this->items) {
      if (!this->listed.contains(entry.first)) {
        changes.push_back(StoreChange{entry.first, this->revision, {}});
      }
    }
    for (const std::pair<const std::string, StoreItem>& entry : this->listed) {
      const Items::const_iterator known = this->items.find(entry.first);
      if (known == this->items.end() ||
          known->second.revision != entry.second.revision) {
        changes.push_back(StoreChange{entry.first, entry.second.revision,
                                      entry.second.value});
      }
    }
    this->items = std::exchange(this->listed, {});
    this->list_timeout.OnSuccess();
    this->is_loaded = true;
    this->listener(changes);
  }

  // A watch that ended without changes may have been silent. The next one
  // continues from the same revision, so that the store delivers the changes or
  // says that it has dropped them.
  void AdvanceRevision(const StoreChanges& changes) {
    if (!changes.changes.empty()) {
      this->revision = std::max(this->revision, changes.store_revision);
    }
  }

  void Watch() {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->Watch(this->prefix, this->revision, this->watch_wait,
                       [self](const Result<StoreChanges>& changes) {
                         self->OnChanges(changes);
                       });
  }

  // Applies the changes that are newer than the items and returns them.
  static std::vector<StoreChange> Apply(const std::vector<StoreChange>& changes,
                                        Items* items) {
    std::vector<StoreChange> newer;
    for (const StoreChange& change : changes) {
      const Items::iterator known = items->find(change.key);
      if (known != items->end() && known->second.revision >= change.revision) {
        continue;
      }
      if (change.value) {
        (*items)[change.key] =
            StoreItem{change.key, *change.value, change.revision};
      } else if (known != items->end()) {
        items->erase(known);
      }
      newer.push_back(change);
    }
    return newer;
  }

  void OnChanges(const Result<StoreChanges>& changes) {
    if (this->is_stopped) {
      return;
    }
    if (!changes.ok()) {
      // A store that drops its history closes the watches, and a new watch from
      // the same revision would miss the dropped changes.
      this->RecordFailure(changes.error());
      this->ScheduleRestart();
      return;
    }
    this->RecordSuccess();
    if (changes.value().is_history_lost) {
      this->Restart();
      return;
    }
    const std::vector<StoreChange> newer =
        Apply(changes.value().changes, &this->items);
    this->AdvanceRevision(changes.value());
    if (!newer.empty()) {
      this->listener(newer);
    }
    this->Watch();
  }
};

PrefixMirror::PrefixMirror(RevisionStore* store,
                           EventLoop* loop,
                           const std::string& prefix,
                           Milliseconds watch_wait,
                           Listener listener)
    : state(std::make_shared<State>()) {
  this->state->store = store;
  this->state->loop = loop;
  this->state->prefix = prefix;
  this->state->watch_wait = watch_wait;
  this->state->listener = std::move(listener);
}

PrefixMirror::~PrefixMirror() {
  this->state->is_stopped = true;
}

void PrefixMirror::Start() {
  this->state->Restart();
}

bool PrefixMirror::is_loaded() const {
  return this->state->is_loaded;
}

const PrefixMirror::Items& PrefixMirror::items() const {
  return this->state->items;
}

}  // namespace daisyroad
