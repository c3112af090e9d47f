#include "Core/Routing/connection_monitor.h"

#include <algorithm>
#include <utility>

namespace daisyroad {
namespace {

ConnectionVerdict Judge(bool progressed, ProbeOutcome outcome) {
  if (progressed) {
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
                               Duration bound,
                               MonotonicTime now) {
  this->connections[connection].pending[request] = Pending{now + bound, bound};
}

void ConnectionMonitor::OnProgress(ConnectionId connection) {
  const std::map<ConnectionId, State>::iterator it =
      this->connections.find(connection);
  if (it != this->connections.end()) {
    it->second.progressed = true;
  }
}

void ConnectionMonitor::OnAnswer(ConnectionId connection, RequestId request) {
  const std::map<ConnectionId, State>::iterator it =
      this->connections.find(connection);
  if (it != this->connections.end()) {
    it->second.progressed = true;
    it->second.pending.erase(request);
  }
}

void ConnectionMonitor::OnClosed(ConnectionId connection) {
  this->connections.erase(connection);
}

std::vector<ConnectionId> ConnectionMonitor::Tick(MonotonicTime now) {
  std::vector<ConnectionId> probes;
  for (std::pair<const ConnectionId, State>& item : this->connections) {
    State& state = item.second;
    const bool overdue =
        std::any_of(state.pending.begin(), state.pending.end(),
                    [now](const std::pair<const RequestId, Pending>& request) {
                      return now >= request.second.due;
                    });
    if (overdue && !state.probing) {
      state.probing = true;
      state.progressed = false;
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
  const std::map<ConnectionId, State>::iterator it =
      this->connections.find(connection);
  if (it == this->connections.end()) {
    // Closed while the probe ran: nothing is pending on it any more.
    finding.verdict = ConnectionVerdict::kRecovered;
    return finding;
  }
  State& state = it->second;
  finding.verdict = Judge(state.progressed, outcome);
  state.probing = false;
  if (finding.verdict == ConnectionVerdict::kSilent) {
    for (const std::pair<const RequestId, Pending>& item : state.pending) {
      finding.unanswered.push_back(item.first);
    }
    this->connections.erase(it);
    return finding;
  }
  for (std::pair<const RequestId, Pending>& item : state.pending) {
    Pending& pending = item.second;
    pending.due = std::max(pending.due, now + pending.bound);
  }
  return finding;
}

}  // namespace daisyroad
