#ifndef SOURCE_CORE_ROUTING_CONNECTION_MONITOR_H_
#define SOURCE_CORE_ROUTING_CONNECTION_MONITOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

enum class ConnectionVerdict {
  kSilent,    // a new connection is answered, this one is not: close it
  kPeerSlow,  // a new connection is accepted but not answered in time
  kPeerDead,  // no new connection can be established
  kRecovered  // data arrived on it, or it was closed, during the probe
};

// Result of a probe on a new connection.
enum class ProbeOutcome { kAnswered, kConnectedOnly, kRefused };

using ConnectionId = std::uint64_t;
using RequestId = std::uint64_t;

struct ConnectionFinding {
  ConnectionId connection = 0;
  ConnectionVerdict verdict = ConnectionVerdict::kSilent;
  // Requests whose outcome must be queried by identifier on a new connection.
  std::vector<RequestId> unanswered;
};

// Detects connections that stay open but deliver no data any more.
class ConnectionMonitor {
 public:
  void OnSend(ConnectionId connection,
              RequestId request,
              Duration probe_after,
              MonotonicTime now);
  // Data of an answer was received; the answer may be incomplete.
  void OnProgress(ConnectionId connection);
  void OnAnswer(ConnectionId connection, RequestId request);
  void OnClosed(ConnectionId connection);

  // Returns the connections to probe now: those on which a request is not
  // answered `probe_after` after it was sent and on which no probe runs.
  std::vector<ConnectionId> Tick(MonotonicTime now);
  // Returns the verdict for a connection that Tick returned. Unless it is
  // kSilent, no request causes a new probe before its `probe_after` has passed
  // again.
  ConnectionFinding OnProbe(ConnectionId connection,
                            ProbeOutcome outcome,
                            MonotonicTime now);

 private:
  struct PendingRequest {
    MonotonicTime probe_at;
    Duration probe_after;
  };
  struct ConnectionState {
    std::map<RequestId, PendingRequest> pending;
    bool is_probing = false;
    bool has_progressed = false;  // since the probe began
  };

  std::map<ConnectionId, ConnectionState> connections;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_CONNECTION_MONITOR_H_
