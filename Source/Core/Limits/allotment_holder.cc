#include "Core/Limits/allotment_holder.h"

#include <utility>

namespace daisyroad {

AllotmentHolder::AllotmentHolder(EntryName self,
                                 Options options,
                                 std::uint64_t seed)
    : self(std::move(self)), options(options), random(seed) {}

AllotmentHolder::Team& AllotmentHolder::GetOrCreateTeam(const TeamName& team) {
  return this->teams
      .try_emplace(
          team, Team{TeamAllotment(this->self, team, this->options.team), {}})
      .first->second;
}

const TeamAllotment* AllotmentHolder::Find(const TeamName& team) const {
  const std::map<TeamName, Team>::const_iterator found = this->teams.find(team);
  return found == this->teams.end() ? nullptr : &found->second.allotment;
}

void AllotmentHolder::SetLimit(const TeamName& team,
                               std::int64_t limit,
                               std::uint64_t version) {
  this->GetOrCreateTeam(team).allotment.SetLimit(limit, version);
}

void AllotmentHolder::SetRoster(const std::set<EntryName>& members,
                                MonotonicTime confirmed_at,
                                MonotonicTime now) {
  for (const EntryName& member : this->roster) {
    if (!members.contains(member)) {
      this->absent_since.emplace(member, now);
    }
  }
  this->roster = members;
  this->roster_confirmed_at = confirmed_at;
  // The limit records may still contain an incarnation that left within this
  // time.
  std::erase_if(this->absent_since,
                [&](const std::pair<const EntryName, MonotonicTime>& item) {
                  return members.contains(item.first) ||
                         now - item.second > std::chrono::hours(1);
                });
}

bool AllotmentHolder::TryStart(const TeamName& team) {
  const std::map<TeamName, Team>::iterator found = this->teams.find(team);
  return found != this->teams.end() && this->roster.contains(this->self) &&
         found->second.allotment.TryStart();
}

void AllotmentHolder::OnFinished(const TeamName& team) {
  const std::map<TeamName, Team>::iterator found = this->teams.find(team);
  if (found != this->teams.end()) {
    found->second.allotment.OnFinished();
  }
}

void AllotmentHolder::SetWaiting(const TeamName& team, std::int64_t count) {
  this->GetOrCreateTeam(team).allotment.SetWaiting(count);
}

void AllotmentHolder::OnPeerDemand(const TeamName& team,
                                   const EntryName& peer,
                                   PeerDemand demand,
                                   MonotonicTime now) {
  if (this->roster.contains(peer) && peer != this->self) {
    this->GetOrCreateTeam(team).peers[peer] = PeerReport{demand, now};
  }
}

TeamAllotment::Peers AllotmentHolder::FreshPeers(const Team& team,
                                                 MonotonicTime now) const {
  TeamAllotment::Peers fresh;
  for (const std::pair<const EntryName, PeerReport>& item : team.peers) {
    if (now - item.second.received_at <= this->options.peer_timeout &&
        this->roster.contains(item.first)) {
      fresh.emplace(item.first, item.second.demand);
    }
  }
  return fresh;
}

std::vector<EntryName> AllotmentHolder::FindReclaimableHolders(
    const LimitRecord& record,
    MonotonicTime now) {
  const Duration reclaim_delay =
      this->options.freshness + this->options.task_lease + this->options.margin;
  std::vector<EntryName> reclaimable_holders;
  for (const std::pair<const EntryName, Allotment>& item : record.allotments) {
    if (this->roster.contains(item.first)) {
      continue;
    }
    const MonotonicTime absence_start =
        this->absent_since.emplace(item.first, now).first->second;
    // The roster must have been confirmed after the wait. An outdated roster
    // may lack the holder only because the holder joined later.
    if (this->roster_confirmed_at &&
        *this->roster_confirmed_at - absence_start >= reclaim_delay) {
      reclaimable_holders.push_back(item.first);
    }
  }
  return reclaimable_holders;
}

std::vector<LimitAction> AllotmentHolder::Tick(MonotonicTime now) {
  std::vector<LimitAction> actions;
  if (!this->roster.contains(this->self)) {
    return actions;
  }
  for (std::pair<const TeamName, Team>& item : this->teams) {
    Team& team = item.second;
    std::erase_if(team.peers,
                  [this](const std::pair<const EntryName, PeerReport>& peer) {
                    return !this->roster.contains(peer.first);
                  });
    const std::vector<LimitAction> team_actions = team.allotment.Tick(
        this->FreshPeers(team, now),
        this->FindReclaimableHolders(team.allotment.snapshot().record, now),
        &this->random, now);
    actions.insert(actions.end(), team_actions.begin(), team_actions.end());
  }
  return actions;
}

std::vector<LimitAction> AllotmentHolder::OnWriteAnswer(const TeamName& team,
                                                        std::uint64_t serial,
                                                        WriteOutcome outcome,
                                                        std::uint64_t revision,
                                                        MonotonicTime now) {
  return this->GetOrCreateTeam(team).allotment.OnWriteAnswer(serial, outcome,
                                                             revision, now);
}

void AllotmentHolder::OnRecord(const TeamName& team,
                               const std::optional<LimitSnapshot>& snapshot,
                               MonotonicTime now) {
  this->GetOrCreateTeam(team).allotment.OnRecord(snapshot, now);
}

}  // namespace daisyroad
