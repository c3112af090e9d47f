#ifndef SOURCE_CORE_TRANSPORT_REQUEST_BUDGET_H_
#define SOURCE_CORE_TRANSPORT_REQUEST_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Transport/caller_limits.h"

namespace daisyroad {

enum class ClosingReason { kMemory, kConnections, kTime };

// A client whose connection must be closed.
struct ClosedClient {
  std::uint64_t client = 0;
  ClosingReason reason = ClosingReason::kMemory;
};

// Decides which connections are closed when clients send requests that are
// many, large or never complete. A client whose request was passed on is closed
// only if it does not read its response.
class RequestBudget {
 public:
  // Memory for each received byte: the body grows by doubling and is copied.
  static constexpr std::size_t kCopies = 2;
  // A client that takes none of its response for this time does not read it.
  static constexpr Milliseconds kStalled{2000};

  explicit RequestBudget(const CallerLimits& limits);

  // `client` is unique. Clients of trusted ports do not count for the number of
  // connections and are closed only for the memory that they hold themselves.
  std::vector<ClosedClient> Open(std::uint64_t client,
                                 const std::string& address,
                                 bool is_trusted,
                                 MonotonicTime now);
  // Bytes of a request that is not complete yet.
  std::vector<ClosedClient> Receive(std::uint64_t client,
                                    std::size_t bytes,
                                    MonotonicTime now);
  // The request is complete and is passed on.
  void Pass(std::uint64_t client);
  // The next request is awaited, unless the present one is not complete.
  void AwaitRequest(std::uint64_t client, MonotonicTime now);
  // Bytes of the response that are being sent: a part of a large one.
  std::vector<ClosedClient> Send(std::uint64_t client,
                                 std::size_t bytes,
                                 MonotonicTime now);
  void Close(std::uint64_t client);
  // Returns the clients whose time for a request is over.
  std::vector<ClosedClient> Expire(MonotonicTime now);

  bool IsOpen(std::uint64_t client) const;
  std::size_t bytes() const { return this->charged; }
  // Without those of trusted ports.
  std::size_t connections() const { return this->untrusted; }

 private:
  enum class State { kIdle, kReceiving, kPassed };
  struct Client {
    std::string address;
    bool is_trusted = false;
    bool has_passed = false;  // has sent a complete request
    State state = State::kIdle;
    std::size_t received = 0;  // charge
    std::size_t unsent = 0;
    MonotonicTime request_begin;
    MonotonicTime last_progress;
  };
  using Clients = std::unordered_map<std::uint64_t, Client>;
  struct Candidate;

  std::vector<Candidate> ListCandidates(MonotonicTime now) const;
  std::vector<ClosedClient> FreeMemory(const Client& holder, MonotonicTime now);
  std::vector<ClosedClient> FreeConnections(std::uint64_t newcomer,
                                            MonotonicTime now);
  void Remove(Clients::iterator client);

  CallerLimits limits;
  std::size_t charged = 0;
  std::size_t trusted_charged = 0;  // part of `charged`
  std::size_t passed = 0;  // part of `charged`: requests that are in progress
  std::size_t untrusted = 0;
  Clients clients;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_REQUEST_BUDGET_H_
