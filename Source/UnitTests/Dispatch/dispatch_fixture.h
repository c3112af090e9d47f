#ifndef SOURCE_UNITTESTS_DISPATCH_DISPATCH_FIXTURE_H_
#define SOURCE_UNITTESTS_DISPATCH_DISPATCH_FIXTURE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/metrics_registry.h"
#include "Core/Common/random.h"
#include "Core/Entry/cell_dispatcher.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/instance_list_client.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Dispatch/fake_workers.h"

namespace daisyroad {

// One cell with fake workers. Tests run in real time, so leases are short.
class DispatchFixture : private InstanceListClient {
 public:
  explicit DispatchFixture(int worker_count);

  // Queues an urgent task of one slot.
  TaskId Submit(const std::string& id,
                bool idempotent = true,
                const std::string& team = "team");
  // Answers the start request with that index.
  void AnswerStart(std::size_t index, StartOutcome outcome);
  TaskReport MakeReport(const TaskId& task, WorkerTaskState state) const;
  // Name of the worker with that address.
  static WorkerName NameOf(const std::string& address);
  // State in the last update on the task.
  std::optional<DispatchState> LastState(const TaskId& task) const;
  bool Logged(const std::string& text) const;

  std::string incarnation = "boot-1";
  WorkerClock worker_clock{1000};
  bool may_start = true;
  std::set<TeamName> teams_at_limit;
  int limits_held = 0;
  std::map<TaskId, DispatchUpdate> updates;

  FakeWorkers workers;
  EventLoop loop;
  MetricsRegistry metrics;
  Random random{1};
  DecisionLog decisions{&this->metrics, 0};
  EntryContext context;
  WorkerDirectory directory{&this->context};
  std::unique_ptr<CellDispatcher> cell;

 private:
  void Fetch(Callback callback) override;

  int worker_count;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_DISPATCH_DISPATCH_FIXTURE_H_
