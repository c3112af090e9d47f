#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr Ms kTick{5};
constexpr Ms kHeartbeat{1500};
constexpr std::int64_t kLongestLeaseMs = 6000;
constexpr Ms kStopTime{100};
constexpr Ms kStartup{200};
constexpr Ms kStoreLatency{4};
constexpr Ms kMoveTime{1500};

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8 |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      result += i + k <= text.size() ? kBase64[bits >> (18 - 6 * k) & 63] : '=';
    }
  }
  return result;
}

std::string Decode(const std::string& text) {
  std::string result;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char* const found = std::char_traits<char>::find(kBase64, 64, c);
    if (c == '=' || found == nullptr) {
      continue;
    }
    bits = bits << 6 | static_cast<std::uint32_t>(found - kBase64);
    count += 6;
    if (count >= 8) {
      count -= 8;
      result += static_cast<char>(bits >> count & 255);
    }
  }
  return result;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string QueryOf(const Request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

// The name of a task as the record shows it: the end of a name with dots may
// look like an address.
std::string Shown(std::string task) {
  std::replace(task.begin(), task.end(), '.', '/');
  return task;
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

void Replace(std::string* text,
             const std::string& from,
             const std::string& to) {
  for (std::size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size())) {
    text->replace(at, from.size(), to);
  }
}

}  // namespace

std::string Text(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, json);
}

Json::Value Parse(const std::string& text) {
  Json::Value json(Json::objectValue);
  std::istringstream in(text);
  std::string errors;
  if (!text.empty()) {
    Json::parseFromStream(Json::CharReaderBuilder(), in, &json, &errors);
  }
  return json;
}

void Sleep(Ms time) {
  std::this_thread::sleep_for(time);
}

bool Await(Ms timeout, const std::function<bool()>& condition) {
  const Clock::time_point until = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() > until) {
      return false;
    }
    Sleep(Ms(10));
  }
  return true;
}

bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Json::Value Step(int count, std::int64_t cpu, std::int64_t estimate_ms) {
  Json::Value step;
  step["Count"] = count;
  step["Cpu"] = Json::Int64(cpu);
  step["MemMb"] = 256;
  step["EstimateMs"] = Json::Int64(estimate_ms);
  return step;
}

Json::Value Job(const std::string& spec, const Json::Value& step) {
  Json::Value job;
  job["Spec"] = spec;
  job["Steps"].append(step);
  return job;
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->out << this->Now() << " " << text << std::endl;
}

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<Ms>(Clock::now() - this->begun).count();
}

// ---------------------------------------------------------------- store

Store::Store(Record* record) : record(record) {
  this->expiry = std::thread([this]() {
    for (;;) {
      Sleep(kTick);
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->is_stopped) {
        return;
      }
      this->ExpireLeases();
    }
  });
}

Store::~Store() {
  this->Stop();
  this->expiry.join();
}

void Store::Stop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_stopped = true;
  this->changed.notify_all();
}

Json::Value Store::Row(const std::string& key, const Item& item) const {
  Json::Value row;
  row["Key"] = key;
  row["Value"] = item.value;
  row["Revision"] = Json::Int64(item.revision);
  row["CreateRevision"] = Json::Int64(item.created);
  row["Lease"] = Json::Int64(item.lease);
  return row;
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  std::int64_t lease) {
  Item& item = this->items[key];
  item.value = value;
  item.revision = this->revision;
  item.created = item.created == 0 ? this->revision : item.created;
  item.lease = lease;
  this->history.push_back(Event{key, this->revision, false, item});
}

void Store::Erase(const std::string& key) {
  if (this->items.erase(key) > 0) {
    this->history.push_back(Event{key, this->revision, true, Item()});
  }
}

void Store::Put(const std::string& key, const Json::Value& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->revision;
  this->Write(key, Encode(Text(value)), 0);
  this->changed.notify_all();
}

void Store::GoDownAfterNextWrite(Ms duration) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->armed = duration;
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->revision;
  this->Erase(key);
  this->changed.notify_all();
}

Json::Value Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->items.find(key);
  return found == this->items.end() ? Json::Value()
                                    : Parse(Decode(found->second.value));
}

void Store::ExpireLeases() {
  const Clock::time_point now = Clock::now();
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (now < lease->second.ends_at) {
      ++lease;
      continue;
    }
    ++this->revision;
    std::vector<std::string> expired;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease->first) {
        expired.push_back(key);
      }
    }
    for (const std::string& key : expired) {
      this->Erase(key);
    }
    lease = this->leases.erase(lease);
    this->changed.notify_all();
  }
}

std::optional<Reply> Store::Handle(const Request& request) {
  Sleep(kStoreLatency);
  const Json::Value body = Parse(request.body);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down_until && Clock::now() < *this->down_until) {
      return Reply{503, "{}"};
    }
    this->down_until.reset();
  }
  if (request.path == "/v1/kv-watch") {
    return this->Watch(request);
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ExpireLeases();
  if (request.path == "/v1/kv-range") {
    return this->Range(request);
  }
  if (request.path == "/v1/kv-key") {
    const auto found = this->items.find(QueryOf(request, "Key"));
    if (found == this->items.end()) {
      return Reply{404, "{}"};
    }
    Json::Value row = this->Row(found->first, found->second);
    row["StoreRevision"] = Json::Int64(this->revision);
    return Reply{200, Text(row)};
  }
  if (request.path == "/v1/kv-txn") {
    const Reply reply = this->Transaction(body);
    if (this->armed && reply.status == 200 && !body["SetKeys"].empty()) {
      this->down_until = Clock::now() + *this->armed;
      this->armed.reset();
      this->changed.notify_all();
      this->record->Line("the store has carried out a write of " +
                         body["SetKeys"][0]["Key"].asString() +
                         " and goes down without an answer");
      return std::nullopt;
    }
    return reply;
  }
  if (request.path == "/v1/kv-lease") {
    const Ms duration(body["TtlMs"].asInt64());
    const std::int64_t id = this->next_lease++;
    this->leases[id] = Lease{duration, Clock::now() + duration};
    Json::Value reply;
    reply["Lease"] = Json::Int64(id);
    reply["TtlMs"] = Json::Int64(duration.count());
    return Reply{200, Text(reply)};
  }
  const std::size_t slash = request.path.rfind('/');
  const auto lease =
      this->leases.find(std::atoll(request.path.substr(slash + 1).c_str()));
  if (lease == this->leases.end()) {
    return Reply{404, "{}"};
  }
  if (request.method == "DELETE") {
    lease->second.ends_at = Clock::now();
    this->ExpireLeases();
  } else {
    lease->second.ends_at = Clock::now() + lease->second.duration;
  }
  return Reply{200, "{}"};
}

Reply Store::Range(const Request& request) {
  const std::string prefix = QueryOf(request, "Prefix");
  const std::string after = QueryOf(request, "After");
  constexpr int kPage = 500;
  Json::Value reply;
  reply["items"] = Json::arrayValue;
  reply["HasMore"] = false;
  reply["StoreRevision"] = Json::Int64(this->revision);
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (reply["items"].size() == kPage) {
      reply["HasMore"] = true;
      break;
    }
    reply["items"].append(this->Row(key, item));
  }
  return Reply{200, Text(reply)};
}

Reply Store::Transaction(const Json::Value& body) {
  if (body["ExpectedRev"].size() + body["SetKeys"].size() +
          body["Delete"].size() >
      32) {
    return Reply{400, "{}"};
  }
  bool holds = true;
  Json::Value conflict;
  conflict["items"] = Json::arrayValue;
  for (const Json::Value& row : body["ExpectedRev"]) {
    const auto found = this->items.find(row["Key"].asString());
    const bool is_absent = found == this->items.end();
    holds &=
        (is_absent ? 0 : found->second.revision) == row["Revision"].asInt64();
    if (!is_absent) {
      conflict["items"].append(this->Row(found->first, found->second));
    }
  }
  if (!holds) {
    return Reply{412, Text(conflict)};
  }
  for (const Json::Value& row : body["SetKeys"]) {
    const std::string key = row["Key"].asString();
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return Reply{403, "{}"};
    }
    if (row["Lease"].asInt64() != 0 &&
        !this->leases.contains(row["Lease"].asInt64())) {
      return Reply{404, "{}"};
    }
  }
  if (!body["SetKeys"].empty() || !body["Delete"].empty()) {
    ++this->revision;
  }
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
  return Reply{200, Text(reply)};
}

std::optional<Reply> Store::Watch(const Request& request) {
  const std::string prefix = QueryOf(request, "Prefix");
  const std::int64_t after = std::atoll(QueryOf(request, "After").c_str());
  const Clock::time_point until =
      Clock::now() + Ms(std::atoll(QueryOf(request, "WaitMs").c_str()));
  std::unique_lock<std::mutex> lock(this->mutex);
  for (;;) {
    Json::Value reply;
    reply["events"] = Json::arrayValue;
    reply["StoreRevision"] = Json::Int64(this->revision);
    for (const Event& event : this->history) {
      if (event.revision <= after || !event.key.starts_with(prefix)) {
        continue;
      }
      Json::Value row;
      if (event.is_removal) {
        row["Key"] = event.key;
        row["Revision"] = Json::Int64(event.revision);
        row["Tombstone"] = true;
      } else {
        row = this->Row(event.key, event.item);
      }
      reply["events"].append(row);
    }
    if (!reply["events"].empty() || Clock::now() >= until) {
      return Reply{200, Text(reply)};
    }
    if (this->is_stopped || this->down_until) {
      return std::nullopt;
    }
    this->changed.wait_until(lock, until);
  }
}

// --------------------------------------------------------------- worker

Worker::Worker(Site* site,
               const std::string& id,
               const std::string& pool,
               const std::string& zone,
               const std::string& rack,
               std::int64_t cpu)
    : site(site),
      machine(id),
      name(id),
      service(pool),
      zone(zone),
      rack(rack),
      capacity(cpu),
      born(UnixMs()),
      born_at(Clock::now()) {
  this->server = std::make_unique<Server>(
      [this](const Request& request) { return this->Handle(request); });
  this->Register();
}

Worker::~Worker() {
  this->Stop();
  this->server.reset();
}

void Worker::Stop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_stopped = true;
  this->changed.notify_all();
}

std::int64_t Worker::ClockMs() const {
  return std::chrono::duration_cast<Ms>(Clock::now() - this->born_at).count() +
         1;
}

void Worker::Register() {
  Json::Value entry;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Clock::time_point now = Clock::now();
    if (!this->is_up) {
      if (now - this->registered_at > 3 * kHeartbeat) {
        this->site->store.Remove("servers/" + this->name);
      }
      return;
    }
    this->registered_at = now;
    entry["Service"] = this->service;
    entry["Address"] = this->server->address();
    entry["Zone"] = this->zone;
    entry["Version"] = "v1";
    entry["Slots"] = 8;
    entry["State"] = "ready";
    entry["ColdLeftMs"] = 0;
    entry["Capacity"]["Cpu"] = Json::Int64(this->capacity);
    entry["Capacity"]["MemMb"] = 131072;
    entry["Capacity"]["Gpu"] = 0;
    entry["Labels"].append("a");
    entry["Labels"].append(this->rack);
    entry["Seq"] = Json::Int64(++this->seq);
    entry["born"] = Json::Int64(this->born);
  }
  this->site->store.Put("servers/" + this->id(), entry);
}

void Worker::Crash() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_up = false;
    this->runs.clear();
    this->over.clear();
    this->ends.clear();
    this->fence = 0;
    this->lease_until = 0;
    this->next_end = 1;
    ++this->boots;
    this->changed.notify_all();
  }
  this->site->record->Line("worker " + this->id() + " ends");
  this->server->SetOn(false);
}

void Worker::Boot() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->born = UnixMs();
    this->born_at = Clock::now();
    this->seq = 0;
    this->is_up = true;
  }
  this->server->SetOn(true);
  this->site->record->Line("worker " + this->id() + " is back");
  this->Register();
}

std::string Worker::id() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->name;
}

std::string Worker::pool() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->service;
}

std::string Worker::State() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->joins_at ? "moving" : this->is_up ? "up" : "down";
}

void Worker::Move(const std::string& pool) {
  const std::string old_id = this->id();
  this->Crash();
  this->site->store.Remove("servers/" + old_id);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->service = pool;
  this->name = this->machine + "-" + std::to_string(this->boots);
  this->joins_at = Clock::now() + kMoveTime;
}

bool Worker::IsUp() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->is_up;
}

bool Worker::Runs(const std::string& task) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs.contains(task);
}

bool Worker::RunsJob(const std::string& job) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [task, run] : this->runs) {
    if (run.job == job) {
      return true;
    }
  }
  return false;
}

std::int64_t Worker::UsedBy(const std::string& team) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::int64_t used = 0;
  for (const auto& [task, run] : this->runs) {
    used += run.team == team ? run.cpu : 0;
  }
  return used;
}

std::int64_t Worker::Used() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::int64_t used = 0;
  for (const auto& [task, run] : this->runs) {
    used += run.cpu;
  }
  return used;
}

void Worker::End(const std::string& task, const std::string& how) {
  const Run run = this->runs.at(task);
  this->runs.erase(task);
  this->over[task] = std::max(this->over[task], run.number);
  Json::Value row;
  row.append(Json::Int64(this->next_end++));
  row.append(task);
  row.append(Json::Int64(run.number));
  row.append(how);
  row.append("");
  this->ends.push_back(row);
  this->site->record->Line("run " + Shown(task) + " " +
                           std::to_string(run.number) + " on " + this->name +
                           " ends " + how);
  this->changed.notify_all();
}

void Worker::Tick() {
  std::unique_lock<std::mutex> lock(this->mutex);
  const Clock::time_point now = Clock::now();
  if (this->joins_at) {
    if (now >= *this->joins_at) {
      this->joins_at.reset();
      lock.unlock();
      this->Boot();
    }
    return;
  }
  const bool is_lapsed = this->ClockMs() > this->lease_until;
  std::map<std::string, std::string> ended;
  for (const auto& [task, run] : this->runs) {
    if (run.stop_at && now >= *run.stop_at) {
      ended[task] = "stopped";
    } else if (is_lapsed) {
      ended[task] = "lapsed";
    } else if (!run.end_as.empty() && now - run.begun >= run.duration) {
      ended[task] = run.end_as;
    }
  }
  for (const auto& [task, how] : ended) {
    this->End(task, how);
  }
}

Reply Worker::Answer(int status, Json::Value body) const {
  body["ClockMs"] = Json::Int64(this->ClockMs());
  body["born"] = Json::Int64(this->born);
  return Reply{status, Text(body)};
}

std::pair<int, int> Worker::GreyCalls() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return {this->grey_failures, this->grey_calls};
}

void Worker::TurnGreyAtNextStart(Ms duration) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->grey_for = duration;
}

std::optional<Reply> Worker::Handle(const Request& request) {
  const Json::Value body = Parse(request.body);
  const std::int64_t given = body["FencingToken"].asInt64();
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != this->id()) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->Answer(421, Json::Value(Json::objectValue));
  }
  if (request.path == "/health") {
    return Reply{200, "{}"};
  }
  std::unique_lock<std::mutex> lock(this->mutex);
  if (!this->is_up) {
    return std::nullopt;
  }
  Json::Value refused;
  if (given < this->fence) {
    refused["Reason"] = "fence";
    return this->Answer(409, refused);
  }
  this->fence = given;
  this->grey_calls += this->grey_until && Clock::now() < *this->grey_until;
  if (request.path == "/v1/run-start") {
    if (this->sheds_next) {
      this->sheds_next = false;
      ++this->grey_failures;
      this->site->record->Line("worker " + this->name + " sheds the start of " +
                               Shown(body["Task"].asString()) + " " +
                               body["Run"].asString());
      return this->Answer(503, Json::Value(Json::objectValue));
    }
    const Reply reply = this->Start(body);
    if (this->grey_for && reply.status == 200) {
      this->grey_until = Clock::now() + *this->grey_for;
      this->grey_for.reset();
      this->sheds_next = true;
      this->grey_calls = 1;
      this->grey_failures = 1;
      this->site->record->Line("worker " + this->name +
                               " has started it; its channel is reset");
      lock.unlock();
      this->site->on_start(body["Task"].asString(), *this);
      return std::nullopt;
    }
    lock.unlock();
    if (reply.status == 200 && this->site->on_start) {
      this->site->on_start(body["Task"].asString(), *this);
    }
    return reply;
  }
  if (request.path == "/v1/run-stop") {
    const std::string task = body["Task"].asString();
    const std::int64_t number = body["Run"].asInt64();
    const auto run = this->runs.find(task);
    if (run != this->runs.end() && run->second.number == number) {
      if (!run->second.stop_at) {
        run->second.stop_at = Clock::now() + kStopTime;
      }
    } else {
      this->over[task] = std::max(this->over[task], number);
    }
    return this->Answer(200, Json::Value(Json::objectValue));
  }
  if (request.path == "/v1/hold") {
    return this->Hold(body, &lock);
  }
  return this->Answer(200, Json::Value(Json::objectValue));
}

Reply Worker::Start(const Json::Value& body) {
  const std::string task = body["Task"].asString();
  const std::int64_t number = body["Run"].asInt64();
  const JobFacts facts = this->site->FactsOf(JobOf(task));
  Json::Value refused;
  const auto running = this->runs.find(task);
  if (running != this->runs.end() && running->second.number == number) {
    return this->Answer(200, Json::Value(Json::objectValue));
  }
  const std::int64_t until = body["UntilMs"].asInt64();
  const std::int64_t clock = this->ClockMs();
  if (until <= clock) {
    refused["Reason"] = "late";
    return this->Answer(409, refused);
  }
  this->lease_until =
      std::max(this->lease_until, std::min(until, clock + kLongestLeaseMs));
  const auto over = this->over.find(task);
  if (over != this->over.end() && number <= over->second) {
    refused["Reason"] = "old";
    return this->Answer(409, refused);
  }
  std::int64_t used = 0;
  for (const auto& [other, run] : this->runs) {
    used += run.cpu;
  }
  if (used + facts.cpu > this->capacity) {
    refused["Reason"] = "room";
    return this->Answer(409, refused);
  }
  Run run;
  run.number = number;
  run.begun = Clock::now();
  run.job = JobOf(task);
  run.cpu = facts.cpu;
  run.team = facts.team;
  run.duration = facts.duration;
  const std::size_t nth = static_cast<std::size_t>(number);
  if (facts.duration.count() > 0) {
    run.end_as =
        nth <= facts.ends.size() ? facts.ends[nth - 1] : std::string("done");
  }
  this->runs[task] = run;
  this->site->record->Line("run " + Shown(task) + " " + std::to_string(number) +
                           " begins on " + this->name);
  return this->Answer(200, Json::Value(Json::objectValue));
}

std::optional<Reply> Worker::Hold(const Json::Value& body,
                                  std::unique_lock<std::mutex>* lock) {
  const std::int64_t last_seen = body["LastSeen"].asInt64();
  const std::int64_t boot = this->boots;
  if (body.isMember("UntilMs")) {
    this->lease_until = std::max(
        this->lease_until,
        std::min(body["UntilMs"].asInt64(), this->ClockMs() + kLongestLeaseMs));
  }
  while (!this->ends.empty() && this->ends.front()[0].asInt64() <= last_seen) {
    this->ends.pop_front();
  }
  const Clock::time_point until =
      Clock::now() + Ms(std::min<std::int64_t>(body["WaitMs"].asInt64(), 2000));
  while (this->ends.empty() && Clock::now() < until && boot == this->boots &&
         !this->is_stopped) {
    this->changed.wait_until(*lock, until);
  }
  if (boot != this->boots || this->is_stopped) {
    return std::nullopt;
  }
  Json::Value reply;
  reply["Running"] = Json::arrayValue;
  reply["Ended"] = Json::arrayValue;
  const Clock::time_point now = Clock::now();
  for (const auto& [task, run] : this->runs) {
    Json::Value row;
    row.append(task);
    row.append(Json::Int64(run.number));
    row.append("");
    const double age = static_cast<double>(
        std::chrono::duration_cast<Ms>(now - run.begun).count());
    const double whole = static_cast<double>(
        run.end_as.empty() ? kStartup.count() : run.duration.count());
    row.append(static_cast<int>(std::min(100.0, 100.0 * age / whole)));
    row.append(Json::Int64(run.cpu));
    reply["Running"].append(row);
  }
  for (const Json::Value& end : this->ends) {
    if (reply["Ended"].size() < 500) {
      reply["Ended"].append(end);
    }
  }
  return this->Answer(200, reply);
}

// ----------------------------------------------------------------- site

Site::Site(const std::string& root, const std::string& folder, Record* record)
    : store(record), record(record), root(root), folder(folder) {
  this->ticker = std::thread([this]() {
    Clock::time_point next = Clock::now();
    while (!this->is_stopped) {
      Sleep(kTick);
      const std::lock_guard<std::mutex> lock(this->workers_mutex);
      const bool is_beat = Clock::now() >= next;
      next += is_beat ? kHeartbeat : Ms(0);
      for (const auto& [id, worker] : this->workers) {
        worker->Tick();
        if (is_beat) {
          worker->Register();
        }
      }
    }
  });
}

Site::~Site() {
  for (const auto& [name, instance] : this->instances) {
    if (instance->process != 0) {
      ::kill(instance->process, SIGKILL);
      ::kill(instance->process, SIGCONT);
      ::waitpid(instance->process, nullptr, 0);
    }
  }
  this->is_stopped = true;
  this->ticker.join();
  this->store.Stop();
  for (const auto& [id, worker] : this->workers) {
    worker->Stop();
  }
  this->workers.clear();
  this->instances.clear();
}

void Site::AddWorker(const std::string& id,
                     const std::string& pool,
                     const std::string& zone,
                     const std::string& rack,
                     std::int64_t cpu) {
  std::unique_ptr<Worker> worker =
      std::make_unique<Worker>(this, id, pool, zone, rack, cpu);
  const std::lock_guard<std::mutex> lock(this->workers_mutex);
  this->workers[id] = std::move(worker);
}

std::string Site::Settings(const Instance& instance) const {
  std::ifstream file(this->root + "/deploy/settings.toml");
  std::ostringstream read;
  read << file.rdbuf();
  std::string text = read.str();
  const std::map<std::string, std::string> fields{
      {"Node", instance.name},
      {"Zone", instance.zone},
      {"Bounds.RevokeMs", "5000"},
      {"Bounds.GraceS", "6"},
      {"Bounds.status_s", "120"},
      {"Bounds.HoldMaxMs", "6000"},
      {"Bounds.StopMs", "900"},
      {"Listen.Front", instance.callers},
      {"Listen.Ready", "127.0.0.1:" + std::to_string(FreePort())},
      {"Ip", "127.0.0.1"},
      {"PortRange.0", std::to_string(FreePort())},
      {"platform.Address", instance.store->address()},
      {"Cloud.Address", instance.machines->address()},
      {"Advice", instance.machines->address()},
      {"Limits.CpuShare", "0.25"},
      {"Limits.Cores", "1"}};
  for (const auto& [name, value] : fields) {
    Replace(&text, "{{" + name + "}}", value);
  }
  return text;
}

void Site::AddInstance(const std::string& name, const std::string& zone) {
  std::unique_ptr<Instance> instance = std::make_unique<Instance>();
  instance->name = name;
  instance->zone = zone;
  instance->callers = "127.0.0.1:" + std::to_string(FreePort());
  instance->store = std::make_unique<Server>(
      [this](const Request& request) { return this->store.Handle(request); });
  instance->machines = std::make_unique<Server>(
      [this](const Request& request) { return this->HandleMachines(request); });
  instance->settings = this->folder + "/" + name + ".toml";
  std::ofstream(instance->settings) << this->Settings(*instance);
  this->instances[name] = std::move(instance);
  this->StartInstance(name);
}

void Site::StartInstance(const std::string& name) {
  Instance* const instance = this->instances.at(name).get();
  const std::string program = this->root + "/target/bin/daisyroad-izarra";
  const std::string log = this->folder + "/" + name + ".log";
  const pid_t process = ::fork();
  if (process == 0) {
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("DAISYROAD_SETTINGS", instance->settings.c_str(), 1);
    ::execl(program.c_str(), program.c_str(), nullptr);
    ::_exit(127);
  }
  instance->process = process;
  this->record->Line("instance " + name + " starts");
}

std::string Site::Holder(const std::string& duty) {
  const Json::Value record = this->store.Get("daisyroad/site/lead/" + duty);
  return record.isObject() ? record["node"].asString() : "";
}

bool Site::AwaitReady(const std::vector<std::string>& pools, Ms timeout) {
  return Await(timeout, [&]() {
    for (const std::string& pool : pools) {
      if (this->Holder("pool/" + pool).empty()) {
        return false;
      }
    }
    for (const auto& [name, instance] : this->instances) {
      if (Call(instance->callers, "GET", "/", {{"Host", "none"}}, "", 500)
              .status != 404) {
        return false;
      }
    }
    return true;
  });
}

Answer Site::Ask(const std::string& instance,
                 const std::string& method,
                 const std::string& path,
                 const std::string& key,
                 const std::string& body) {
  return Call(this->instances.at(instance)->callers, method, path,
              {{"Host", "site.example"},
               {"Authorization", "Bearer " + key},
               {"X-Request-Deadline", "3000"}},
              body, 3500);
}

int Site::SubmitOnce(const std::string& instance,
                     const std::string& prefix,
                     const std::string& id,
                     const std::string& key,
                     const Json::Value& body,
                     const JobFacts& facts) {
  {
    const std::lock_guard<std::mutex> lock(this->jobs_mutex);
    this->jobs[id] = facts;
  }
  const Answer answer =
      this->Ask(instance, "POST", prefix + id, key, Text(body));
  this->record->Line("POST " + prefix + id + " at " + instance + " -> " +
                     std::to_string(answer.status) + " " + answer.body);
  return answer.status;
}

bool Site::Submit(const std::string& instance,
                  const std::string& prefix,
                  const std::string& id,
                  const std::string& key,
                  const Json::Value& body,
                  const JobFacts& facts) {
  return Await(Ms(5000), [&]() {
    return this->SubmitOnce(instance, prefix, id, key, body, facts) == 200;
  });
}

std::string Site::State(const std::string& instance,
                        const std::string& prefix,
                        const std::string& id,
                        const std::string& key) {
  const Answer answer = this->Ask(instance, "GET", prefix + id, key);
  this->record->Line("GET " + prefix + id + " at " + instance + " -> " +
                     std::to_string(answer.status) + " " + answer.body);
  return answer.status == 200   ? Parse(answer.body)["State"].asString()
         : answer.status == 410 ? "unknown"
                                : "";
}

std::int64_t Site::UsedBy(const std::string& team) {
  std::int64_t used = 0;
  for (const auto& [id, worker] : this->workers) {
    used += worker->UsedBy(team);
  }
  return used;
}

bool Site::HasRoom(const std::string& pool, std::int64_t cpu) {
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t fitting = 0;
  for (const auto& [machine, worker] : this->workers) {
    if (worker->pool() != pool) {
      continue;
    }
    capacity += worker->IsUp() ? worker->Capacity() : 0;
    used += worker->Used();
    fitting += worker->IsUp() ? (worker->Capacity() - worker->Used()) / cpu : 0;
  }
  return fitting >= 2 && 2 * used < capacity;
}

Worker* Site::FindWorker(const std::string& id) {
  return this->workers.at(id).get();
}

bool Site::RunsJob(const std::string& job) {
  for (const auto& [id, worker] : this->workers) {
    if (worker->RunsJob(job)) {
      return true;
    }
  }
  return false;
}

JobFacts Site::FactsOf(const std::string& job) {
  const std::lock_guard<std::mutex> lock(this->jobs_mutex);
  return this->jobs[job];
}

std::optional<Reply> Site::HandleMachines(const Request& request) {
  const std::lock_guard<std::mutex> lock(this->machines_mutex);
  if (request.path == "/v1/machine-move") {
    const Json::Value body = Parse(request.body);
    const auto found = this->workers.find(body["Machine"].asString());
    if (found == this->workers.end()) {
      return Reply{400, "{}"};
    }
    if (found->second->pool() == body["Pool"].asString()) {
      return Reply{200, "{}"};
    }
    if (found->second->State() != "up") {
      return Reply{409, "{\"Reason\":\"busy\"}"};
    }
    this->record->Line("machine " + found->first + " moves to " +
                       body["Pool"].asString());
    found->second->Move(body["Pool"].asString());
    return Reply{200, "{}"};
  }
  if (request.path == "/v1/machine-upkeep") {
    return Reply{409, "{\"Reason\":\"wave\"}"};
  }
  Json::Value reply;
  reply["Machines"] = Json::arrayValue;
  reply["NextToken"] = "";
  for (const auto& [machine, worker] : this->workers) {
    Json::Value row;
    row["Machine"] = machine;
    row["Pool"] = worker->pool();
    row["State"] = worker->State();
    row["Zone"] = worker->zone_name();
    row["Id"] = worker->id();
    reply["Machines"].append(row);
  }
  return Reply{200, Text(reply)};
}

}  // namespace review
