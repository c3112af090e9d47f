#ifndef SOURCE_CORE_ROUTING_CONNECTION_MONITOR_H_
#define SOURCE_CORE_ROUTING_CONNECTION_MONITOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

enum class ConnectionVerdict {
  kSilent,    // a new connection answers, this one does not: close it
  kPeerSlow,  // a new connection is accepted but not answered in time
  kPeerDead,  // no new connection can be made
  kRecovered  // the old connection answered while the probe ran
};

// How the probe on a new connection ended.
enum class ProbeOutcome { kAnswered, kConnectedOnly, kRefused };

using ConnectionId = std::uint64_t;
using RequestId = std::uint64_t;

struct ConnectionFinding {
  ConnectionId connection = 0;
  ConnectionVerdict verdict = ConnectionVerdict::kSilent;
  // Requests to query by identifier on a new connection.
  std::vector<RequestId> unanswered;
};

// Detects connections that stay open but carry nothing any more.
class ConnectionMonitor {
 public:
  void OnSend(ConnectionId connection,
              RequestId request,
              Duration bound,
              MonotonicTime now);
  // Bytes of an answer arrived, whether complete or not.
  void OnProgress(ConnectionId connection);
  void OnAnswer(ConnectionId connection, RequestId request);
  void OnClosed(ConnectionId connection);

  // Connections to probe now: a request is over its bound and no probe runs.
  std::vector<ConnectionId> Tick(MonotonicTime now);
  // A verdict for the connection; the connection must have been returned by
  // Tick. After kPeerSlow and kPeerDead the next probe waits for one bound.
  ConnectionFinding OnProbe(ConnectionId connection,
                            ProbeOutcome outcome,
                            MonotonicTime now);

 private:
  struct Pending {
    MonotonicTime due;
    Duration bound;
  };
  struct State {
    std::map<RequestId, Pending> pending;
    bool probing = false;
    bool progressed = false;  // since the probe began
  };

  std::map<ConnectionId, State> connections;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_CONNECTION_MONITOR_H_
