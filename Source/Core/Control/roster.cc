#include "Core/Control/roster.h"

#include <utility>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

Json::Value MembersToJson(const RosterMembers& members) {
  Json::Value list(Json::arrayValue);
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    Json::Value item(Json::objectValue);
    item["name"] = entry.second.name.str();
    item["zone"] = entry.second.zone.str();
    item["address"] = entry.second.address;
    list.append(item);
  }
  return list;
}

Result<RosterMembers> MembersFromJson(const Json::Value& list) {
  if (!list.isArray()) {
    return Error{Errc::kInvalidArgument, "roster.decode", "",
                 "the members must be a list"};
  }
  RosterMembers members;
  for (const Json::Value& item : list) {
    const Result<std::string> name = JsonString(item, "name");
    const Result<std::string> zone = JsonString(item, "zone");
    const Result<std::string> address = JsonString(item, "address");
    for (const Result<std::string>* field : {&name, &zone, &address}) {
      if (!*field) {
        return field->error();
      }
    }
    const RosterMember member{EntryName(name.value()), ZoneName(zone.value()),
                              address.value()};
    if (!members.emplace(member.name, member).second) {
      return Error{Errc::kInvalidArgument, "roster.decode", "",
                   "member " + name.value() + " is listed twice"};
    }
  }
  return members;
}

struct ZoneSelection {
  std::size_t members = 0;
  std::size_t selected = 0;
};

std::map<ZoneName, ZoneSelection> CountZones(
    const RosterMembers& members,
    const std::set<EntryName>& selected) {
  std::map<ZoneName, ZoneSelection> zones;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    ZoneSelection& zone = zones[entry.second.zone];
    ++zone.members;
    zone.selected += selected.count(entry.first);
  }
  return zones;
}

bool HasMajority(const std::map<ZoneName, ZoneSelection>& zones) {
  std::size_t members = 0;
  std::size_t selected = 0;
  for (const std::pair<const ZoneName, ZoneSelection>& zone : zones) {
    members += zone.second.members;
    selected += zone.second.selected;
  }
  return selected * 2 > members;
}

bool ExcludesOutageAmong(const RosterMembers& members,
                         const std::set<EntryName>& informed) {
  const std::map<ZoneName, ZoneSelection> zones = CountZones(members, informed);
  if (members.empty() || HasMajority(zones)) {
    return true;
  }
  for (const std::pair<const ZoneName, ZoneSelection>& zone : zones) {
    if (zone.second.selected == zone.second.members) {
      return true;
    }
  }
  return false;
}

}  // namespace

Json::Value Roster::ToJson() const {
  Json::Value value(Json::objectValue);
  value["members"] = MembersToJson(this->members);
  value["previous"] = MembersToJson(this->previous);
  return value;
}

Result<Roster> Roster::FromJson(const Json::Value& value) {
  if (!value.isObject()) {
    return Error{Errc::kInvalidArgument, "roster.decode", "",
                 "the roster must be an object"};
  }
  Result<RosterMembers> members = MembersFromJson(value["members"]);
  if (!members) {
    return members.error();
  }
  Result<RosterMembers> previous = MembersFromJson(value["previous"]);
  if (!previous) {
    return previous.error();
  }
  return Roster{std::move(members).value(), std::move(previous).value()};
}

bool SupportsOutage(const RosterMembers& members,
                    const std::set<EntryName>& supporters) {
  const std::map<ZoneName, ZoneSelection> zones =
      CountZones(members, supporters);
  for (const std::pair<const ZoneName, ZoneSelection>& zone : zones) {
    if (zone.second.selected == 0) {
      return false;
    }
  }
  return HasMajority(zones);
}

bool ExcludesOutage(const Roster& roster, const std::set<EntryName>& informed) {
  return ExcludesOutageAmong(roster.members, informed) &&
         ExcludesOutageAmong(roster.previous, informed);
}

}  // namespace daisyroad
