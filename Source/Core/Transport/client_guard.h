#ifndef SOURCE_CORE_TRANSPORT_CLIENT_GUARD_H_
#define SOURCE_CORE_TRANSPORT_CLIENT_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Transport/request_budget.h"

namespace daisyroad {

class MetricsRegistry;

// Applies the RequestBudget to the connections of all ports of a process.
// Thread-safe.
class ClientGuard : public std::enable_shared_from_this<ClientGuard> {
 public:
  // One connection.
  class Client {
   public:
    Client(std::shared_ptr<ClientGuard> guard, std::uint64_t id);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Returns false if the connection must be closed.
    bool Receive(std::size_t bytes);
    // Returns false if the connection was closed meanwhile: the request must
    // not run.
    bool Pass();
    void AwaitRequest();
    // Bytes of the response that are being sent: a part of a large one.
    void Send(std::size_t bytes);
    // The body is over the limit.
    void Refuse();
    // Ends the charge. Must be called before the socket is closed.
    void Close();
    bool is_refused() const { return this->refused; }
    bool is_sending() const { return this->sending; }

   private:
    std::shared_ptr<ClientGuard> guard;
    std::uint64_t id;
    bool refused = false;
    bool sending = false;
  };

  // Lowers the limit of connections if the descriptors of the process do not
  // suffice. `metrics` may be null.
  ClientGuard(const CallerLimits& limits, MetricsRegistry* metrics);

  // Of untrusted clients.
  std::size_t max_connections() const { return this->limits.connections; }
  std::unique_ptr<Client> Open(int descriptor,
                               const std::string& address,
                               bool is_trusted);
  // To be called about every second: closes what is out of time, updates the
  // metrics and writes the log line.
  void Tick();

 private:
  void Shut(const std::vector<ClosedClient>& closed);
  void Count(const char* reason);
  std::string TakeLine(MonotonicTime now);

  const CallerLimits limits;
  MetricsRegistry* metrics;
  std::mutex mutex;
  RequestBudget budget;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, int> descriptors;
  std::map<std::string, int> refusals;  // by reason, since the last log line
  MonotonicTime next_line;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_CLIENT_GUARD_H_
