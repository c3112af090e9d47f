#include "Core/Site/leadership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Allows three renewals within the duration of a lease.
constexpr Milliseconds kRenewInterval{400};
constexpr Milliseconds kRequestTimeout{500};
// Interval at which the lease and vacant duties are checked.
constexpr Milliseconds kCheckInterval{100};
// Instances start within 300 ms of each other. No duty is acquired until all
// of them have had time to register.
constexpr Milliseconds kRegistrationDelay{700};
// A vacant duty is acquired by the instance that has the most CPU cores per
// duty. Each instance after it waits this much longer before it tries.
constexpr Milliseconds kRankDelay{150};
// Assumed for an instance whose record does not state its CPU cores.
constexpr double kDefaultCpuCores = 0.1;

struct LeaderRecord {
  std::string node;
  std::string address;
  std::int64_t term = 0;
  std::int64_t incarnation = 0;
  // Holders of earlier terms that may still issue orders.
  std::vector<TermHolder> predecessors;
};

std::string SerializeLeader(const LeaderRecord& record) {
  Json::Value json;
  json["node"] = record.node;
  json["address"] = record.address;
  json["term"] = Json::Int64(record.term);
  json["incarnation"] = Json::Int64(record.incarnation);
  for (const TermHolder& holder : record.predecessors) {
    Json::Value row(Json::arrayValue);
    row.append(holder.node);
    row.append(Json::Int64(holder.incarnation));
    json["predecessors"].append(row);
  }
  return WriteJson(json);
}

std::optional<LeaderRecord> ParseLeader(const std::string& text) {
  const Result<Json::Value> json = ParseJson(text);
  if (!json.ok() || !json.value().isObject() ||
      !json.value()["node"].isString() || !json.value()["address"].isString() ||
      !json.value()["term"].isInt64()) {
    return std::nullopt;
  }
  LeaderRecord record;
  record.node = json.value()["node"].asString();
  record.address = json.value()["address"].asString();
  record.term = json.value()["term"].asInt64();
  record.incarnation = json.value()["incarnation"].asInt64();
  for (const Json::Value& row : json.value()["predecessors"]) {
    if (!row.isArray() || row.size() != 2 || !row[0].isString() ||
        !row[1].isInt64()) {
      return std::nullopt;
    }
    record.predecessors.push_back(
        TermHolder{row[0].asString(), row[1].asInt64()});
  }
  return record;
}

}  // namespace

struct Leadership::State : std::enable_shared_from_this<State> {
  RevisionStore* store = nullptr;
  EventLoop* loop = nullptr;
  PrefixMirror* mirror = nullptr;
  std::string node;
  std::string address;
  double cpu_cores = 0.0;
  std::int64_t incarnation = 0;  // start time of this process
  Listener listener;
  std::set<std::string> duties;
  std::map<std::string, Term> terms;
  std::map<std::string, MonotonicTime> vacant_since;
  std::set<std::string> pending_acquisitions;
  std::set<std::string> pending_records;  // duties whose term is being written
  StoreLease lease = 0;
  BootClock::time_point lease_valid_until;
  bool is_acquiring_lease = false;
  bool is_renewing_lease = false;
  bool is_registered = false;
  bool is_lease_uncertain = false;
  bool is_stopped = false;
  MonotonicTime registered_at;
  MonotonicTime next_renewal;

  std::optional<LeaderRecord> FindRecord(const std::string& duty) const {
    const PrefixMirror::Items::const_iterator found =
        this->mirror->items().find(kLeaderPrefix + duty);
    return found == this->mirror->items().end()
               ? std::nullopt
               : ParseLeader(found->second.value);
  }

  void Tick() {
    if (this->is_stopped) {
      return;
    }
    const std::shared_ptr<State> self = this->shared_from_this();
    this->loop->After(kCheckInterval, [self]() { self->Tick(); });
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (this->lease == 0) {
      this->AcquireLease();
    } else if (now >= this->next_renewal && !this->is_renewing_lease) {
      this->RenewLease();
    }
    this->CheckValidity();
    if (!this->is_registered || !this->mirror->is_loaded() ||
        this->is_lease_uncertain ||
        now < this->registered_at + kRegistrationDelay) {
      return;
    }
    for (const std::string& duty : this->duties) {
      this->MaybeAcquireDuty(duty, now);
    }
    for (std::pair<const std::string, Term>& entry : this->terms) {
      this->MaybeForgetPredecessors(&entry.second, now);
    }
  }

  void AcquireLease() {
    if (this->is_acquiring_lease) {
      return;
    }
    this->is_acquiring_lease = true;
    const BootClock::time_point requested_at = BootClock::now();
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->GrantLease(
        kLeaseDuration, kRequestTimeout,
        [self, requested_at](Result<StoreLease> lease) {
          self->is_acquiring_lease = false;
          if (!lease.ok() || self->is_stopped) {
            return;
          }
          self->lease = lease.value();
          self->lease_valid_until = requested_at + kLeaseDuration;
          self->next_renewal =
              std::chrono::steady_clock::now() + kRenewInterval;
          self->SetLeaseUncertain(false);
          self->Register();
        });
  }

  void Register() {
    Json::Value json;
    json["address"] = this->address;
    json["incarnation"] = Json::Int64(this->incarnation);
    json["processor"] = this->cpu_cores;
    StoreTransaction transaction;
    transaction.writes.push_back(
        StoreWrite{kNodePrefix + this->node, WriteJson(json), this->lease});
    const std::shared_ptr<State> self = this->shared_from_this();
    const StoreLease lease = this->lease;
    this->store->Commit(
        transaction, kRequestTimeout,
        [self, lease](const Result<TransactionResult>& result) {
          if (self->is_stopped || self->lease != lease) {
            return;
          }
          if (!result.ok()) {
            self->loop->After(kRankDelay, [self, lease]() {
              if (self->lease == lease && !self->is_stopped) {
                self->Register();
              }
            });
            return;
          }
          if (!self->is_registered) {
            self->registered_at = std::chrono::steady_clock::now();
          }
          self->is_registered = true;
          CLOG(INFO, kMembershipLog)
              << "event=registered node=" << self->node << " lease=" << lease;
        });
  }

  void RenewLease() {
    this->is_renewing_lease = true;
    const BootClock::time_point requested_at = BootClock::now();
    const StoreLease lease = this->lease;
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->KeepLease(
        lease, kRequestTimeout,
        [self, requested_at, lease](const Result<std::monostate>& renewed) {
          self->is_renewing_lease = false;
          if (self->lease != lease) {
            return;
          }
          const MonotonicTime now = std::chrono::steady_clock::now();
          if (renewed.ok()) {
            self->lease_valid_until = requested_at + kLeaseDuration;
            self->next_renewal = now + kRenewInterval;
            self->SetLeaseUncertain(false);
          } else if (renewed.error().code == Errc::kNotFound) {
            self->OnLeaseLost();
          } else {
            self->next_renewal = now;  // repeated at the next check
          }
        });
  }

  void OnLeaseLost() {
    CLOG(WARNING, kMembershipLog)
        << "event=lease_ended node=" << this->node << " lease=" << this->lease
        << " duties=" << this->terms.size();
    this->lease = 0;
    this->is_registered = false;
    this->EndAllTerms("the lease expired");
  }

  void CheckValidity() {
    if (this->lease == 0) {
      return;
    }
    const BootClock::time_point now = BootClock::now();
    this->SetLeaseUncertain(now > this->lease_valid_until);
    if (!this->MayIssueOrders() && !this->terms.empty()) {
      this->EndAllTerms(
          "the store did not answer within the outage grace period");
    }
  }

  bool MayIssueOrders() const {
    return this->lease != 0 &&
           BootClock::now() <= this->lease_valid_until + kOutageGrace;
  }

  void SetLeaseUncertain(bool value) {
    if (this->is_lease_uncertain == value) {
      return;
    }
    this->is_lease_uncertain = value;
    CLOG(WARNING, kMembershipLog)
        << "event=" << (value ? "lease_uncertain" : "lease_confirmed")
        << " node=" << this->node << " duties=" << this->terms.size();
  }

  void EndAllTerms(const std::string& reason) {
    const std::map<std::string, Term> ended = std::exchange(this->terms, {});
    for (const std::pair<const std::string, Term>& entry : ended) {
      CLOG(INFO, kMembershipLog)
          << "decision=term_ended duty=" << entry.first
          << " fence=" << entry.second.fence << " reason=\"" << reason << "\"";
      this->listener.on_term_end(entry.first);
    }
  }

  void EndTerm(const std::string& duty, const std::string& reason) {
    if (this->terms.erase(duty) > 0) {
      CLOG(INFO, kMembershipLog) << "decision=term_ended duty=" << duty
                                 << " reason=\"" << reason << "\"";
      this->listener.on_term_end(duty);
    }
  }

  struct Load {
    double cpu_cores = kDefaultCpuCores;
    int duties = 0;
  };
  using Loads = std::map<std::string, Load>;

  // CPU cores and number of duties of each registered instance.
  Loads InstanceLoads() const {
    Loads loads;
    for (const std::pair<const std::string, StoreItem>& entry :
         this->mirror->items()) {
      if (entry.first.starts_with(kNodePrefix)) {
        Load& load = loads[entry.first.substr(kNodePrefix.size())];
        const Result<Json::Value> json = ParseJson(entry.second.value);
        if (json.ok() && json.value()["processor"].isNumeric()) {
          load.cpu_cores =
              std::max(load.cpu_cores, json.value()["processor"].asDouble());
        }
      }
    }
    for (const std::string& duty : this->duties) {
      const std::optional<LeaderRecord> leader = this->FindRecord(duty);
      if (leader && loads.contains(leader->node)) {
        ++loads[leader->node].duties;
      }
    }
    return loads;
  }

  // Instances in the order in which they should acquire the duty.
  static std::vector<std::string> RankCandidates(const Loads& loads,
                                                 const std::string& duty) {
    using Key = std::tuple<double, std::uint64_t, std::string>;
    const std::uint64_t seed = StableHash(duty);
    std::vector<Key> keys;
    keys.reserve(loads.size());
    for (const std::pair<const std::string, Load>& entry : loads) {
      keys.emplace_back((entry.second.duties + 1) / entry.second.cpu_cores,
                        StableHash(entry.first, seed), entry.first);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<std::string> names;
    names.reserve(keys.size());
    for (const Key& key : keys) {
      names.push_back(std::get<std::string>(key));
    }
    return names;
  }

  // Position of this instance in the order for the duty. Duties that are vacant
  // at the same time are assigned in order of name, so that one instance does
  // not acquire all of them.
  int Rank(const std::string& duty) const {
    Loads loads = this->InstanceLoads();
    for (const std::string& other : this->duties) {
      if (other == duty) {
        break;
      }
      const std::vector<std::string> candidates = RankCandidates(loads, other);
      if (!this->FindRecord(other) && !candidates.empty()) {
        ++loads[candidates.front()].duties;
      }
    }
    const std::vector<std::string> candidates = RankCandidates(loads, duty);
    return static_cast<int>(
        std::find(candidates.begin(), candidates.end(), this->node) -
        candidates.begin());
  }

  void MaybeAcquireDuty(const std::string& duty, MonotonicTime now) {
    const std::optional<LeaderRecord> leader = this->FindRecord(duty);
    const bool is_own_stale_record =
        leader && leader->node == this->node && !this->terms.contains(duty);
    if (leader && !is_own_stale_record) {
      this->vacant_since.erase(duty);
      return;
    }
    const MonotonicTime since =
        this->vacant_since.emplace(duty, now).first->second;
    const bool is_own_turn =
        is_own_stale_record || now >= since + this->Rank(duty) * kRankDelay;
    if (is_own_turn && !this->pending_acquisitions.contains(duty) &&
        !this->terms.contains(duty)) {
      this->AcquireDuty(duty);
    }
  }

  void AcquireDuty(const std::string& duty) {
    const PrefixMirror::Items& items = this->mirror->items();
    const PrefixMirror::Items::const_iterator leader =
        items.find(kLeaderPrefix + duty);
    const PrefixMirror::Items::const_iterator last_term =
        items.find(kTermPrefix + duty);
    Term term;
    term.duty = duty;
    term.number = 1;
    term.is_predecessor_gone = true;
    if (last_term != items.end()) {
      const std::optional<LeaderRecord> record =
          ParseLeader(last_term->second.value);
      term.number = record ? record->term + 1 : 1;
      if (record) {
        term.predecessors = this->RunningHolders(*record);
      }
      term.is_predecessor_gone = term.predecessors.empty();
    }
    const std::string value = this->SerializeTerm(term, term.predecessors);
    StoreTransaction transaction;
    transaction.expected = {
        {kLeaderPrefix + duty,
         leader == items.end() ? 0 : leader->second.revision},
        {kTermPrefix + duty,
         last_term == items.end() ? 0 : last_term->second.revision}};
    transaction.writes = {{kLeaderPrefix + duty, value, this->lease},
                          {kTermPrefix + duty, value, 0}};
    this->pending_acquisitions.insert(duty);
    const std::shared_ptr<State> self = this->shared_from_this();
    const StoreLease lease_used = this->lease;
    this->store->Commit(
        transaction, kRequestTimeout,
        [self, term, lease_used](Result<TransactionResult> result) {
          self->pending_acquisitions.erase(term.duty);
          if (!result.ok()) {
            if (result.error().code == Errc::kNotFound &&
                self->lease == lease_used) {
              self->OnLeaseLost();
            }
            return;
          }
          const TransactionCommitted* const committed =
              std::get_if<TransactionCommitted>(&result.value());
          if (committed == nullptr || self->is_stopped ||
              self->lease != lease_used) {
            return;
          }
          Term new_term = term;
          new_term.fence = committed->revision;
          new_term.begun_at = std::chrono::steady_clock::now();
          self->terms[new_term.duty] = new_term;
          CLOG(INFO, kMembershipLog)
              << "decision=term_begun duty=" << new_term.duty
              << " fence=" << new_term.fence << " number=" << new_term.number
              << " predecessor="
              << (new_term.is_predecessor_gone ? "gone" : "silent");
          self->listener.on_term_begin(new_term);
        });
  }

  std::string SerializeTerm(const Term& term,
                            const std::vector<TermHolder>& predecessors) const {
    return SerializeLeader(LeaderRecord{this->node, this->address, term.number,
                                        this->incarnation, predecessors});
  }

  // Holders of the recorded term and those before that may still issue orders.
  std::vector<TermHolder> RunningHolders(const LeaderRecord& record) const {
    std::vector<TermHolder> holders = record.predecessors;
    // The record of a released duty has an empty node name.
    if (!record.node.empty()) {
      holders.push_back(TermHolder{record.node, record.incarnation});
    }
    std::erase_if(holders, [this](const TermHolder& holder) {
      return this->HasTerminated(holder);
    });
    return holders;
  }

  bool HasTerminated(const TermHolder& holder) const {
    if (holder.node == this->node) {
      return true;
    }
    const PrefixMirror::Items::const_iterator found =
        this->mirror->items().find(kNodePrefix + holder.node);
    if (found == this->mirror->items().end()) {
      return false;
    }
    const Result<Json::Value> json = ParseJson(found->second.value);
    return json.ok() && json.value()["incarnation"].isInt64() &&
           json.value()["incarnation"].asInt64() != holder.incarnation;
  }

  bool ArePredecessorsGone(const Term& term) const {
    return std::all_of(term.predecessors.begin(), term.predecessors.end(),
                       [this](const TermHolder& holder) {
                         return this->HasTerminated(holder);
                       });
  }

  // Removes the earlier holders from the record of the term once their outage
  // grace period is over, so that the next holder does not wait for them.
  void MaybeForgetPredecessors(Term* term, MonotonicTime now) {
    if (term->predecessors.empty() ||
        now < term->begun_at + kOutageGrace + kCheckInterval ||
        !this->pending_records.insert(term->duty).second) {
      return;
    }
    StoreTransaction transaction;
    transaction.expected = {{kLeaderPrefix + term->duty, term->fence}};
    transaction.writes = {
        {kTermPrefix + term->duty, this->SerializeTerm(*term, {}), 0}};
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->Commit(transaction, kRequestTimeout,
                        [self, duty = term->duty, fence = term->fence](
                            const Result<TransactionResult>& result) {
                          self->pending_records.erase(duty);
                          const std::map<std::string, Term>::iterator held =
                              self->terms.find(duty);
                          if (result.ok() && held != self->terms.end() &&
                              held->second.fence == fence) {
                            held->second.predecessors.clear();
                          }
                        });
  }

  // Ends the terms of duties that another instance has acquired since.
  void EndSupersededTerms() {
    for (const std::pair<const std::string, Term>& entry :
         std::map<std::string, Term>(this->terms)) {
      const PrefixMirror::Items::const_iterator leader =
          this->mirror->items().find(kLeaderPrefix + entry.first);
      if (leader != this->mirror->items().end() &&
          leader->second.revision > entry.second.fence) {
        this->EndTerm(entry.first, "another instance acquired the duty");
      }
    }
  }

  void ReleaseDuties() {
    StoreTransaction transaction;
    for (const std::pair<const std::string, Term>& entry : this->terms) {
      LeaderRecord record;
      record.term = entry.second.number;
      record.predecessors = entry.second.predecessors;
      transaction.expected.push_back(
          {kLeaderPrefix + entry.first, entry.second.fence});
      transaction.writes.push_back(
          {kTermPrefix + entry.first, SerializeLeader(record), 0});
      transaction.deletions.push_back(kLeaderPrefix + entry.first);
    }
    transaction.deletions.push_back(kNodePrefix + this->node);
    this->EndAllTerms("the instance is stopping");
    const std::shared_ptr<State> self = this->shared_from_this();
    this->store->Commit(transaction, kRequestTimeout,
                        [self](const Result<TransactionResult>& result) {
                          CLOG(INFO, kMembershipLog)
                              << "event=duties_given_up ok=" << result.ok();
                        });
  }
};

Leadership::Leadership(RevisionStore* store,
                       EventLoop* loop,
                       PrefixMirror* mirror,
                       const std::string& node,
                       const std::string& address,
                       double cpu_cores,
                       Listener listener)
    : state(std::make_shared<State>()) {
  this->state->store = store;
  this->state->loop = loop;
  this->state->mirror = mirror;
  this->state->node = node;
  this->state->address = address;
  this->state->cpu_cores = cpu_cores;
  this->state->incarnation =
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  this->state->listener = std::move(listener);
}

Leadership::~Leadership() {
  this->state->is_stopped = true;
}

void Leadership::SetDuties(std::set<std::string> duties) {
  this->state->duties = std::move(duties);
}

void Leadership::Start() {
  this->state->Tick();
}

void Leadership::Stop() {
  this->state->is_stopped = true;
  this->state->ReleaseDuties();
}

void Leadership::OnMirrorChange() {
  this->state->EndSupersededTerms();
}

std::string Leadership::LeaderAddress(const std::string& duty) const {
  const std::optional<LeaderRecord> leader = this->state->FindRecord(duty);
  return leader ? leader->address : "";
}

bool Leadership::IsPredecessorGone(const Term& term) const {
  return this->state->ArePredecessorsGone(term);
}

bool Leadership::IsLeaseValid() const {
  return this->state->lease != 0 &&
         BootClock::now() < this->state->lease_valid_until;
}

bool Leadership::MayIssueOrders() const {
  return this->state->MayIssueOrders();
}

const std::map<std::string, Term>& Leadership::terms() const {
  return this->state->terms;
}

}  // namespace daisyroad
