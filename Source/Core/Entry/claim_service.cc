#include "Core/Entry/claim_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "Core/Claims/claim_record.h"
#include "Core/Claims/outage_proof.h"
#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Platform/store_client.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"

namespace daisyroad {
namespace {

// Half of the time for which a claim log collects a batch.
constexpr Milliseconds kBusyPollInterval{5};
// Longer when idle: 200 wake-ups per second took 0.15% of a core.
constexpr Milliseconds kIdlePollInterval{100};
constexpr Milliseconds kOutageCheckPeriod{100};
constexpr Milliseconds kRpcTimeout{1000};

ClaimRegistry::Options RegistryOptions(const Settings& settings) {
  ClaimRegistry::Options options;
  options.log.retention = settings.claim_retention;
  return options;
}

ClaimRoster ToClaimRoster(std::uint64_t epoch, const RosterMembers& members) {
  ClaimRoster roster;
  roster.epoch = epoch;
  for (const std::pair<const EntryName, RosterMember>& member : members) {
    roster.members.push_back(ClaimMember{member.first, member.second.zone});
  }
  return roster;
}

Json::Value ToJson(const ClaimRoster& roster) {
  Json::Value value;
  value["epoch"] = Json::UInt64(roster.epoch);
  for (const ClaimMember& member : roster.members) {
    value["members"][member.incarnation.str()] = member.zone.str();
  }
  return value;
}

std::optional<ClaimRoster> FromJson(const Json::Value& value) {
  if (!value.isObject() || !value["epoch"].isUInt64() ||
      !value["members"].isObject()) {
    return std::nullopt;
  }
  ClaimRoster roster;
  roster.epoch = value["epoch"].asUInt64();
  for (const std::string& name : value["members"].getMemberNames()) {
    roster.members.push_back(ClaimMember{
        EntryName(name), ZoneName(value["members"][name].asString())});
  }
  return roster;
}

// Common prefix of the store keys of a log: ClaimKey without the sequence
// number.
std::string LogPrefix(const LogName& log) {
  const std::string key = ClaimKey(log, 0);
  return key.substr(0, key.rfind('/') + 1);
}

std::uint64_t SeqOf(const std::string& key) {
  return std::strtoull(key.c_str() + key.rfind('/') + 1, nullptr, 10);
}

LogPage ToPage(const std::vector<StoreEntry>& entries, std::uint64_t from) {
  LogPage page;
  for (const StoreEntry& entry : entries) {
    const std::uint64_t seq = SeqOf(entry.key);
    const Result<ClaimBatch> batch = ParseClaimBatch(entry.value);
    if (seq >= from && batch.ok()) {
      page.emplace_back(seq, batch.value());
    }
  }
  return page;
}

// Returns the times since the absence began and since it ended.
Json::Value AgesToJson(const StoreAbsence& absence, MonotonicTime now) {
  Json::Value ages(Json::arrayValue);
  for (const MonotonicTime time : {absence.from, absence.to}) {
    ages.append(Json::Int64(
        std::chrono::duration_cast<Milliseconds>(now - time).count()));
  }
  return ages;
}

// Widens the absence to cover all possible times: the peer replied between
// `requested_at` and `answered_at`, and checks every 100 ms whether it reaches
// the store.
StoreAbsence AbsenceFromAges(const Json::Value& ages,
                             MonotonicTime requested_at,
                             MonotonicTime answered_at) {
  return StoreAbsence{
      requested_at - Milliseconds(ages[0].asInt64()) - kIdlePollInterval,
      answered_at - Milliseconds(ages[1].asInt64()) + kIdlePollInterval};
}

}  // namespace

ClaimService::ClaimService(EntryContext* context,
                           PeerService* peers,
                           ControlService* control)
    : context(context),
      peers(peers),
      control(control),
      registry(context->self, RegistryOptions(context->settings)) {}

void ClaimService::Start(ReadyHandler ready_handler) {
  this->handler = std::move(ready_handler);
  this->control->AddListener([this]() { this->OnVersion(); });
  this->Poll();
  this->context->loop->Every(kOutageCheckPeriod,
                             [this]() { this->CheckOutage(); });
}

ClaimRegistry::Answer ClaimService::Submit(const std::string& key,
                                           const TaskId& task) {
  const std::pair<ClaimRegistry::Answer, std::vector<ClaimAction>> result =
      this->registry.Submit(key, task, Now());
  this->context->loop->After(2 * kBusyPollInterval, [this]() {
    this->Apply(this->registry.Tick(Now()));
  });
  // Posted, so that the caller has processed the answer before the handler is
  // called.
  this->context->loop->Post(
      [this, actions = result.second]() { this->Apply(actions); });
  return result.first;
}

void ClaimService::OnFate(const std::string& key,
                          const TaskId& task,
                          ClaimState state) {
  this->registry.OnFate(key, task, state, Now());
}

std::optional<EntryName> ClaimService::RegistrarOf(
    const std::string& key) const {
  return ChooseRegistrar(key, this->roster);
}

bool ClaimService::IsOutsideRoster(const EntryName& incarnation) const {
  return std::none_of(this->roster.members.begin(), this->roster.members.end(),
                      [&incarnation](const ClaimMember& member) {
                        return member.incarnation == incarnation;
                      });
}

Json::Value ClaimService::ServeWitness() const {
  Json::Value witness;
  witness["absences"] = Json::Value(Json::arrayValue);
  for (const StoreAbsence& absence : this->absences.intervals()) {
    witness["absences"].append(AgesToJson(absence, Now()));
  }
  witness["rosters"] = Json::Value(Json::arrayValue);
  for (const std::pair<const std::uint64_t, KnownRoster>& known :
       this->rosters) {
    Json::Value item = ToJson(known.second.roster);
    item["lasted_ms"] = Json::Int64(
        std::chrono::duration_cast<Milliseconds>(known.second.time_in_force)
            .count());
    item["age_ms"] = Json::Int64(std::chrono::duration_cast<Milliseconds>(
                                     Now() - known.second.last_in_force)
                                     .count());
    witness["rosters"].append(item);
  }
  return witness;
}

void ClaimService::Poll() {
  this->Apply(this->registry.Tick(Now()));
  const bool busy = this->registry.unflushed() > 0 || !this->registry.serving();
  this->context->loop->After(busy ? kBusyPollInterval : kIdlePollInterval,
                             [this]() { this->Poll(); });
}

void ClaimService::CheckOutage() {
  const MonotonicTime now = Now();
  this->absences.RecordReachability(this->control->Report().reaches_store, now);
  this->absences.ForgetBefore(now - this->context->settings.claim_retention);
  if (!this->roster.members.empty()) {
    KnownRoster& current = this->rosters[this->roster.epoch];
    current.time_in_force += now - current.last_in_force;
    current.last_in_force = now;
  }
  this->Apply(this->registry.SetAgreedOutage(this->HasAgreedOutage()));
}

void ClaimService::OnVersion() {
  const ControlDocument& document = this->control->document();
  const bool is_member =
      document.roster().members.count(this->context->self) != 0;
  if (!is_member || document.roster_epoch() == this->roster.epoch) {
    return;
  }
  const MonotonicTime now = Now();
  if (!document.roster().previous.empty()) {
    this->RecordRoster(
        ToClaimRoster(document.roster_epoch() - 1, document.roster().previous),
        now, Duration::zero());
  }
  this->roster =
      ToClaimRoster(document.roster_epoch(), document.roster().members);
  this->RecordRoster(this->roster, now, Duration::zero());
  this->PrepareEpoch();
}

// Requests earlier rosters and store outages from the live instances, since an
// instance that has just joined knows neither.
void ClaimService::PrepareEpoch() {
  this->preparation = EpochPreparation();
  this->preparation.epoch = this->roster.epoch;
  this->preparation.absences[this->context->self] = this->absences.intervals();
  const std::vector<PeerService::Peer> live = this->peers->Live();
  this->preparation.pending = live.size();
  for (const PeerService::Peer& peer : live) {
    this->context->rpc->Call(
        peer.address, "claims.witness", Json::Value(Json::objectValue),
        kRpcTimeout,
        [this, epoch = this->roster.epoch, name = peer.name,
         requested_at = Now()](const Result<Json::Value>& reply) {
          this->OnWitness(epoch, name, requested_at,
                          reply.ok() ? std::optional<Json::Value>(reply.value())
                                     : std::nullopt);
        });
  }
  if (live.empty()) {
    this->StartEpoch();
  }
}

void ClaimService::OnWitness(std::uint64_t epoch,
                             const EntryName& peer,
                             MonotonicTime requested_at,
                             const std::optional<Json::Value>& witness) {
  if (epoch != this->preparation.epoch || this->preparation.pending == 0) {
    return;
  }
  if (witness) {
    if ((*witness)["absences"].isArray()) {
      std::vector<StoreAbsence>& peer_absences =
          this->preparation.absences[peer];
      for (const Json::Value& ages : (*witness)["absences"]) {
        peer_absences.push_back(AbsenceFromAges(ages, requested_at, Now()));
      }
    }
    for (const Json::Value& item : (*witness)["rosters"]) {
      const std::optional<ClaimRoster> known = FromJson(item);
      if (known) {
        this->RecordRoster(*known,
                           Now() - Milliseconds(item["age_ms"].asInt64()),
                           Milliseconds(item["lasted_ms"].asInt64()));
      }
    }
  }
  if (--this->preparation.pending == 0) {
    this->StartEpoch();
  }
}

void ClaimService::StartEpoch() {
  const MonotonicTime now = Now();
  const Duration retention = this->context->settings.claim_retention;
  std::vector<ClaimRoster> previous;
  bool outage_possible = false;
  for (const std::pair<const std::uint64_t, KnownRoster>& known :
       this->rosters) {
    if (known.first >= this->roster.epoch ||
        known.second.last_in_force + retention < now) {
      continue;
    }
    previous.push_back(known.second.roster);
    // Claims are held only in memory after an agreed outage of kFreshness.
    if (known.second.time_in_force >= kFreshness) {
      outage_possible |= MayHaveAgreedOutage(
          known.second.roster, this->preparation.absences, kFreshness);
    }
  }
  CLOG(INFO, kTasksLog) << "claims epoch=" << this->roster.epoch
                        << " previous=" << previous.size()
                        << " outage_possible=" << outage_possible;
  this->Apply(
      this->registry.StartEpoch(this->roster, previous, outage_possible, now));
}

bool ClaimService::HasAgreedOutage() {
  const MonotonicTime now = Now();
  const std::uint64_t version = this->control->document().version();
  bool agreed = this->control->Assess().state == AuthorityState::kStoreOutage;
  for (const PeerService::Peer& peer : this->peers->Live()) {
    agreed = agreed && peer.report.version == version;
  }
  if (!agreed) {
    this->outage_since.reset();
    return false;
  }
  if (!this->outage_since) {
    this->outage_since = now;
  }
  // By then, any instance that can reach the store would have reported it.
  return now - *this->outage_since >= kFreshness;
}

void ClaimService::RecordRoster(const ClaimRoster& known,
                                MonotonicTime last_in_force,
                                Duration time_in_force) {
  KnownRoster& entry = this->rosters[known.epoch];
  entry.time_in_force = std::max(entry.time_in_force, time_in_force);
  entry.roster = known;
  entry.last_in_force = std::max(entry.last_in_force, last_in_force);
}

void ClaimService::Apply(const std::vector<ClaimAction>& actions) {
  for (const ClaimAction& action : actions) {
    if (const CreateBatch* const create = std::get_if<CreateBatch>(&action)) {
      this->Create(*create);
    } else if (const ReadLog* const read = std::get_if<ReadLog>(&action)) {
      this->Read(*read);
    } else if (const TrimLog* const trim = std::get_if<TrimLog>(&action)) {
      this->Trim(*trim);
    } else if (const ClaimReady* const ready =
                   std::get_if<ClaimReady>(&action)) {
      this->handler(ready->task, true);
    } else {
      this->handler(std::get<ClaimRefused>(action).task, false);
    }
  }
}

void ClaimService::Create(const CreateBatch& create) {
  ++this->context->metrics->Counter("daisyroad_claim_batches_total");
  this->context->store->CompareAndSwap(
      ClaimKey(create.log, create.seq), FormatClaimBatch(create.batch), 0,
      [this, log = create.log, seq = create.seq](const Result<bool>& written) {
        CreateOutcome outcome = CreateOutcome::kNoAnswer;
        if (written.ok()) {
          outcome = written.value() ? CreateOutcome::kCreated
                                    : CreateOutcome::kExists;
        }
        this->Apply(this->registry.OnCreateAnswer(log, seq, outcome, Now()));
      });
}

void ClaimService::Read(const ReadLog& read) {
  this->context->store->List(
      LogPrefix(read.log),
      [this, read](const Result<std::vector<StoreEntry>>& entries) {
        std::optional<LogPage> page;
        if (entries.ok()) {
          page = ToPage(entries.value(), read.from);
        }
        this->Apply(
            this->registry.OnReadAnswer(read.log, read.from, page, Now()));
      });
}

void ClaimService::Trim(const TrimLog& trim) {
  this->context->store->List(
      LogPrefix(trim.log),
      [this, trim](const Result<std::vector<StoreEntry>>& entries) {
        if (!entries.ok()) {
          return;
        }
        for (const StoreEntry& entry : entries.value()) {
          const std::uint64_t seq = SeqOf(entry.key);
          if (seq > 0 && seq < trim.below) {
            this->context->store->CompareAndDelete(entry.key, entry.version,
                                                   [](const Result<bool>&) {});
          }
        }
      });
}

}  // namespace daisyroad
