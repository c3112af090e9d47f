// Changes to the control document from proposal to adoption, and their history.

#include "Core/Entry/control_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Common/overloaded.h"
#include "Core/Common/random.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Platform/store_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kReadBackRetryDelay{300};

}  // namespace

void ControlService::Submit(const ControlChange& change,
                            std::uint64_t base_version,
                            const std::string& author,
                            ChangeCallback callback) {
  const ChangeId id(this->context->self.str() + "-" +
                    this->context->random->Hex(8));
  PendingChange pending;
  pending.acceptance = std::make_unique<ChangeAcceptance>(
      ChangeProposal{id, change, base_version});
  pending.author = author;
  pending.started = Now();
  pending.callback = std::move(callback);
  ChangeAcceptance* const acceptance = pending.acceptance.get();
  this->pending_changes[id] = std::move(pending);
  CLOG(INFO, kControlLog) << "change=" << id.str()
                          << " proposed=" << DescribeChange(change)
                          << " author=" << author << " base=" << base_version;
  this->Execute(id, acceptance->Start(this->document(), this->contacts, Now()));
}

void ControlService::ResumeCaughtUpChanges() {
  const ControlDocument& adopted = this->document();
  std::vector<ChangeId> ids;
  for (const std::pair<const ChangeId, PendingChange>& entry :
       this->pending_changes) {
    if (entry.second.is_waiting_for_document &&
        entry.second.awaited_version <= adopted.version()) {
      ids.push_back(entry.first);
    }
  }
  for (const ChangeId& id : ids) {
    const auto found = this->pending_changes.find(id);
    if (found == this->pending_changes.end()) {
      continue;
    }
    PendingChange& pending = found->second;
    pending.is_waiting_for_document = false;
    this->Execute(
        id, pending.acceptance->OnDocument(adopted, this->contacts, Now()));
  }
}

void ControlService::Execute(const ChangeId& id,
                             const std::vector<ChangeAction>& actions) {
  for (const ChangeAction& action : actions) {
    if (this->pending_changes.count(id) == 0) {
      return;
    }
    this->Execute(id, action);
  }
  const auto found = this->pending_changes.find(id);
  if (found != this->pending_changes.end() && found->second.outcome.accepted &&
      found->second.acceptance->finished()) {
    this->FinishChange(id, ChangeOutcome(found->second.outcome));
  }
}

void ControlService::Execute(const ChangeId& id, const ChangeAction& action) {
  std::visit(
      Overloaded{[this, &id](const WriteVersion& write) {
                   std::vector<PartDigest> parts;
                   for (const std::pair<const PartDigest, std::string>& part :
                        write.parts) {
                     parts.push_back(part.first);
                   }
                   this->WriteParts(id, write, std::move(parts));
                 },
                 [this, &id](const ReadHeadBack&) { this->ReadBack(id); },
                 [this](const AskMembers& ask) {
                   for (const EntryName& member : ask.members) {
                     this->peers->RequestReport(member);
                   }
                 },
                 [this, &id](const CatchUp& catch_up) {
                   PendingChange& pending = this->pending_changes[id];
                   pending.is_waiting_for_document = true;
                   pending.awaited_version = catch_up.version;
                   this->ReadHead();
                   // The version may already be in force.
                   this->context->loop->Post(
                       [this]() { this->ResumeCaughtUpChanges(); });
                 },
                 [this, &id](const TellWritten& tell) {
                   this->pending_changes[id].outcome.version = tell.version;
                   this->ReadHead();
                 },
                 [this, &id](const TellAccepted& tell) {
                   this->pending_changes[id].outcome.version = tell.version;
                   this->pending_changes[id].outcome.accepted = true;
                 },
                 [this, &id](const TellInForce& tell) {
                   this->pending_changes[id].outcome.in_force.insert(tell.zone);
                 },
                 [this, &id](const TellConflict& tell) {
                   ChangeOutcome outcome;
                   outcome.conflict = true;
                   outcome.version = tell.winning_version;
                   outcome.winning_change = tell.winning_change.str();
                   this->FinishChange(id, outcome);
                 },
                 [this, &id](const TellRefused& tell) {
                   this->FinishChange(id, tell.error);
                 }},
      action);
}

void ControlService::WriteParts(const ChangeId& id,
                                const WriteVersion& write,
                                std::vector<PartDigest> remaining) {
  if (remaining.empty()) {
    this->WriteHead(id, write);
    return;
  }
  const PartDigest digest = remaining.back();
  remaining.pop_back();
  // Parts are content-addressed: an existing part already has this text, so a
  // lost compare-and-swap is not a conflict.
  this->context->store->CompareAndSwap(
      ControlPartKey(digest), write.parts.at(digest), 0,
      [this, id, write,
       remaining = std::move(remaining)](const Result<bool>& written) {
        if (written.ok()) {
          this->WriteParts(id, write, remaining);
        } else {
          this->OnWriteAnswer(id, WriteAnswer::kLost);
        }
      });
}

void ControlService::WriteHead(const ChangeId& id, const WriteVersion& write) {
  this->context->store->Get(
      kControlHeadKey,
      [this, id, write](const Result<std::optional<StoreEntry>>& entry) {
        if (!entry.ok()) {
          this->OnWriteAnswer(id, WriteAnswer::kLost);
          return;
        }
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
        if (entry.value()) {
          const Result<ControlHead> head =
              ControlHead::FromJson(entry.value()->value);
          version = head.ok() ? head.value().version : 0;
          revision = entry.value()->version;
        }
        if (version != write.expected_version) {
          this->OnWriteAnswer(id, WriteAnswer::kConflict);
          return;
        }
        this->context->store->CompareAndSwap(
            kControlHeadKey, write.head.ToJson(), revision,
            [this, id, write](const Result<bool>& written) {
              if (!written.ok()) {
                this->OnWriteAnswer(id, WriteAnswer::kLost);
                return;
              }
              if (written.value()) {
                this->WriteHistory(id, write);
              }
              this->OnWriteAnswer(id, written.value() ? WriteAnswer::kWritten
                                                      : WriteAnswer::kConflict);
            });
      });
}

void ControlService::WriteHistory(const ChangeId& id,
                                  const WriteVersion& write) {
  const auto found = this->pending_changes.find(id);
  if (found == this->pending_changes.end()) {
    return;
  }
  Json::Value record;
  record["version"] = Json::UInt64(write.head.version);
  record["change"] =
      DescribeChange(found->second.acceptance->proposal().change);
  record["id"] = id.str();
  record["author"] = found->second.author;
  record["at"] =
      Json::Int64(std::chrono::duration_cast<std::chrono::seconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count());
  record["declaration"] = write.head.parts.at(ControlPart::kDeclaration).str();
  this->context->store->CompareAndSwap(ControlHistoryKey(write.head.version),
                                       WriteJson(record), 0,
                                       [](const Result<bool>&) {});
}

void ControlService::OnWriteAnswer(const ChangeId& id, WriteAnswer answer) {
  const auto found = this->pending_changes.find(id);
  if (found != this->pending_changes.end()) {
    this->Execute(id, found->second.acceptance->OnWriteAnswered(
                          answer, this->contacts, Now()));
  }
}

void ControlService::ReadBack(const ChangeId& id) {
  this->context->store->Get(
      kControlHeadKey,
      [this, id](const Result<std::optional<StoreEntry>>& entry) {
        const auto found = this->pending_changes.find(id);
        if (found == this->pending_changes.end()) {
          return;
        }
        Result<ControlHead> head = ControlHead();
        if (entry.ok() && entry.value()) {
          head = ControlHead::FromJson(entry.value()->value);
        }
        if (!entry.ok() || !head.ok()) {
          this->context->loop->After(kReadBackRetryDelay,
                                     [this, id]() { this->ReadBack(id); });
          return;
        }
        this->Execute(id, found->second.acceptance->OnHeadRead(
                              head.value(), this->contacts, Now()));
      });
}

void ControlService::FinishChange(const ChangeId& id,
                                  const Result<ChangeOutcome>& result) {
  const auto found = this->pending_changes.find(id);
  if (found == this->pending_changes.end()) {
    return;
  }
  const ChangeCallback callback = std::move(found->second.callback);
  this->pending_changes.erase(found);
  CLOG(INFO, kControlLog)
      << "change=" << id.str() << " result="
      << (result.ok()
              ? (result.value().conflict
                     ? std::string("conflict")
                     : "version " + std::to_string(result.value().version))
              : result.error().ToString());
  callback(result);
}

void ControlService::FetchDeclaration(
    std::uint64_t version,
    std::function<void(Result<std::string>)> callback) {
  StoreClient* const store = this->context->store;
  store->Get(
      ControlHistoryKey(version),
      [store, callback = std::move(callback),
       version](const Result<std::optional<StoreEntry>>& entry) {
        if (!entry.ok()) {
          callback(entry.error());
          return;
        }
        const Result<Json::Value> record =
            entry.value() ? ParseJson(entry.value()->value)
                          : Result<Json::Value>(Json::Value());
        if (!record.ok() || !record.value().isObject()) {
          callback(Error{Errc::kNotFound, "control.history", "",
                         "no version " + std::to_string(version)});
          return;
        }
        const PartDigest digest(record.value()["declaration"].asString());
        store->Get(
            ControlPartKey(digest),
            [callback](const Result<std::optional<StoreEntry>>& part) {
              if (!part.ok()) {
                callback(part.error());
              } else if (!part.value()) {
                callback(Error{Errc::kNotFound, "control.part", "",
                               "the declaration text is no longer stored"});
              } else {
                callback(part.value()->value);
              }
            });
      });
}

void ControlService::FetchHistory(
    std::size_t limit,
    std::function<void(Result<Json::Value>)> callback) {
  this->context->store->List(
      "control/history/", [callback = std::move(callback), limit](
                              const Result<std::vector<StoreEntry>>& entries) {
        if (!entries.ok()) {
          callback(entries.error());
          return;
        }
        std::vector<Json::Value> records;
        for (const StoreEntry& entry : entries.value()) {
          Result<Json::Value> record = ParseJson(entry.value);
          if (record.ok()) {
            records.push_back(std::move(record).value());
          }
        }
        std::sort(records.begin(), records.end(),
                  [](const Json::Value& a, const Json::Value& b) {
                    return a["version"].asUInt64() > b["version"].asUInt64();
                  });
        Json::Value list(Json::arrayValue);
        for (std::size_t i = 0; i < std::min(limit, records.size()); ++i) {
          list.append(records[i]);
        }
        callback(list);
      });
}

}  // namespace daisyroad
