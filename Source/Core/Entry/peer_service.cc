#include "Core/Entry/peer_service.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Entry/entry_context.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kPeriod{500};
constexpr Milliseconds kTimeout{1000};
// Three missed exchanges; design 3.8.
constexpr Milliseconds kSuspicion{1500};
constexpr int kInvalidParams = -32602;

Json::Value ToJson(const PeerReport& report) {
  Json::Value value;
  value["name"] = report.name.str();
  value["zone"] = report.zone.str();
  value["version"] = Json::UInt64(report.version);
  value["known_version"] = Json::UInt64(report.known_version);
  value["reaches_store"] = report.reaches_store;
  if (report.confirmation_age) {
    value["age_us"] =
        Json::Int64(std::chrono::duration_cast<std::chrono::microseconds>(
                        *report.confirmation_age)
                        .count());
  }
  Json::Value support(Json::objectValue);
  for (const std::pair<const EntryName, Duration>& entry :
       report.outage_support) {
    support[entry.first.str()] = Json::Int64(
        std::chrono::duration_cast<std::chrono::microseconds>(entry.second)
            .count());
  }
  value["support_us"] = support;
  return value;
}

std::optional<PeerReport> FromJson(const Json::Value& value) {
  if (!value.isObject() || !value["name"].isString() ||
      !value["zone"].isString() || !value["version"].isUInt64() ||
      !value["known_version"].isUInt64() || !value["reaches_store"].isBool() ||
      !value["support_us"].isObject()) {
    return std::nullopt;
  }
  PeerReport report;
  report.name = EntryName(value["name"].asString());
  report.zone = ZoneName(value["zone"].asString());
  report.version = value["version"].asUInt64();
  report.known_version = value["known_version"].asUInt64();
  report.reaches_store = value["reaches_store"].asBool();
  if (value["age_us"].isInt64()) {
    report.confirmation_age =
        std::chrono::microseconds(value["age_us"].asInt64());
  }
  for (const std::string& name : value["support_us"].getMemberNames()) {
    if (!value["support_us"][name].isInt64()) {
      return std::nullopt;
    }
    report.outage_support[EntryName(name)] =
        std::chrono::microseconds(value["support_us"][name].asInt64());
  }
  return report;
}

}  // namespace

PeerService::PeerService(EntryContext* context) : context(context) {}

void PeerService::AddSection(const std::string& name,
                             Section section_source,
                             SectionHandler section_handler) {
  this->sections[name] =
      SectionHooks{std::move(section_source), std::move(section_handler)};
}

void PeerService::Start(ReportSource report_source,
                        ReplyHandler reply_handler) {
  this->source = std::move(report_source);
  this->handler = std::move(reply_handler);
  this->Round();
  this->context->loop->Every(kPeriod, [this]() { this->Round(); });
}

Json::Value PeerService::Exchange(const Json::Value& params) {
  if (!FromJson(params)) {
    throw RpcFailure{kInvalidParams, "malformed report"};
  }
  Json::Value result = ToJson(this->source());
  for (const std::pair<const std::string, SectionHooks>& section :
       this->sections) {
    result[section.first] = section.second.source();
  }
  result["clock_ms"] = Json::Int64(Clock().count());
  return result;
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
  for (const Peer& peer : this->Live()) {
    if (peer.zone == zone) {
      names.push_back(peer.name);
    }
  }
  return names;
}

std::vector<EntryName> PeerService::LiveNames() const {
  std::vector<EntryName> names = {this->context->self};
  for (const Peer& peer : this->Live()) {
    names.push_back(peer.name);
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
  return Now() - peer.replied_at <= kSuspicion;
}

void PeerService::AskNow(const EntryName& name) {
  const std::optional<std::string> address = this->AddressOf(name);
  if (address) {
    this->Ask(*address);
  }
}

Milliseconds PeerService::Clock() {
  return std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch());
}

void PeerService::Round() {
  for (const Seed& seed : this->context->settings.seeds) {
    if (seed.address != this->context->settings.peers_address) {
      this->Ask(seed.address);
    }
  }
}

void PeerService::Ask(const std::string& address) {
  const MonotonicTime sent = Now();
  this->context->rpc->Call(
      address, "peer.exchange", ToJson(this->source()), kTimeout,
      [this, address, sent](const Result<Json::Value>& reply) {
        if (!reply.ok()) {
          CLOG(DEBUG, kMembershipLog) << reply.error().ToString();
          return;
        }
        const std::optional<PeerReport> report = FromJson(reply.value());
        if (!report || !reply.value()["clock_ms"].isInt64()) {
          return;
        }
        Peer& peer = this->peers[address];
        peer.name = report->name;
        peer.zone = report->zone;
        peer.address = address;
        peer.report = *report;
        peer.request_sent = sent;
        peer.replied_at = Now();
        peer.round_trip = peer.replied_at - sent;
        peer.clock = Milliseconds(reply.value()["clock_ms"].asInt64());
        this->handler(*report, sent);
        for (const std::pair<const std::string, SectionHooks>& section :
             this->sections) {
          section.second.handler(report->name, reply.value()[section.first]);
        }
      });
}

}  // namespace daisyroad
