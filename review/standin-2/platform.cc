#include "platform.h"

#include <json/reader.h>
#include <json/writer.h>

#include <sstream>

namespace review {
namespace {

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1 << 20;
constexpr std::size_t kValueBytes = 1048576;

std::string EncodeBase64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      encoded.push_back(
          i + j > text.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63]);
    }
  }
  return encoded;
}

Response Reply(int status, const Json::Value& body) {
  return Response{status, ToText(body)};
}

Response Reply(int status) {
  return Reply(status, Json::Value(Json::objectValue));
}

}  // namespace

std::string ToText(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

Json::Value ToJson(const std::string& text) {
  Json::Value json(Json::objectValue);
  Json::CharReaderBuilder builder;
  std::istringstream stream(text);
  std::string errors;
  if (!Json::parseFromStream(builder, stream, &json, &errors)) {
    return Json::Value(Json::objectValue);
  }
  return json;
}

Platform::Platform(std::function<Json::Value()> machines)
    : machines(std::move(machines)) {
  this->server = std::make_unique<HttpServer>(
      [this](const Request& request) { return this->Handle(request); });
  this->ticker = std::thread([this]() {
    while (!this->stopping) {
      this->ExpireLeases();
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  });
}

Platform::~Platform() {
  this->stopping = true;
  this->changed.notify_all();
  this->ticker.join();
  this->server.reset();
}

void Platform::Put(const std::string& key, const Json::Value& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->revision;
  this->Write(key, EncodeBase64(ToText(value)), 0);
  this->changed.notify_all();
}

void Platform::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->revision;
  this->Erase(key);
  this->changed.notify_all();
}

Response Platform::Handle(const Request& request) {
  if (request.path == "/v1/machines") {
    return this->HandleMachines(request);
  }
  if (request.path == "/v1/kv-watch") {
    return this->Watch(request);
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (request.path == "/v1/kv-key") {
    const auto found = this->items.find(request.query.at("Key"));
    return found == this->items.end()
               ? Reply(404)
               : Reply(200, this->RowOf(found->first, found->second));
  }
  if (request.path == "/v1/kv-range") {
    return this->List(request);
  }
  if (request.path == "/v1/kv-txn") {
    return this->Commit(ToJson(request.body));
  }
  if (request.path.starts_with("/v1/kv-")) {
    return this->HandleLease(request);
  }
  // Machines have nothing to do in these cases.
  Json::Value busy;
  busy["Reason"] = "busy";
  return Reply(409, busy);
}

Response Platform::HandleMachines(const Request&) {
  Json::Value reply;
  reply["Machines"] = this->machines();
  reply["NextToken"] = Json::nullValue;
  return Reply(200, reply);
}

Response Platform::List(const Request& request) {
  const std::string prefix = request.query.at("Prefix");
  const std::string after =
      request.query.contains("After") ? request.query.at("After") : "";
  Json::Value reply;
  reply["items"] = Json::arrayValue;
  reply["HasMore"] = false;
  reply["StoreRevision"] = Json::Int64(this->revision);
  std::size_t bytes = 0;
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (reply["items"].size() >= kPageItems || bytes > kPageBytes) {
      reply["HasMore"] = true;
      break;
    }
    bytes += item.value.size();
    reply["items"].append(this->RowOf(key, item));
  }
  return Reply(200, reply);
}

Response Platform::Watch(const Request& request) {
  const std::string prefix = request.query.at("Prefix");
  const std::int64_t after = std::stoll(request.query.at("After"));
  const Clock::time_point until =
      Clock::now() +
      std::chrono::milliseconds(std::stoll(request.query.at("WaitMs")));
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    Json::Value reply;
    reply["events"] = Json::arrayValue;
    reply["StoreRevision"] = Json::Int64(this->revision);
    for (const Event& event : this->history) {
      if (event.item.revision > after && event.key.starts_with(prefix)) {
        Json::Value row = this->RowOf(event.key, event.item);
        if (event.is_removal) {
          row = Json::Value();
          row["Key"] = event.key;
          row["Revision"] = Json::Int64(event.item.revision);
          row["Tombstone"] = true;
        }
        reply["events"].append(row);
      }
    }
    if (!reply["events"].empty() || Clock::now() >= until) {
      return Reply(200, reply);
    }
    this->changed.wait_until(lock, until);
  }
  return Response();
}

Response Platform::Commit(const Json::Value& body) {
  bool holds = true;
  Json::Value conflict;
  conflict["items"] = Json::arrayValue;
  for (const Json::Value& row : body["ExpectedRev"]) {
    const auto found = this->items.find(row["Key"].asString());
    const bool is_absent = found == this->items.end();
    holds &=
        (is_absent ? 0 : found->second.revision) == row["Revision"].asInt64();
    if (!is_absent) {
      conflict["items"].append(this->RowOf(found->first, found->second));
    }
  }
  if (!holds) {
    return Reply(412, conflict);
  }
  for (const Json::Value& row : body["SetKeys"]) {
    const std::int64_t lease = row["Lease"].asInt64();
    if (lease != 0 && !this->leases.contains(lease)) {
      return Reply(404);
    }
    if (row["Value"].asString().size() > kValueBytes / 3 * 4) {
      return Reply(400);
    }
  }
  const bool is_change = !body["SetKeys"].empty() || !body["Delete"].empty();
  this->revision += is_change;
  for (const Json::Value& row : body["SetKeys"]) {
    this->Write(row["Key"].asString(), row["Value"].asString(),
                row["Lease"].asInt64());
  }
  for (const Json::Value& key : body["Delete"]) {
    this->Erase(key.asString());
  }
  this->changed.notify_all();
  Json::Value reply;
  reply["Revision"] = Json::Int64(this->revision);
  return Reply(200, reply);
}

Response Platform::HandleLease(const Request& request) {
  Json::Value reply;
  if (request.path == "/v1/kv-lease") {
    const std::int64_t ttl = ToJson(request.body)["TtlMs"].asInt64();
    const std::int64_t lease = this->next_lease++;
    this->leases[lease] =
        Lease{ttl, Clock::now() + std::chrono::milliseconds(ttl)};
    reply["Lease"] = Json::Int64(lease);
    reply["TtlMs"] = Json::Int64(ttl);
    return Reply(200, reply);
  }
  const std::int64_t id =
      std::stoll(request.path.substr(request.path.rfind('/') + 1));
  const auto found = this->leases.find(id);
  if (found == this->leases.end()) {
    return Reply(404);
  }
  if (request.method == "DELETE") {
    found->second.ends_at = Clock::now();
    return Reply(200);
  }
  found->second.ends_at =
      Clock::now() + std::chrono::milliseconds(found->second.ttl_ms);
  reply["TtlMs"] = Json::Int64(found->second.ttl_ms);
  return Reply(200, reply);
}

Json::Value Platform::RowOf(const std::string& key, const Item& item) const {
  Json::Value row;
  row["Key"] = key;
  row["Value"] = item.value;
  row["Revision"] = Json::Int64(item.revision);
  row["CreateRevision"] = Json::Int64(item.created);
  row["Lease"] = Json::Int64(item.lease);
  return row;
}

void Platform::Write(const std::string& key,
                     const std::string& value,
                     std::int64_t lease) {
  Item& item = this->items[key];
  item.value = value;
  item.revision = this->revision;
  item.created = item.created == 0 ? this->revision : item.created;
  item.lease = lease;
  this->history.push_back(Event{key, item, false});
}

void Platform::Erase(const std::string& key) {
  if (this->items.erase(key) > 0) {
    Item item;
    item.revision = this->revision;
    this->history.push_back(Event{key, item, true});
  }
}

void Platform::ExpireLeases() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (Clock::now() < lease->second.ends_at) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease->first) {
        keys.push_back(key);
      }
    }
    this->revision += !keys.empty();
    for (const std::string& key : keys) {
      this->Erase(key);
    }
    lease = this->leases.erase(lease);
    this->changed.notify_all();
  }
}

}  // namespace review
