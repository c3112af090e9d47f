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
constexpr Milliseconds kReadPeriod{1000};
constexpr Milliseconds kRpcTimeout{1000};
constexpr Milliseconds kChangePatience{10000};
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
  const std::uint64_t heard = std::max(report.version, report.known_version);
  this->authority.OnVersionKnown(heard);
  this->Apply(this->replica.OnVersionHeard(heard, report.name, Now()));
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
    this->Advance(id, found->second.acceptance->OnTick(this->contacts, now));
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

}  // namespace daisyroad
