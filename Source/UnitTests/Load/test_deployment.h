#ifndef SOURCE_UNITTESTS_LOAD_TEST_DEPLOYMENT_H_
#define SOURCE_UNITTESTS_LOAD_TEST_DEPLOYMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Load/blocking_http.h"
#include "Load/load_run.h"
#include "Load/run_audit.h"
#include "UnitTests/Load/child_process.h"

namespace daisyroad {

// A small site of real processes on free ports of 127.0.0.1: zones north and
// south with two entry instances and two workers of 8 slots each, and the
// platform's stand-ins. Teams shop (share 2) and office (share 1) may use the
// queues confirmations (not idempotent), quotes (idempotent) and runs (long,
// idempotent). The destructor ends all processes.
class TestDeployment {
 public:
  static constexpr int kEntries = 4;  // in zones north, south, north, south
  static constexpr int kWorkers = 4;  // in zones north, south, north, south
  static constexpr int kTeamLimit = 20;

  // How the entry instances reach the store.
  enum class StorePath { kDirect, kLinks };

  // Returns when every entry instance is ready and knows the keys of the teams.
  // Throws std::runtime_error on failure.
  explicit TestDeployment(std::uint64_t seed,
                          StorePath store_path = StorePath::kDirect);
  ~TestDeployment();

  ChildProcess* entry(int index) { return this->entries[index].get(); }
  // Relay between an entry instance and the store. Requires kLinks.
  ChildProcess* store_link(int index) { return this->links[index].get(); }
  // Kills the entry instance if it still runs and starts it again.
  void RestartEntry(int index);
  std::string store() const { return this->AddressOf(kStorePort); }
  std::string worker(int index) const {
    return this->AddressOf(kFirstWorkerPort + index);
  }

  // Generates `rate` calls per second for `length`. Deterministic for the same
  // seed.
  std::vector<PlannedCall> Calls(Milliseconds length, int rate) const;
  // Runs the calls and events. Returns when every call and event has ended.
  LoadRunResult Play(const std::vector<PlannedCall>& calls,
                     const std::vector<ScriptedEvent>& events);
  std::vector<StartRecord> Starts();
  AuditReport Audit(const LoadRunResult& run);

 private:
  static constexpr int kStorePort = 0;
  static constexpr int kInstancesPort = 1;
  static constexpr int kFirstWorkerPort = 2;
  static constexpr int kFirstCallerPort = kFirstWorkerPort + kWorkers;
  static constexpr int kFirstPeerPort = kFirstCallerPort + kEntries;
  static constexpr int kFirstLinkPort = kFirstPeerPort + kEntries;
  static constexpr int kPorts = kFirstLinkPort + kEntries;

  std::string AddressOf(int offset) const;
  std::string OutputOf(const std::string& name) const;
  void StartPlatform();
  void StartLinks();
  std::unique_ptr<ChildProcess> StartEntry(int index);
  std::string EntrySettings(int index) const;
  void AwaitReady();
  void Declare();
  void IssueKeys();
  void AwaitKeys();
  // Retries until the call succeeds. Throws std::runtime_error after 15 s.
  Json::Value CallOperatorApi(const std::string& method,
                              const std::string& path,
                              const Json::Value& body);

  std::uint64_t seed;
  StorePath store_path;
  int base_port;
  std::string folder;
  BlockingHttp http;
  std::map<TeamName, std::string> secrets;
  std::map<TeamName, std::string> key_ids;
  std::vector<std::unique_ptr<ChildProcess>> platform;
  std::vector<std::unique_ptr<ChildProcess>> links;
  std::vector<std::unique_ptr<ChildProcess>> entries;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LOAD_TEST_DEPLOYMENT_H_
