#include "Core/Site/operator_reader.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Core/Common/growing_timeout.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Time from the start of one read of the declaration to the start of the next.
// Unlike a watch without events, a read also confirms how recent the keys are.
constexpr Milliseconds kConfigInterval{500};
// The same for the other entries, which are less urgent.
constexpr Milliseconds kListInterval{1000};
// Pause after a read that took longer than the interval.
constexpr Milliseconds kMinPause{20};
// A confirmation without the declaration arrives within milliseconds, or within
// 200 ms from a store that is slow.
constexpr Milliseconds kConfirmationTimeout{400};
// The largest declaration takes 1.2 s over a link of 10 Mbit/s.
constexpr Milliseconds kConfigTimeout{2000};
constexpr Milliseconds kMaxConfigTimeout{8000};
constexpr Milliseconds kListTimeout{700};
constexpr Milliseconds kMaxListTimeout{4000};

}  // namespace

// The declaration and the other entries are read independently of each other,
// each with at most one read in progress.
struct OperatorReader::State : std::enable_shared_from_this<State> {
  RevisionStore* store = nullptr;
  EventLoop* loop = nullptr;
  std::string config_key;
  std::string prefix;
  Listener listener;
  std::int64_t config_revision = 0;  // 0: not read yet
  // The declaration if the listener does not have it yet.
  std::optional<StoreItem> new_config;
  std::optional<std::vector<StoreItem>> others;  // empty until listed
  BootClock::time_point confirmed_at;
  GrowingTimeout config_timeout{kConfigTimeout, kMaxConfigTimeout};
  GrowingTimeout list_timeout{kListTimeout, kMaxListTimeout};
  bool is_confirmation_lost = false;  // the last one got no answer
  bool is_stopped = false;

  // Runs the function at `time`, unless stopped by then.
  void Schedule(MonotonicTime time, std::function<void()> function) {
    const std::shared_ptr<State> self = this->shared_from_this();
    const Duration pause = time - std::chrono::steady_clock::now();
    this->loop->After(std::max<Duration>(pause, kMinPause),
                      [self, function = std::move(function)]() {
                        if (!self->is_stopped) {
                          function();
                        }
                      });
  }

  void Publish() {
    if (this->config_revision == 0 || !this->others) {
      return;
    }
    std::vector<StoreItem> items = *this->others;
    if (this->new_config) {
      items.push_back(*std::exchange(this->new_config, std::nullopt));
    }
    this->listener.on_read(items, this->confirmed_at);
  }

  // Confirms the declaration, or reads it if it is not known or the last
  // confirmation got no answer.
  void ReadConfig() {
    const MonotonicTime begun = std::chrono::steady_clock::now();
    if (this->config_revision == 0 || this->is_confirmation_lost) {
      this->GetConfig(begun);
    } else {
      this->ConfirmConfig(begun);
    }
  }

  void GetConfig(MonotonicTime begun) {
    const BootClock::time_point requested_at = BootClock::now();
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->Get(this->config_key, this->config_timeout.value(),
                     [self, begun, requested_at](
                         const Result<std::optional<StoreItem>>& item) {
                       if (self->is_stopped) {
                         return;
                       }
                       if (!item.ok()) {
                         self->config_timeout.OnError(item.error());
                         self->listener.on_failure(item.error());
                       } else if (item.value()) {
                         self->config_timeout.OnSuccess();
                         self->is_confirmation_lost = false;
                         self->AdoptConfig(*item.value(), requested_at);
                       }
                       self->Schedule(begun + kConfigInterval,
                                      [self]() { self->ReadConfig(); });
                     });
  }

  // A transaction that changes nothing: the answer has the declaration only if
  // its revision is another one.
  void ConfirmConfig(MonotonicTime begun) {
    StoreTransaction confirmation;
    confirmation.expected.push_back({this->config_key, this->config_revision});
    const BootClock::time_point requested_at = BootClock::now();
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->Commit(
        confirmation, kConfirmationTimeout,
        [self, begun, requested_at](const Result<TransactionResult>& result) {
          if (self->is_stopped) {
            return;
          }
          self->OnConfirmation(result, requested_at);
          // The answer may have been lost, or be too large for the timeout.
          self->is_confirmation_lost = !result.ok();
          self->Schedule(
              self->is_confirmation_lost ? begun : begun + kConfigInterval,
              [self]() { self->ReadConfig(); });
        });
  }

  void OnConfirmation(const Result<TransactionResult>& result,
                      BootClock::time_point requested_at) {
    if (!result.ok()) {
      this->listener.on_failure(result.error());
      return;
    }
    const TransactionConflict* const conflict =
        std::get_if<TransactionConflict>(&result.value());
    if (conflict == nullptr) {
      this->Confirm(requested_at);
      return;
    }
    for (const StoreItem& item : conflict->items) {
      if (item.key == this->config_key) {
        this->AdoptConfig(item, requested_at);
        return;
      }
    }
    this->listener.on_failure(Error{Errc::kNotFound, "operators.read",
                                    this->config_key,
                                    "the declaration is missing in the store"});
  }

  void AdoptConfig(const StoreItem& item, BootClock::time_point requested_at) {
    if (item.revision != this->config_revision) {
      this->config_revision = item.revision;
      this->new_config = item;
    }
    this->Confirm(requested_at);
  }

  void Confirm(BootClock::time_point requested_at) {
    this->confirmed_at = requested_at;
    this->Publish();
  }

  void ListOthers() {
    this->ListPage(this->config_key, std::chrono::steady_clock::now(),
                   std::make_shared<std::vector<StoreItem>>());
  }

  void ListPage(const std::string& after,
                MonotonicTime begun,
                const std::shared_ptr<std::vector<StoreItem>>& items) {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->List(
        this->prefix, after, this->list_timeout.value(),
        [self, begun, items](const Result<StorePage>& page) {
          if (self->is_stopped) {
            return;
          }
          if (!page.ok()) {
            self->list_timeout.OnError(page.error());
            self->listener.on_failure(page.error());
            self->Schedule(begun + kListInterval,
                           [self]() { self->ListOthers(); });
            return;
          }
          self->list_timeout.OnSuccess();
          items->insert(items->end(), page.value().items.begin(),
                        page.value().items.end());
          if (page.value().has_more && !page.value().items.empty()) {
            self->ListPage(items->back().key, begun, items);
            return;
          }
          self->others = std::move(*items);
          self->Publish();
          self->Schedule(begun + kListInterval,
                         [self]() { self->ListOthers(); });
        });
  }
};

OperatorReader::OperatorReader(RevisionStore* store,
                               EventLoop* loop,
                               const std::string& config_key,
                               const std::string& prefix,
                               Listener listener)
    : state(std::make_shared<State>()) {
  this->state->store = store;
  this->state->loop = loop;
  this->state->config_key = config_key;
  this->state->prefix = prefix;
  this->state->listener = std::move(listener);
}

OperatorReader::~OperatorReader() {
  this->state->is_stopped = true;
}

void OperatorReader::Start() {
  this->state->ReadConfig();
  this->state->ListOthers();
}

}  // namespace daisyroad
