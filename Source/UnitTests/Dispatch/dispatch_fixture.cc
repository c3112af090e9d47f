#include "UnitTests/Dispatch/dispatch_fixture.h"

#include "Core/Common/logging.h"
#include "Core/Entry/peer_service.h"

namespace daisyroad {
namespace {

constexpr char kPool[] = "pool";
constexpr char kZone[] = "zone";

}  // namespace

DispatchFixture::DispatchFixture(int worker_count)
    : worker_count(worker_count) {
  static const bool kInitialized = (InitializeLogging(LogLevel::kError), true);
  static_cast<void>(kInitialized);
  this->context.self = EntryName("entry.1");
  this->context.zone = ZoneName(kZone);
  this->context.settings.task_lease = Milliseconds(200);
  this->context.loop = &this->loop;
  this->context.instance_list = this;
  this->context.workers = &this->workers;
  this->context.metrics = &this->metrics;
  this->context.decisions = &this->decisions;
  this->context.random = &this->random;
  CellDispatcher::Hooks hooks;
  hooks.start_deadline = [this](const QueueName&, const ZoneName&) {
    return this->may_start ? std::optional(Now() + std::chrono::seconds(3))
                           : std::nullopt;
  };
  hooks.take_limit = [this](const TeamName& team) {
    const bool is_below_limit = this->teams_at_limit.count(team) == 0;
    this->limits_held += is_below_limit ? 1 : 0;
    return is_below_limit;
  };
  hooks.return_limit = [this](const TeamName&) { --this->limits_held; };
  hooks.update = [this](const EntryName&, const DispatchUpdate& update) {
    this->updates[update.task] = update;
  };
  this->cell =
      std::make_unique<CellDispatcher>(&this->context, &this->directory,
                                       PoolName(kPool), ZoneName(kZone), hooks);
  Pool pool;
  pool.worker = WorkerResources{8, 8, 0, 2, 64};
  this->cell->SetPool(pool);
  this->directory.AddListener(
      [this](const WorkerName& name) { this->cell->OnWorkerChanged(name); });
  this->directory.Start();
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory.workers()) {
    this->directory.OnReply(entry.first, this->worker_clock, this->incarnation,
                            false);
  }
}

void DispatchFixture::Fetch(Callback callback) {
  std::vector<ListedInstance> listed;
  for (int i = 0; i < this->worker_count; ++i) {
    ListedInstance instance;
    instance.name = WorkerName("w" + std::to_string(i));
    instance.address = instance.name.str() + ":1";
    instance.zone = ZoneName(kZone);
    instance.initial_pool = PoolName(kPool);
    listed.push_back(instance);
  }
  callback(listed);
}

TaskId DispatchFixture::Submit(const std::string& id,
                               bool idempotent,
                               const std::string& team) {
  DispatchRequest request;
  request.task = TaskId(id);
  request.registrar = EntryName("entry.2");
  request.team = TeamName(team);
  request.queue = QueueName("queue");
  request.pool = PoolName(kPool);
  request.zone = ZoneName(kZone);
  request.urgent = true;
  request.idempotent = idempotent;
  request.size = Resources{1.0, 1.0, 0.0, 1.0};
  request.start_within = std::chrono::seconds(60);
  request.valid_until = PeerService::Clock() + std::chrono::seconds(60);
  static_cast<void>(this->cell->Enqueue(request));
  return request.task;
}

void DispatchFixture::AnswerStart(std::size_t index, StartOutcome outcome) {
  StartReply reply;
  reply.outcome = outcome;
  reply.state = WorkerTaskState::kRunning;
  reply.now = this->worker_clock;
  reply.incarnation = this->incarnation;
  const WorkerClient::StartCallback answer =
      this->workers.starts.at(index).answer;
  answer(reply);
}

TaskReport DispatchFixture::MakeReport(const TaskId& task,
                                       WorkerTaskState state) const {
  TaskReport report;
  report.task = task;
  report.state = state;
  report.now = this->worker_clock;
  report.incarnation = this->incarnation;
  return report;
}

WorkerName DispatchFixture::NameOf(const std::string& address) {
  return WorkerName(address.substr(0, address.find(':')));
}

std::optional<DispatchState> DispatchFixture::LastState(
    const TaskId& task) const {
  const auto found = this->updates.find(task);
  return found == this->updates.end()
             ? std::nullopt
             : std::optional<DispatchState>(found->second.state);
}

bool DispatchFixture::Logged(const std::string& text) const {
  return !this->decisions.Containing(text).empty();
}

}  // namespace daisyroad
