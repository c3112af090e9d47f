#include "Core/Control/control_document.h"

#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/json.h"
#include "Core/Control/control_document_builder.h"

namespace daisyroad {
namespace {

using PartTexts = std::map<PartDigest, std::string>;

Result<std::string> FindPart(const ControlHead& head,
                             const PartTexts& texts,
                             ControlPart part) {
  const std::string name = ControlPartName(part);
  const auto digest = head.parts.find(part);
  if (digest == head.parts.end()) {
    return Error{Errc::kInvalidArgument, "control.part", "",
                 "the head has no digest for part " + name};
  }
  const auto text = texts.find(digest->second);
  if (text == texts.end()) {
    return Error{Errc::kNotFound, "control.part", "",
                 "part " + name + " is missing"};
  }
  if (Sha256Hex(text->second) != digest->second.str()) {
    return Error{Errc::kProtocol, "control.part", "",
                 "part " + name + " does not match its digest"};
  }
  return text->second;
}

Result<Json::Value> FindJsonPart(const ControlHead& head,
                                 const PartTexts& texts,
                                 ControlPart part) {
  const Result<std::string> text = FindPart(head, texts, part);
  if (!text) {
    return text.error();
  }
  return ParseJson(text.value());
}

Json::Value ZonesToJson(const std::set<ZoneName>& zones) {
  Json::Value list(Json::arrayValue);
  for (const ZoneName& zone : zones) {
    list.append(zone.str());
  }
  return list;
}

Result<std::set<ZoneName>> ZonesFromJson(const Json::Value& list) {
  std::set<ZoneName> zones;
  if (!list.isArray()) {
    return Error{Errc::kInvalidArgument, "control.zones_out", "",
                 "the zones out of service must be a list"};
  }
  for (const Json::Value& item : list) {
    if (!item.isString()) {
      return Error{Errc::kInvalidArgument, "control.zones_out", "",
                   "a zone must be a string"};
    }
    zones.insert(ZoneName(item.asString()));
  }
  return zones;
}

}  // namespace

std::string ControlDocument::PartText(ControlPart part) const {
  switch (part) {
    case ControlPart::kDeclaration:
      return this->declaration_text;
    case ControlPart::kKeys:
      return WriteJson(this->key_table.ToJson());
    case ControlPart::kZonesOut:
      return WriteJson(ZonesToJson(this->excluded_zones));
    case ControlPart::kRoster:
      return WriteJson(this->current_roster.ToJson());
  }
  return "";
}

std::map<PartDigest, std::string> ControlDocument::Parts() const {
  std::map<PartDigest, std::string> parts;
  for (const ControlPart part : kControlParts) {
    std::string text = this->PartText(part);
    PartDigest digest(Sha256Hex(text));
    parts.emplace(std::move(digest), std::move(text));
  }
  return parts;
}

ControlHead ControlDocument::Head() const {
  ControlHead head;
  head.version = this->version_number;
  head.roster_epoch = this->roster_epoch_number;
  for (const ControlPart part : kControlParts) {
    head.parts[part] = PartDigest(Sha256Hex(this->PartText(part)));
  }
  head.recent = this->recent_changes;
  return head;
}

Result<ControlDocument> ControlDocument::FromParts(const ControlHead& head,
                                                   const PartTexts& texts) {
  const Result<std::string> declaration =
      FindPart(head, texts, ControlPart::kDeclaration);
  if (!declaration) {
    return declaration.error();
  }
  const Result<Json::Value> keys_json =
      FindJsonPart(head, texts, ControlPart::kKeys);
  if (!keys_json) {
    return keys_json.error();
  }
  Result<KeyTable> keys = KeyTable::FromJson(keys_json.value());
  if (!keys) {
    return keys.error();
  }
  const Result<Json::Value> zones_json =
      FindJsonPart(head, texts, ControlPart::kZonesOut);
  if (!zones_json) {
    return zones_json.error();
  }
  Result<std::set<ZoneName>> zones = ZonesFromJson(zones_json.value());
  if (!zones) {
    return zones.error();
  }
  const Result<Json::Value> roster_json =
      FindJsonPart(head, texts, ControlPart::kRoster);
  if (!roster_json) {
    return roster_json.error();
  }
  Result<Roster> roster = Roster::FromJson(roster_json.value());
  if (!roster) {
    return roster.error();
  }
  ControlDocument document;
  document.version_number = head.version;
  document.roster_epoch_number = head.roster_epoch;
  document.declaration_text = declaration.value();
  document.key_table = std::move(keys).value();
  document.excluded_zones = std::move(zones).value();
  document.current_roster = std::move(roster).value();
  document.recent_changes = head.recent;
  return document;
}

ControlDocumentBuilder::ControlDocumentBuilder(ControlDocument base)
    : document(std::move(base)) {}

ControlDocumentBuilder& ControlDocumentBuilder::Declaration(std::string text) {
  this->document.declaration_text = std::move(text);
  return *this;
}

ControlDocumentBuilder& ControlDocumentBuilder::Keys(KeyTable keys) {
  this->document.key_table = std::move(keys);
  return *this;
}

ControlDocumentBuilder& ControlDocumentBuilder::ZonesOut(
    std::set<ZoneName> zones) {
  this->document.excluded_zones = std::move(zones);
  return *this;
}

ControlDocumentBuilder& ControlDocumentBuilder::Members(RosterMembers members) {
  this->document.current_roster.previous =
      std::move(this->document.current_roster.members);
  this->document.current_roster.members = std::move(members);
  ++this->document.roster_epoch_number;
  return *this;
}

ControlDocumentBuilder& ControlDocumentBuilder::NextVersion(
    const ChangeId& change) {
  ++this->document.version_number;
  std::vector<RecordedChange>& recent = this->document.recent_changes;
  recent.push_back({this->document.version_number, change});
  if (recent.size() > ControlHead::kRecentChanges) {
    recent.erase(recent.begin());
  }
  return *this;
}

}  // namespace daisyroad
