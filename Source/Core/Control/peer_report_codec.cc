#include "Core/Control/peer_report_codec.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

constexpr char kNoSupport = '-';
constexpr char kZeroAge = '0';
constexpr std::int64_t kMaximumSteps = 70;  // encoded as 'v'
constexpr Milliseconds kStep{100};

std::string EncodeSupport(const std::map<EntryName, Duration>& support,
                          const RosterMembers& members) {
  std::string text;
  for (const std::pair<const EntryName, RosterMember>& member : members) {
    const auto found = support.find(member.first);
    if (found == support.end()) {
      text.push_back(kNoSupport);
      continue;
    }
    const std::int64_t steps =
        (found->second + kStep - Duration(1)) / Duration(kStep);
    text.push_back(steps > kMaximumSteps ? kNoSupport
                                         : static_cast<char>(kZeroAge + steps));
  }
  return text;
}

std::map<EntryName, Duration> DecodeSupport(const std::string& text,
                                            const RosterMembers& members) {
  std::map<EntryName, Duration> support;
  if (text.size() != members.size()) {
    return support;
  }
  auto encoded_age = text.begin();
  for (const std::pair<const EntryName, RosterMember>& member : members) {
    const int steps = *encoded_age - kZeroAge;
    ++encoded_age;
    if (steps >= 0 && steps <= kMaximumSteps) {
      support[member.first] = steps * kStep;
    }
  }
  return support;
}

}  // namespace

Json::Value PeerReportToJson(const PeerReport& report,
                             const ControlDocument& document) {
  Json::Value value(Json::objectValue);
  value["name"] = report.name.str();
  value["zone"] = report.zone.str();
  value["version"] = Json::UInt64(report.version);
  value["known"] = Json::UInt64(report.known_version);
  value["store"] = report.reaches_store;
  if (report.confirmation_age) {
    value["age_ms"] = Json::Int64(
        std::chrono::ceil<Milliseconds>(*report.confirmation_age).count());
  }
  if (!report.outage_support.empty()) {
    value["epoch"] = Json::UInt64(document.roster_epoch());
    value["support"] =
        EncodeSupport(report.outage_support, document.roster().members);
  }
  return value;
}

Result<PeerReport> PeerReportFromJson(const Json::Value& value,
                                      const ControlDocument& document) {
  const Result<std::string> name = JsonString(value, "name");
  const Result<std::string> zone = JsonString(value, "zone");
  for (const Result<std::string>* text : {&name, &zone}) {
    if (!*text) {
      return text->error();
    }
  }
  const Result<std::int64_t> version = JsonInt(value, "version");
  const Result<std::int64_t> known = JsonInt(value, "known");
  for (const Result<std::int64_t>* number : {&version, &known}) {
    if (!*number) {
      return number->error();
    }
  }
  if (!value["store"].isBool() || version.value() < 0 ||
      known.value() < version.value()) {
    return Error{
        Errc::kInvalidArgument, "control.report", name.value(),
        "\"store\" must be a boolean, and \"version\" must be neither negative "
        "nor above \"known\""};
  }
  PeerReport report;
  report.name = EntryName(name.value());
  report.zone = ZoneName(zone.value());
  report.version = static_cast<std::uint64_t>(version.value());
  report.known_version = static_cast<std::uint64_t>(known.value());
  report.reaches_store = value["store"].asBool();
  if (value.isMember("age_ms")) {
    const Result<std::int64_t> age = JsonInt(value, "age_ms");
    if (!age) {
      return age.error();
    }
    // A negative age would extend the confirmation beyond the freshness bound,
    // and a huge one would overflow.
    if (age.value() < 0) {
      return Error{Errc::kInvalidArgument, "control.report", name.value(),
                   "\"age_ms\" must not be negative"};
    }
    constexpr std::int64_t kMaximumAge = 86'400'000;
    report.confirmation_age = Milliseconds(std::min(age.value(), kMaximumAge));
  }
  if (value["support"].isString() && value["epoch"].isUInt64() &&
      value["epoch"].asUInt64() == document.roster_epoch()) {
    report.outage_support =
        DecodeSupport(value["support"].asString(), document.roster().members);
  }
  return report;
}

}  // namespace daisyroad
