#include "UnitTests/Izarra/platform_stand_in.h"

#include <stdexcept>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Platform/base64.h"

namespace daisyroad::platform {
namespace {

constexpr Milliseconds kTickInterval{10};
constexpr char kWorkerPrefix[] = "servers/";
constexpr char kKeepPath[] = "/v1/kv-keep/";
constexpr std::int64_t kClockMs = 482113;
constexpr std::int64_t kBornMs = 1764923455123;

HttpResponse Reply(int status, const Json::Value& body) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "application/json";
  response.body = WriteJson(body);
  return response;
}

HttpResponse Reply(int status) {
  return Reply(status, Json::Value(Json::objectValue));
}

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

PlatformStandIn::PlatformStandIn(const std::string& worker) : worker(worker) {
  const Status started = this->server.Start(
      HttpServerOptions(),
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->loop.Post([this, request, respond]() {
          const std::lock_guard<std::mutex> lock(this->mutex);
          this->Handle(request, respond);
        });
      });
  if (!started.ok()) {
    throw std::runtime_error(started.error().ToString());
  }
  this->loop.Every(kTickInterval, [this]() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->ExpireLeases();
    this->AnswerWatches();
  });
  this->thread = std::thread([this]() { this->loop.Run(); });
}

PlatformStandIn::~PlatformStandIn() {
  this->server.Stop();
  this->loop.Stop();
  this->thread.join();
}

std::string PlatformStandIn::address() const {
  return "127.0.0.1:" + std::to_string(this->server.port());
}

void PlatformStandIn::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->revision;
  this->Write(key, value, 0);
}

void PlatformStandIn::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->revision;
  this->Erase(key);
}

std::string PlatformStandIn::WorkerEntry(const std::string& pool) const {
  Json::Value entry;
  entry["Service"] = pool;
  entry["Address"] = this->address();
  entry["Zone"] = "zone-a";
  entry["Version"] = "v1";
  entry["Slots"] = 8;
  entry["State"] = "ready";
  entry["ColdLeftMs"] = 0;
  entry["Capacity"]["Cpu"] = 16000;
  entry["Capacity"]["MemMb"] = 32768;
  entry["Capacity"]["Gpu"] = 0;
  entry["Labels"].append("a");
  entry["Labels"].append("r1-3");
  entry["ClockMs"] = Json::Int64(kClockMs);
  entry["Seq"] = 4;
  entry["born"] = Json::Int64(kBornMs);
  return WriteJson(entry);
}

std::vector<std::string> PlatformStandIn::Keys(
    const std::string& prefix) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> keys;
  for (const std::pair<const std::string, Item>& entry : this->items) {
    if (entry.first.starts_with(prefix)) {
      keys.push_back(entry.first);
    }
  }
  return keys;
}

std::string PlatformStandIn::Value(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::map<std::string, Item>::const_iterator found =
      this->items.find(key);
  return found == this->items.end() ? "" : found->second.value;
}

std::vector<std::string> PlatformStandIn::Starts() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->starts;
}

int PlatformStandIn::WorkerReads() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->worker_reads;
}

void PlatformStandIn::Handle(const HttpRequest& request,
                             const HttpResponder& respond) {
  const Result<Json::Value> parsed = ParseJson(request.body);
  const Json::Value body =
      parsed.ok() ? parsed.value() : Json::Value(Json::objectValue);
  if (request.path == "/v1/kv-watch") {
    this->HandleWatch(request, respond);
  } else if (request.path == "/v1/kv-range") {
    respond(this->HandleRange(request));
  } else if (request.path == "/v1/kv-key") {
    respond(this->HandleKey(request));
  } else if (request.path == "/v1/kv-txn") {
    respond(this->HandleTransaction(body));
  } else if (request.path == "/v1/kv-lease") {
    respond(this->HandleLease(body));
  } else if (request.path.starts_with(kKeepPath)) {
    respond(this->HandleKeep(
        std::stoll(request.path.substr(sizeof(kKeepPath) - 1))));
  } else if (request.path == "/v1/machines") {
    Json::Value reply;
    reply["Machines"] = Json::arrayValue;
    respond(Reply(200, reply));
  } else {
    respond(this->HandleWorker(request, body));
  }
}

HttpResponse PlatformStandIn::HandleRange(const HttpRequest& request) {
  const std::string prefix = request.Query("Prefix");
  const std::string after = request.Query("After");
  this->worker_reads += prefix == kWorkerPrefix ? 1 : 0;
  Json::Value reply;
  reply["items"] = Json::arrayValue;
  reply["HasMore"] = false;
  reply["StoreRevision"] = Json::Int64(this->revision);
  for (const std::pair<const std::string, Item>& entry : this->items) {
    if (entry.first.starts_with(prefix) && entry.first > after) {
      reply["items"].append(this->RowOf(entry.first, entry.second));
    }
  }
  return Reply(200, reply);
}

HttpResponse PlatformStandIn::HandleKey(const HttpRequest& request) {
  const std::map<std::string, Item>::const_iterator found =
      this->items.find(request.Query("Key"));
  return found == this->items.end()
             ? Reply(404)
             : Reply(200, this->RowOf(found->first, found->second));
}

HttpResponse PlatformStandIn::HandleTransaction(const Json::Value& body) {
  bool holds = true;
  Json::Value conflict;
  conflict["items"] = Json::arrayValue;
  for (const Json::Value& row : body["ExpectedRev"]) {
    const std::map<std::string, Item>::const_iterator found =
        this->items.find(row["Key"].asString());
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
  }
  ++this->revision;
  for (const Json::Value& row : body["SetKeys"]) {
    std::string value;
    DecodeBase64(row["Value"].asString(), &value);
    this->Write(row["Key"].asString(), value, row["Lease"].asInt64());
  }
  for (const Json::Value& key : body["Delete"]) {
    this->Erase(key.asString());
  }
  Json::Value reply;
  reply["Revision"] = Json::Int64(this->revision);
  this->AnswerWatches();
  return Reply(200, reply);
}

HttpResponse PlatformStandIn::HandleLease(const Json::Value& body) {
  const Milliseconds duration(body["TtlMs"].asInt64());
  const std::int64_t lease = this->next_lease++;
  this->leases[lease] = Lease{duration, Now() + duration};
  Json::Value reply;
  reply["Lease"] = Json::Int64(lease);
  reply["TtlMs"] = Json::Int64(duration.count());
  return Reply(200, reply);
}

HttpResponse PlatformStandIn::HandleKeep(std::int64_t lease) {
  const std::map<std::int64_t, Lease>::iterator found =
      this->leases.find(lease);
  if (found == this->leases.end()) {
    return Reply(404);
  }
  found->second.ends_at = Now() + found->second.duration;
  return Reply(200);
}

HttpResponse PlatformStandIn::HandleWorker(const HttpRequest& request,
                                           const Json::Value& body) {
  if (request.Header("x-expect-instance") != this->worker) {
    return Reply(421);
  }
  Json::Value reply;
  reply["ClockMs"] = Json::Int64(kClockMs);
  reply["born"] = Json::Int64(kBornMs);
  if (request.path == "/v1/run-start") {
    const std::string task = body["Task"].asString();
    this->starts.push_back(task);
    Json::Value end;
    end.append(Json::Int64(this->starts.size()));
    end.append(task);
    end.append(body["Run"]);
    end.append("done");
    end.append("");
    this->ends.append(end);
  } else if (request.path == "/v1/hold") {
    reply["Running"] = Json::arrayValue;
    reply["Ended"] = Json::arrayValue;
    for (const Json::Value& end : this->ends) {
      if (end[0].asInt64() > body["LastSeen"].asInt64()) {
        reply["Ended"].append(end);
      }
    }
  }
  return Reply(200, reply);
}

void PlatformStandIn::HandleWatch(const HttpRequest& request,
                                  const HttpResponder& respond) {
  this->watches.push_back(Watch{
      request.Query("Prefix"), std::stoll(request.Query("After")),
      Now() + Milliseconds(std::stoll(request.Query("WaitMs"))), respond});
  this->AnswerWatches();
}

Json::Value PlatformStandIn::RowOf(const std::string& key,
                                   const Item& item) const {
  Json::Value row;
  row["Key"] = key;
  row["Value"] = EncodeBase64(item.value);
  row["Revision"] = Json::Int64(item.revision);
  row["Lease"] = Json::Int64(item.lease);
  return row;
}

void PlatformStandIn::Write(const std::string& key,
                            const std::string& value,
                            std::int64_t lease) {
  this->items[key] = Item{value, this->revision, lease};
  this->history.push_back(Event{key, this->revision, false, value});
}

void PlatformStandIn::Erase(const std::string& key) {
  if (this->items.erase(key) > 0) {
    this->history.push_back(Event{key, this->revision, true, ""});
  }
}

void PlatformStandIn::ExpireLeases() {
  const MonotonicTime now = Now();
  for (std::map<std::int64_t, Lease>::iterator lease = this->leases.begin();
       lease != this->leases.end();) {
    if (now < lease->second.ends_at) {
      ++lease;
      continue;
    }
    ++this->revision;
    std::vector<std::string> expired;
    for (const std::pair<const std::string, Item>& entry : this->items) {
      if (entry.second.lease == lease->first) {
        expired.push_back(entry.first);
      }
    }
    for (const std::string& key : expired) {
      this->Erase(key);
    }
    lease = this->leases.erase(lease);
  }
}

void PlatformStandIn::AnswerWatches() {
  const MonotonicTime now = Now();
  for (std::list<Watch>::iterator watch = this->watches.begin();
       watch != this->watches.end();) {
    Json::Value reply;
    reply["events"] = Json::arrayValue;
    reply["StoreRevision"] = Json::Int64(this->revision);
    for (const Event& event : this->history) {
      if (event.revision <= watch->after ||
          !event.key.starts_with(watch->prefix)) {
        continue;
      }
      Json::Value row =
          this->RowOf(event.key, Item{event.value, event.revision, 0});
      if (event.is_removal) {
        row.removeMember("Value");
        row["Tombstone"] = true;
      }
      reply["events"].append(row);
    }
    if (reply["events"].empty() && now < watch->until) {
      ++watch;
      continue;
    }
    watch->respond(Reply(200, reply));
    watch = this->watches.erase(watch);
  }
}

}  // namespace daisyroad::platform
