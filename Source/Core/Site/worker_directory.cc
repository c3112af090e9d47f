#include "Core/Site/worker_directory.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Common/printable.h"
#include "Core/Site/site_codec.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// A worker that is leaving must stop receiving new runs within two seconds.
// Reading one entry takes about 30 us of CPU time, so an interval of
// kIntervalPerEntry per entry limits the load to 2% of a core.
constexpr Milliseconds kInterval{250};
constexpr std::chrono::microseconds kIntervalPerEntry{1500};
constexpr Milliseconds kTimeout{700};

// An exception would leave the list as it was for as long as the entry stays.
Result<WorkerListing> DecodeOrError(SiteCodec* codec, const StoreItem& item) {
  try {
    return codec->DecodeWorker(item.key, item.value);
  } catch (const std::exception& exception) {
    return Error{Errc::kInternal, "worker.decode", "", exception.what()};
  }
}

}  // namespace

WorkerDirectory::WorkerDirectory(RevisionStore* store,
                                 EventLoop* loop,
                                 SiteCodec* codec,
                                 Listener listener)
    : store(store), loop(loop), codec(codec), listener(std::move(listener)) {}

void WorkerDirectory::Start() {
  this->loop->After(
      std::max<Duration>(kInterval, kIntervalPerEntry * this->entries.size()),
      [this]() { this->Start(); });
  if (this->listener.is_needed()) {
    this->Refresh();
  } else {
    this->entries.clear();
    this->listed.clear();
  }
}

void WorkerDirectory::Refresh() {
  if (this->is_reading) {
    return;
  }
  this->is_reading = true;
  this->ReadPage("", std::make_shared<std::vector<StoreItem>>());
}

void WorkerDirectory::ReadPage(
    const std::string& after,
    const std::shared_ptr<std::vector<StoreItem>>& items) {
  this->store->List(
      this->codec->WorkerPrefix(), after, kTimeout,
      [this, items](const Result<StorePage>& page) {
        this->RecordReadResult(page.ok() ? "" : page.error().ToString());
        if (!page.ok()) {
          this->is_reading = false;
          return;
        }
        items->insert(items->end(), page.value().items.begin(),
                      page.value().items.end());
        if (page.value().has_more && !page.value().items.empty()) {
          this->ReadPage(items->back().key, items);
        } else {
          this->is_reading = false;
          this->Adopt(*items);
        }
      });
}

void WorkerDirectory::RecordReadResult(const std::string& error) {
  if (this->has_failed != error.empty()) {
    return;
  }
  this->has_failed = !error.empty();
  CLOG(WARNING, kRoutingLog)
      << "event="
      << (this->has_failed ? "workers_not_listed" : "workers_listed")
      << " known=" << this->listed.size() << " error=\"" << error << "\"";
}

void WorkerDirectory::Adopt(const std::vector<StoreItem>& items) {
  Workers found;
  std::map<std::string, Entry> read;
  for (const StoreItem& item : items) {
    Entry& entry = read[item.key];
    const std::map<std::string, Entry>::const_iterator known =
        this->entries.find(item.key);
    if (known != this->entries.end() &&
        known->second.revision == item.revision) {
      entry = known->second;
    } else {
      entry.revision = item.revision;
      const bool is_logged =
          known != this->entries.end() && !known->second.listing;
      entry.listing = this->Decode(item, is_logged);
    }
    if (entry.listing) {
      found[entry.listing->name] = *entry.listing;
    }
  }
  this->entries = std::move(read);
  if (found == this->listed) {
    return;
  }
  this->listed = std::move(found);
  this->listener.on_change();
}

std::optional<WorkerListing> WorkerDirectory::Decode(const StoreItem& item,
                                                     bool is_logged) {
  const Result<WorkerListing> worker = DecodeOrError(this->codec, item);
  if (worker.ok()) {
    return worker.value();
  }
  if (!is_logged) {
    CLOG(WARNING, kRoutingLog)
        << "event=worker_unreadable key=" << Printable(item.key) << " error=\""
        << Printable(worker.error().ToString()) << "\"";
  }
  return std::nullopt;
}

}  // namespace daisyroad
