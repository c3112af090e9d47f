// Rules that detect configuration faults, overload and short caller deadlines.

#include <algorithm>
#include <map>
#include <utility>

#include "Core/Diagnosis/burst.h"
#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/observation_filter.h"
#include "Core/Diagnosis/thresholds.h"

namespace daisyroad {
namespace {

using Observations = std::vector<Observation>;

constexpr std::size_t kMinRefusals = 3;
constexpr std::size_t kMinLongWaits = 5;
constexpr std::size_t kMinLimitRefusals = 5;
constexpr std::size_t kMinShortDeadlines = 3;
constexpr double kMinLongWaitShare = 0.5;
// A change takes effect everywhere within 5 s (design 1.1). Refusals that start
// much later have another cause.
constexpr std::chrono::seconds kMaxEffectDelay{60};

std::optional<RefusalReason> ReasonOf(ConfigurationEffect effect) {
  switch (effect) {
    case ConfigurationEffect::kLimit:
      return RefusalReason::kLimit;
    case ConfigurationEffect::kZoneOut:
      return RefusalReason::kZone;
    case ConfigurationEffect::kKeyWithdrawn:
      return RefusalReason::kKey;
    case ConfigurationEffect::kQueue:
      return RefusalReason::kQueue;
    case ConfigurationEffect::kOther:
      return std::nullopt;
  }
  return std::nullopt;
}

const std::string& SubjectOf(const Refusal& refusal) {
  switch (refusal.reason) {
    case RefusalReason::kLimit:
    case RefusalReason::kKey:
      return refusal.team.str();
    case RefusalReason::kQueue:
      return refusal.queue.str();
    case RefusalReason::kZone:
      return refusal.zone.str();
  }
  return refusal.team.str();
}

std::vector<MonotonicTime> TimesBetween(std::vector<MonotonicTime> times,
                                        MonotonicTime from,
                                        MonotonicTime to) {
  std::erase_if(times,
                [from, to](MonotonicTime at) { return at < from || at > to; });
  return times;
}

bool CausedRefusals(const Observations& observations,
                    MonotonicTime at,
                    const ConfigurationAdopted& version) {
  const std::optional<RefusalReason> reason = ReasonOf(version.effect);
  const std::vector<MonotonicTime> times = TimesOf<Refusal>(
      observations, [&reason, &version](const Refusal& refusal) {
        return refusal.reason == reason &&
               SubjectOf(refusal) == version.subject;
      });
  return BurstOnset(TimesBetween(times, at, at + kMaxEffectDelay), kMinRefusals)
      .has_value();
}

// Returns whether long waits started only after a zone was taken out of
// service.
bool CausedLongWaits(const Observations& observations,
                     MonotonicTime at,
                     const ConfigurationAdopted& version) {
  if (version.effect != ConfigurationEffect::kZoneOut) {
    return false;
  }
  const std::vector<MonotonicTime> times =
      TimesOf<QueueDelay>(observations, IsLongWait);
  return !BurstOnset(TimesBetween(times, MonotonicTime::min(), at),
                     kMinRefusals) &&
         BurstOnset(TimesBetween(times, at, at + kMaxEffectDelay),
                    kMinLongWaits);
}

bool IsMostlyLong(std::size_t long_waits, std::size_t short_waits) {
  return static_cast<double>(long_waits) >=
         kMinLongWaitShare * static_cast<double>(long_waits + short_waits);
}

std::optional<Finding> FindLongWaits(const Observations& observations) {
  std::map<PoolName,
           std::pair<std::vector<MonotonicTime>, std::vector<MonotonicTime>>>
      pools;
  ForEach<QueueDelay>(
      observations, [&pools](MonotonicTime at, const QueueDelay& delay) {
        auto& pool = pools[delay.pool];
        (IsLongWait(delay) ? pool.first : pool.second).push_back(at);
      });
  for (const auto& [name, times] : pools) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(times.first, kMinLongWaits);
    if (onset &&
        IsMostlyLong(
            TimesBetween(times.first, *onset, *onset + kBurstWindow).size(),
            TimesBetween(times.second, *onset, *onset + kBurstWindow).size())) {
      return Finding{Verdict::kOverload, *onset,
                     "the queue of pool " + name.str(),
                     "Tasks of pool " + name.str() +
                         " waited much longer than they ran: more work came "
                         "than the pool can do."};
    }
  }
  return std::nullopt;
}

bool LimitWasChanged(const Observations& observations) {
  return !TimesOf<ConfigurationAdopted>(
              observations,
              [](const ConfigurationAdopted& version) {
                return version.effect == ConfigurationEffect::kLimit;
              })
              .empty();
}

}  // namespace

std::optional<Finding> FindConfigurationFault(
    const Observations& observations) {
  std::optional<Finding> earliest;
  ForEach<ConfigurationAdopted>(
      observations, [&](MonotonicTime at, const ConfigurationAdopted& version) {
        if (!earliest && (CausedRefusals(observations, at, version) ||
                          CausedLongWaits(observations, at, version))) {
          earliest = Finding{Verdict::kConfiguration, at,
                             "version " + std::to_string(version.version),
                             "Work was refused or delayed after version " +
                                 std::to_string(version.version) +
                                 " came into force, which changed " +
                                 version.subject + "."};
        }
      });
  return earliest;
}

std::optional<Finding> FindOverload(const Observations& observations) {
  if (std::optional<Finding> waits = FindLongWaits(observations)) {
    return waits;
  }
  const std::optional<MonotonicTime> onset = BurstOnset(
      TimesOf<Refusal>(observations,
                       [](const Refusal& refusal) {
                         return refusal.reason == RefusalReason::kLimit;
                       }),
      kMinLimitRefusals);
  if (!onset || LimitWasChanged(observations)) {
    return std::nullopt;
  }
  return Finding{Verdict::kOverload, *onset, "the team's limit",
                 "A team asked for more than its limit, which had not "
                 "changed."};
}

std::optional<Finding> FindShortDeadlines(const Observations& observations) {
  const std::optional<MonotonicTime> onset =
      BurstOnset(TimesOf<ShortDeadline>(
                     observations, [](const ShortDeadline&) { return true; }),
                 kMinShortDeadlines);
  if (!onset) {
    return std::nullopt;
  }
  return Finding{Verdict::kCallerDeadline, *onset, "the callers' deadlines",
                 "Callers set deadlines shorter than the usual run time."};
}

}  // namespace daisyroad
