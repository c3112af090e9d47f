// The program with faults on its link to the store while it takes jobs.

#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <sstream>
#include <string>
#include <thread>

#include "UnitTests/Izarra/deployment.h"
#include "UnitTests/Izarra/faulty_link.h"

namespace daisyroad::platform {
namespace {

constexpr Milliseconds kStartTimeout{15000};
// Long enough for late writes and the starts that follow.
constexpr Milliseconds kSettleTime{4000};
bool IsRefusal(int status) {
  return status == 429 || status == 503;
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

}  // namespace
}  // namespace daisyroad::platform
