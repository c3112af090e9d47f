#include "Core/Routing/connection_monitor.h"

#include <algorithm>
#include <utility>

namespace daisyroad {
namespace {

ConnectionVerdict ToVerdict(bool has_progressed, ProbeOutcome outcome) {
  if (has_progressed) {
    return ConnectionVerdict::kRecovered;
  }
  switch (outcome) {
    case ProbeOutcome::kAnswered:
      return ConnectionVerdict::kSilent;
    case ProbeOutcome::kConnectedOnly:
      return ConnectionVerdict::kPeerSlow;
    case ProbeOutcome::kRefused:
      return ConnectionVerdict::kPeerDead;
  }
  return ConnectionVerdict::kPeerDead;
}

}  // namespace

void ConnectionMonitor::OnSend(ConnectionId connection,
                               RequestId request,
                               Duration probe_after,
                               MonotonicTime now) {
  this->connections[connection].pending[request] =
      PendingRequest{now + probe_after, probe_after};
}

void ConnectionMonitor::OnProgress(ConnectionId connection) {
  const std::map<ConnectionId, ConnectionState>::iterator it =
      this->connections.find(connection);
  if (it != this->connections.end()) {
    it->second.has_progressed = true;
  }
}

void ConnectionMonitor::OnAnswer(ConnectionId connection, RequestId request) {
  const std::map<ConnectionId, ConnectionState>::iterator it =
      this->connections.find(connection);
  if (it != this->connections.end()) {
    it->second.has_progressed = true;
    it->second.pending.erase(request);
  }
}

void ConnectionMonitor::OnClosed(ConnectionId connection) {
  this->connections.erase(connection);
}

std::vector<ConnectionId> ConnectionMonitor::Tick(MonotonicTime now) {
  std::vector<ConnectionId> probes;
  for (std::pair<const ConnectionId, ConnectionState>& item :
       this->connections) {
    ConnectionState& state = item.second;
    const bool is_overdue = std::any_of(
        state.pending.begin(), state.pending.end(),
        [now](const std::pair<const RequestId, PendingRequest>& request) {
          return now >= request.second.probe_at;
        });
    if (is_overdue && !state.is_probing) {
      state.is_probing = true;
      state.has_progressed = false;
      probes.push_back(item.first);
    }
  }
  return probes;
}

ConnectionFinding ConnectionMonitor::OnProbe(ConnectionId connection,
                                             ProbeOutcome outcome,
                                             MonotonicTime now) {
  ConnectionFinding finding;
  finding.connection = connection;
  const std::map<ConnectionId, ConnectionState>::iterator it =
      this->connections.find(connection);
  if (it == this->connections.end()) {
    // Closed while the probe ran: no requests are pending on it any more.
    finding.verdict = ConnectionVerdict::kRecovered;
    return finding;
  }
  ConnectionState& state = it->second;
  finding.verdict = ToVerdict(state.has_progressed, outcome);
  state.is_probing = false;
  if (finding.verdict == ConnectionVerdict::kSilent) {
    for (const std::pair<const RequestId, PendingRequest>& item :
         state.pending) {
      finding.unanswered.push_back(item.first);
    }
    this->connections.erase(it);
    return finding;
  }
  for (std::pair<const RequestId, PendingRequest>& item : state.pending) {
    PendingRequest& pending = item.second;
    pending.probe_at = std::max(pending.probe_at, now + pending.probe_after);
  }
  return finding;
}

}  // namespace daisyroad
