#ifndef SOURCE_CORE_ENTRY_CLAIM_SERVICE_H_
#define SOURCE_CORE_ENTRY_CLAIM_SERVICE_H_

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Claims/claim_actions.h"
#include "Core/Claims/claim_registry.h"
#include "Core/Claims/registrar_choice.h"
#include "Core/Claims/store_absences.h"
#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

struct EntryContext;
class ControlService;
class PeerService;

// Executes the actions of ClaimRegistry: reads and writes the claim logs in the
// store, and starts an epoch whenever the roster changes.
class ClaimService {
 public:
  // `ready` is true if the task may be sent, and false if it was not sent and
  // must not be.
  using ReadyHandler = std::function<void(const TaskId& task, bool ready)>;

  ClaimService(EntryContext* context,
               PeerService* peers,
               ControlService* control);

  void Start(ReadyHandler handler);
  ClaimRegistry::Answer Submit(const std::string& key, const TaskId& task);
  void OnFate(const std::string& key, const TaskId& task, ClaimState state);
  // Registrar of the key in the current roster; empty before the first roster.
  std::optional<EntryName> RegistrarOf(const std::string& key) const;
  // True if the incarnation is not a member of the current roster.
  bool IsOutsideRoster(const EntryName& incarnation) const;

  // RPC method `claims.witness`: the known rosters, and the periods within the
  // retention in which this instance could not reach the store.
  Json::Value ServeWitness() const;

 private:
  struct KnownRoster {
    ClaimRoster roster;
    MonotonicTime last_in_force;  // latest known time
    Duration time_in_force{0};    // known so far
  };
  // Replies to `claims.witness` while an epoch is being prepared.
  struct EpochPreparation {
    std::uint64_t epoch = 0;
    std::size_t pending = 0;
    // By instance, for those that have replied.
    std::map<EntryName, std::vector<StoreAbsence>> absences;
  };

  void Poll();
  void CheckOutage();
  void OnVersion();
  void PrepareEpoch();
  void OnWitness(std::uint64_t epoch,
                 const EntryName& peer,
                 MonotonicTime requested_at,
                 const std::optional<Json::Value>& witness);
  void StartEpoch();
  bool HasAgreedOutage();
  void RecordRoster(const ClaimRoster& roster,
                    MonotonicTime last_in_force,
                    Duration time_in_force);
  void Apply(const std::vector<ClaimAction>& actions);
  void Create(const CreateBatch& create);
  void Read(const ReadLog& read);
  void Trim(const TrimLog& trim);

  EntryContext* context;
  PeerService* peers;
  ControlService* control;
  ReadyHandler handler;
  ClaimRegistry registry;
  ClaimRoster roster;
  std::map<std::uint64_t, KnownRoster> rosters;
  EpochPreparation preparation;
  std::optional<MonotonicTime> outage_since;
  StoreAbsences absences;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CLAIM_SERVICE_H_
