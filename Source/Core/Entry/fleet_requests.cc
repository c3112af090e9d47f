#include "Core/Entry/fleet_requests.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/fleet_records.h"
#include "Core/Entry/fleet_store.h"

namespace daisyroad {
namespace {

Error AuthorityNotConfirmed(const std::string& peer) {
  return Error{Errc::kUnavailable, "fleet.request", peer,
               "the authority of this instance is not confirmed; "
               "nothing was changed"};
}

Error ConcurrentChange(const std::string& peer) {
  return Error{Errc::kConflict, "fleet.request", peer,
               "another change was written first; check the state and retry "
               "if needed"};
}

}  // namespace

FleetRequests::FleetRequests(EntryContext* entry_context,
                             FleetSources fleet_sources,
                             FleetRecords* fleet_records,
                             FleetStore* fleet_store)
    : context(entry_context),
      sources(std::move(fleet_sources)),
      records(fleet_records),
      store(fleet_store) {}

void FleetRequests::Move(const WorkerName& worker,
                         const PoolName& target,
                         const StepCallback& callback) {
  if (this->sources.declaration().FindPool(target) == nullptr) {
    callback(Error{Errc::kNotFound, "fleet.request", worker.str(),
                   "no pool \"" + target.str() + "\""});
    return;
  }
  this->Request(
      worker, "move",
      [this, worker, target](const std::string& change) {
        const Versioned<InstanceRecord>* const known =
            this->records->ledger().Find(worker);
        return this->records->ledger().RequestMove(
            worker, known == nullptr ? PoolName() : known->value.pool, target,
            change);
      },
      callback);
}

void FleetRequests::Drain(const WorkerName& worker,
                          const StepCallback& callback) {
  this->Request(
      worker, "drain",
      [this, worker](const std::string& change) {
        return this->records->ledger().RequestDrain(worker, change);
      },
      callback);
}

void FleetRequests::Request(const WorkerName& worker,
                            const std::string& verb,
                            const MakeWrite& make_write,
                            const StepCallback& callback) {
  if (!this->sources.is_authority_confirmed()) {
    callback(AuthorityNotConfirmed(worker.str()));
    return;
  }
  this->store->ReadOne(InstanceKey(worker), [this, verb, make_write,
                                             callback](const Status& read) {
    if (!read.ok()) {
      callback(Error{Errc::kUnavailable, "fleet.request", "",
                     "reading the store failed; nothing was changed: " +
                         read.error().ToString()});
      return;
    }
    const Result<WriteInstance> write = make_write(this->NextChangeId());
    if (!write.ok()) {
      callback(write.error());
      return;
    }
    this->Write(write.value(), verb, callback);
  });
}

void FleetRequests::Write(const WriteInstance& write,
                          const std::string& verb,
                          const StepCallback& callback) {
  const InstanceRecord& record = write.record;
  this->store->Put(
      {InstanceKey(record.worker), WriteJson(ToJson(record)),
       static_cast<std::uint64_t>(write.expected_version), write.not_after,
       [change = write.change](const StoreEntry& entry) {
         const Result<Json::Value> json = ParseJson(entry.value);
         const Result<InstanceRecord> stored =
             json.ok() ? ParseInstanceRecord(json.value())
                       : Result<InstanceRecord>(json.error());
         return stored.ok() && stored.value().HasChange(change);
       }},
      [this, record, verb, callback](const Result<bool>& written) {
        if (!written.ok() || !written.value()) {
          callback(written.ok() ? ConcurrentChange(record.worker.str())
                                : written.error());
          return;
        }
        this->context->decisions->Write(
            kFleetLog, LogDecision("request")
                           .Field("verb", verb)
                           .Field("worker", record.worker.str())
                           .Field("operation", record.operation)
                           .Field("pool", record.pool.str())
                           .Field("target", record.target.str()));
        callback(record.step);
      });
}

void FleetRequests::SetPaused(bool paused,
                              const std::string& author,
                              const PauseCallback& callback) {
  if (!this->sources.is_authority_confirmed()) {
    callback(AuthorityNotConfirmed(kPauseKey));
    return;
  }
  this->store->ReadOne(kPauseKey,
                       [this, paused, author, callback](const Status& read) {
                         if (!read.ok()) {
                           callback(read.error());
                         } else if (this->records->paused() == paused) {
                           callback(paused);
                         } else {
                           this->WritePause(paused, author, callback);
                         }
                       });
}

void FleetRequests::WritePause(bool paused,
                               const std::string& author,
                               const PauseCallback& callback) {
  Json::Value value(Json::objectValue);
  value["paused"] = paused;
  value["author"] = author;
  value["change"] = this->NextChangeId();
  const std::string text = WriteJson(value);
  this->store->Put(
      {kPauseKey, text, this->records->VersionOf(kPauseKey),
       MonotonicTime::max(),
       [text](const StoreEntry& entry) { return entry.value == text; }},
      [this, paused, author, callback](const Result<bool>& written) {
        if (!written.ok() || !written.value()) {
          callback(written.ok() ? ConcurrentChange(kPauseKey)
                                : written.error());
          return;
        }
        this->context->decisions->Write(
            kFleetLog,
            LogDecision(paused ? "maintenance_paused" : "maintenance_resumed")
                .Field("author", author));
        callback(paused);
      });
}

std::string FleetRequests::NextChangeId() {
  return this->context->self.str() + "#" + std::to_string(++this->change_count);
}

}  // namespace daisyroad
