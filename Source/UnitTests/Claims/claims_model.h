#ifndef SOURCE_UNITTESTS_CLAIMS_CLAIMS_MODEL_H_
#define SOURCE_UNITTESTS_CLAIMS_CLAIMS_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Claims/claim_registry.h"
#include "Core/Common/random.h"
#include "UnitTests/Schedule/event_queue.h"
#include "UnitTests/Schedule/fake_process.h"

namespace daisyroad {

// Simulates one random schedule of entry instances, a store and workers.
// Callers submit a few keys several times while instances crash, pause, are cut
// off, leave the roster and return. Store answers are lost, and the store has
// outages.
class ClaimsModel {
 public:
  struct Totals {
    std::uint64_t keys = 0;
    std::uint64_t runs = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t memory_claims = 0;
  };

  explicit ClaimsModel(std::uint64_t seed);
  ~ClaimsModel();
  ClaimsModel(const ClaimsModel&) = delete;
  ClaimsModel& operator=(const ClaimsModel&) = delete;
  // Returns the first violated invariant, or an empty string.
  std::string Run(Totals* totals);

 private:
  struct Node {
    EntryName name;
    ZoneName zone;
    std::shared_ptr<FakeProcess> machine;
    std::unique_ptr<ClaimRegistry> registry;
    std::uint64_t epoch = 0;
    Duration authority_until = Duration::zero();  // in real time
  };
  using NodeRef = std::shared_ptr<Node>;
  struct Stored {
    ClaimBatch batch;
    Duration created;
  };
  struct Worker {
    std::set<std::string> known;
  };
  struct StartAnswer {
    enum class Kind { kStarted, kKnown, kFull, kExpired };
    Kind kind = Kind::kStarted;
  };
  struct QueryAnswer {
    bool known = false;
    bool deadline_passed = false;
  };

  void AddNode();
  void PollPeriodically(Duration period, const NodeRef& node);
  void Poll(const NodeRef& node);
  void RandomFault();
  void ChangeRoster();
  void DeliverRoster(const NodeRef& node, std::uint64_t epoch);
  void SubmitToRandomNode();
  void Submit(const NodeRef& node,
              const std::string& key,
              const std::string& task,
              int hops);
  void Perform(const NodeRef& node, std::vector<ClaimAction> actions);
  void Create(const NodeRef& node, const CreateBatch& action);
  void Read(const NodeRef& node, const ReadLog& action);
  void SendTask(const NodeRef& node, const ClaimReady& action);
  void QueryWorker(const NodeRef& node,
                   const std::string& key,
                   const std::string& task,
                   std::size_t worker,
                   Duration deadline,
                   int attempts);
  void HandleFate(const NodeRef& node,
                  const std::string& key,
                  const std::string& task,
                  ClaimState state);
  void AnswerNotRun(const std::string& task);
  StartAnswer StartOnWorker(std::size_t worker,
                            const std::string& key,
                            const std::string& task,
                            Duration deadline);
  bool IsOutageAgreed(const Node& node) const;
  void Fail(const std::string& text);

  Random random;
  EventQueue queue;
  std::vector<NodeRef> nodes;
  // All machines of the run, including those that have ended.
  std::vector<std::shared_ptr<FakeProcess>> machines;
  std::vector<ClaimRoster> rosters;
  std::map<LogName, std::map<std::uint64_t, Stored>> store;
  std::vector<Worker> workers;
  bool outage = false;
  bool had_outage = false;
  Duration outage_since = Duration::zero();
  int node_count = 0;
  int task_count = 0;
  std::map<std::string, int> runs_by_key;
  std::set<std::string> started;           // tasks
  std::set<std::string> answered_not_run;  // tasks answered `not_run`
  std::string failure;
  Totals counts;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CLAIMS_CLAIMS_MODEL_H_
