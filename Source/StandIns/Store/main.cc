// standin-store: stand-in for the key-value store of the platform. Implements
// the part of the Consul KV HTTP API that HttpStoreClient uses. GET
// /standin/calls returns the number of calls; a blocking watch counts as one.

#include <cstdint>
#include <list>
#include <string>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Platform/base64.h"
#include "Core/Transport/event_loop.h"
#include "StandIns/Common/fault_settings.h"
#include "StandIns/Common/json_reply.h"
#include "StandIns/Common/run_stand_in.h"
#include "StandIns/Store/store_state.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::uint16_t, port, 18000, "port on 127.0.0.1");

namespace daisyroad {
namespace {

constexpr char kKeyPathPrefix[] = "/v1/kv/";
constexpr Milliseconds kDefaultWait{300000};

struct PendingWatch {
  std::string key;
  std::uint64_t known_version = 0;
  MonotonicTime deadline;
  HttpResponder respond;
};

std::optional<std::uint64_t> ParseCas(const HttpRequest& request) {
  const std::string text = request.Query("cas");
  if (text.empty()) {
    return std::nullopt;
  }
  return std::stoull(text);
}

Json::Value ToJson(const StoreEntry& entry) {
  Json::Value item;
  item["Key"] = entry.key;
  item["Value"] = EncodeBase64(entry.value);
  item["ModifyIndex"] = Json::UInt64(entry.version);
  return item;
}

class StoreServer {
 public:
  explicit StoreServer(EventLoop* loop) : loop(loop) {
    loop->Every(Milliseconds(20), [this]() { this->AnswerPendingWatches(); });
  }

  void Handle(const HttpRequest& request, const HttpResponder& respond) {
    if (request.path == "/standin/faults") {
      respond(SetFaults(request, &this->faults));
      return;
    }
    if (request.path == "/standin/calls") {
      Json::Value body;
      body["reads"] = Json::UInt64(this->reads);
      body["writes"] = Json::UInt64(this->writes);
      body["watches"] = Json::UInt64(this->watches);
      respond(JsonReply(200, body));
      return;
    }
    if (!this->faults.Receives(request)) {
      return;
    }
    if (this->faults.delay.count() == 0) {
      this->Serve(request, respond);
      return;
    }
    this->loop->After(this->faults.delay, [this, request, respond]() {
      if (this->faults.Receives(request)) {
        this->Serve(request, respond);
      }
    });
  }

 private:
  void Serve(const HttpRequest& request, const HttpResponder& respond) {
    if (request.path.rfind(kKeyPathPrefix, 0) != 0) {
      respond(JsonReply(404, Json::Value(Json::objectValue)));
      return;
    }
    const std::string key = request.path.substr(sizeof(kKeyPathPrefix) - 1);
    try {
      if (request.method == "GET") {
        this->ServeRead(request, key, respond);
      } else {
        this->ServeWrite(request, key, respond);
      }
    } catch (const std::exception&) {
      respond(JsonReply(400, "malformed number in the query"));
    }
  }

  void ServeRead(const HttpRequest& request,
                 const std::string& key,
                 const HttpResponder& respond) {
    if (request.query.count("recurse") != 0) {
      ++this->reads;
      Json::Value list(Json::arrayValue);
      for (const StoreEntry& entry : this->state.List(key)) {
        list.append(ToJson(entry));
      }
      respond(JsonReply(list.empty() ? 404 : 200, list));
      return;
    }
    if (request.query.count("index") == 0) {
      ++this->reads;
      this->AnswerEntry(key, respond);
      return;
    }
    ++this->watches;
    PendingWatch watch;
    watch.key = key;
    watch.known_version = std::stoull(request.Query("index"));
    const std::string wait = request.Query("wait");
    watch.deadline =
        std::chrono::steady_clock::now() +
        (wait.empty() ? kDefaultWait : Milliseconds(std::stoll(wait)));
    watch.respond = respond;
    if (this->state.LastChangeVersion(key) != watch.known_version) {
      this->AnswerEntry(key, respond);
      return;
    }
    this->pending_watches.push_back(std::move(watch));
  }

  void ServeWrite(const HttpRequest& request,
                  const std::string& key,
                  const HttpResponder& respond) {
    ++this->writes;
    const bool written =
        request.method == "DELETE"
            ? this->state.Delete(key, ParseCas(request))
            : this->state.Put(key, request.body, ParseCas(request));
    if (written) {
      this->AnswerPendingWatches();
    }
    if (!this->faults.DropNextAnswer()) {
      respond(JsonReply(200, written));
    }
  }

  void AnswerEntry(const std::string& key, const HttpResponder& respond) {
    const std::optional<StoreEntry> entry = this->state.Get(key);
    Json::Value list(Json::arrayValue);
    if (entry) {
      list.append(ToJson(*entry));
    }
    respond(JsonReply(entry ? 200 : 404, list));
  }

  void AnswerPendingWatches() {
    if (this->faults.down) {
      return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (auto watch = this->pending_watches.begin();
         watch != this->pending_watches.end();) {
      if (this->state.LastChangeVersion(watch->key) != watch->known_version ||
          now >= watch->deadline) {
        this->AnswerEntry(watch->key, watch->respond);
        watch = this->pending_watches.erase(watch);
      } else {
        ++watch;
      }
    }
  }

  EventLoop* loop;
  FaultSettings faults;
  StoreState state;
  std::list<PendingWatch> pending_watches;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
};

int Main() {
  InitializeLogging(LogLevel::kWarning);
  EventLoop loop;
  StoreServer store(&loop);
  return RunStandIn(
      absl::GetFlag(FLAGS_port), &loop,
      [&store](const HttpRequest& request, const HttpResponder& respond) {
        store.Handle(request, respond);
      });
}

}  // namespace
}  // namespace daisyroad

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return daisyroad::Main();
}
