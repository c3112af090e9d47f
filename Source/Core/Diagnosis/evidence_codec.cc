#include "Core/Diagnosis/evidence_codec.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Diagnosis/observation_fields.h"

namespace daisyroad {
namespace {

// Must be in the order of the alternatives of ObservationDetail.
constexpr std::array<const char*, std::variant_size_v<ObservationDetail>>
    kKindNames = {
        "peer_message",       "queue_delay",      "refusal",
        "refused_connection", "short_deadline",   "silent_connection",
        "store_sample",       "task_timeline",    "configuration_adopted",
        "worker_contact",     "worker_restarted", "worker_results",
        "zone_probe"};

constexpr int kLastFate = static_cast<int>(MessageFate::kArrived);
constexpr int kLastReason = static_cast<int>(RefusalReason::kZone);
constexpr int kLastEffect = static_cast<int>(ConfigurationEffect::kOther);

Json::Int64 AgeOf(MonotonicTime at, MonotonicTime now) {
  return Json::Int64(
      std::chrono::duration_cast<Milliseconds>(now - at).count());
}

class FieldWriter {
 public:
  FieldWriter(Json::Value* object, MonotonicTime now)
      : object(object), now(now) {}

  template <typename Tag>
  void operator()(const char* name, const StrongString<Tag>& value) {
    (*this->object)[name] = value.str();
  }
  void operator()(const char* name, const std::string& value) {
    (*this->object)[name] = value;
  }
  void operator()(const char* name, bool value) {
    (*this->object)[name] = value;
  }
  void operator()(const char* name, std::uint32_t value) {
    (*this->object)[name] = Json::UInt64(value);
  }
  void operator()(const char* name, std::uint64_t value) {
    (*this->object)[name] = Json::UInt64(value);
  }
  void operator()(const char* name, Milliseconds value) {
    (*this->object)[name] = Json::Int64(value.count());
  }
  void operator()(const char* name, MonotonicTime value) {
    (*this->object)[name] = AgeOf(value, this->now);
  }
  void operator()(const char* name, const std::optional<MonotonicTime>& value) {
    if (value) {
      (*this)(name, *value);
    }
  }
  template <typename Enum>
  requires std::is_enum_v<Enum>
  void operator()(const char* name, Enum value) {
    (*this->object)[name] = static_cast<int>(value);
  }

 private:
  Json::Value* object;
  MonotonicTime now;
};

class FieldReader {
 public:
  FieldReader(const Json::Value* object, MonotonicTime now, bool* is_valid)
      : object(object), now(now), is_valid(is_valid) {}

  template <typename Tag>
  void operator()(const char* name, StrongString<Tag>& value) {
    std::string text;
    (*this)(name, text);
    value = StrongString<Tag>(std::move(text));
  }
  void operator()(const char* name, std::string& value) {
    if (this->Require((*this->object)[name].isString())) {
      value = (*this->object)[name].asString();
    }
  }
  void operator()(const char* name, bool& value) {
    if (this->Require((*this->object)[name].isBool())) {
      value = (*this->object)[name].asBool();
    }
  }
  void operator()(const char* name, std::uint32_t& value) {
    if (this->Require((*this->object)[name].isUInt())) {
      value = (*this->object)[name].asUInt();
    }
  }
  void operator()(const char* name, std::uint64_t& value) {
    if (this->Require((*this->object)[name].isUInt64())) {
      value = (*this->object)[name].asUInt64();
    }
  }
  // Accepts only the range of int; a larger count would overflow a Duration.
  void operator()(const char* name, Milliseconds& value) {
    if (this->Require((*this->object)[name].isInt())) {
      value = Milliseconds((*this->object)[name].asInt());
    }
  }
  void operator()(const char* name, MonotonicTime& value) {
    Milliseconds age{0};
    (*this)(name, age);
    value = this->now - age;
  }
  void operator()(const char* name, std::optional<MonotonicTime>& value) {
    if (this->object->isMember(name)) {
      (*this)(name, value.emplace());
    }
  }
  void operator()(const char* name, MessageFate& value) {
    this->ReadEnum(name, value, kLastFate);
  }
  void operator()(const char* name, RefusalReason& value) {
    this->ReadEnum(name, value, kLastReason);
  }
  void operator()(const char* name, ConfigurationEffect& value) {
    this->ReadEnum(name, value, kLastEffect);
  }

 private:
  bool Require(bool condition) {
    *this->is_valid = *this->is_valid && condition;
    return condition;
  }
  template <typename Enum>
  void ReadEnum(const char* name, Enum& value, int last_value) {
    const Json::Value& number = (*this->object)[name];
    if (this->Require(number.isInt() && number.asInt() >= 0 &&
                      number.asInt() <= last_value)) {
      value = static_cast<Enum>(number.asInt());
    }
  }

  const Json::Value* object;
  MonotonicTime now;
  bool* is_valid;
};

Json::Value ObservationToJson(const Observation& observation,
                              MonotonicTime now) {
  Json::Value object;
  object["kind"] = kKindNames[observation.detail.index()];
  object["age"] = AgeOf(observation.at, now);
  std::visit(
      [&object, now](const auto& detail) {
        VisitFields(detail, FieldWriter(&object, now));
      },
      observation.detail);
  return object;
}

template <std::size_t Index = 0>
std::optional<ObservationDetail> DefaultDetailOf(const std::string& kind) {
  if constexpr (Index < std::variant_size_v<ObservationDetail>) {
    if (kind == kKindNames[Index]) {
      return ObservationDetail(std::in_place_index<Index>);
    }
    return DefaultDetailOf<Index + 1>(kind);
  } else {
    return std::nullopt;
  }
}

Error MalformedEvidence(const std::string& message) {
  return Error{Errc::kInvalidArgument, "diagnosis.evidence", "", message};
}

}  // namespace

Json::Value EvidenceToJson(const std::vector<Observation>& observations,
                           MonotonicTime now,
                           std::size_t max_bytes) {
  Json::Value list(Json::arrayValue);
  std::size_t bytes = 2;
  for (auto it = observations.rbegin(); it != observations.rend(); ++it) {
    const Json::Value object = ObservationToJson(*it, now);
    bytes += WriteJson(object).size() + 1;
    if (bytes > max_bytes) {
      break;
    }
    list.append(object);
  }
  return list;
}

Result<std::vector<Observation>> EvidenceFromJson(const Json::Value& list,
                                                  MonotonicTime now) {
  if (!list.isArray()) {
    return MalformedEvidence("expected an array of observations");
  }
  std::vector<Observation> observations;
  for (const Json::Value& object : list) {
    if (!object.isObject() || !object["kind"].isString() ||
        !object["age"].isInt()) {
      return MalformedEvidence(
          "an observation requires a string \"kind\" and an integer \"age\"");
    }
    std::optional<ObservationDetail> detail =
        DefaultDetailOf(object["kind"].asString());
    if (!detail) {
      continue;
    }
    bool is_valid = true;
    std::visit(
        [&object, now, &is_valid](auto& item) {
          VisitFields(item, FieldReader(&object, now, &is_valid));
        },
        *detail);
    if (!is_valid) {
      return MalformedEvidence(
          "missing or invalid field in an observation of kind " +
          object["kind"].asString());
    }
    observations.push_back(
        {now - Milliseconds(object["age"].asInt()), std::move(*detail)});
  }
  return observations;
}

}  // namespace daisyroad
