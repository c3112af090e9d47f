#include "Core/Entry/limit_service.h"

#include <optional>
#include <set>
#include <variant>

#include "Core/Common/hash.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/dispatch_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Limits/limit_record.h"
#include "Core/Limits/team_allotment.h"
#include "Core/Platform/store_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Also the minimum interval between two writes of a team's record.
constexpr Milliseconds kTickPeriod{100};
constexpr char kSection[] = "demand";

AllotmentHolder::Options HolderOptions(const Settings& settings) {
  AllotmentHolder::Options options;
  options.freshness = kFreshness;
  options.task_lease = settings.task_lease;
  options.margin = settings.allotment_margin;
  return options;
}

}  // namespace

LimitService::LimitService(EntryContext* context,
                           PeerService* peers,
                           ControlService* control,
                           DispatchService* dispatch)
    : context(context),
      peers(peers),
      control(control),
      dispatch(dispatch),
      holder(context->self,
             HolderOptions(context->settings),
             StableHash(context->self.str())) {}

void LimitService::Start() {
  this->control->AddListener([this]() { this->Configure(); });
  this->peers->AddSection(
      kSection, [this]() { return this->Demand(); },
      [this](const EntryName& peer, const Json::Value& demand) {
        this->OnDemand(peer, demand);
      });
  this->context->loop->Every(kTickPeriod, [this]() { this->Tick(); });
}

bool LimitService::TryStart(const TeamName& team) {
  if (this->control->declaration().FindTeam(team) == nullptr) {
    return false;
  }
  const bool taken = this->holder.TryStart(team);
  if (!taken) {
    ++this->context->metrics->Counter("daisyroad_limit_waits_total",
                                      "team=\"" + team.str() + "\"");
  }
  return taken;
}

void LimitService::OnFinished(const TeamName& team) {
  this->holder.OnFinished(team);
}

void LimitService::Configure() {
  const std::uint64_t version = this->control->document().version();
  for (const Team& team : this->control->declaration().teams) {
    this->holder.SetLimit(team.name, team.upper_limit, version);
  }
}

void LimitService::Tick() {
  const MonotonicTime now = Now();
  std::set<EntryName> members;
  for (const std::pair<const EntryName, RosterMember>& member :
       this->control->document().roster().members) {
    members.insert(member.first);
  }
  this->AddPossiblyLiveHolders(&members);
  const std::optional<Duration> age = this->control->Report().confirmation_age;
  // An instance takes allotments only while it is in the roster, since the
  // other instances could not distinguish its entry from that of an ended
  // instance.
  if (this->control->document().roster().members.count(this->context->self) ==
      0) {
    return;
  }
  if (age) {
    this->holder.SetRoster(members, now - *age, now);
  }
  for (const Team& team : this->control->declaration().teams) {
    this->holder.SetWaiting(team.name, static_cast<std::int64_t>(
                                           this->dispatch->Waiting(team.name)));
  }
  this->Apply(this->holder.Tick(now));
}

// Adds the holders that left the roster but are not proven to have ended. They
// may be partitioned from this instance and still run tasks, so their
// allotments are not reclaimed.
void LimitService::AddPossiblyLiveHolders(std::set<EntryName>* members) const {
  for (const Team& team : this->control->declaration().teams) {
    const TeamAllotment* const allotment = this->holder.Find(team.name);
    if (allotment == nullptr) {
      continue;
    }
    for (const std::pair<const EntryName, Allotment>& held :
         allotment->snapshot().record.allotments) {
      if (!this->control->HasEnded(held.first)) {
        members->insert(held.first);
      }
    }
  }
}

void LimitService::Apply(const std::vector<LimitAction>& actions) {
  for (const LimitAction& action : actions) {
    if (const ReadLimit* const read = std::get_if<ReadLimit>(&action)) {
      this->Read(read->team);
    } else {
      this->Write(std::get<WriteLimit>(action));
    }
  }
}

void LimitService::Read(const TeamName& team) {
  this->context->store->Get(
      LimitKey(team),
      [this, team](const Result<std::optional<StoreEntry>>& entry) {
        std::optional<LimitSnapshot> snapshot;
        if (entry.ok() && !entry.value()) {
          snapshot = LimitSnapshot();
        } else if (entry.ok()) {
          const Result<LimitRecord> record =
              ParseLimitRecord(entry.value()->value);
          if (record.ok()) {
            snapshot = LimitSnapshot{entry.value()->version, record.value()};
          } else {
            CLOG(ERROR, kLimitsLog) << record.error().ToString();
          }
        }
        this->holder.OnRecord(team, snapshot, Now());
      });
}

void LimitService::Write(const WriteLimit& write) {
  ++this->context->metrics->Counter("daisyroad_limit_writes_total");
  const std::string text = FormatLimitRecord(write.record);
  this->context->store->CompareAndSwap(
      LimitKey(write.team), text, write.base,
      [this, write, text](const Result<bool>& written) {
        if (written.ok() && written.value()) {
          this->ConfirmWrite(write, text);
          return;
        }
        this->Apply(this->holder.OnWriteAnswer(
            write.team, write.serial,
            written.ok() ? WriteOutcome::kConflict : WriteOutcome::kNoAnswer, 0,
            Now()));
      });
}

void LimitService::ConfirmWrite(const WriteLimit& write,
                                const std::string& text) {
  this->context->store->Get(
      LimitKey(write.team),
      [this, write, text](const Result<std::optional<StoreEntry>>& entry) {
        const bool unchanged =
            entry.ok() && entry.value() && entry.value()->value == text;
        // If another write has followed, AllotmentHolder identifies its own
        // write by the serial number.
        this->Apply(this->holder.OnWriteAnswer(
            write.team, write.serial,
            unchanged ? WriteOutcome::kWritten : WriteOutcome::kNoAnswer,
            unchanged ? entry.value()->version : 0, Now()));
      });
}

Json::Value LimitService::Demand() const {
  Json::Value demand(Json::objectValue);
  for (const Team& team : this->control->declaration().teams) {
    const TeamAllotment* const allotment = this->holder.Find(team.name);
    if (allotment == nullptr) {
      continue;
    }
    const PeerDemand report = allotment->Report();
    if (report.want != 0 || report.have != 0) {
      demand[team.name.str()].append(Json::Int64(report.want));
      demand[team.name.str()].append(Json::Int64(report.have));
    }
  }
  return demand;
}

void LimitService::OnDemand(const EntryName& peer, const Json::Value& demand) {
  if (!demand.isObject()) {
    return;
  }
  for (const std::string& team : demand.getMemberNames()) {
    const Json::Value& pair = demand[team];
    if (pair.isArray() && pair.size() == 2 && pair[0].isInt64() &&
        pair[1].isInt64()) {
      this->holder.OnPeerDemand(
          TeamName(team), peer,
          PeerDemand{pair[0].asInt64(), pair[1].asInt64()}, Now());
    }
  }
}

}  // namespace daisyroad
