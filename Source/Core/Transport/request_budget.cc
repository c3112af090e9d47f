#include "Core/Transport/request_budget.h"

#include <algorithm>
#include <tuple>

namespace daisyroad {
namespace {

// Closing a part of the clients at once keeps the cost of a choice apart from
// the number of clients.
constexpr std::size_t kMemoryPart = 8;
constexpr std::size_t kConnectionsPart = 32;
// A request that holds no more is not closed for the memory of others.
constexpr std::size_t kMaxSmallRequest = 16'384;
constexpr std::size_t kSmallRequestPart = 64;

}  // namespace

struct RequestBudget::Candidate {
  std::uint64_t id = 0;
  const Client* client = nullptr;
  std::size_t address_bytes = 0;
  std::size_t address_clients = 0;
};

RequestBudget::RequestBudget(const CallerLimits& limits) : limits(limits) {}

std::vector<ClosedClient> RequestBudget::Open(std::uint64_t client,
                                              const std::string& address,
                                              bool is_trusted,
                                              MonotonicTime now) {
  Client opened;
  opened.address = address;
  opened.is_trusted = is_trusted;
  opened.last_progress = now;
  this->clients.emplace(client, std::move(opened));
  this->untrusted += is_trusted ? 0 : 1;
  return this->untrusted > this->limits.connections
             ? this->FreeConnections(client, now)
             : std::vector<ClosedClient>();
}

std::vector<ClosedClient> RequestBudget::Receive(std::uint64_t client,
                                                 std::size_t bytes,
                                                 MonotonicTime now) {
  const Clients::iterator found = this->clients.find(client);
  if (found == this->clients.end()) {
    return {};
  }
  Client& receiver = found->second;
  if (receiver.state != State::kReceiving) {
    this->passed -= receiver.state == State::kPassed ? receiver.received : 0;
    receiver.state = State::kReceiving;
    receiver.request_begin = now;
  }
  receiver.last_progress = now;
  receiver.received += bytes * kCopies;
  this->charged += bytes * kCopies;
  this->trusted_charged += receiver.is_trusted ? bytes * kCopies : 0;
  return this->FreeMemory(receiver, now);
}

void RequestBudget::Pass(std::uint64_t client) {
  const Clients::iterator found = this->clients.find(client);
  if (found != this->clients.end()) {
    this->passed +=
        found->second.state == State::kPassed ? 0 : found->second.received;
    found->second.state = State::kPassed;
    found->second.has_passed = true;
  }
}

void RequestBudget::AwaitRequest(std::uint64_t client, MonotonicTime now) {
  const Clients::iterator found = this->clients.find(client);
  if (found != this->clients.end() && found->second.state == State::kPassed) {
    found->second.state = State::kIdle;
    found->second.last_progress = now;
    this->charged -= found->second.received;
    this->passed -= found->second.received;
    this->trusted_charged -=
        found->second.is_trusted ? found->second.received : 0;
    found->second.received = 0;
  }
}

std::vector<ClosedClient> RequestBudget::Send(std::uint64_t client,
                                              std::size_t bytes,
                                              MonotonicTime now) {
  const Clients::iterator found = this->clients.find(client);
  if (found == this->clients.end()) {
    return {};
  }
  this->charged += bytes;
  this->charged -= found->second.unsent;
  if (found->second.is_trusted) {
    this->trusted_charged += bytes;
    this->trusted_charged -= found->second.unsent;
  }
  found->second.unsent = bytes;
  found->second.last_progress = now;
  return this->FreeMemory(found->second, now);
}

void RequestBudget::Close(std::uint64_t client) {
  const Clients::iterator found = this->clients.find(client);
  if (found != this->clients.end()) {
    this->Remove(found);
  }
}

std::vector<ClosedClient> RequestBudget::Expire(MonotonicTime now) {
  std::vector<ClosedClient> closed;
  for (auto client = this->clients.begin(); client != this->clients.end();) {
    const auto current = client++;
    if (current->second.state == State::kReceiving &&
        current->second.unsent == 0 &&
        now - current->second.request_begin > this->limits.request_time) {
      closed.push_back({current->first, ClosingReason::kTime});
      this->Remove(current);
    }
  }
  return closed;
}

bool RequestBudget::IsOpen(std::uint64_t client) const {
  return this->clients.count(client) != 0;
}

std::vector<RequestBudget::Candidate> RequestBudget::ListCandidates(
    MonotonicTime now) const {
  struct Held {
    std::size_t bytes = 0;
    std::size_t clients = 0;
  };
  std::unordered_map<std::string, Held> addresses;
  for (const Clients::value_type& client : this->clients) {
    Held& held = addresses[client.second.address];
    held.bytes += client.second.received + client.second.unsent;
    ++held.clients;
  }
  std::vector<Candidate> candidates;
  for (const Clients::value_type& client : this->clients) {
    const bool is_closable =
        client.second.unsent == 0
            ? client.second.state != State::kPassed
            : now - client.second.last_progress >= kStalled;
    if (is_closable) {
      const Held& held = addresses[client.second.address];
      candidates.push_back(
          {client.first, &client.second, held.bytes, held.clients});
    }
  }
  return candidates;
}

// Clients without a response go before those that do not read theirs, then
// those that have not sent a complete request yet; then the address that holds
// the most, then what is largest. The request of `holder` is spared if small.
std::vector<ClosedClient> RequestBudget::FreeMemory(const Client& holder,
                                                    MonotonicTime now) {
  std::vector<ClosedClient> closed;
  if (this->charged <= this->limits.request_bytes) {
    return closed;
  }
  const std::size_t small_request = std::min(
      kMaxSmallRequest, this->limits.request_bytes / kSmallRequestPart);
  const bool is_spared = holder.state == State::kReceiving &&
                         holder.unsent == 0 && holder.received <= small_request;
  if (this->charged <= this->passed + (is_spared ? holder.received : 0)) {
    return closed;
  }
  std::vector<Candidate> candidates = this->ListCandidates(now);
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_tuple(a.client->is_trusted, a.client->unsent > 0,
                                     a.client->has_passed, b.address_bytes,
                                     b.client->received + b.client->unsent,
                                     a.client->last_progress, a.id) <
                     std::make_tuple(b.client->is_trusted, b.client->unsent > 0,
                                     b.client->has_passed, a.address_bytes,
                                     a.client->received + a.client->unsent,
                                     b.client->last_progress, b.id);
            });
  const std::size_t target =
      this->limits.request_bytes - this->limits.request_bytes / kMemoryPart;
  for (const Candidate& candidate : candidates) {
    if (this->charged <= target) {
      break;
    }
    const bool may_close =
        candidate.client->is_trusted
            ? this->trusted_charged > this->limits.request_bytes
            : !is_spared || candidate.client != &holder;
    if (may_close &&
        candidate.client->received + candidate.client->unsent > 0) {
      closed.push_back({candidate.id, ClosingReason::kMemory});
      this->Remove(this->clients.find(candidate.id));
    }
  }
  return closed;
}

// Clients that have not sent a complete request yet go first, then the address
// with the most connections, then the one without progress for the longest.
std::vector<ClosedClient> RequestBudget::FreeConnections(std::uint64_t newcomer,
                                                         MonotonicTime now) {
  std::vector<ClosedClient> closed;
  std::vector<Candidate> candidates = this->ListCandidates(now);
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_tuple(a.client->has_passed, b.address_clients,
                                     a.client->last_progress, a.id) <
                     std::make_tuple(b.client->has_passed, a.address_clients,
                                     b.client->last_progress, b.id);
            });
  const std::size_t target =
      this->limits.connections - this->limits.connections / kConnectionsPart;
  for (const Candidate& candidate : candidates) {
    if (this->untrusted <= target) {
      break;
    }
    if (candidate.id != newcomer && !candidate.client->is_trusted) {
      closed.push_back({candidate.id, ClosingReason::kConnections});
      this->Remove(this->clients.find(candidate.id));
    }
  }
  return closed;
}

void RequestBudget::Remove(Clients::iterator client) {
  const std::size_t held = client->second.received + client->second.unsent;
  this->charged -= held;
  this->trusted_charged -= client->second.is_trusted ? held : 0;
  this->passed -=
      client->second.state == State::kPassed ? client->second.received : 0;
  this->untrusted -= client->second.is_trusted ? 0 : 1;
  this->clients.erase(client);
}

}  // namespace daisyroad
