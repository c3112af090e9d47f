#include <catch2/catch.hpp>

#include <chrono>
#include <vector>

#include "Core/Routing/connection_monitor.h"

namespace daisyroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ConnectionId kConnection = 3;
const MonotonicTime kStart{seconds(10)};

// Returns a monitor with two pending requests, the first of which is due for a
// probe.
ConnectionMonitor MakeOverdueMonitor() {
  ConnectionMonitor monitor;
  monitor.OnSend(kConnection, 1, milliseconds(500), kStart);
  monitor.OnSend(kConnection, 2, seconds(60), kStart);
  CHECK(monitor.Tick(kStart + milliseconds(499)).empty());
  CHECK(monitor.Tick(kStart + milliseconds(500)) ==
        std::vector<ConnectionId>{kConnection});
  CHECK(monitor.Tick(kStart + milliseconds(501)).empty());
  return monitor;
}

// Guards against requests that wait forever on a connection that delivers no
// data any more.
TEST_CASE("A silent connection is detected and its requests are returned") {
  ConnectionMonitor monitor = MakeOverdueMonitor();
  const ConnectionFinding finding = monitor.OnProbe(
      kConnection, ProbeOutcome::kAnswered, kStart + seconds(1));
  CHECK(finding.verdict == ConnectionVerdict::kSilent);
  CHECK(finding.unanswered == std::vector<RequestId>{1, 2});
  CHECK(monitor.Tick(kStart + seconds(100)).empty());
}

// Guards against closing the connection because of a slow or dead peer, and
// against a probe on every tick.
TEST_CASE("A slow or dead peer is distinguished and probed again later") {
  const bool is_dead = GENERATE(true, false);
  ConnectionMonitor monitor = MakeOverdueMonitor();
  const ConnectionFinding finding = monitor.OnProbe(
      kConnection,
      is_dead ? ProbeOutcome::kRefused : ProbeOutcome::kConnectedOnly,
      kStart + seconds(1));
  CHECK(finding.verdict == (is_dead ? ConnectionVerdict::kPeerDead
                                    : ConnectionVerdict::kPeerSlow));
  CHECK(finding.unanswered.empty());
  CHECK(monitor.Tick(kStart + milliseconds(1400)).empty());
  CHECK(monitor.Tick(kStart + milliseconds(1500)).size() == 1);
}

// Guards against closing a connection that is still delivering an answer.
TEST_CASE("A connection that makes progress during the probe is kept") {
  ConnectionMonitor monitor = MakeOverdueMonitor();
  monitor.OnProgress(kConnection);
  CHECK(
      monitor.OnProbe(kConnection, ProbeOutcome::kAnswered, kStart + seconds(1))
          .verdict == ConnectionVerdict::kRecovered);
}

// Guards against a verdict based on the probe of a connection that was closed
// meanwhile.
TEST_CASE("A probe that ends after the connection closed finds nothing") {
  ConnectionMonitor monitor = MakeOverdueMonitor();
  monitor.OnClosed(kConnection);
  CHECK(
      monitor.OnProbe(kConnection, ProbeOutcome::kAnswered, kStart + seconds(1))
          .unanswered.empty());
  // A reused identifier starts without the previous state.
  monitor.OnSend(kConnection, 9, seconds(1), kStart + seconds(2));
  CHECK(monitor.Tick(kStart + seconds(3)).size() == 1);
}

}  // namespace
}  // namespace daisyroad
