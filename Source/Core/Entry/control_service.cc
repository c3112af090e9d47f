#include "Core/Entry/control_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/random.h"
#include "Core/Control/control_document.h"
#include "Core/Declaration/parse_declaration.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/evidence_hooks.h"
#include "Core/Entry/peer_service.h"
#include "Core/Platform/store_client.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kTick{100};
constexpr Milliseconds kReadPeriod{1000};
constexpr Milliseconds kReadBackPause{300};
constexpr Milliseconds kRpcTimeout{1000};
constexpr Milliseconds kChangePatience{10000};
constexpr Milliseconds kRejoinPause{1000};
// A member leaves the roster when it has been suspected for this long; by then
// it has been silent for about 5 s (design 3.8).
constexpr Milliseconds kSilentMember{3500};
constexpr int kNotFoundCode = -32001;

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

ControlService::ControlService(EntryContext* context, PeerService* peers)
    : context(context),
      peers(peers),
      authority(context->self, context->zone),
      contacts(context->self, context->zone, Now()) {}

void ControlService::Start() {
  this->ReadHead();
  this->context->loop->Every(kTick, [this]() { this->Tick(); });
}

Authority ControlService::Assess() const {
  return this->authority.Assess(Now());
}

PeerReport ControlService::Report() const {
  return this->authority.Report(Now());
}

void ControlService::OnPeerReply(const PeerReport& report,
                                 MonotonicTime request_sent) {
  this->authority.OnPeerReply(report, request_sent);
  this->contacts.OnPeerReply(report, request_sent);
  const std::uint64_t heard = std::max(report.version, report.known_version);
  this->authority.OnVersionKnown(heard);
  this->Apply(this->replica.OnVersionHeard(heard, report.name, Now()));
}

void ControlService::AddListener(Listener listener) {
  this->listeners.push_back(std::move(listener));
}

void ControlService::Submit(const ControlChange& change,
                            std::uint64_t base_version,
                            const std::string& author,
                            ChangeCallback callback) {
  const ChangeId id(this->context->self.str() + "-" +
                    this->context->random->Hex(8));
  Running run;
  run.acceptance = std::make_unique<ChangeAcceptance>(
      ChangeProposal{id, change, base_version});
  run.author = author;
  run.started = Now();
  run.callback = std::move(callback);
  ChangeAcceptance* const acceptance = run.acceptance.get();
  this->running[id] = std::move(run);
  CLOG(INFO, kControlLog) << "change=" << id.str()
                          << " proposed=" << DescribeChange(change)
                          << " author=" << author << " base=" << base_version;
  this->Apply(id, acceptance->Start(this->document(), this->contacts, Now()));
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
        store->Get(ControlPartKey(digest),
                   [callback](const Result<std::optional<StoreEntry>>& part) {
                     if (!part.ok()) {
                       callback(part.error());
                     } else if (!part.value()) {
                       callback(Error{Errc::kNotFound, "control.part", "",
                                      "the text is no longer stored"});
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

Json::Value ControlService::ServeHead() const {
  Json::Value result;
  result["head"] = this->document().Head().ToJson();
  return result;
}

Json::Value ControlService::ServePart(const Json::Value& params) const {
  const std::optional<std::string> text =
      this->replica.Part(PartDigest(params["digest"].asString()));
  if (!text) {
    throw RpcFailure{kNotFoundCode, "no such part here"};
  }
  Json::Value result;
  result["text"] = *text;
  return result;
}

void ControlService::Tick() {
  const MonotonicTime now = Now();
  this->Apply(this->replica.OnTick(now));
  const bool watcher =
      ControlReplica::Watches(this->context->self, this->context->zone,
                              this->peers->LiveIn(this->context->zone));
  if (this->authority.ShouldReadStore(watcher, now - this->last_read, now)) {
    this->ReadHead();
  }
  if (watcher) {
    this->KeepWatch();
  }
  std::vector<ChangeId> ids;
  for (const std::pair<const ChangeId, Running>& entry : this->running) {
    ids.push_back(entry.first);
  }
  for (const ChangeId& id : ids) {
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
      continue;
    }
    this->Apply(id, found->second.acceptance->OnTick(this->contacts, now));
    const auto still = this->running.find(id);
    if (still != this->running.end() &&
        now - still->second.started > kChangePatience) {
      const ChangeOutcome outcome = still->second.outcome;
      this->FinishChange(
          id, outcome.version != 0
                  ? Result<ChangeOutcome>(outcome)
                  : Result<ChangeOutcome>(
                        Error{Errc::kTimeout, "control.change", "",
                              "not known whether the change was written"}));
    }
  }
  this->JoinRoster();
  this->ReapMembers();
}

void ControlService::ReadHead() {
  if (this->read_in_flight) {
    return;
  }
  this->read_in_flight = true;
  this->last_read = Now();
  const std::uint64_t read = this->next_read++;
  this->authority.OnStoreReadStarted(read, this->last_read);
  this->context->store->Get(
      kControlHeadKey,
      [this, read](const Result<std::optional<StoreEntry>>& entry) {
        this->read_in_flight = false;
        ObserveStore(*this->context, this->last_read, entry.ok());
        if (!entry.ok()) {
          CLOG(DEBUG, kControlLog) << entry.error().ToString();
          this->authority.OnStoreReadFailed(read);
          return;
        }
        this->ConsumeHead(entry.value(), read);
      });
}

void ControlService::KeepWatch() {
  if (this->watching) {
    return;
  }
  this->watching = true;
  this->context->store->Watch(
      kControlHeadKey, this->head_revision,
      this->context->settings.store_watch_wait,
      [this](const Result<std::optional<StoreEntry>>& entry) {
        if (!entry.ok()) {
          // A pause keeps a failing store from being asked in a tight loop.
          this->context->loop->After(kReadPeriod,
                                     [this]() { this->watching = false; });
          return;
        }
        this->watching = false;
        this->ConsumeHead(entry.value(), 0);
      });
}

void ControlService::ConsumeHead(const std::optional<StoreEntry>& entry,
                                 std::uint64_t read) {
  if (!entry) {
    if (read != 0) {
      this->authority.OnStoreReadAnswered(read, 0);
    }
    return;
  }
  const Result<ControlHead> head = ControlHead::FromJson(entry->value);
  if (!head.ok()) {
    CLOG(ERROR, kControlLog) << head.error().ToString();
    if (read != 0) {
      this->authority.OnStoreReadFailed(read);
    }
    return;
  }
  this->head_revision = std::max(this->head_revision, entry->version);
  this->authority.OnVersionKnown(head.value().version);
  if (read != 0) {
    this->authority.OnStoreReadAnswered(read, head.value().version);
  }
  this->Apply(this->replica.OnHead(head.value(), StoreSource(), Now()));
}

void ControlService::Apply(const std::vector<ReplicaAction>& actions) {
  for (const ReplicaAction& action : actions) {
    this->Apply(action);
  }
}

void ControlService::Apply(const ReplicaAction& action) {
  std::visit(Overloaded{[this](const FetchHead& fetch) {
                          this->FetchHeadFrom(fetch.source);
                        },
                        [this](const FetchPart& fetch) {
                          this->FetchPartFrom(fetch.digest, fetch.source);
                        },
                        [this](const VersionAdopted&) { this->OnAdopted(); }},
             action);
}

void ControlService::FetchHeadFrom(const ControlSource& source) {
  const PeerSource* const peer = std::get_if<PeerSource>(&source);
  if (peer == nullptr) {
    this->context->store->Get(
        kControlHeadKey,
        [this](const Result<std::optional<StoreEntry>>& entry) {
          if (entry.ok()) {
            this->ConsumeHead(entry.value(), 0);
          } else {
            this->Apply(this->replica.OnFetchFailed(Now()));
          }
        });
    return;
  }
  const std::optional<std::string> address = this->peers->AddressOf(peer->peer);
  if (!address) {
    return;
  }
  this->context->rpc->Call(
      *address, "control.head", Json::Value(Json::objectValue), kRpcTimeout,
      [this, source](const Result<Json::Value>& reply) {
        const Result<ControlHead> head =
            reply.ok() ? ControlHead::FromJson(reply.value()["head"].asString())
                       : Result<ControlHead>(reply.error());
        this->Apply(head.ok()
                        ? this->replica.OnHead(head.value(), source, Now())
                        : this->replica.OnFetchFailed(Now()));
      });
}

void ControlService::FetchPartFrom(const PartDigest& digest,
                                   const ControlSource& source) {
  const PeerSource* const peer = std::get_if<PeerSource>(&source);
  if (peer == nullptr) {
    this->context->store->Get(
        ControlPartKey(digest),
        [this, digest](const Result<std::optional<StoreEntry>>& entry) {
          this->Apply(entry.ok() && entry.value()
                          ? this->replica.OnPart(digest, entry.value()->value)
                          : this->replica.OnFetchFailed(Now()));
        });
    return;
  }
  const std::optional<std::string> address = this->peers->AddressOf(peer->peer);
  if (!address) {
    return;
  }
  Json::Value params;
  params["digest"] = digest.str();
  this->context->rpc->Call(
      *address, "control.part", params, kRpcTimeout,
      [this, digest](const Result<Json::Value>& reply) {
        this->Apply(reply.ok() ? this->replica.OnPart(
                                     digest, reply.value()["text"].asString())
                               : this->replica.OnFetchFailed(Now()));
      });
}

void ControlService::OnAdopted() {
  const ControlDocument& adopted = this->document();
  this->authority.OnVersionInForce(adopted.version(), adopted.roster());
  this->contacts.OnOwnVersion(adopted.version());
  const Result<Declaration> declaration =
      ParseDeclaration(adopted.declaration(), "declaration.toml");
  if (declaration.ok()) {
    this->parsed = declaration.value();
  } else if (!adopted.declaration().empty()) {
    CLOG(ERROR, kControlLog) << declaration.error().ToString();
  }
  this->context->metrics->Gauge("daisyroad_config_version") =
      static_cast<std::int64_t>(adopted.version());
  CLOG(INFO, kControlLog) << "version_in_force=" << adopted.version();
  for (const Listener& listener : this->listeners) {
    listener();
  }
  this->ContinueCaughtUp();
}

void ControlService::ContinueCaughtUp() {
  const ControlDocument& adopted = this->document();
  std::vector<ChangeId> ids;
  for (const std::pair<const ChangeId, Running>& entry : this->running) {
    if (entry.second.waits_for_document &&
        entry.second.wanted_version <= adopted.version()) {
      ids.push_back(entry.first);
    }
  }
  for (const ChangeId& id : ids) {
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
      continue;
    }
    Running& run = found->second;
    run.waits_for_document = false;
    this->Apply(id, run.acceptance->OnDocument(adopted, this->contacts, Now()));
  }
}

void ControlService::Apply(const ChangeId& id,
                           const std::vector<ChangeAction>& actions) {
  for (const ChangeAction& action : actions) {
    if (this->running.count(id) == 0) {
      return;
    }
    this->Apply(id, action);
  }
  const auto found = this->running.find(id);
  if (found != this->running.end() && found->second.outcome.accepted &&
      found->second.acceptance->finished()) {
    this->FinishChange(id, ChangeOutcome(found->second.outcome));
  }
}

void ControlService::Apply(const ChangeId& id, const ChangeAction& action) {
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
                     this->peers->AskNow(member);
                   }
                 },
                 [this, &id](const CatchUp& catch_up) {
                   Running& run = this->running[id];
                   run.waits_for_document = true;
                   run.wanted_version = catch_up.version;
                   this->ReadHead();
                   // The version may be in force already.
                   this->context->loop->Post(
                       [this]() { this->ContinueCaughtUp(); });
                 },
                 [this, &id](const TellWritten& tell) {
                   this->running[id].outcome.version = tell.version;
                   this->ReadHead();
                 },
                 [this, &id](const TellAccepted& tell) {
                   this->running[id].outcome.version = tell.version;
                   this->running[id].outcome.accepted = true;
                 },
                 [this, &id](const TellInForce& tell) {
                   this->running[id].outcome.in_force.insert(tell.zone);
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
  // Parts are content-addressed: one that is there already is the same text.
  this->context->store->CompareAndSwap(
      ControlPartKey(digest), write.parts.at(digest), 0,
      [this, id, write,
       remaining = std::move(remaining)](const Result<bool>& written) {
        if (written.ok()) {
          this->WriteParts(id, write, remaining);
        } else {
          this->AnswerWrite(id, WriteAnswer::kLost);
        }
      });
}

void ControlService::WriteHead(const ChangeId& id, const WriteVersion& write) {
  this->context->store->Get(
      kControlHeadKey,
      [this, id, write](const Result<std::optional<StoreEntry>>& entry) {
        if (!entry.ok()) {
          this->AnswerWrite(id, WriteAnswer::kLost);
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
          this->AnswerWrite(id, WriteAnswer::kConflict);
          return;
        }
        this->context->store->CompareAndSwap(
            kControlHeadKey, write.head.ToJson(), revision,
            [this, id, write](const Result<bool>& written) {
              if (!written.ok()) {
                this->AnswerWrite(id, WriteAnswer::kLost);
                return;
              }
              if (written.value()) {
                this->WriteHistory(id, write);
              }
              this->AnswerWrite(id, written.value() ? WriteAnswer::kWritten
                                                    : WriteAnswer::kConflict);
            });
      });
}

void ControlService::WriteHistory(const ChangeId& id,
                                  const WriteVersion& write) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
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

void ControlService::AnswerWrite(const ChangeId& id, WriteAnswer answer) {
  const auto found = this->running.find(id);
  if (found != this->running.end()) {
    this->Apply(id, found->second.acceptance->OnWriteAnswered(
                        answer, this->contacts, Now()));
  }
}

void ControlService::ReadBack(const ChangeId& id) {
  this->context->store->Get(
      kControlHeadKey,
      [this, id](const Result<std::optional<StoreEntry>>& entry) {
        const auto found = this->running.find(id);
        if (found == this->running.end()) {
          return;
        }
        Result<ControlHead> head = ControlHead();
        if (entry.ok() && entry.value()) {
          head = ControlHead::FromJson(entry.value()->value);
        }
        if (!entry.ok() || !head.ok()) {
          this->context->loop->After(kReadBackPause,
                                     [this, id]() { this->ReadBack(id); });
          return;
        }
        this->Apply(id, found->second.acceptance->OnHeadRead(
                            head.value(), this->contacts, Now()));
      });
}

void ControlService::FinishChange(const ChangeId& id,
                                  const Result<ChangeOutcome>& result) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    return;
  }
  const ChangeCallback callback = std::move(found->second.callback);
  this->running.erase(found);
  CLOG(INFO, kControlLog)
      << "change=" << id.str() << " result="
      << (result.ok()
              ? (result.value().conflict
                     ? std::string("conflict")
                     : "version " + std::to_string(result.value().version))
              : result.error().ToString());
  callback(result);
}

void ControlService::JoinRoster() {
  const RosterMembers& members = this->document().roster().members;
  if (this->joining || this->leaving ||
      members.count(this->context->self) != 0 ||
      this->Assess().state != AuthorityState::kConfirmed) {
    return;
  }
  this->joining = true;
  this->Submit(RosterJoin{RosterMember{this->context->self, this->context->zone,
                                       this->context->settings.peers_address}},
               this->document().version(), this->context->self.str(),
               [this](const Result<ChangeOutcome>& result) {
                 if (!result.ok()) {
                   CLOG(WARNING, kControlLog) << result.error().ToString();
                 }
                 this->context->loop->After(
                     kRejoinPause, [this]() { this->joining = false; });
               });
}

void ControlService::Leave(std::function<void()> callback) {
  this->leaving = true;
  if (this->document().roster().members.count(this->context->self) == 0) {
    callback();
    return;
  }
  this->Submit(RosterLeave{this->context->self}, this->document().version(),
               this->context->self.str(),
               [callback = std::move(callback)](const Result<ChangeOutcome>&) {
                 callback();
               });
}

void ControlService::ReapMembers() {
  const MonotonicTime now = Now();
  const std::vector<EntryName> live = this->peers->LiveNames();
  const bool elected =
      *std::min_element(live.begin(), live.end()) == this->context->self;
  for (const std::pair<const EntryName, RosterMember>& member :
       this->document().roster().members) {
    const EntryName& name = member.first;
    if (std::find(live.begin(), live.end(), name) != live.end()) {
      this->silent_since.erase(name);
      continue;
    }
    const std::string& address = member.second.address;
    const auto peer = this->peers->known().find(address);
    // An address serves one process at a time: another incarnation that
    // answers there proves that this one has ended.
    const bool replaced =
        address == this->context->settings.peers_address ||
        (peer != this->peers->known().end() && peer->second.name != name);
    if (replaced && this->ended.insert(name).second) {
      this->contacts.OnEnded(name);
    }
    const MonotonicTime since =
        this->silent_since.try_emplace(name, now).first->second;
    // A silent member without such a proof may be cut off: its claim logs are
    // sealed, but its allotments stay its own, see LimitService.
    if (elected && (replaced || now - since > kSilentMember)) {
      this->RemoveMember(name);
    }
  }
}

void ControlService::RemoveMember(const EntryName& name) {
  if (this->Assess().state != AuthorityState::kConfirmed ||
      !this->removing.insert(name).second) {
    return;
  }
  this->Submit(
      RosterLeave{name}, this->document().version(), this->context->self.str(),
      [this, name](const Result<ChangeOutcome>&) {
        this->context->loop->After(
            kRejoinPause, [this, name]() { this->removing.erase(name); });
      });
}

}  // namespace daisyroad
