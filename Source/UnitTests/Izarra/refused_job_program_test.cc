// The program with faults on its link to the store while it takes jobs.
//
// DAISYROAD_FIRST_SEED (1) and DAISYROAD_SEEDS (1) select the random sequences.

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "Core/Common/random.h"
#include "UnitTests/Izarra/deployment.h"
#include "UnitTests/Izarra/faulty_link.h"

namespace daisyroad::platform {
namespace {

constexpr Milliseconds kStartTimeout{15000};
// Long enough for late writes and the starts that follow.
constexpr Milliseconds kSettleTime{4000};
constexpr int kCallers = 8;
constexpr int kJobsPerCaller = 12;
constexpr int kMaxFaults = 4;
constexpr int kMaxTries = 2;
constexpr LinkFault kFaults[] = {LinkFault::kRefuse, LinkFault::kReset,
                                 LinkFault::kResetDelivered, LinkFault::kSilent,
                                 LinkFault::kLate};

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

// A response that promises that the job never runs.
bool IsRefusal(int status) {
  return status == 401 || status == 404 || status == 429 || status == 503;
}

std::string JobName(std::uint64_t number) {
  std::ostringstream id;
  id << std::hex << (0x6c0e7a2100000000U + number);
  return id.str();
}

std::string TaskOf(const std::string& job) {
  return job + ".0.0.0";
}

struct Submission {
  std::string job;
  std::string story;  // faults and responses, for messages
  bool is_refused = true;
};

// An instance whose calls of the store pass through a link with faults.
class FaultyDeployment {
 public:
  FaultyDeployment() : link(this->deployment.platform.port()) {
    this->deployment.platform.Put(kWorkerKey,
                                  this->deployment.platform.WorkerEntry(kPool));
    this->deployment.Start(this->link.address());
    const std::string task = this->deployment.Submit();
    REQUIRE(AwaitFor(kStartTimeout,
                     [&]() { return this->deployment.IsStarted(task); }));
  }

  // Sends the job until it is not refused, at most `tries` times.
  Submission Submit(const std::string& job,
                    const std::deque<LinkFault>& faults,
                    int tries) {
    Submission submission;
    submission.job = job;
    for (const LinkFault fault : faults) {
      submission.story += std::string(ToString(fault)) + " ";
    }
    this->link.SetFaults(job, faults);
    for (int i = 0; i < tries && submission.is_refused; ++i) {
      const int status = this->deployment.SubmitOnce(job);
      submission.is_refused = IsRefusal(status);
      submission.story += "-> " + std::to_string(status) + " ";
    }
    return submission;
  }

  bool HasStarted(const Submission& submission) const {
    return this->deployment.IsStarted(TaskOf(submission.job));
  }

 private:
  Deployment deployment;
  FaultyLink link;
};

// Guards against a job that runs though its only request was refused
// (review/2): the store carried out the write, reset the connection and refused
// what came next.
TEST_CASE("A job whose write may be stored is not refused", "[repeated]") {
  FaultyDeployment deployment;
  const Submission submission = deployment.Submit(
      JobName(1),
      {LinkFault::kResetDelivered, LinkFault::kRefuse, LinkFault::kRefuse}, 1);
  CAPTURE(submission.story);
  CHECK_FALSE(submission.is_refused);
  CHECK(AwaitFor(kStartTimeout,
                 [&]() { return deployment.HasStarted(submission); }));
}

TEST_CASE("A job that the store refused is refused at once", "[refused]") {
  FaultyDeployment deployment;
  const Submission submission =
      deployment.Submit(JobName(1), {LinkFault::kRefuse}, 1);
  CAPTURE(submission.story);
  CHECK(submission.is_refused);
  std::this_thread::sleep_for(kSettleTime);
  CHECK_FALSE(deployment.HasStarted(submission));
}

// Sends jobs from several callers, with random faults. Returns what became of
// each.
std::vector<Submission> SubmitWithFaults(FaultyDeployment* deployment,
                                         std::uint64_t seed) {
  std::vector<Submission> submissions(kCallers * kJobsPerCaller);
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([deployment, &submissions, caller, seed]() {
      Random random(seed * kCallers + static_cast<std::uint64_t>(caller));
      for (int i = 0; i < kJobsPerCaller; ++i) {
        const int number = caller * kJobsPerCaller + i;
        std::deque<LinkFault> faults;
        const std::uint64_t count = 1 + random.Below(kMaxFaults);
        while (faults.size() < count) {
          faults.push_back(kFaults[random.Below(std::size(kFaults))]);
        }
        submissions[number] = deployment->Submit(
            JobName(static_cast<std::uint64_t>(number)), faults, kMaxTries);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return submissions;
}

// Guards against the same for other sequences of faults, with callers that try
// again.
TEST_CASE("No job starts whose tries were all refused", "[sequences]") {
  const std::uint64_t first = NumberFromEnvironment("DAISYROAD_FIRST_SEED", 1);
  const std::uint64_t seeds = NumberFromEnvironment("DAISYROAD_SEEDS", 1);
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    CAPTURE(seed);
    FaultyDeployment deployment;
    const std::vector<Submission> submissions =
        SubmitWithFaults(&deployment, seed);
    std::this_thread::sleep_for(kSettleTime);
    int refused = 0;
    for (const Submission& submission : submissions) {
      CAPTURE(submission.job, submission.story);
      refused += submission.is_refused;
      const bool has_started = deployment.HasStarted(submission);
      CHECK_FALSE((submission.is_refused && has_started));
    }
    CHECK(refused > 0);
  }
}

}  // namespace
}  // namespace daisyroad::platform
