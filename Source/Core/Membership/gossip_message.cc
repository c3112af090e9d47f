#include "Core/Membership/gossip_message.h"

#include <utility>

#include "Core/Common/json.h"
#include "Core/Control/peer_report_codec.h"

namespace daisyroad {
namespace {

Json::Value InfoToJson(const MemberInfo& info) {
  // An array, because the field names of an object would make up half of the
  // message.
  Json::Value value(Json::arrayValue);
  value.append(info.name.str());
  value.append(info.zone.str());
  value.append(info.address);
  value.append(Json::UInt64(info.incarnation));
  value.append(static_cast<int>(info.state));
  return value;
}

Result<MemberInfo> InfoFromJson(const Json::Value& value) {
  if (!value.isArray() || value.size() != 5 || !value[0].isString() ||
      !value[1].isString() || !value[2].isString() || !value[3].isUInt64() ||
      !value[4].isInt() || value[4].asInt() < 0 ||
      value[4].asInt() > static_cast<int>(MemberState::kRemoved) ||
      value[0].asString().empty()) {
    return Error{Errc::kInvalidArgument, "gossip.decode", "",
                 "a member must be [name, zone, address, incarnation, state]"};
  }
  return MemberInfo{EntryName(value[0].asString()),
                    ZoneName(value[1].asString()), value[2].asString(),
                    value[3].asUInt64(),
                    static_cast<MemberState>(value[4].asInt())};
}

}  // namespace

Json::Value GossipMessageToJson(const GossipMessage& message,
                                const ControlDocument& document) {
  Json::Value value(Json::objectValue);
  value["sender"] = InfoToJson(message.sender);
  // The name and zone in the report repeat the sender. Omitting them makes a
  // message without updates a quarter smaller.
  Json::Value& control = value["control"];
  control = PeerReportToJson(message.control, document);
  control.removeMember("name");
  control.removeMember("zone");
  Json::Value& updates = value["updates"];
  updates = Json::Value(Json::arrayValue);
  for (const MemberInfo& info : message.updates) {
    updates.append(InfoToJson(info));
  }
  if (message.wants_all) {
    value["wants_all"] = true;
  }
  return value;
}

Result<GossipMessage> GossipMessageFromJson(const Json::Value& value,
                                            const ControlDocument& document) {
  if (!value.isObject() || !value["updates"].isArray()) {
    return Error{Errc::kInvalidArgument, "gossip.decode", "",
                 "the message must be an object with a list \"updates\""};
  }
  GossipMessage message;
  Result<MemberInfo> sender = InfoFromJson(value["sender"]);
  if (!sender) {
    return sender.error();
  }
  message.sender = std::move(sender).value();
  if (!value["control"].isObject()) {
    return Error{Errc::kInvalidArgument, "gossip.decode",
                 message.sender.name.str(), "\"control\" must be an object"};
  }
  Json::Value report = value["control"];
  report["name"] = message.sender.name.str();
  report["zone"] = message.sender.zone.str();
  Result<PeerReport> control = PeerReportFromJson(report, document);
  if (!control) {
    return control.error();
  }
  message.control = std::move(control).value();
  for (const Json::Value& item : value["updates"]) {
    Result<MemberInfo> info = InfoFromJson(item);
    if (!info) {
      return info.error();
    }
    message.updates.push_back(std::move(info).value());
  }
  message.wants_all =
      value["wants_all"].isBool() && value["wants_all"].asBool();
  return message;
}

}  // namespace daisyroad
