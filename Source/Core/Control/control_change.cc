#include "Core/Control/control_change.h"

#include <utility>

#include "Core/Control/control_document_builder.h"

namespace daisyroad {
namespace {

class ChangeApplier {
 public:
  explicit ChangeApplier(const ControlDocument& document)
      : base(document), builder(document) {}

  Status operator()(const ApplyDeclaration& change) {
    this->builder.Declaration(change.text);
    return OkStatus();
  }

  Status operator()(const GiveKey& change) {
    KeyTable keys = this->base.keys();
    Status status = keys.Add(change.record);
    this->builder.Keys(std::move(keys));
    return status;
  }

  Status operator()(const WithdrawKey& change) {
    KeyTable keys = this->base.keys();
    Status status = keys.Withdraw(change.id);
    this->builder.Keys(std::move(keys));
    return status;
  }

  Status operator()(const TakeZoneOut& change) {
    std::set<ZoneName> zones = this->base.zones_out();
    zones.insert(change.zone);
    this->builder.ZonesOut(std::move(zones));
    return OkStatus();
  }

  Status operator()(const TakeZoneIn& change) {
    std::set<ZoneName> zones = this->base.zones_out();
    zones.erase(change.zone);
    this->builder.ZonesOut(std::move(zones));
    return OkStatus();
  }

  Status operator()(const RosterJoin& change) {
    RosterMembers members = this->base.roster().members;
    if (!members.emplace(change.member.name, change.member).second) {
      return Error{Errc::kConflict, "control.join", change.member.name.str(),
                   "is already in the roster"};
    }
    this->builder.Members(std::move(members));
    return OkStatus();
  }

  Status operator()(const RosterLeave& change) {
    RosterMembers members = this->base.roster().members;
    if (members.erase(change.name) == 0) {
      return Error{Errc::kNotFound, "control.leave", change.name.str(),
                   "is not in the roster"};
    }
    this->builder.Members(std::move(members));
    return OkStatus();
  }

  ControlDocument Finish(const ChangeId& id) {
    return this->builder.NextVersion(id).Build();
  }

 private:
  const ControlDocument& base;
  ControlDocumentBuilder builder;
};

struct ChangeDescriber {
  std::string operator()(const ApplyDeclaration&) const {
    return "apply declaration";
  }
  std::string operator()(const GiveKey& change) const {
    return "give key " + change.record.id.str();
  }
  std::string operator()(const WithdrawKey& change) const {
    return "withdraw key " + change.id.str();
  }
  std::string operator()(const TakeZoneOut& change) const {
    return "take zone " + change.zone.str() + " out";
  }
  std::string operator()(const TakeZoneIn& change) const {
    return "take zone " + change.zone.str() + " in";
  }
  std::string operator()(const RosterJoin& change) const {
    return "add " + change.member.name.str() + " to the roster";
  }
  std::string operator()(const RosterLeave& change) const {
    return "remove " + change.name.str() + " from the roster";
  }
};

}  // namespace

Result<ControlDocument> ApplyChange(const ControlDocument& base,
                                    const ControlChange& change,
                                    const ChangeId& id) {
  ChangeApplier change_applier(base);
  const Status status = std::visit(change_applier, change);
  if (!status) {
    return status.error();
  }
  return change_applier.Finish(id);
}

std::string DescribeChange(const ControlChange& change) {
  return std::visit(ChangeDescriber(), change);
}

bool ChangesRoster(const ControlChange& change) {
  return std::holds_alternative<RosterJoin>(change) ||
         std::holds_alternative<RosterLeave>(change);
}

bool IsReappliedOnConflict(const ControlChange& change) {
  return !std::holds_alternative<ApplyDeclaration>(change);
}

}  // namespace daisyroad
