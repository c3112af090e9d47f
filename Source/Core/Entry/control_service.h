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

// Carries out the decisions of Control: reads and watches the store, fetches
// from peers, and brings operators' changes into force.
class ControlService {
 public:
  // How far a change got.
  struct ChangeOutcome {
    std::uint64_t version = 0;
    bool accepted = false;
    std::set<ZoneName> in_force;
    // Set if another change won the race.
    std::string winning_change;
    bool conflict = false;
  };
  using ChangeCallback = std::function<void(Result<ChangeOutcome>)>;
  using Listener = std::function<void()>;

  ControlService(EntryContext* context, PeerService* peers);

  void Start();
  const ControlDocument& document() const { return this->replica.document(); }
  // The parsed declaration in force; empty before the first one.
  const Declaration& declaration() const { return this->parsed; }
  Authority Assess() const;
  PeerReport Report() const;
  void OnPeerReply(const PeerReport& report, MonotonicTime request_sent);
  void AddListener(Listener listener);

  // Answers when the change is accepted and every zone has it in force, when it
  // is refused, or after `kChangePatience`. kTimeout: it is not known whether
  // the change was written.
  void Submit(const ControlChange& change,
              std::uint64_t base_version,
              const std::string& author,
              ChangeCallback callback);
  // The declaration of an earlier version.
  void FetchDeclaration(std::uint64_t version,
                        std::function<void(Result<std::string>)> callback);
  // Latest changes, newest first.
  void FetchHistory(std::size_t limit,
                    std::function<void(Result<Json::Value>)> callback);

  // True if the incarnation is proved to have ended: its address answers as
  // another one.
  bool HasEnded(const EntryName& name) const {
    return this->ended.count(name) != 0;
  }

  // Leaves the roster, then calls back; gives up after `kChangePatience`.
  void Leave(std::function<void()> callback);

  // RPC methods `control.head` and `control.part`.
  Json::Value ServeHead() const;
  Json::Value ServePart(const Json::Value& params) const;

 private:
  struct Running {
    std::unique_ptr<ChangeAcceptance> acceptance;
    std::string author;
    MonotonicTime started;
    ChangeOutcome outcome;
    bool waits_for_document = false;
    std::uint64_t wanted_version = 0;
    ChangeCallback callback;  // empty once answered
  };

  void Tick();
  void ReadHead();
  void KeepWatch();
  void ConsumeHead(const std::optional<StoreEntry>& entry, std::uint64_t read);
  void Apply(const std::vector<ReplicaAction>& actions);
  void Apply(const ReplicaAction& action);
  void FetchHeadFrom(const ControlSource& source);
  void FetchPartFrom(const PartDigest& digest, const ControlSource& source);
  void OnAdopted();
  void ContinueCaughtUp();
  void Advance(const ChangeId& id, const std::vector<ChangeAction>& actions);
  void Advance(const ChangeId& id, const ChangeAction& action);
  void WriteParts(const ChangeId& id,
                  const WriteVersion& write,
                  std::vector<PartDigest> remaining);
  void WriteHead(const ChangeId& id, const WriteVersion& write);
  void WriteHistory(const ChangeId& id, const WriteVersion& write);
  void AnswerWrite(const ChangeId& id, WriteAnswer answer);
  void ReadBack(const ChangeId& id);
  void FinishChange(const ChangeId& id, const Result<ChangeOutcome>& result);
  void JoinRoster();
  void ReapMembers();
  void RemoveMember(const EntryName& name);

  EntryContext* context;
  PeerService* peers;
  ControlReplica replica;
  AuthorityTracker authority;
  PeerContacts contacts;
  Declaration parsed;
  std::vector<Listener> listeners;
  std::map<ChangeId, Running> running;
  std::uint64_t next_read = 1;
  std::uint64_t head_revision = 0;  // store version of the last head seen
  bool read_in_flight = false;
  bool watching = false;
  bool joining = false;
  bool leaving = false;
  std::set<EntryName> removing;
  std::set<EntryName> ended;
  std::map<EntryName, MonotonicTime> silent_since;
  MonotonicTime last_read;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CONTROL_SERVICE_H_
