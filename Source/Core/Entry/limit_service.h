#ifndef SOURCE_CORE_ENTRY_LIMIT_SERVICE_H_
#define SOURCE_CORE_ENTRY_LIMIT_SERVICE_H_

#include <json/value.h>

#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Limits/allotment_holder.h"
#include "Core/Limits/limit_actions.h"

namespace daisyroad {

struct EntryContext;
class ControlService;
class DispatchService;
class PeerService;

// Executes the actions of AllotmentHolder: reads and writes the limit records
// in the store, and exchanges demand with the other instances.
class LimitService {
 public:
  LimitService(EntryContext* context,
               PeerService* peers,
               ControlService* control,
               DispatchService* dispatch);

  void Start();
  bool TryStart(const TeamName& team);
  void OnFinished(const TeamName& team);

 private:
  void Configure();
  void Tick();
  void AddPossiblyLiveHolders(std::set<EntryName>* members) const;
  void Apply(const std::vector<LimitAction>& actions);
  void Read(const TeamName& team);
  void Write(const WriteLimit& write);
  // Reads the record back, since the store does not return the revision of a
  // write.
  void ConfirmWrite(const WriteLimit& write, const std::string& text);
  Json::Value Demand() const;
  void OnDemand(const EntryName& peer, const Json::Value& demand);

  EntryContext* context;
  PeerService* peers;
  ControlService* control;
  DispatchService* dispatch;
  AllotmentHolder holder;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_LIMIT_SERVICE_H_
