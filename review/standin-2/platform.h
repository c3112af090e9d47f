// Stand-in of the platform: its metadata store and its list of machines.
#ifndef REVIEW_STANDIN_2_PLATFORM_H_
#define REVIEW_STANDIN_2_PLATFORM_H_

#include <json/value.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

using Clock = std::chrono::steady_clock;

std::string ToText(const Json::Value& json);
Json::Value ToJson(const std::string& text);

class Platform {
 public:
  // `machines` returns the rows of the list of machines.
  explicit Platform(std::function<Json::Value()> machines);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  std::string address() const { return this->server->address(); }
  // Writes an entry as the operator and the workers do.
  void Put(const std::string& key, const Json::Value& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;  // base64
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool is_removal = false;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    Clock::time_point ends_at;
  };

  Response Handle(const Request& request);
  Response List(const Request& request);
  Response Watch(const Request& request);
  Response Commit(const Json::Value& body);
  Response HandleLease(const Request& request);
  Response HandleMachines(const Request& request);
  Json::Value RowOf(const std::string& key, const Item& item) const;
  void Write(const std::string& key,
             const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  void ExpireLeases();

  std::function<Json::Value()> machines;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 10;
  std::int64_t next_lease = 100;
  std::atomic<bool> stopping = false;
  std::unique_ptr<HttpServer> server;
  std::thread ticker;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_PLATFORM_H_
