#include "Core/Claims/claim_record.h"

#include <array>
#include <cstdio>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

constexpr std::array<std::string_view, 4> kStateNames = {"open", "not_run",
                                                         "ran", "unknown"};

Error InvalidBatch(const std::string& detail) {
  return Error{Errc::kInvalidArgument, "claims.parse", "", detail};
}

Result<ClaimState> ParseState(const std::string& text) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == text) {
      return static_cast<ClaimState>(i);
    }
  }
  return InvalidBatch("unknown claim state: " + text);
}

Result<ClaimRecord> ParseRecord(const Json::Value& value) {
  const Result<std::string> key = JsonString(value, "key");
  const Result<std::string> task = JsonString(value, "task");
  const Result<std::string> name = JsonString(value, "state");
  for (const Result<std::string>* member : {&key, &task, &name}) {
    if (!member->ok()) {
      return member->error();
    }
  }
  const Result<ClaimState> state = ParseState(name.value());
  if (!state) {
    return state.error();
  }
  return ClaimRecord{key.value(), TaskId(task.value()), state.value()};
}

}  // namespace

std::string ClaimKey(const LogName& log, std::uint64_t seq) {
  std::array<char, 24> digits{};
  std::snprintf(digits.data(), digits.size(), "%012llu",
                static_cast<unsigned long long>(seq));
  return "claims/" + std::to_string(log.epoch) + "/" + log.incarnation.str() +
         "/" + digits.data();
}

std::string FormatClaimBatch(const ClaimBatch& batch) {
  Json::Value value;
  value["writer"] = batch.writer.str();
  value["seal"] = batch.seal;
  value["clean"] = batch.clean;
  value["records"] = Json::Value(Json::arrayValue);
  for (const ClaimRecord& record : batch.records) {
    Json::Value item;
    item["key"] = record.key;
    item["task"] = record.task.str();
    item["state"] =
        std::string(kStateNames[static_cast<std::size_t>(record.state)]);
    value["records"].append(item);
  }
  return WriteJson(value);
}

Result<ClaimBatch> ParseClaimBatch(std::string_view text) {
  const Result<Json::Value> parsed = ParseJson(text);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& value = parsed.value();
  const Result<std::string> writer = JsonString(value, "writer");
  if (!writer) {
    return writer.error();
  }
  if (!value["seal"].isBool() || !value["clean"].isBool() ||
      !value["records"].isArray()) {
    return InvalidBatch(
        "\"seal\" and \"clean\" must be booleans, \"records\" an array");
  }
  ClaimBatch batch{EntryName(writer.value()),
                   value["seal"].asBool(),
                   value["clean"].asBool(),
                   {}};
  for (const Json::Value& item : value["records"]) {
    const Result<ClaimRecord> record = ParseRecord(item);
    if (!record) {
      return record.error();
    }
    batch.records.push_back(record.value());
  }
  return batch;
}

}  // namespace daisyroad
