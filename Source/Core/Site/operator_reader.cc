#include "Core/Site/operator_reader.h"

#include <algorithm>
#include <optional>
#include <utility>

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
constexpr Milliseconds kTimeout{700};

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
  // When the last successful reads were requested.
  BootClock::time_point config_confirmed_at;
  BootClock::time_point others_listed_at;
  // Whether the last read of each kind succeeded.
  bool is_config_current = false;
  bool are_others_current = false;
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
    this->listener.on_read(
        items, std::min(this->config_confirmed_at, this->others_listed_at));
  }

  // Confirms the declaration, or reads it if it is not known or the last
  // confirmation got no answer.
  void ReadConfig() {
    const MonotonicTime begun = std::chrono::steady_clock::now();
    if (this->config_revision == 0 || this->is_confirmation_lost) {
      this->ListConfig(begun);
    } else {
      this->ConfirmConfig(begun);
    }
  }

  void ListConfig(MonotonicTime begun) {
    const BootClock::time_point requested_at = BootClock::now();
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->List(
        this->config_key, "", kTimeout,
        [self, begun, requested_at](const Result<StorePage>& page) {
          if (self->is_stopped) {
            return;
          }
          if (page.ok()) {
            self->is_confirmation_lost = false;
            self->AdoptConfigFrom(page.value().items, requested_at);
          } else {
            self->FailConfig(page.error());
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
        confirmation, kTimeout,
        [self, begun, requested_at](const Result<TransactionResult>& result) {
          if (self->is_stopped) {
            return;
          }
          self->OnConfirmation(result, requested_at);
          // A store that loses the answers of transactions may answer a read.
          self->is_confirmation_lost = !result.ok();
          self->Schedule(
              self->is_confirmation_lost ? begun : begun + kConfigInterval,
              [self]() { self->ReadConfig(); });
        });
  }

  void OnConfirmation(const Result<TransactionResult>& result,
                      BootClock::time_point requested_at) {
    if (!result.ok()) {
      this->FailConfig(result.error());
      return;
    }
    const TransactionConflict* const conflict =
        std::get_if<TransactionConflict>(&result.value());
    if (conflict == nullptr) {
      this->Confirm(requested_at);
      return;
    }
    this->AdoptConfigFrom(conflict->items, requested_at);
  }

  void AdoptConfigFrom(const std::vector<StoreItem>& items,
                       BootClock::time_point requested_at) {
    for (const StoreItem& item : items) {
      if (item.key == this->config_key) {
        this->AdoptConfig(item, requested_at);
        return;
      }
    }
    this->FailConfig(Error{Errc::kNotFound, "operators.read", this->config_key,
                           "the store has no declaration"});
  }

  void FailConfig(const Error& error) {
    this->is_config_current = false;
    this->listener.on_failure(error);
  }

  void AdoptConfig(const StoreItem& item, BootClock::time_point requested_at) {
    if (item.revision != this->config_revision) {
      this->config_revision = item.revision;
      this->new_config = item;
    }
    this->Confirm(requested_at);
  }

  void Confirm(BootClock::time_point requested_at) {
    this->config_confirmed_at = requested_at;
    this->is_config_current = true;
    this->Publish();
  }

  void ListOthers() {
    this->ListPage(this->config_key, std::chrono::steady_clock::now(),
                   BootClock::now(),
                   std::make_shared<std::vector<StoreItem>>());
  }

  void ListPage(const std::string& after,
                MonotonicTime begun,
                BootClock::time_point requested_at,
                const std::shared_ptr<std::vector<StoreItem>>& items) {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->List(
        this->prefix, after, kTimeout,
        [self, begun, requested_at, items](const Result<StorePage>& page) {
          if (self->is_stopped) {
            return;
          }
          if (!page.ok()) {
            self->are_others_current = false;
            self->listener.on_failure(page.error());
            self->Schedule(begun + kListInterval,
                           [self]() { self->ListOthers(); });
            return;
          }
          items->insert(items->end(), page.value().items.begin(),
                        page.value().items.end());
          if (page.value().has_more && !page.value().items.empty()) {
            self->ListPage(items->back().key, begun, requested_at, items);
            return;
          }
          self->others = std::move(*items);
          self->others_listed_at = requested_at;
          self->are_others_current = true;
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

bool OperatorReader::is_current() const {
  return this->state->is_config_current && this->state->are_others_current;
}

void OperatorReader::Start() {
  this->state->ReadConfig();
  this->state->ListOthers();
}

}  // namespace daisyroad
