#include "Core/Entry/control_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/overloaded.h"
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
constexpr Milliseconds kWatchRetryDelay{1000};
constexpr Milliseconds kRpcTimeout{1000};
constexpr Milliseconds kChangeTimeout{10000};
constexpr int kNotFoundCode = -32001;

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
  const std::uint64_t latest_version =
      std::max(report.version, report.known_version);
  this->authority.OnVersionKnown(latest_version);
  this->Apply(this->replica.OnVersionHeard(latest_version, report.name, Now()));
}

void ControlService::AddListener(Listener listener) {
  this->listeners.push_back(std::move(listener));
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
    throw RpcFailure{kNotFoundCode, "configuration part not found"};
  }
  Json::Value result;
  result["text"] = *text;
  return result;
}

void ControlService::Tick() {
  const MonotonicTime now = Now();
  this->Apply(this->replica.OnTick(now));
  const bool is_watcher =
      ControlReplica::Watches(this->context->self, this->context->zone,
                              this->peers->LiveIn(this->context->zone));
  if (this->authority.ShouldReadStore(is_watcher, now - this->last_read_time,
                                      now)) {
    this->ReadHead();
  }
  if (is_watcher) {
    this->WatchHead();
  }
  std::vector<ChangeId> ids;
  for (const std::pair<const ChangeId, PendingChange>& entry :
       this->pending_changes) {
    ids.push_back(entry.first);
  }
  for (const ChangeId& id : ids) {
    const auto found = this->pending_changes.find(id);
    if (found == this->pending_changes.end()) {
      continue;
    }
    this->Execute(id, found->second.acceptance->OnTick(this->contacts, now));
    const auto unfinished = this->pending_changes.find(id);
    if (unfinished != this->pending_changes.end() &&
        now - unfinished->second.started > kChangeTimeout) {
      const ChangeOutcome outcome = unfinished->second.outcome;
      this->FinishChange(
          id, outcome.version != 0
                  ? Result<ChangeOutcome>(outcome)
                  : Result<ChangeOutcome>(
                        Error{Errc::kTimeout, "control.change", "",
                              "unknown whether the change was written"}));
    }
  }
  this->JoinRoster();
  this->RemoveUnresponsiveMembers();
}

void ControlService::ReadHead() {
  if (this->is_read_in_flight) {
    return;
  }
  this->is_read_in_flight = true;
  this->last_read_time = Now();
  const std::uint64_t read_id = this->next_read_id++;
  this->authority.OnStoreReadStarted(read_id, this->last_read_time);
  this->context->store->Get(
      kControlHeadKey,
      [this, read_id](const Result<std::optional<StoreEntry>>& entry) {
        this->is_read_in_flight = false;
        ObserveStore(*this->context, this->last_read_time, entry.ok());
        if (!entry.ok()) {
          CLOG(DEBUG, kControlLog) << entry.error().ToString();
          this->authority.OnStoreReadFailed(read_id);
          return;
        }
        this->ProcessHead(entry.value(), read_id);
      });
}

void ControlService::WatchHead() {
  if (this->is_watching) {
    return;
  }
  this->is_watching = true;
  this->context->store->Watch(
      kControlHeadKey, this->head_revision,
      this->context->settings.store_watch_wait,
      [this](const Result<std::optional<StoreEntry>>& entry) {
        if (!entry.ok()) {
          // Without the delay, a failing store would be polled in a tight loop.
          this->context->loop->After(kWatchRetryDelay,
                                     [this]() { this->is_watching = false; });
          return;
        }
        this->is_watching = false;
        this->ProcessHead(entry.value(), 0);
      });
}

void ControlService::ProcessHead(const std::optional<StoreEntry>& entry,
                                 std::uint64_t read_id) {
  if (!entry) {
    if (read_id != 0) {
      this->authority.OnStoreReadAnswered(read_id, 0);
    }
    return;
  }
  const Result<ControlHead> head = ControlHead::FromJson(entry->value);
  if (!head.ok()) {
    CLOG(ERROR, kControlLog) << head.error().ToString();
    if (read_id != 0) {
      this->authority.OnStoreReadFailed(read_id);
    }
    return;
  }
  this->head_revision = std::max(this->head_revision, entry->version);
  this->authority.OnVersionKnown(head.value().version);
  if (read_id != 0) {
    this->authority.OnStoreReadAnswered(read_id, head.value().version);
  }
  this->Apply(this->replica.OnHead(head.value(), StoreSource(), Now()));
}

void ControlService::Apply(const std::vector<ReplicaAction>& actions) {
  for (const ReplicaAction& action : actions) {
    this->Apply(action);
  }
}

void ControlService::Apply(const ReplicaAction& action) {
  std::visit(
      Overloaded{
          [this](const FetchHead& fetch) { this->FetchHeadFrom(fetch.source); },
          [this](const FetchPart& fetch) {
            this->FetchPartFrom(fetch.digest, fetch.source);
          },
          [this](const VersionAdopted&) { this->OnVersionAdopted(); }},
      action);
}

void ControlService::FetchHeadFrom(const ControlSource& source) {
  const PeerSource* const peer = std::get_if<PeerSource>(&source);
  if (peer == nullptr) {
    this->context->store->Get(
        kControlHeadKey,
        [this](const Result<std::optional<StoreEntry>>& entry) {
          if (entry.ok()) {
            this->ProcessHead(entry.value(), 0);
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

void ControlService::OnVersionAdopted() {
  const ControlDocument& adopted = this->document();
  this->authority.OnVersionInForce(adopted.version(), adopted.roster());
  this->contacts.OnOwnVersion(adopted.version());
  const Result<Declaration> declaration =
      ParseDeclaration(adopted.declaration(), "declaration.toml");
  if (declaration.ok()) {
    this->parsed_declaration = declaration.value();
  } else if (!adopted.declaration().empty()) {
    CLOG(ERROR, kControlLog) << declaration.error().ToString();
  }
  this->context->metrics->Gauge("daisyroad_config_version") =
      static_cast<std::int64_t>(adopted.version());
  CLOG(INFO, kControlLog) << "version_in_force=" << adopted.version();
  for (const Listener& listener : this->listeners) {
    listener();
  }
  this->ResumeCaughtUpChanges();
}

}  // namespace daisyroad
