#ifndef SOURCE_UNITTESTS_IZARRA_PLATFORM_STAND_IN_H_
#define SOURCE_UNITTESTS_IZARRA_PLATFORM_STAND_IN_H_

#include <json/value.h>

#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_message.h"
#include "Core/Transport/http_server.h"

namespace daisyroad::platform {

// The parts of the platform that an entry instance needs, on one port of
// 127.0.0.1: the metadata store, an empty list of machines, and one worker,
// whose runs end as done at once. Time limits of leases are kept; rate limits
// are not.
class PlatformStandIn {
 public:
  // Throws std::runtime_error if no port can be bound.
  explicit PlatformStandIn(const std::string& worker);
  ~PlatformStandIn();
  PlatformStandIn(const PlatformStandIn&) = delete;
  PlatformStandIn& operator=(const PlatformStandIn&) = delete;

  std::string address() const;
  std::uint16_t port() const { return this->server.port(); }
  // Writes and removes entries as operators and workers do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The entry under which the worker would register itself.
  std::string WorkerEntry(const std::string& pool) const;

  // Keys in the store with this prefix.
  std::vector<std::string> Keys(const std::string& prefix) const;
  std::string Value(const std::string& key) const;
  // Tasks that were started on the worker, in order.
  std::vector<std::string> Starts() const;
  // Reads of the entries of the workers.
  int WorkerReads() const;

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    Milliseconds duration{0};
    MonotonicTime ends_at;
  };
  struct Event {
    std::string key;
    std::int64_t revision = 0;
    bool is_removal = false;
    std::string value;
  };
  struct Watch {
    std::string prefix;
    std::int64_t after = 0;
    MonotonicTime until;
    HttpResponder respond;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse HandleRange(const HttpRequest& request);
  HttpResponse HandleKey(const HttpRequest& request);
  HttpResponse HandleTransaction(const Json::Value& body);
  HttpResponse HandleLease(const Json::Value& body);
  HttpResponse HandleKeep(std::int64_t lease);
  HttpResponse HandleWorker(const HttpRequest& request,
                            const Json::Value& body);
  void HandleWatch(const HttpRequest& request, const HttpResponder& respond);

  Json::Value RowOf(const std::string& key, const Item& item) const;
  void Write(const std::string& key,
             const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  void ExpireLeases();
  void AnswerWatches();

  std::string worker;
  EventLoop loop;
  HttpServer server;
  mutable std::mutex mutex;
  std::map<std::string, Item> items;
  std::map<std::int64_t, Lease> leases;
  std::vector<Event> history;
  std::list<Watch> watches;
  std::int64_t revision = 10;
  std::int64_t next_lease = 1;
  int worker_reads = 0;
  // Rows of run ends, as in the worker's report.
  Json::Value ends = Json::Value(Json::arrayValue);
  std::vector<std::string> starts;
  std::thread thread;
};

}  // namespace daisyroad::platform

#endif  // SOURCE_UNITTESTS_IZARRA_PLATFORM_STAND_IN_H_
