#include "Core/Entry/peer_service.h"

#include <utility>
#include <variant>

#include "Core/Common/hash.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Control/control_document.h"
#include "Core/Control/peer_report_codec.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/evidence_hooks.h"
#include "Core/Membership/gossip_message.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kTick{100};
// A later reply is useless, because the peer is already suspected by then.
constexpr Milliseconds kRequestTimeout{1500};
constexpr Milliseconds kProbeTimeout{700};
constexpr int kInvalidParams = -32602;

MemberInfo OwnInfo(const EntryContext& context) {
  MemberInfo info;
  info.name = context.self;
  info.zone = context.zone;
  info.address = context.settings.peers_address;
  return info;
}

std::vector<std::string> SeedAddresses(const Settings& settings) {
  std::vector<std::string> addresses;
  for (const Seed& seed : settings.seeds) {
    if (seed.address != settings.peers_address) {
      addresses.push_back(seed.address);
    }
  }
  return addresses;
}

}  // namespace

PeerService::PeerService(EntryContext* context)
    : context(context),
      gossip(
          std::make_unique<GossipProtocol>(OwnInfo(*context),
                                           SeedAddresses(context->settings),
                                           StableHash(context->self.str()))) {}

void PeerService::AddSection(const std::string& name,
                             Section section_source,
                             SectionHandler section_handler) {
  this->sections[name] =
      SectionCallbacks{std::move(section_source), std::move(section_handler)};
}

void PeerService::Start(ReportSource report_source,
                        DocumentSource document_source,
                        ReplyHandler reply_handler) {
  this->source = std::move(report_source);
  this->document = std::move(document_source);
  this->handler = std::move(reply_handler);
  this->context->loop->Every(kTick, [this]() {
    this->Apply(this->gossip->OnTick(this->source(), Now()));
  });
}

Json::Value PeerService::ServeExchange(const Json::Value& params) {
  const Result<GossipMessage> request =
      GossipMessageFromJson(params, this->document());
  if (!request.ok()) {
    throw RpcFailure{kInvalidParams, request.error().ToString()};
  }
  ObserveArrival(*this->context, request.value().sender.name,
                 request.value().sender.zone);
  const std::pair<GossipMessage, std::vector<GossipAction>> reply =
      this->gossip->OnRequest(request.value(), this->source(), Now());
  this->Apply(reply.second);
  Json::Value result;
  result["gossip"] = GossipMessageToJson(reply.first, this->document());
  result["clock_ms"] = Json::Int64(Clock().count());
  for (const std::pair<const std::string, SectionCallbacks>& section :
       this->sections) {
    result[section.first] = section.second.source();
  }
  return result;
}

Json::Value PeerService::ServeReport() {
  Json::Value result;
  result["control"] = PeerReportToJson(this->source(), this->document());
  result["clock_ms"] = Json::Int64(Clock().count());
  return result;
}

Json::Value PeerService::ServeProbe(const Json::Value& params) {
  if (!params["target"].isString() || !params["origin"].isString() ||
      !params["exchange"].isUInt64()) {
    throw RpcFailure{kInvalidParams, "malformed probe"};
  }
  const std::string origin = params["origin"].asString();
  const std::uint64_t exchange = params["exchange"].asUInt64();
  this->context->rpc->Call(
      params["target"].asString(), "peer.report",
      Json::Value(Json::objectValue), kProbeTimeout,
      [this, origin, exchange](const Result<Json::Value>& reply) {
        Json::Value answer;
        answer["exchange"] = Json::UInt64(exchange);
        answer["reached"] = reply.ok();
        this->context->rpc->Call(origin, "peer.probed", answer, kProbeTimeout,
                                 [](const Result<Json::Value>&) {});
      });
  return Json::Value(Json::objectValue);
}

Json::Value PeerService::ServeProbed(const Json::Value& params) {
  if (!params["exchange"].isUInt64() || !params["reached"].isBool()) {
    throw RpcFailure{kInvalidParams, "malformed probe answer"};
  }
  this->Apply(this->gossip->OnProbeAnswer(params["exchange"].asUInt64(),
                                          params["reached"].asBool()));
  return Json::Value(Json::objectValue);
}

std::vector<PeerService::Peer> PeerService::Live() const {
  std::vector<Peer> live;
  for (const std::pair<const std::string, Peer>& entry : this->peers) {
    if (this->IsLive(entry.second)) {
      live.push_back(entry.second);
    }
  }
  return live;
}

std::vector<EntryName> PeerService::LiveIn(const ZoneName& zone) const {
  std::vector<EntryName> names;
  if (this->context->zone == zone) {
    names.push_back(this->context->self);
  }
  for (const std::pair<const std::string, Peer>& entry : this->peers) {
    if (entry.second.zone == zone && this->IsLive(entry.second)) {
      names.push_back(entry.second.name);
    }
  }
  return names;
}

std::vector<EntryName> PeerService::LiveNames() const {
  std::vector<EntryName> names = {this->context->self};
  for (const std::pair<const std::string, Peer>& entry : this->peers) {
    if (this->IsLive(entry.second)) {
      names.push_back(entry.second.name);
    }
  }
  return names;
}

std::optional<std::string> PeerService::AddressOf(const EntryName& name) const {
  const std::optional<Peer> peer = this->Find(name);
  return peer ? std::optional<std::string>(peer->address) : std::nullopt;
}

std::optional<PeerService::Peer> PeerService::Find(
    const EntryName& name) const {
  for (const std::pair<const std::string, Peer>& entry : this->peers) {
    if (entry.second.name == name) {
      return entry.second;
    }
  }
  return std::nullopt;
}

bool PeerService::IsLive(const Peer& peer) const {
  const Member* const member = this->gossip->members().Find(peer.name);
  return member != nullptr && member->info.state == MemberState::kAlive &&
         member->reachability == Reachability::kDirect;
}

void PeerService::RequestReport(const EntryName& name) {
  const Member* const member = this->gossip->members().Find(name);
  if (member != nullptr) {
    this->RequestReportFrom(member->info.address);
  }
}

Milliseconds PeerService::Clock() {
  return std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch());
}

void PeerService::Apply(const std::vector<GossipAction>& actions) {
  for (const GossipAction& action : actions) {
    this->Apply(action);
  }
}

void PeerService::Apply(const GossipAction& action) {
  if (const SendGossip* const send = std::get_if<SendGossip>(&action)) {
    this->Exchange(*send);
  } else if (const AskProbe* const ask = std::get_if<AskProbe>(&action)) {
    this->Probe(*ask);
  } else {
    const MemberChanged& changed = std::get<MemberChanged>(action);
    CLOG(INFO, kMembershipLog)
        << "member=" << changed.info.name << " zone=" << changed.info.zone
        << " state=" << MemberStateName(changed.info.state)
        << " direct=" << (changed.reachability == Reachability::kDirect);
    // The report of a new member is requested immediately, because the member
    // is not used until it has replied to this instance.
    if (changed.info.state == MemberState::kAlive &&
        changed.info.name != this->context->self &&
        !this->Find(changed.info.name)) {
      this->RequestReportFrom(changed.info.address);
    }
  }
}

void PeerService::Exchange(const SendGossip& send) {
  const MonotonicTime sent = Now();
  const Json::Value message =
      GossipMessageToJson(send.message, this->document());
  this->context->rpc->Call(
      send.address, "peer.exchange", message, kRequestTimeout,
      [this, sent, exchange = send.exchange,
       address = send.address](const Result<Json::Value>& reply) {
        ObserveExchange(*this->context, this->members(), address, sent,
                        reply.ok());
        if (!reply.ok()) {
          ++this->context->metrics->Counter("daisyroad_peer_failures_total");
          CLOG(DEBUG, kMembershipLog) << reply.error().ToString();
          return;
        }
        const Result<GossipMessage> decoded_reply =
            GossipMessageFromJson(reply.value()["gossip"], this->document());
        if (!decoded_reply.ok()) {
          CLOG(WARNING, kMembershipLog) << decoded_reply.error().ToString();
          return;
        }
        this->OnReply(address, decoded_reply.value().control, reply.value(),
                      sent);
        this->Apply(
            this->gossip->OnReply(exchange, decoded_reply.value(), Now()));
        for (const std::pair<const std::string, SectionCallbacks>& section :
             this->sections) {
          section.second.handler(decoded_reply.value().control.name,
                                 reply.value()[section.first]);
        }
      });
}

void PeerService::Probe(const AskProbe& ask) {
  Json::Value params;
  params["exchange"] = Json::UInt64(ask.exchange);
  params["target"] = ask.target_address;
  params["origin"] = this->context->settings.peers_address;
  this->context->rpc->Call(ask.helper_address, "peer.probe", params,
                           kProbeTimeout, [](const Result<Json::Value>&) {});
}

void PeerService::RequestReportFrom(const std::string& address) {
  const MonotonicTime sent = Now();
  this->context->rpc->Call(
      address, "peer.report", Json::Value(Json::objectValue), kRequestTimeout,
      [this, address, sent](const Result<Json::Value>& reply) {
        if (!reply.ok()) {
          return;
        }
        const Result<PeerReport> report =
            PeerReportFromJson(reply.value()["control"], this->document());
        if (report.ok()) {
          this->OnReply(address, report.value(), reply.value(), sent);
        }
      });
}

void PeerService::OnReply(const std::string& address,
                          const PeerReport& report,
                          const Json::Value& reply,
                          MonotonicTime sent) {
  if (!reply["clock_ms"].isInt64()) {
    return;
  }
  Peer& peer = this->peers[address];
  peer.name = report.name;
  peer.zone = report.zone;
  peer.address = address;
  peer.report = report;
  peer.replied_at = Now();
  peer.clock = Milliseconds(reply["clock_ms"].asInt64());
  this->handler(report, sent);
}

}  // namespace daisyroad
