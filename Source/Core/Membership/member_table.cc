#include "Core/Membership/member_table.h"

#include <utility>

namespace daisyroad {
namespace {

bool IsNewer(const MemberInfo& update, const MemberInfo& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.state > known.state;
}

}  // namespace

const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kRemoved:
      return "removed";
  }
  return "unknown";
}

MemberTable::MemberTable(MemberInfo self) : own_name(self.name) {
  this->table.emplace(this->own_name,
                      Member{std::move(self), Reachability::kDirect, {}});
}

bool MemberTable::Merge(const MemberInfo& update, MonotonicTime now) {
  if (update.name == this->own_name) {
    MemberInfo& own = this->table.at(this->own_name).info;
    if (update.state == MemberState::kAlive ||
        update.incarnation < own.incarnation) {
      return false;
    }
    own.incarnation = update.incarnation + 1;
    return true;
  }
  const auto found = this->table.find(update.name);
  if (found == this->table.end()) {
    if (update.state == MemberState::kRemoved) {
      return false;
    }
    this->table.emplace(update.name,
                        Member{update, Reachability::kDirect, now});
    return true;
  }
  if (!IsNewer(update, found->second.info)) {
    return false;
  }
  if (update.state != found->second.info.state) {
    found->second.since = now;
  }
  found->second.info = update;
  return true;
}

void MemberTable::SetReachability(const EntryName& name,
                                  Reachability reachability) {
  const auto found = this->table.find(name);
  if (found != this->table.end()) {
    found->second.reachability = reachability;
  }
}

std::vector<MemberInfo> MemberTable::Expire(MonotonicTime now) {
  std::vector<MemberInfo> removed;
  for (auto entry = this->table.begin(); entry != this->table.end();) {
    Member& member = entry->second;
    if (member.info.state == MemberState::kSuspect &&
        now - member.since >= kSuspicionTimeout) {
      member.info.state = MemberState::kRemoved;
      member.since = now;
      removed.push_back(member.info);
    }
    const bool is_expired = member.info.state == MemberState::kRemoved &&
                            now - member.since >= kRemovedRetention;
    entry = is_expired ? this->table.erase(entry) : std::next(entry);
  }
  return removed;
}

const MemberInfo& MemberTable::self() const {
  return this->table.at(this->own_name).info;
}

const Member* MemberTable::Find(const EntryName& name) const {
  const auto found = this->table.find(name);
  return found == this->table.end() ? nullptr : &found->second;
}

std::vector<EntryName> MemberTable::Live() const {
  std::vector<EntryName> names;
  for (const std::pair<const EntryName, Member>& entry : this->table) {
    if (entry.second.info.state != MemberState::kRemoved) {
      names.push_back(entry.first);
    }
  }
  return names;
}

std::vector<EntryName> MemberTable::LiveInZone(const ZoneName& zone) const {
  std::vector<EntryName> names;
  for (const std::pair<const EntryName, Member>& entry : this->table) {
    if (entry.second.info.state != MemberState::kRemoved &&
        entry.second.info.zone == zone) {
      names.push_back(entry.first);
    }
  }
  return names;
}

}  // namespace daisyroad
