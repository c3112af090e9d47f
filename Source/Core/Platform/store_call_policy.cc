#include "Core/Platform/store_call_policy.h"

#include <algorithm>

#include "Core/Common/random.h"

namespace daisyroad {
namespace {

// Repetitions that may follow each other without a pause, for example those of
// the calls that were held back during an outage.
constexpr double kMostRetries = 20.0;
// A pause is shortened at random by up to this share.
constexpr double kJitter = 0.5;
constexpr int kMostDoublings = 16;
// A call that was not repeated for this long counts as a new one.
constexpr std::chrono::seconds kFailureRetention{5};
constexpr std::chrono::seconds kCleanupInterval{1};

}  // namespace

StoreCallPolicy::StoreCallPolicy(const StoreCallSettings& settings)
    : settings(settings), retries(kMostRetries) {}

MonotonicTime StoreCallPolicy::SendTime(StoreCallClass call_class,
                                        const std::string& call,
                                        MonotonicTime now,
                                        Random* random) {
  if (!this->settings.is_paced || call_class == StoreCallClass::kDuty) {
    return now;
  }
  const std::map<std::string, FailedCall>::const_iterator failed =
      this->failed_calls.find(call);
  if (failed == this->failed_calls.end() ||
      now >= failed->second.failed_at + kFailureRetention ||
      this->MayRelease()) {
    return now;
  }
  const int repetitions =
      failed->second.success_count == this->success_count
          ? std::min(failed->second.failures - 1, kMostDoublings)
          : 0;
  const Duration pause = std::min<Duration>(
      this->settings.first_delay * (std::int64_t{1} << repetitions),
      this->LongestDelay(call_class));
  const Duration jitter = random->DurationBelow(
      std::chrono::duration_cast<Duration>(pause * kJitter));
  return std::max(now, failed->second.failed_at + pause - jitter);
}

bool StoreCallPolicy::MayRelease() {
  if (this->failures > 0 || this->retries < 1.0) {
    return false;
  }
  this->retries -= 1.0;
  return true;
}

void StoreCallPolicy::OnSuccess(const std::string& call) {
  this->failed_calls.erase(call);
  this->failures = 0;
  ++this->success_count;
  this->retries =
      std::min(kMostRetries, this->retries + this->settings.retry_share);
}

void StoreCallPolicy::OnFailure(const std::string& call, MonotonicTime now) {
  ++this->failures;
  this->ForgetOldCalls(now);
  FailedCall& failed = this->failed_calls[call];
  if (failed.success_count != this->success_count) {
    failed.success_count = this->success_count;
    failed.failures = 0;
  }
  ++failed.failures;
  failed.failed_at = now;
}

Milliseconds StoreCallPolicy::LongestDelay(StoreCallClass call_class) const {
  return call_class == StoreCallClass::kWrite ? this->settings.longest_delay / 2
                                              : this->settings.longest_delay;
}

void StoreCallPolicy::ForgetOldCalls(MonotonicTime now) {
  if (now < this->next_cleanup) {
    return;
  }
  this->next_cleanup = now + kCleanupInterval;
  std::erase_if(this->failed_calls,
                [now](const std::pair<const std::string, FailedCall>& entry) {
                  return now >= entry.second.failed_at + kFailureRetention;
                });
}

}  // namespace daisyroad
