// Jobs whose queue the operators move to another pool.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Core/Site/job_service.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/rpc_client.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Site/pool_leader_fixture.h"

namespace daisyroad {
namespace {

constexpr std::size_t kMostRecordBytes = 10000;

const QueueName kQueue("queue");
const JobId kJob("j");
const PoolName kBefore("pool");
const PoolName kAfter("other");
// Longer than any call of the store takes.
constexpr Milliseconds kAnswered{100};
constexpr Milliseconds kDeadline{1000};

// The service of an instance that holds no duties but those of its leaders.
class Instance {
 public:
  Instance(EventLoop* loop, RevisionStore* store, const PoolName& pool)
      : http([loop](std::function<void()> function) {
          loop->Post(std::move(function));
        }),
        rpc(&http),
        mirror(store,
               loop,
               "site/",
               Milliseconds(2000),
               [](const std::vector<StoreChange>&) {}),
        leadership(store,
                   loop,
                   &mirror,
                   "one",
                   "127.0.0.1:1",
                   1.0,
                   Leadership::Listener()),
        jobs(
            store,
            loop,
            &rpc,
            &leadership,
            [this](const PoolName& asked) {
              return asked == kBefore ? this->leader : this->leader_after;
            },
            Milliseconds(5000),
            kMostRecordBytes) {
    this->MoveQueue(pool);
  }

  void MoveQueue(const PoolName& pool) {
    SiteConfig config;
    config.queues[kQueue].name = kQueue;
    config.queues[kQueue].pool = pool;
    config.queues[kQueue].is_open = true;
    OperatorState state;
    state.config = std::make_shared<const SiteConfig>(config);
    this->jobs.SetOperatorState(state, BootClock::now());
  }
  void Submit() {
    this->answer.reset();
    this->jobs.Submit(Request(kDeadline),
                      JobBuilder(kJob.str()).Service(1, 1).Build().spec,
                      this->Record());
  }
  void AskStatus(Milliseconds time_left = kDeadline) {
    this->answer.reset();
    this->jobs.AskStatus(Request(time_left), this->Record());
  }
  void AskPending() {
    this->answer.reset();
    this->jobs.AskPending(Request(kDeadline), this->Record());
  }
  void Cancel(Milliseconds time_left = kDeadline) {
    this->answer.reset();
    this->jobs.Cancel(Request(time_left), this->Record());
  }
  template <typename T>
  bool IsAnswered() const {
    return this->answer && std::holds_alternative<T>(*this->answer);
  }
  // The status of the job as last answered, if it was.
  std::optional<JobStatus> Status() const {
    if (!this->IsAnswered<JobStatusAnswer>()) {
      return std::nullopt;
    }
    return std::get<JobStatusAnswer>(*this->answer).status;
  }

  // Number of jobs that wait as last answered; -1 if it was not.
  int Pending() const {
    return this->IsAnswered<PendingAnswer>()
               ? std::get<PendingAnswer>(*this->answer).jobs
               : -1;
  }

  PoolLeader* leader = nullptr;  // of the pool before the move
  PoolLeader* leader_after = nullptr;
  std::optional<JobAnswer> answer;

 private:
  static CallerRequest Request(Milliseconds time_left) {
    CallerRequest request;
    request.queue = kQueue;
    request.job = kJob;
    request.deadline = std::chrono::steady_clock::now() + time_left;
    return request;
  }
  JobService::Callback Record() {
    return [this](const JobAnswer& received) { this->answer = received; };
  }

  HttpClient http;
  RpcClient rpc;
  PrefixMirror mirror;
  Leadership leadership;
  JobService jobs;
};

// An instance that accepted the job before its queue moved.
class Fixture {
 public:
  Fixture() : store(&loop), instance(&loop, &store, kBefore) {
    this->instance.Submit();
    this->loop.RunFor(kAnswered);
    REQUIRE(this->instance.IsAnswered<JobAccepted>());
    this->instance.MoveQueue(kAfter);
  }

  // Number of pools that have the job.
  static int CountPools(const FakeRevisionStore& store) {
    return static_cast<int>(store.items.contains(JobKey(kBefore, kJob))) +
           static_cast<int>(store.items.contains(JobKey(kAfter, kJob)));
  }

  EventLoop loop;
  FakeRevisionStore store;
  Instance instance;
};

// Guards against a job that is stored again, and runs in both pools, when its
// request is repeated after the queue has moved.
TEST_CASE(
    "A request that is repeated after a move of the queue stores no job") {
  Fixture fixture;
  const int commits = fixture.store.commits;
  fixture.instance.Submit();
  fixture.loop.RunFor(kAnswered);
  CHECK(fixture.instance.IsAnswered<JobAccepted>());
  CHECK(fixture.store.commits == commits + 1);
  CHECK(Fixture::CountPools(fixture.store) == 1);
  CHECK(fixture.store.items.contains(JobKey(kBefore, kJob)));
}

// Guards against the same when only one of two instances knows of the move.
TEST_CASE("Instances with different declarations store a job once") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  Instance late(&loop, &store, kBefore);
  Instance current(&loop, &store, kAfter);
  late.Submit();
  current.Submit();
  loop.RunFor(kAnswered);
  CHECK(late.IsAnswered<JobAccepted>());
  CHECK(current.IsAnswered<JobAccepted>());
  CHECK(Fixture::CountPools(store) == 1);
}

// Guards against a task that is started by the schedulers of both pools.
TEST_CASE("A task runs once if its request is repeated after a move") {
  PoolLeaderFixture pool;
  pool.Lead(pool.FirstTerm());
  Instance instance(&pool.loop, &pool.store, kAfter);
  instance.Submit();
  pool.loop.RunFor(kAnswered);
  instance.MoveQueue(kBefore);
  instance.Submit();
  pool.loop.RunFor(PoolLeaderFixture::kSettled);
  CHECK(pool.workers.WorkersOf(TaskRef{kJob, 0, 0, 0}).empty());
}

// Guards against accepted jobs that are reported as unknown after a move.
TEST_CASE("A job is found by its status after a move of its queue") {
  Fixture fixture;
  fixture.instance.AskStatus();
  fixture.loop.RunFor(kAnswered);
  CHECK(fixture.instance.Status() == JobStatus::kQueued);

  JobProgress progress;
  progress.status = JobStatus::kCompleted;
  fixture.store.Put(ProgressKey(kBefore, kJob), WriteJson(ToJson(progress)));
  fixture.instance.AskStatus();
  fixture.loop.RunFor(kAnswered);
  CHECK(fixture.instance.Status() == JobStatus::kCompleted);
}

// Guards against a status that is older than what the job's scheduler knows.
TEST_CASE("The scheduler of the earlier pool is asked for the status") {
  PoolLeaderFixture pool;
  pool.Lead(pool.FirstTerm());
  Instance instance(&pool.loop, &pool.store, kBefore);
  instance.leader = pool.leader.get();
  instance.Submit();
  pool.loop.RunFor(PoolLeaderFixture::kSettled);
  REQUIRE(pool.workers.WorkersOf(TaskRef{kJob, 0, 0, 0}).size() == 1);
  instance.MoveQueue(kAfter);
  instance.AskStatus();
  pool.loop.RunFor(kAnswered);
  CHECK(instance.Status() == JobStatus::kRunning);
}

// Guards against cancellations that are refused, or written where no scheduler
// looks, after a move.
TEST_CASE("A job can be cancelled after a move of its queue") {
  Fixture fixture;
  fixture.instance.Cancel();
  fixture.loop.RunFor(kAnswered);
  CHECK(fixture.instance.IsAnswered<JobCancelled>());
  CHECK(fixture.store.items.contains(CancelKey(kBefore, kJob)));
  CHECK_FALSE(fixture.store.items.contains(CancelKey(kAfter, kJob)));
}

// Guards against jobs that wait in the earlier pool and are not counted.
TEST_CASE("Jobs that wait are counted after a move of their queue",
          "[pending]") {
  PoolLeaderFixture pool;
  for (const std::pair<const WorkerName, WorkerListing>& worker :
       pool.listing) {
    pool.workers.Crash(worker.first);
  }
  pool.Lead(pool.FirstTerm());
  Term term = pool.FirstTerm();
  term.duty = PoolDuty(kAfter);
  PoolLeader after(pool.Context(), kAfter, term);
  after.Start();
  Instance instance(&pool.loop, &pool.store, kBefore);
  instance.leader = pool.leader.get();
  instance.leader_after = &after;
  instance.Submit();
  pool.loop.RunFor(PoolLeaderFixture::kSettled);
  instance.AskPending();
  pool.loop.RunFor(kAnswered);
  REQUIRE(instance.Pending() == 1);
  instance.MoveQueue(kAfter);
  instance.AskPending();
  pool.loop.RunFor(kAnswered);
  CHECK(instance.Pending() == 1);
}

// Guards against answers about jobs that do not exist.
TEST_CASE("A job that nobody submitted is unknown") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  Instance instance(&loop, &store, kBefore);
  instance.AskStatus();
  loop.RunFor(kAnswered);
  CHECK(instance.IsAnswered<JobUnknown>());
  instance.Cancel();
  loop.RunFor(kAnswered);
  CHECK(instance.IsAnswered<JobUnknown>());
  CHECK(store.items.empty());
}

// Guards against jobs of an earlier version, which stored only the job itself,
// that are lost or stored again.
TEST_CASE("A job that an earlier version stored is known") {
  EventLoop loop;
  FakeRevisionStore store(&loop);
  Instance instance(&loop, &store, kBefore);
  const AcceptedJob job = JobBuilder(kJob.str()).Service(1, 1).Build();
  store.Put(JobKey(kBefore, kJob), WriteJson(ToJson(job)));
  const std::int64_t revision = store.items.at(JobKey(kBefore, kJob)).revision;
  instance.Submit();
  loop.RunFor(kAnswered);
  CHECK(instance.IsAnswered<JobAccepted>());
  CHECK(store.items.size() == 1);
  CHECK(store.items.at(JobKey(kBefore, kJob)).revision == revision);
  instance.AskStatus();
  loop.RunFor(kAnswered);
  CHECK(instance.Status() == JobStatus::kQueued);
  instance.Cancel();
  loop.RunFor(kAnswered);
  CHECK(instance.IsAnswered<JobCancelled>());
}

// Guards against questions that end without an answer because one more place
// is asked, and against a guess where the store could not be asked in time.
TEST_CASE("Questions about a moved job are answered before their deadline") {
  for (const Milliseconds delay :
       {Milliseconds(60), Milliseconds(110), Milliseconds(160)}) {
    Fixture fixture;
    fixture.store.response_delay = delay;
    constexpr Milliseconds kShort{500};
    fixture.instance.AskStatus(kShort);
    fixture.loop.RunFor(kShort);
    CHECK((fixture.instance.Status() == JobStatus::kQueued ||
           fixture.instance.IsAnswered<RequestRefused>()));
    fixture.instance.Cancel(kShort);
    fixture.loop.RunFor(kShort);
    CHECK((fixture.instance.IsAnswered<JobCancelled>() ||
           fixture.instance.IsAnswered<RequestRefused>() ||
           fixture.instance.IsAnswered<OutcomeUnknown>()));
    fixture.loop.RunFor(kDeadline);
    CHECK((fixture.store.items.contains(CancelKey(kBefore, kJob)) ||
           fixture.instance.IsAnswered<RequestRefused>()));
  }
}

// Guards against entries of deleted jobs that stay in the store, and against
// transactions beyond the store's limit, which it refuses.
TEST_CASE("All that is stored of a job is deleted with it") {
  constexpr int kJobs = 9;
  PoolLeaderFixture pool;
  pool.retention = std::chrono::seconds(1);
  pool.Lead(pool.FirstTerm());
  Instance instance(&pool.loop, &pool.store, kBefore);
  instance.leader = pool.leader.get();
  instance.Submit();
  for (int i = 0; i < kJobs; ++i) {
    const AcceptedJob job = JobBuilder(std::to_string(i)).Step(1).Build();
    pool.Store(job);
    pool.store.Put(CancelKey(kBefore, job.id), "");
  }
  pool.loop.RunFor(kAnswered);
  REQUIRE(instance.IsAnswered<JobAccepted>());
  instance.Cancel();
  pool.loop.RunFor(kAnswered);
  REQUIRE(instance.IsAnswered<JobCancelled>());
  const auto is_of_job =
      [](const std::pair<const std::string, StoreItem>& entry) {
        const std::string id = entry.first.substr(entry.first.rfind('/') + 1);
        return id == kJob.str() ||
               (!id.empty() &&
                std::all_of(id.begin(), id.end(), [](char letter) {
                  return letter >= '0' && letter <= '9';
                }));
      };
  REQUIRE(
      std::any_of(pool.store.items.begin(), pool.store.items.end(), is_of_job));
  // Every five seconds final jobs are noticed, and seven cancelled jobs that
  // were noticed before are deleted.
  pool.loop.RunFor(Milliseconds(16000));
  CHECK(pool.store.refused_transactions == 0);
  CHECK(std::none_of(pool.store.items.begin(), pool.store.items.end(),
                     is_of_job));
}

}  // namespace
}  // namespace daisyroad
