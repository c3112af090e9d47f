#include "platform.h"

#include <fcntl.h>
#include <json/reader.h>
#include <json/writer.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr std::size_t kMostItems = 500;
constexpr std::size_t kMostEnds = 500;
constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& text) {
  std::string out;
  std::size_t i = 0;
  while (i < text.size()) {
    std::uint32_t block = 0;
    const std::size_t n = std::min<std::size_t>(3, text.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      block =
          (block << 8) | (k < n ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(k <= n ? kAlphabet[(block >> (18 - 6 * k)) & 63] : '=');
    }
    i += n;
  }
  return out;
}

std::string DecodeBase64(const std::string& text) {
  std::string out;
  std::uint32_t block = 0;
  int bits = 0;
  for (const char c : text) {
    const char* const at = c == '\0' ? nullptr : std::strchr(kAlphabet, c);
    if (at == nullptr) {
      continue;
    }
    block = (block << 6) | static_cast<std::uint32_t>(at - kAlphabet);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out.push_back(static_cast<char>((block >> bits) & 255));
    }
  }
  return out;
}

Response Reply(int status, const Json::Value& body) {
  return Response{status, WriteJson(body)};
}

Response Reply(int status) {
  return Reply(status, Json::Value(Json::objectValue));
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string QueryOf(const Request& request, const std::string& name) {
  const std::map<std::string, std::string>::const_iterator found =
      request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

std::vector<std::string> Split(const std::string& text, char by) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, by);) {
    parts.push_back(part);
  }
  return parts;
}

// ID.K.STEP, which the members of a gang share.
std::string GangOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

std::string TicketOf(const std::string& step,
                     const std::string& worker,
                     std::int64_t born) {
  return step + "-" + worker + "-" + std::to_string(born);
}

double MeanOf(const std::deque<std::pair<Clock::time_point, double>>& tails) {
  double sum = 0.0;
  for (const std::pair<Clock::time_point, double>& tail : tails) {
    sum += tail.second;
  }
  return tails.empty() ? 0.0 : sum / static_cast<double>(tails.size());
}

std::string CheckpointOf(const std::string& task, int progress_ms) {
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x",
                static_cast<unsigned>(progress_ms),
                static_cast<unsigned>(std::hash<std::string>()(task)));
  return text;
}

int ProgressOf(const std::string& checkpoint) {
  return checkpoint.size() < 8 ? 0
                               : static_cast<int>(std::stoul(
                                     checkpoint.substr(0, 8), nullptr, 16));
}

// The entry instances, for the handler of signals: they end with this process.
constexpr int kMostEntries = 8;
volatile pid_t g_entries[kMostEntries];
volatile std::sig_atomic_t g_entry_count = 0;

void EndWithEntries(int) {
  for (int i = 0; i < g_entry_count; ++i) {
    ::kill(g_entries[i], SIGKILL);
  }
  ::_exit(2);
}

}  // namespace

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value ReadJson(const std::string& text) {
  Json::Value value(Json::objectValue);
  if (!text.empty()) {
    std::istringstream stream(text);
    std::string errors;
    Json::CharReaderBuilder builder;
    if (!Json::parseFromStream(builder, stream, &value, &errors)) {
      return Json::Value(Json::objectValue);
    }
  }
  return value;
}

Platform::Platform(const std::string& record, const std::string& root)
    : root(root), record(record, std::ios::trunc), origin(Clock::now()) {
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    std::signal(number, EndWithEntries);
  }
  std::string name =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  this->folder = name;
  const bool is_up = this->store.Start(0, [this](const Request& request) {
    return this->HandleStore(request);
  }) && this->cloud.Start(0, [this](const Request& request) {
    return this->HandleCloud(request);
  }) && this->advice.Start(0, [this](const Request& request) {
    return this->HandleAdvice(request);
  });
  if (!is_up) {
    throw std::runtime_error("cannot listen");
  }
  this->ticker = std::thread([this]() {
    while (true) {
      std::this_thread::sleep_for(Ms(10));
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->is_stopping) {
        return;
      }
      this->Tick();
    }
  });
}

Platform::~Platform() {
  this->StopEntries();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
  }
  this->changed.notify_all();
  {
    const std::lock_guard<std::mutex> lock(this->advice_mutex);
    this->is_advice_stopping = true;
  }
  this->advice_changed.notify_all();
  this->ticker.join();
  this->store.Stop();
  this->cloud.Stop();
  this->advice.Stop();
  for (std::pair<const std::string, Worker>& worker : this->workers) {
    if (worker.second.server) {
      worker.second.server->Stop();
    }
  }
  // Threads of connections end with their sockets.
  std::this_thread::sleep_for(Ms(500));
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

void Platform::Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->record_mutex);
  char time[32];
  std::snprintf(
      time, sizeof(time), "%9.3f ",
      std::chrono::duration<double>(Clock::now() - this->origin).count());
  this->record << time << line << std::endl;
}

void Platform::Break(const std::string& why) {
  this->Record("BROKEN " + why);
  if (!this->is_broken) {
    this->is_broken = true;
    this->verdict = why;
  }
}

void Platform::Put(const std::string& key, const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->revision;
    this->Write(key, value, 0);
  }
  this->changed.notify_all();
  this->Record("operator wrote " + key + " " + value);
}

// --- The store -------------------------------------------------------------

void Platform::Write(const std::string& key,
                     const std::string& value,
                     std::int64_t lease) {
  Item& item = this->items[key];
  item.created = item.created == 0 ? this->revision : item.created;
  item.value = value;
  item.revision = this->revision;
  item.lease = lease;
  this->history.push_back(Event{key, this->revision, false, item});
}

void Platform::Erase(const std::string& key) {
  if (this->items.erase(key) > 0) {
    this->history.push_back(Event{key, this->revision, true, Item()});
  }
}

Json::Value Platform::RowOf(const std::string& key, const Item& item) const {
  Json::Value row;
  row["Key"] = key;
  row["Value"] = EncodeBase64(item.value);
  row["Revision"] = Json::Int64(item.revision);
  row["CreateRevision"] = Json::Int64(item.created);
  row["Lease"] = Json::Int64(item.lease);
  return row;
}

std::optional<Response> Platform::HandleStore(const Request& request) {
  if (request.path == "/v1/kv-watch") {
    return this->HandleWatch(request);
  }
  const Json::Value body = ReadJson(request.body);
  std::unique_lock<std::mutex> lock(this->mutex);
  if (request.path == "/v1/kv-key") {
    const std::map<std::string, Item>::const_iterator found =
        this->items.find(QueryOf(request, "Key"));
    if (found == this->items.end()) {
      return Reply(404);
    }
    Json::Value row = this->RowOf(found->first, found->second);
    row["StoreRevision"] = Json::Int64(this->revision);
    return Reply(200, row);
  }
  if (request.path == "/v1/kv-range") {
    const std::string prefix = QueryOf(request, "Prefix");
    const std::string after = QueryOf(request, "After");
    Json::Value reply;
    reply["items"] = Json::arrayValue;
    reply["HasMore"] = false;
    reply["StoreRevision"] = Json::Int64(this->revision);
    for (std::map<std::string, Item>::const_iterator item =
             this->items.lower_bound(prefix);
         item != this->items.end() && item->first.rfind(prefix, 0) == 0;
         ++item) {
      if (item->first <= after) {
        continue;
      }
      if (reply["items"].size() >= kMostItems) {
        reply["HasMore"] = true;
        break;
      }
      reply["items"].append(this->RowOf(item->first, item->second));
    }
    return Reply(200, reply);
  }
  if (request.path == "/v1/kv-txn") {
    const Response response = this->HandleTransaction(body);
    lock.unlock();
    this->changed.notify_all();
    return response;
  }
  if (request.path == "/v1/kv-lease") {
    const Ms duration(std::max<std::int64_t>(1000, body["TtlMs"].asInt64()));
    const std::int64_t lease = this->next_lease++;
    this->leases[lease] = Lease{duration, Clock::now() + duration};
    Json::Value reply;
    reply["Lease"] = Json::Int64(lease);
    reply["TtlMs"] = Json::Int64(duration.count());
    return Reply(200, reply);
  }
  const std::string keep = "/v1/kv-keep/";
  const std::string end = "/v1/kv-lease-end/";
  if (request.path.rfind(keep, 0) == 0) {
    const std::map<std::int64_t, Lease>::iterator found =
        this->leases.find(std::stoll(request.path.substr(keep.size())));
    if (found == this->leases.end()) {
      return Reply(404);
    }
    found->second.ends_at = Clock::now() + found->second.duration;
    return Reply(200);
  }
  if (request.path.rfind(end, 0) == 0) {
    const std::map<std::int64_t, Lease>::iterator found =
        this->leases.find(std::stoll(request.path.substr(end.size())));
    if (found != this->leases.end()) {
      found->second.ends_at = Clock::now();
    }
    return Reply(200);
  }
  return Reply(404);
}

Response Platform::HandleTransaction(const Json::Value& body) {
  bool holds = true;
  Json::Value conflict;
  conflict["items"] = Json::arrayValue;
  for (const Json::Value& row : body["ExpectedRev"]) {
    const std::string key = row["Key"].asString();
    const std::map<std::string, Item>::const_iterator found =
        this->items.find(key);
    const std::int64_t present =
        found == this->items.end() ? 0 : found->second.revision;
    holds = holds && present == row["Revision"].asInt64();
    if (found != this->items.end()) {
      conflict["items"].append(this->RowOf(key, found->second));
    } else {
      Json::Value absent;
      absent["Key"] = key;
      absent["Revision"] = 0;
      conflict["items"].append(absent);
    }
  }
  if (!holds) {
    return Reply(412, conflict);
  }
  if (body["ExpectedRev"].size() + body["SetKeys"].size() +
          body["Delete"].size() >
      32) {
    return Reply(400);
  }
  for (const Json::Value& row : body["SetKeys"]) {
    const std::string key = row["Key"].asString();
    if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
      return Reply(403);
    }
    const std::int64_t lease = row["Lease"].asInt64();
    if (lease != 0 && this->leases.count(lease) == 0) {
      return Reply(404);
    }
  }
  if (!body["SetKeys"].empty() || !body["Delete"].empty()) {
    ++this->revision;
  }
  for (const Json::Value& row : body["SetKeys"]) {
    this->Write(row["Key"].asString(), DecodeBase64(row["Value"].asString()),
                row["Lease"].asInt64());
  }
  for (const Json::Value& key : body["Delete"]) {
    this->Erase(key.asString());
  }
  Json::Value reply;
  reply["Revision"] = Json::Int64(this->revision);
  return Reply(200, reply);
}

std::optional<Response> Platform::HandleWatch(const Request& request) {
  const std::string prefix = QueryOf(request, "Prefix");
  const std::int64_t after = std::stoll(QueryOf(request, "After"));
  const Clock::time_point until =
      Clock::now() + Ms(std::stoll(QueryOf(request, "WaitMs")));
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    Json::Value reply;
    reply["events"] = Json::arrayValue;
    reply["StoreRevision"] = Json::Int64(this->revision);
    for (const Event& event : this->history) {
      if (event.revision <= after || event.key.rfind(prefix, 0) != 0) {
        continue;
      }
      Json::Value row;
      if (event.is_removal) {
        row["Key"] = event.key;
        row["Revision"] = Json::Int64(event.revision);
        row["Tombstone"] = true;
      } else {
        row = this->RowOf(event.key, event.item);
      }
      reply["events"].append(row);
    }
    if (!reply["events"].empty() || Clock::now() >= until ||
        this->is_stopping) {
      return Reply(200, reply);
    }
    this->changed.wait_until(lock, until);
  }
}

// --- Machines --------------------------------------------------------------

std::optional<Response> Platform::HandleCloud(const Request& request) {
  const Json::Value body = ReadJson(request.body);
  std::unique_lock<std::mutex> lock(this->mutex);
  if (request.path == "/v1/machines") {
    if (Clock::now() < this->cloud_silent_until) {
      this->Record("machines listed, the answer is lost");
      return std::nullopt;
    }
    Json::Value reply;
    reply["Machines"] = Json::arrayValue;
    for (const std::pair<const std::string, Machine>& entry : this->machines) {
      const Machine& machine = entry.second;
      Json::Value row;
      row["Machine"] = machine.name;
      row["Pool"] = machine.pool;
      row["State"] = machine.state;
      row["Zone"] = machine.zone;
      row["Id"] = machine.worker;
      const Worker& worker = this->workers.at(machine.name);
      row["Labels"].append(worker.kind);
      row["Labels"].append(worker.rack);
      row["Capacity"]["Cpu"] = worker.cpu;
      row["Capacity"]["MemMb"] = worker.mem_mb;
      row["Capacity"]["Gpu"] = 0;
      reply["Machines"].append(row);
    }
    reply["NextToken"] = Json::nullValue;
    return Reply(200, reply);
  }
  if (request.path != "/v1/machine-upkeep") {
    return Reply(400);
  }
  const std::string name = body["Machine"].asString();
  const std::int64_t wave = body["Wave"].asInt64();
  if (this->machines.count(name) == 0) {
    return Reply(400);
  }
  Machine& machine = this->machines.at(name);
  const std::string by = " by " + request.headers.at("x-lease-holder") +
                         " fence " + request.headers.at("x-fencing-token");
  Response response = Reply(200);
  if (machine.waves_done.count(wave) == 0) {
    if (machine.state != "up") {
      Json::Value reply;
      reply["Reason"] = "busy";
      response = Reply(409, reply);
    } else {
      machine.state = "upkeep";
      machine.wave = wave;
      machine.waves_done.insert(wave);
      machine.worker.clear();
      machine.back_at = Clock::now() + Ms(this->upkeep_ms);
      Worker& worker = this->workers.at(name);
      worker.is_up = false;
      worker.running.clear();
      worker.server->Stop();
      ++this->revision;
      this->Erase("servers/" + worker.id);
      this->Record("upkeep of " + name + " begins" + by);
      if (this->on_upkeep) {
        this->on_upkeep(machine);
      }
    }
  }
  const bool is_lost = Clock::now() < this->cloud_silent_until;
  this->Record("upkeep order for " + name + by + ": " +
               std::to_string(response.status) +
               (is_lost ? ", the answer is lost" : ""));
  lock.unlock();
  this->changed.notify_all();
  return is_lost ? std::nullopt : std::make_optional(response);
}

// --- Advice ----------------------------------------------------------------

// Handles the calls one at a time, in turn. All calls of a case come from the
// one leader of its only pool. A call that the caller has given up is handled
// in its turn like any other; its answer finds nobody.
std::optional<Response> Platform::HandleAdvice(const Request& request) {
  constexpr std::int64_t kMostWaiting = 32;
  const Json::Value body = ReadJson(request.body);
  const std::string step = body["Step"].asString();
  {
    std::unique_lock<std::mutex> lock(this->advice_mutex);
    // One call is handled, the others wait.
    if (this->advice_calls - this->advice_answers > kMostWaiting) {
      this->Record("advice for " + step + ": 429");
      return Reply(429);
    }
    const std::int64_t turn = this->advice_calls++;
    this->Record("advice for " + step + " is asked, " +
                 std::to_string(turn - this->advice_answers) + " before it");
    this->advice_changed.wait(lock, [this, turn]() {
      return this->advice_answers == turn || this->is_advice_stopping;
    });
    if (this->is_advice_stopping) {
      return std::nullopt;
    }
  }
  std::this_thread::sleep_for(
      Ms(this->decide_ms +
         this->each_ms * static_cast<int>(body["Workers"].size())));
  Json::Value reply;
  reply["Good"] = Json::arrayValue;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const Json::Value& id : body["Workers"]) {
      for (const std::pair<const std::string, Worker>& worker : this->workers) {
        if (worker.second.id == id.asString() && worker.second.is_up) {
          const std::string ticket =
              TicketOf(step, worker.second.id, worker.second.born);
          this->tickets[ticket] = Clock::now() + Ms(this->valid_ms);
          Json::Value row;
          row.append(id);
          row.append(ticket);
          reply["Good"].append(row);
        }
      }
    }
  }
  {
    const std::lock_guard<std::mutex> lock(this->advice_mutex);
    ++this->advice_answers;
  }
  this->advice_changed.notify_all();
  this->Record("advice for " + step + ": 200, " +
               std::to_string(reply["Good"].size()) + " of " +
               std::to_string(body["Workers"].size()) + " workers");
  return Reply(200, reply);
}

// --- Workers ---------------------------------------------------------------

void Platform::AddWorker(const std::string& name,
                         const std::string& pool,
                         const std::string& zone,
                         const std::string& kind,
                         const std::string& rack,
                         int cpu,
                         int mem_mb) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Worker& worker = this->workers[name];
  worker.machine = name;
  worker.id = "i-" + name;
  worker.pool = pool;
  worker.zone = zone;
  worker.kind = kind;
  worker.rack = rack;
  worker.cpu = cpu;
  worker.mem_mb = mem_mb;
  Machine& machine = this->machines[name];
  machine.name = name;
  machine.pool = pool;
  machine.zone = zone;
  this->Boot(&worker);
}

void Platform::Boot(Worker* worker) {
  worker->server = std::make_unique<Server>();
  const std::string name = worker->machine;
  worker->born = std::max(UnixMs(), worker->born + 1);
  const Handler handler = [this, name,
                           born = worker->born](const Request& request) {
    return this->HandleWorker(name, born, request);
  };
  if (!worker->server->Start(worker->port, handler)) {
    worker->server.reset();
    throw std::runtime_error("a worker cannot listen");
  }
  worker->port = worker->server->port();
  worker->is_up = true;
  worker->begun = Clock::now();
  worker->fence = 0;
  worker->lease_until = 0;
  worker->running.clear();
  worker->ended.clear();
  worker->next_end = 1;
  worker->last_run.clear();
  worker->seq = 0;
  this->machines.at(name).worker = worker->id;
  this->CheckIn(worker);
}

// Writes the worker's report about itself into the store.
void Platform::CheckIn(Worker* worker) {
  Json::Value entry;
  entry["Service"] = worker->pool;
  entry["Address"] = "127.0.0.1:" + std::to_string(worker->port);
  entry["Zone"] = worker->zone;
  entry["Version"] = "v1";
  entry["Slots"] = 8;
  entry["State"] = "ready";
  entry["ColdLeftMs"] = 0;
  entry["Seq"] = Json::Int64(++worker->seq);
  entry["Capacity"]["Cpu"] = worker->cpu;
  entry["Capacity"]["MemMb"] = worker->mem_mb;
  entry["Capacity"]["Gpu"] = 0;
  entry["Labels"].append(worker->kind);
  entry["Labels"].append(worker->rack);
  entry["ClockMs"] = Json::Int64(worker->ClockMs());
  entry["born"] = Json::Int64(worker->born);
  ++this->revision;
  this->Write("servers/" + worker->id, WriteJson(entry), 0);
  worker->next_check_in = Clock::now() + Ms(this->heartbeat_ms);
  this->changed.notify_all();
}

void Platform::CrashWorker(const std::string& name) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Worker& worker = this->workers.at(name);
  worker.is_up = false;
  worker.running.clear();
  worker.server->Stop();
  Machine& machine = this->machines.at(name);
  machine.state = "down";
  machine.worker.clear();
  this->Record("worker " + worker.id + " (kind " + worker.kind + ") crashes");
}

void Platform::BootWorker(const std::string& name, const std::string& kind) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Worker& worker = this->workers.at(name);
  worker.kind = kind;
  this->machines.at(name).state = "up";
  this->Boot(&worker);
  this->Record("worker " + worker.id + " starts again at its address, kind " +
               kind + " born " + std::to_string(worker.born));
}

const Step* Platform::StepOf(const std::string& task) const {
  const std::vector<std::string> parts = Split(task, '.');
  const std::map<std::string, Job>::const_iterator job =
      this->jobs.find(parts.empty() ? "" : parts[0]);
  if (job == this->jobs.end() || parts.size() != 4) {
    return nullptr;
  }
  const std::size_t step = std::stoul(parts[2]);
  return step < job->second.steps.size() ? &job->second.steps[step] : nullptr;
}

int Platform::IndexOf(const std::string& task) const {
  return std::stoi(task.substr(task.rfind('.') + 1));
}

void Platform::Extend(Worker* worker, const Json::Value& body) {
  if (body["UntilMs"].isInt64()) {
    worker->lease_until = std::max(
        worker->lease_until, std::min(body["UntilMs"].asInt64(),
                                      worker->ClockMs() + this->hold_max_ms));
  }
}

std::optional<Response> Platform::HandleWorker(const std::string& name,
                                               std::int64_t born,
                                               const Request& request) {
  const Json::Value body = ReadJson(request.body);
  std::unique_lock<std::mutex> lock(this->mutex);
  Worker& worker = this->workers.at(name);
  if (!worker.is_up || worker.born != born) {
    return std::nullopt;
  }
  const auto finish = [&worker](int status, Json::Value reply) {
    reply["ClockMs"] = Json::Int64(worker.ClockMs());
    reply["born"] = Json::Int64(worker.born);
    return Response{status, WriteJson(reply)};
  };
  const std::map<std::string, std::string>::const_iterator expected =
      request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != worker.id) {
    return finish(421, Json::Value(Json::objectValue));
  }
  const std::int64_t fence =
      body["FencingToken"].isInt64() ? body["FencingToken"].asInt64() : 0;
  if (fence < worker.fence) {
    Json::Value reply;
    reply["Reason"] = "fence";
    return finish(409, reply);
  }
  worker.fence = fence;
  if (request.path == "/v1/run-start") {
    const Response response = this->Start(&worker, body);
    const bool is_lost = this->lost_starts.erase(worker.machine) > 0;
    if (is_lost) {
      this->Record("the answer to that start is lost");
    }
    lock.unlock();
    this->changed.notify_all();
    return is_lost ? std::nullopt : std::make_optional(response);
  }
  if (request.path == "/v1/run-stop") {
    return this->Stop(&worker, body);
  }
  if (request.path == "/v1/pace") {
    this->Pace(&worker, body);
    return finish(200, Json::Value(Json::objectValue));
  }
  if (request.path != "/v1/hold") {
    return finish(404, Json::Value(Json::objectValue));
  }
  this->Extend(&worker, body);
  const std::int64_t seen =
      body["LastSeen"].isInt64() ? body["LastSeen"].asInt64() : 0;
  while (!worker.ended.empty() && worker.ended.front().number <= seen) {
    worker.ended.pop_front();
  }
  const Clock::time_point until =
      Clock::now() +
      Ms(body["WaitMs"].isInt64() ? body["WaitMs"].asInt64() : 0);
  while (worker.ended.empty() && Clock::now() < until && worker.is_up &&
         worker.born == born && !this->is_stopping) {
    this->changed.wait_until(lock, until);
  }
  if (!worker.is_up || worker.born != born) {
    return std::nullopt;
  }
  Json::Value reply;
  reply["Running"] = Json::arrayValue;
  reply["Ended"] = Json::arrayValue;
  for (const std::pair<const std::string, Run>& entry : worker.running) {
    const Run& run = entry.second;
    const Step* const step = this->StepOf(entry.first);
    Json::Value row;
    row.append(entry.first);
    row.append(Json::Int64(run.number));
    row.append(run.saved);
    int percent = 0;
    if (run.begun && step != nullptr) {
      const int worked = static_cast<int>(
          std::chrono::duration_cast<Ms>(Clock::now() - *run.begun).count());
      percent = step->long_running
                    ? 100
                    : std::clamp(100 * (run.begun_progress_ms + worked) /
                                     std::max(1, step->duration_ms),
                                 0, 99);
    }
    int load = run.begun && step != nullptr ? step->cpu : 0;
    if (step != nullptr && step->fills) {
      percent = run.percent;
      load = step->cpu * run.percent / 100;
    }
    if (step != nullptr && step->target_ms > 0) {
      load = static_cast<int>(MeanOf(worker.tails));
    }
    row.append(percent);
    row.append(load);
    reply["Running"].append(row);
  }
  for (const End& end : worker.ended) {
    if (reply["Ended"].size() >= kMostEnds) {
      break;
    }
    Json::Value row;
    row.append(Json::Int64(end.number));
    row.append(end.task);
    row.append(Json::Int64(end.run));
    row.append(end.how);
    row.append(end.saved);
    reply["Ended"].append(row);
  }
  return finish(200, reply);
}

Response Platform::Start(Worker* worker, const Json::Value& body) {
  Json::Value reply;
  reply["ClockMs"] = Json::Int64(worker->ClockMs());
  reply["born"] = Json::Int64(worker->born);
  const std::string task = body["Task"].asString();
  const std::int64_t number = body["Run"].asInt64();
  const std::string checkpoint =
      body["Checkpoint"].isString() ? body["Checkpoint"].asString() : "";
  const std::string what = "start " + task + " run " + std::to_string(number) +
                           " at " + worker->id + " kind " + worker->kind +
                           " checkpoint '" + checkpoint + "'";
  const auto refuse = [&](const std::string& reason) {
    reply["Reason"] = reason;
    this->Record(what + ": 409 " + reason);
    return Reply(409, reply);
  };
  const std::map<std::string, Run>::iterator found = worker->running.find(task);
  if (found != worker->running.end() && found->second.number == number) {
    this->Extend(worker, body);
    return Reply(200, reply);
  }
  const std::map<std::string, std::int64_t>::const_iterator last =
      worker->last_run.find(task);
  if (found != worker->running.end() ||
      (last != worker->last_run.end() && number <= last->second)) {
    this->Extend(worker, body);
    return refuse("old");
  }
  if (body["UntilMs"].asInt64() <= worker->ClockMs()) {
    return refuse("late");
  }
  this->Extend(worker, body);
  if (this->decide_ms > 0) {
    const std::string ticket = TicketOf(GangOf(task), worker->id, worker->born);
    const std::map<std::string, Clock::time_point>::const_iterator valid =
        this->tickets.find(ticket);
    if (body["Ticket"].asString() != ticket || valid == this->tickets.end() ||
        Clock::now() > valid->second) {
      return refuse("ticket");
    }
  }
  const Step* const step = this->StepOf(task);
  int cpu = step == nullptr || step->fills ? 0 : step->cpu;
  int mem_mb = step == nullptr ? 0 : step->mem_mb;
  for (const std::pair<const std::string, Run>& entry : worker->running) {
    const Step* const other = this->StepOf(entry.first);
    cpu += other == nullptr || other->fills ? 0 : other->cpu;
    mem_mb += other == nullptr ? 0 : other->mem_mb;
  }
  if (cpu > worker->cpu || mem_mb > worker->mem_mb) {
    return refuse("room");
  }
  Run run;
  run.number = number;
  run.checkpoint = checkpoint;
  run.saved = checkpoint;
  run.saved_progress_ms = ProgressOf(checkpoint);
  run.begun_progress_ms = run.saved_progress_ms;
  run.arrived = Clock::now();
  if (step == nullptr || !step->gang) {
    run.begun = run.arrived + Ms(checkpoint.empty() ? 0 : this->restore_ms);
  }
  worker->running[task] = run;
  this->Record(what + ": 200");
  if (this->on_start) {
    this->on_start(*worker, task, run);
  }
  this->CompleteGangs();
  return Reply(200, reply);
}

void Platform::Pace(Worker* worker, const Json::Value& body) {
  const std::string task = body["Task"].asString();
  const std::map<std::string, Run>::iterator found = worker->running.find(task);
  if (found == worker->running.end() ||
      found->second.number != body["Run"].asInt64()) {
    return;
  }
  found->second.next_percent = body["Percent"].asInt();
  found->second.next_percent_at = Clock::now() + Ms(this->pace_ms);
  this->Record("pace " + task + " at " + worker->id + ": " +
               std::to_string(found->second.next_percent));
}

// Work of the tasks that fill, and what it does to those that serve.
void Platform::AdvanceFilling(Worker* worker) {
  const Clock::time_point now = Clock::now();
  const double passed =
      worker->advanced_at == Clock::time_point()
          ? 0.0
          : std::chrono::duration<double, std::milli>(now - worker->advanced_at)
                .count();
  worker->advanced_at = now;
  bool serves = false;
  int filling = 0;
  double share = 0.0;
  for (std::pair<const std::string, Run>& entry : worker->running) {
    Run& run = entry.second;
    const Step* const step = this->StepOf(entry.first);
    if (step == nullptr) {
      continue;
    }
    serves = serves || step->target_ms > 0;
    if (!step->fills) {
      continue;
    }
    if (run.next_percent != run.percent && now >= run.next_percent_at) {
      run.percent = run.next_percent;
    }
    run.worked_ms += passed * run.percent / 100.0;
    share += run.percent / 100.0;
    filling += run.percent > 0 ? 1 : 0;
  }
  if (!serves) {
    return;
  }
  const double tail = this->calm_tail_ms + this->harm_ms * share;
  worker->tails.emplace_back(now, tail);
  while (now - worker->tails.front().first > Ms(500)) {
    worker->tails.pop_front();
  }
  if (this->on_tail) {
    this->on_tail(*worker, MeanOf(worker->tails), filling);
  }
}

Response Platform::Stop(Worker* worker, const Json::Value& body) {
  Json::Value reply;
  reply["ClockMs"] = Json::Int64(worker->ClockMs());
  reply["born"] = Json::Int64(worker->born);
  const std::string task = body["Task"].asString();
  const std::int64_t number = body["Run"].asInt64();
  this->Record("stop " + task + " run " + std::to_string(number) + " at " +
               worker->id);
  const std::map<std::string, Run>::iterator found = worker->running.find(task);
  if (found != worker->running.end() && found->second.number == number) {
    if (!found->second.stop_at) {
      found->second.stop_at = Clock::now() + Ms(this->stop_ms / 3);
    }
  } else {
    std::int64_t& last = worker->last_run[task];
    last = std::max(last, number);
  }
  return Reply(200, reply);
}

void Platform::EndRun(Worker* worker,
                      const std::string& task,
                      const std::string& how) {
  const Run run = worker->running.at(task);
  const Step* const step = this->StepOf(task);
  End end;
  end.number = worker->next_end++;
  end.task = task;
  end.run = run.number;
  end.how = how;
  end.saved = run.saved;
  if (how == "stopped" && run.begun && step != nullptr && step->checkpoints) {
    const int progress =
        run.begun_progress_ms +
        static_cast<int>(
            std::chrono::duration_cast<Ms>(Clock::now() - *run.begun).count());
    end.saved = CheckpointOf(task, progress);
  }
  worker->running.erase(task);
  std::int64_t& last = worker->last_run[task];
  last = std::max(last, run.number);
  worker->ended.push_back(end);
  this->Record("end " + task + " run " + std::to_string(run.number) + " at " +
               worker->id + ": " + how + " saved '" + end.saved + "'");
  if (this->on_end) {
    this->on_end(*worker, end);
  }
  this->changed.notify_all();
  if (step != nullptr && step->gang && how != "done" && how != "broken" &&
      run.begun) {
    this->BreakGang(task, run.number);
  }
}

// Ends the other members of the gang's run that are at work.
void Platform::BreakGang(const std::string& task, std::int64_t run) {
  for (std::pair<const std::string, Worker>& worker : this->workers) {
    std::vector<std::string> members;
    for (const std::pair<const std::string, Run>& entry :
         worker.second.running) {
      if (GangOf(entry.first) == GangOf(task) && entry.second.number == run) {
        members.push_back(entry.first);
      }
    }
    for (const std::string& member : members) {
      this->EndRun(&worker.second, member, "broken");
    }
  }
}

// The members of one run of a gang begin to work once all are there. They go on
// from one checkpoint, so all must carry the same value.
void Platform::CompleteGangs() {
  struct Members {
    std::vector<Run*> runs;
    int count = 0;
  };
  std::map<std::string, Members> gangs;
  for (std::pair<const std::string, Worker>& worker : this->workers) {
    for (std::pair<const std::string, Run>& entry : worker.second.running) {
      const Step* const step = this->StepOf(entry.first);
      if (step != nullptr && step->gang && !entry.second.begun) {
        Members& members = gangs[GangOf(entry.first) + "/" +
                                 std::to_string(entry.second.number) + "/" +
                                 entry.second.checkpoint];
        members.runs.push_back(&entry.second);
        members.count = step->count;
      }
    }
  }
  for (std::pair<const std::string, Members>& gang : gangs) {
    if (static_cast<int>(gang.second.runs.size()) == gang.second.count) {
      this->Record("gang " + gang.first + " is complete and works");
      for (Run* const run : gang.second.runs) {
        run->begun =
            Clock::now() + Ms(run->checkpoint.empty() ? 0 : this->restore_ms);
      }
    }
  }
}

void Platform::Advance(Worker* worker) {
  const Clock::time_point now = Clock::now();
  this->AdvanceFilling(worker);
  if (worker->lease_until > 0 && worker->ClockMs() > worker->lease_until) {
    while (!worker->running.empty()) {
      this->EndRun(worker, worker->running.begin()->first, "lapsed");
    }
  }
  std::vector<std::pair<std::string, std::string>> ends;
  for (std::pair<const std::string, Run>& entry : worker->running) {
    Run& run = entry.second;
    const Step* const step = this->StepOf(entry.first);
    if (run.stop_at && now >= *run.stop_at) {
      ends.emplace_back(entry.first, "stopped");
      continue;
    }
    if (step == nullptr) {
      continue;
    }
    if (!run.begun) {
      if (now - run.arrived > Ms(this->gang_ms)) {
        ends.emplace_back(entry.first, "alone");
      }
      continue;
    }
    const int progress =
        step->fills
            ? static_cast<int>(run.worked_ms)
            : run.begun_progress_ms +
                  static_cast<int>(
                      std::chrono::duration_cast<Ms>(now - *run.begun).count());
    if (step->checkpoints &&
        progress >= run.saved_progress_ms + 1000 * this->checkpoint_s) {
      run.saved_progress_ms = progress;
      run.saved = CheckpointOf(entry.first, progress);
    }
    if (this->IndexOf(entry.first) == 0 && step->failures > 0 &&
        progress >= step->fails_after_ms) {
      Job& job = this->jobs.at(entry.first.substr(0, entry.first.find('.')));
      --job.steps[static_cast<std::size_t>(step - job.steps.data())].failures;
      ends.emplace_back(entry.first, "failed");
    } else if (!step->long_running && progress >= step->duration_ms) {
      ends.emplace_back(entry.first, "done");
    }
  }
  for (const std::pair<std::string, std::string>& end : ends) {
    if (worker->running.count(end.first) != 0) {
      this->EndRun(worker, end.first, end.second);
    }
  }
}

void Platform::Tick() {
  const Clock::time_point now = Clock::now();
  for (std::map<std::int64_t, Lease>::iterator lease = this->leases.begin();
       lease != this->leases.end();) {
    if (now < lease->second.ends_at) {
      ++lease;
      continue;
    }
    ++this->revision;
    std::vector<std::string> expired;
    for (const std::pair<const std::string, Item>& item : this->items) {
      if (item.second.lease == lease->first) {
        expired.push_back(item.first);
      }
    }
    for (const std::string& key : expired) {
      this->Erase(key);
    }
    lease = this->leases.erase(lease);
    this->changed.notify_all();
  }
  for (std::pair<const std::string, Worker>& entry : this->workers) {
    if (entry.second.is_up) {
      this->Advance(&entry.second);
      if (now >= entry.second.next_check_in) {
        this->CheckIn(&entry.second);
      }
    }
  }
  for (std::pair<const std::string, Machine>& entry : this->machines) {
    Machine& machine = entry.second;
    if (machine.back_at && now >= *machine.back_at) {
      machine.back_at.reset();
      machine.state = "up";
      Worker& worker = this->workers.at(machine.name);
      // A worker is one life of a machine.
      worker.id = "i-" + machine.name + "-" + std::to_string(UnixMs());
      worker.port = 0;
      this->Boot(&worker);
      this->Record("upkeep of " + machine.name + " is over");
    }
  }
}

// --- Entry instances and clients -------------------------------------------

bool Platform::StartEntry(const std::string& node, const std::string& zone) {
  std::ifstream source(this->root + "/deploy/settings.toml");
  std::stringstream text;
  text << source.rdbuf();
  std::string settings = text.str();
  const std::string front = "127.0.0.1:" + std::to_string(FreePort());
  const std::string ready = "127.0.0.1:" + std::to_string(FreePort());
  const std::map<std::string, std::string> fields = {
      {"Node", node},
      {"Zone", zone},
      {"Ip", "127.0.0.1"},
      {"Bounds.RevokeMs", "5000"},
      {"Bounds.GraceS", "6"},
      {"Bounds.status_s", "120"},
      {"Bounds.HoldMaxMs", std::to_string(this->hold_max_ms)},
      {"Bounds.StopMs", std::to_string(this->stop_ms)},
      {"Listen.Front", front},
      {"Listen.Ready", ready},
      {"PortRange.0", std::to_string(FreePort())},
      {"platform.Address", this->store.address()},
      {"Cloud.Address", this->cloud.address()},
      {"Advice", this->advice.address()},
      {"Limits.CpuShare", "0.25"},
      {"Limits.Cores", "1"}};
  for (const std::pair<const std::string, std::string>& field : fields) {
    const std::string mark = "{{" + field.first + "}}";
    for (std::size_t at = settings.find(mark); at != std::string::npos;
         at = settings.find(mark)) {
      settings.replace(at, mark.size(), field.second);
    }
  }
  if (settings.empty() || settings.find("{{") != std::string::npos) {
    this->Record("the template of the settings has unknown fields");
    return false;
  }
  const std::string path = this->folder + "/" + node + ".toml";
  std::ofstream(path) << settings;
  const std::string log = this->folder + "/" + node + ".log";
  const std::string program = this->root + "/target/bin/daisyroad-izarra";
  if (!std::filesystem::exists(program)) {
    this->Record("the program is not built");
    return false;
  }
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  posix_spawn_file_actions_addchdir_np(&files, this->root.c_str());
  std::vector<std::string> variables = {"DAISYROAD_SETTINGS=" + path};
  for (const char* const name : {"PATH", "HOME", "LANG"}) {
    const char* const value = std::getenv(name);
    if (value != nullptr) {
      variables.push_back(std::string(name) + "=" + value);
    }
  }
  std::vector<char*> environment;
  for (std::string& variable : variables) {
    environment.push_back(variable.data());
  }
  environment.push_back(nullptr);
  std::string argument = program;
  char* arguments[] = {argument.data(), nullptr};
  pid_t child = 0;
  const int failure = ::posix_spawn(&child, program.c_str(), &files, nullptr,
                                    arguments, environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (failure != 0) {
    this->Record("the program cannot be started");
    return false;
  }
  this->entries.push_back(child);
  if (g_entry_count < kMostEntries) {
    g_entries[g_entry_count] = child;
    g_entry_count = g_entry_count + 1;
  }
  this->logs.push_back(log);
  this->front_list.push_back(front);
  this->ready_list.push_back(ready);
  this->Record("entry instance " + node + " starts, callers at " + front);
  return true;
}

bool Platform::AwaitReady(int timeout_ms) {
  const Clock::time_point until = Clock::now() + Ms(timeout_ms);
  while (Clock::now() < until) {
    const bool is_ready = std::all_of(
        this->ready_list.begin(), this->ready_list.end(),
        [](const std::string& address) {
          return Call("GET", address, "/v1/readiness", {{"Host", "r"}}, "", 500)
                     .status == 200;
        });
    if (is_ready) {
      return true;
    }
    std::this_thread::sleep_for(Ms(100));
  }
  return false;
}

bool Platform::AreEntriesAlive() {
  return std::all_of(
      this->entries.begin(), this->entries.end(),
      [](pid_t child) { return ::waitpid(child, nullptr, WNOHANG) == 0; });
}

void Platform::StopEntries() {
  for (const pid_t child : this->entries) {
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
  }
  g_entry_count = 0;
  // Kept for the reader if asked for.
  const char* const keep = std::getenv("KEEP_LOGS");
  if (keep != nullptr) {
    for (const std::string& log : this->logs) {
      std::error_code ignored;
      std::filesystem::copy_file(
          log,
          std::string(keep) + "/" +
              std::filesystem::path(log).filename().string(),
          std::filesystem::copy_options::overwrite_existing, ignored);
    }
  }
  this->entries.clear();
  this->logs.clear();
  this->front_list.clear();
  this->ready_list.clear();
}

Response Platform::Send(std::size_t entry,
                        const std::string& method,
                        const std::string& path,
                        const std::string& key,
                        const std::string& body) {
  std::map<std::string, std::string> headers = {{"Host", "host.example"},
                                                {"X-Request-Deadline", "3000"}};
  if (!key.empty()) {
    headers["Authorization"] = "Bearer " + key;
  }
  const Response response =
      Call(method, this->front_list[entry % this->front_list.size()], path,
           headers, body, 4000);
  this->Record(method + " " + path + " at entry " +
               std::to_string(entry % this->front_list.size()) + ": " +
               std::to_string(response.status) + " " + response.body);
  return response;
}

bool Platform::Submit(std::size_t entry,
                      const std::string& prefix,
                      const std::string& key,
                      const Job& job) {
  Json::Value body;
  body["Spec"] = "spec of " + job.id;
  for (const Step& step : job.steps) {
    Json::Value row;
    row["Count"] = step.count;
    row["Cpu"] = step.cpu;
    row["MemMb"] = step.mem_mb;
    row["EstimateMs"] = step.duration_ms;
    if (step.long_running) {
      row["LongRunning"] = true;
    }
    if (step.gang) {
      row["Gang"] = true;
    }
    if (step.checkpoints) {
      row["Checkpoints"] = true;
    }
    if (!step.label.empty()) {
      row["RequiredLabel"] = step.label;
    }
    if (step.may_miss > 0) {
      row["MayMiss"] = step.may_miss;
    }
    if (step.max_per_server > 0) {
      row["MaxPerServer"] = step.max_per_server;
    }
    if (!step.image.empty()) {
      row["Image"] = step.image;
    }
    if (step.target_ms > 0) {
      row["TargetMs"] = step.target_ms;
    }
    if (step.fills) {
      row["Fills"] = true;
    }
    for (const int before : step.after) {
      row["After"].append(before);
    }
    body["Steps"].append(row);
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->jobs[job.id] = job;
  }
  const Clock::time_point until = Clock::now() + Ms(10000);
  while (Clock::now() < until) {
    const Response response =
        this->Send(entry++, "POST", prefix + job.id, key, WriteJson(body));
    if (response.status / 100 == 2) {
      return true;
    }
    std::this_thread::sleep_for(Ms(200));
  }
  return false;
}

std::string Platform::StateOf(std::size_t entry,
                              const std::string& prefix,
                              const std::string& key,
                              const std::string& job) {
  const Response response = this->Send(entry, "GET", prefix + job, key, "");
  return response.status == 200 ? ReadJson(response.body)["State"].asString()
                                : std::to_string(response.status);
}

}  // namespace review
