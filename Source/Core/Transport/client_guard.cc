#include "Core/Transport/client_guard.h"

#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"

namespace daisyroad {
namespace {

constexpr std::chrono::seconds kLineInterval{10};
// Descriptors for files, peers, workers and stores.
constexpr std::size_t kReservedDescriptors = 500;
constexpr std::size_t kMinConnections = 16;

// A server whose process has no descriptor left stops accepting for good.
CallerLimits FitDescriptors(CallerLimits limits) {
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    return limits;
  }
  const std::size_t available = descriptors.rlim_cur;
  const std::size_t connections =
      available > kReservedDescriptors + kMinConnections
          ? available - kReservedDescriptors
          : kMinConnections;
  if (limits.connections > connections) {
    CLOG(WARNING, kTransportLog)
        << "event=connections_lowered from=" << limits.connections
        << " to=" << connections << " descriptors=" << available;
    limits.connections = connections;
  }
  return limits;
}

const char* NameOf(ClosingReason reason) {
  switch (reason) {
    case ClosingReason::kMemory:
      return "memory";
    case ClosingReason::kConnections:
      return "connections";
    case ClosingReason::kTime:
      return "time";
  }
  return "";
}

}  // namespace

ClientGuard::Client::Client(std::shared_ptr<ClientGuard> guard,
                            std::uint64_t id)
    : guard(std::move(guard)), id(id) {}

ClientGuard::Client::~Client() {
  this->Close();
}

void ClientGuard::Client::Close() {
  const std::lock_guard<std::mutex> lock(this->guard->mutex);
  this->guard->descriptors.erase(this->id);
  this->guard->budget.Close(this->id);
}

bool ClientGuard::Client::Receive(std::size_t bytes) {
  const std::lock_guard<std::mutex> lock(this->guard->mutex);
  this->guard->Shut(this->guard->budget.Receive(
      this->id, bytes, std::chrono::steady_clock::now()));
  return this->guard->budget.IsOpen(this->id);
}

bool ClientGuard::Client::Pass() {
  const std::lock_guard<std::mutex> lock(this->guard->mutex);
  this->guard->budget.Pass(this->id);
  return this->guard->budget.IsOpen(this->id);
}

void ClientGuard::Client::AwaitRequest() {
  const std::lock_guard<std::mutex> lock(this->guard->mutex);
  this->guard->budget.AwaitRequest(this->id, std::chrono::steady_clock::now());
}

void ClientGuard::Client::Send(std::size_t bytes) {
  this->sending = bytes > 0;
  const std::lock_guard<std::mutex> lock(this->guard->mutex);
  this->guard->Shut(this->guard->budget.Send(this->id, bytes,
                                             std::chrono::steady_clock::now()));
}

void ClientGuard::Client::Refuse() {
  const std::lock_guard<std::mutex> lock(this->guard->mutex);
  this->refused = true;
  this->guard->Count("size");
}

ClientGuard::ClientGuard(const CallerLimits& limits, MetricsRegistry* metrics)
    : limits(FitDescriptors(limits)), metrics(metrics), budget(this->limits) {}

std::unique_ptr<ClientGuard::Client>
ClientGuard::Open(int descriptor, const std::string& address, bool is_trusted) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t id = ++this->last_id;
  this->descriptors[id] = descriptor;
  this->Shut(this->budget.Open(id, address, is_trusted,
                               std::chrono::steady_clock::now()));
  return std::make_unique<Client>(this->shared_from_this(), id);
}

void ClientGuard::Tick() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  std::unique_lock<std::mutex> lock(this->mutex);
  this->Shut(this->budget.Expire(now));
  if (this->metrics != nullptr) {
    this->metrics->Gauge("daisyroad_client_bytes") =
        static_cast<std::int64_t>(this->budget.bytes());
    this->metrics->Gauge("daisyroad_client_connections") =
        static_cast<std::int64_t>(this->budget.connections());
  }
  if (!this->refusals.empty() && now >= this->next_line) {
    const std::string line = this->TakeLine(now);
    lock.unlock();
    CLOG(WARNING, kTransportLog) << line;
  }
}

// The connection's own thread sees the end of the stream and closes it.
void ClientGuard::Shut(const std::vector<ClosedClient>& closed) {
  for (const ClosedClient& client : closed) {
    const auto found = this->descriptors.find(client.client);
    if (found != this->descriptors.end()) {
      ::shutdown(found->second, SHUT_RDWR);
      this->descriptors.erase(found);
      this->Count(NameOf(client.reason));
    }
  }
}

void ClientGuard::Count(const char* reason) {
  ++this->refusals[reason];
  if (this->metrics != nullptr) {
    ++this->metrics->Counter("daisyroad_clients_refused_total",
                             "reason=\"" + std::string(reason) + "\"");
  }
}

std::string ClientGuard::TakeLine(MonotonicTime now) {
  std::string counts;
  for (const std::pair<const std::string, int>& refusal : this->refusals) {
    counts += " " + refusal.first + "=" + std::to_string(refusal.second);
  }
  this->refusals.clear();
  this->next_line = now + kLineInterval;
  return "event=clients_refused" + counts +
         " connections=" + std::to_string(this->budget.connections()) +
         " bytes=" + std::to_string(this->budget.bytes());
}

}  // namespace daisyroad
