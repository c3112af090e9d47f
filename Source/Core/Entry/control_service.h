#ifndef SOURCE_CORE_ENTRY_CONTROL_SERVICE_H_
#define SOURCE_CORE_ENTRY_CONTROL_SERVICE_H_

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Control/authority_tracker.h"
#include "Core/Control/change_acceptance.h"
#include "Core/Control/change_action.h"
#include "Core/Control/control_change.h"
#include "Core/Control/control_replica.h"
#include "Core/Control/peer_contacts.h"
#include "Core/Declaration/declaration.h"
#include "Core/Platform/store_entry.h"

namespace daisyroad {

struct EntryContext;
class PeerService;

// Executes the actions that the control state machines (ControlReplica,
// ChangeAcceptance) request: reads and watches the store, fetches documents
// from peers, and applies operators' changes.
class ControlService {
 public:
  // State of a change when its callback is called.
  struct ChangeOutcome {
    std::uint64_t version = 0;
    bool accepted = false;
    std::set<ZoneName> in_force;
    // Set if a concurrent change was written first.
    std::string winning_change;
    bool conflict = false;
  };
  using ChangeCallback = std::function<void(Result<ChangeOutcome>)>;
  using Listener = std::function<void()>;

  ControlService(EntryContext* context, PeerService* peers);

  void Start();
  const ControlDocument& document() const { return this->replica.document(); }
  // The parsed declaration in force; empty until one has been adopted.
  const Declaration& declaration() const { return this->parsed_declaration; }
  Authority Assess() const;
  PeerReport Report() const;
  void OnPeerReply(const PeerReport& report, MonotonicTime request_sent);
  void AddListener(Listener listener);

  // Calls back when the change is accepted and in force in every zone, when it
  // is refused, or after `kChangeTimeout`. kTimeout means that it is unknown
  // whether the change was written.
  void Submit(const ControlChange& change,
              std::uint64_t base_version,
              const std::string& author,
              ChangeCallback callback);
  // Reads the declaration of an earlier version from the store.
  void FetchDeclaration(std::uint64_t version,
                        std::function<void(Result<std::string>)> callback);
  // Returns the latest `limit` changes, newest first.
  void FetchHistory(std::size_t limit,
                    std::function<void(Result<Json::Value>)> callback);

  // True if the incarnation is known to have ended because another incarnation
  // answers at its address.
  bool HasEnded(const EntryName& name) const {
    return this->ended_instances.count(name) != 0;
  }

  // Leaves the roster, then calls back, at the latest after `kChangeTimeout`.
  void Leave(std::function<void()> callback);

  // RPC methods `control.head` and `control.part`.
  Json::Value ServeHead() const;
  Json::Value ServePart(const Json::Value& params) const;

 private:
  struct PendingChange {
    std::unique_ptr<ChangeAcceptance> acceptance;
    std::string author;
    MonotonicTime started;
    ChangeOutcome outcome;
    bool is_waiting_for_document = false;
    std::uint64_t awaited_version = 0;
    ChangeCallback callback;  // empty once called
  };

  void Tick();
  void ReadHead();
  void WatchHead();
  void ProcessHead(const std::optional<StoreEntry>& entry,
                   std::uint64_t read_id);
  void Apply(const std::vector<ReplicaAction>& actions);
  void Apply(const ReplicaAction& action);
  void FetchHeadFrom(const ControlSource& source);
  void FetchPartFrom(const PartDigest& digest, const ControlSource& source);
  void OnVersionAdopted();
  void ResumeCaughtUpChanges();
  void Execute(const ChangeId& id, const std::vector<ChangeAction>& actions);
  void Execute(const ChangeId& id, const ChangeAction& action);
  void WriteParts(const ChangeId& id,
                  const WriteVersion& write,
                  std::vector<PartDigest> remaining);
  void WriteHead(const ChangeId& id, const WriteVersion& write);
  void WriteHistory(const ChangeId& id, const WriteVersion& write);
  void OnWriteAnswer(const ChangeId& id, WriteAnswer answer);
  void ReadBack(const ChangeId& id);
  void FinishChange(const ChangeId& id, const Result<ChangeOutcome>& result);
  void JoinRoster();
  void RemoveUnresponsiveMembers();
  void RemoveMember(const EntryName& name);

  EntryContext* context;
  PeerService* peers;
  ControlReplica replica;
  AuthorityTracker authority;
  PeerContacts contacts;
  Declaration parsed_declaration;
  std::vector<Listener> listeners;
  std::map<ChangeId, PendingChange> pending_changes;
  std::uint64_t next_read_id = 1;
  std::uint64_t head_revision = 0;  // store version of the latest head read
  bool is_read_in_flight = false;
  bool is_watching = false;
  bool is_joining = false;
  bool is_leaving = false;
  std::set<EntryName> members_being_removed;
  std::set<EntryName> ended_instances;
  std::map<EntryName, MonotonicTime> silent_since;
  MonotonicTime last_read_time;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CONTROL_SERVICE_H_
