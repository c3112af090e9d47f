// Order in which the steps that have tasks to place get their turn. Answers the
// load of a team that sends several times its usual work: while the pool is
// full, each team gets the room that its declared share gives it, and the jobs
// of the others do not queue behind it.

#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>
#include <utility>

#include "Core/Common/log_decision.h"
#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// The next turn of a team. Of equal standings, the one whose candidate comes
// first in the order without shares is first.
struct Turn {
  int standing = 0;
  std::size_t position = 0;
  std::size_t account = 0;

  bool operator<(const Turn& other) const {
    return std::tie(this->standing, other.position) <
           std::tie(other.standing, this->position);
  }
};

// Exceeds the millicores of any fleet.
constexpr std::int64_t kMostWaiting = std::int64_t{1} << 50;

std::int64_t ToPermille(double share) {
  return std::llround(share * 1000.0);
}

}  // namespace

void PoolScheduler::OrderCandidates(std::vector<Candidate>* candidates) {
  // They were collected in the order of job, occurrence and step.
  std::stable_sort(
      candidates->begin(), candidates->end(),
      [](const Candidate& left, const Candidate& right) {
        return std::tie(left.tier, left.priority, left.remaining_work) <
               std::tie(right.tier, right.priority, right.remaining_work);
      });
}

void PoolScheduler::PlaceInOrder(const std::vector<Candidate>& candidates,
                                 bool may_start,
                                 MonotonicTime now) {
  const bool is_room_short = this->IsRoomShort(candidates);
  this->was_room_short = false;
  const Candidate* const end = candidates.data() + candidates.size();
  for (const Candidate* group = candidates.data(); group != end;) {
    const Candidate* const next =
        std::find_if(group, end, [group](const Candidate& candidate) {
          return std::tie(candidate.tier, candidate.priority) !=
                 std::tie(group->tier, group->priority);
        });
    const bool is_service = group->job->job.spec.steps[group->step].is_service;
    if (is_room_short && !is_service) {
      this->PlaceByStanding(group, next, may_start, now);
    } else {
      for (; group != next; ++group) {
        this->PlaceCandidate(*group, may_start, now);
      }
    }
    group = next;
  }
  this->shares.EndPass(this->MaySendStarts());
  if (is_room_short && this->was_room_short) {
    this->RecordStandings(now);
  }
}

void PoolScheduler::PlaceByStanding(const Candidate* begin,
                                    const Candidate* end,
                                    bool may_start,
                                    MonotonicTime now) {
  const std::size_t count = end - begin;
  // The next candidate of the same team, and the first one of each team.
  std::vector<std::size_t> following(count);
  std::vector<std::size_t> first(this->shares.size(), count);
  for (std::size_t position = count; position-- > 0;) {
    std::size_t& head = first[begin[position].share_account];
    following[position] = std::exchange(head, position);
  }
  std::priority_queue<Turn> turns;
  for (std::size_t account = 0; account < first.size(); ++account) {
    if (first[account] < count) {
      turns.push(Turn{this->shares.Standing(account), first[account], account});
    }
  }
  while (!turns.empty()) {
    Turn turn = turns.top();
    turns.pop();
    // A team that starts nothing keeps its standing.
    do {
      if (this->PlaceCandidate(begin[turn.position], may_start, now)) {
        turn.standing = this->shares.Standing(turn.account);
      }
      turn.position = following[turn.position];
    } while (turn.position < count && (turns.empty() || turns.top() < turn));
    if (turn.position < count) {
      turns.push(turn);
    }
  }
}

bool PoolScheduler::PlaceCandidate(const Candidate& candidate,
                                   bool may_start,
                                   MonotonicTime now) {
  Placement placement = Placement::kBlocked;
  const std::size_t orders_before = this->orders.size();
  if (may_start && this->MaySendStarts()) {
    placement = this->PlaceStep(candidate, now);
  }
  const bool has_orders = this->orders.size() > orders_before;
  const JobState& job = *candidate.job;
  const StepSpec& step = job.job.spec.steps[candidate.step];
  // Trials may have started tasks since the candidates were collected.
  const int placeable = has_orders || !this->suspects.empty()
                            ? this->CountPlaceableTasks(candidate)
                            : candidate.placeable;
  this->waiting_millicores = std::min(
      this->waiting_millicores + step.request.cpu_millicores * placeable,
      kMostWaiting);
  if (placement == Placement::kNoRoom && !step.is_service &&
      !this->shares.IsWaiting(candidate.share_account) &&
      this->HasAllotment(job.job.team, LeastRequest(step)) &&
      this->HasSuitableWorker(step)) {
    this->shares.SetWaiting(candidate.share_account);
    this->was_room_short = true;
  }
  return has_orders;
}

bool PoolScheduler::IsRoomShort(
    const std::vector<Candidate>& candidates) const {
  if (!this->settings.use_shares || this->was_room_short) {
    return this->settings.use_shares;
  }
  std::vector<Resources> wanted(this->shares.size());
  for (const Candidate& candidate : candidates) {
    const StepSpec& step = candidate.job->job.spec.steps[candidate.step];
    if (step.is_service || !this->HasSuitableWorker(step)) {
      continue;
    }
    const Resources request = ReservedBy(step);
    wanted[candidate.share_account] +=
        Resources{request.cpu_millicores * candidate.placeable,
                  request.memory_mb * candidate.placeable,
                  request.accelerators * candidate.placeable};
  }
  Resources all;
  for (std::size_t account = 0; account < wanted.size(); ++account) {
    const TeamName& team = this->shares.TeamOf(account);
    const std::map<TeamName, Resources>::const_iterator limit =
        this->allotments.find(team);
    all += limit == this->allotments.end()
               ? wanted[account]
               : Lesser(wanted[account],
                        Remainder(limit->second, this->UseOf(team)));
  }
  Resources room;
  for (const WorkerState* const worker : this->usable_workers) {
    room += Remainder(worker->listing.capacity, worker->used);
  }
  return !all.FitsIn(room);
}

Resources PoolScheduler::RoomOfJobs() const {
  Resources room;
  for (const WorkerState* const worker : this->usable_workers) {
    room += Remainder(worker->listing.capacity, worker->service_use);
  }
  return room;
}

bool PoolScheduler::HasSuitableWorker(const StepSpec& step) const {
  const std::int64_t wanted = step.is_gang ? step.task_count : 1;
  std::int64_t members = 0;
  for (const WorkerState* const worker : this->usable_workers) {
    if (HasLabel(worker->listing, step)) {
      members += MembersOn(step, worker->listing.capacity);
    }
    if (members >= wanted) {
      return true;
    }
  }
  return false;
}

void PoolScheduler::RecordStandings(MonotonicTime now) {
  for (const TeamStanding& team : this->shares.Standings()) {
    if (!team.is_waiting ||
        std::chrono::abs(team.standing) < TeamShares::kStandingStep) {
      continue;
    }
    MonotonicTime& next_line = this->next_standing_line[team.team];
    if (now < next_line) {
      continue;
    }
    next_line = now + this->settings.standing_log_interval;
    this->decisions.push_back(
        LogDecision("team_standing")
            .Field("pool", this->pool.str())
            .Field("team", team.team.str())
            .Field("outcome",
                   team.standing > Milliseconds(0) ? "favoured" : "held_back")
            .Field("use_permille", ToPermille(team.use))
            .Field("entitled_permille", ToPermille(team.entitlement))
            .Field("standing_ms", team.standing.count())
            .Field("deficit_ms", team.deficit.count())
            .line());
  }
}

}  // namespace daisyroad
