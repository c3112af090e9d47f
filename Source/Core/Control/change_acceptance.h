#ifndef SOURCE_CORE_CONTROL_CHANGE_ACCEPTANCE_H_
#define SOURCE_CORE_CONTROL_CHANGE_ACCEPTANCE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Control/change_action.h"
#include "Core/Control/control_change.h"
#include "Core/Control/control_document.h"
#include "Core/Control/peer_contacts.h"

namespace daisyroad {

struct ChangeProposal {
  // Never reused: after a lost answer the change is looked up in the head by
  // its id.
  ChangeId id;
  ControlChange change;
  std::uint64_t base_version = 0;  // the version that the operator reviewed
};

enum class WriteAnswer { kWritten, kConflict, kLost };

// State machine that takes one change from the proposal until it is in force in
// every zone. Use one object per change.
//
// The write waits until every other zone either is in contact or has been
// silent for long enough (design, section 3.4). A roster change also waits
// until ExcludesOutage holds for the members that know the base version, so
// that any two instances are at most one roster apart.
//
// After the write, the change is accepted once ExcludesOutage holds for the
// members that know it. Before that, instances that do not know the change
// could still conclude that the store is down everywhere and go on working
// under the old version.
class ChangeAcceptance {
 public:
  explicit ChangeAcceptance(ChangeProposal proposal);

  std::vector<ChangeAction> Start(const ControlDocument& current,
                                  const PeerContacts& contacts,
                                  MonotonicTime now);
  // Call about every 100 ms and after each peer reply. Destroy the object when
  // it has finished, or after about a minute if the change is not in force in
  // some zone by then.
  std::vector<ChangeAction> OnTick(const PeerContacts& contacts,
                                   MonotonicTime now);
  std::vector<ChangeAction> OnWriteAnswered(WriteAnswer answer,
                                            const PeerContacts& contacts,
                                            MonotonicTime now);
  std::vector<ChangeAction> OnHeadRead(const ControlHead& head,
                                       const PeerContacts& contacts,
                                       MonotonicTime now);
  // The replica holds `document`; ignored if its version is below that of the
  // last CatchUp.
  std::vector<ChangeAction> OnDocument(const ControlDocument& document,
                                       const PeerContacts& contacts,
                                       MonotonicTime now);

  bool finished() const { return this->step == Step::kFinished; }
  const ChangeProposal& proposal() const { return this->requested; }

 private:
  enum class Step {
    kWaiting,
    kWriting,
    kReadingBack,
    kCatchingUp,
    kWritten,
    kAccepted,
    kFinished
  };

  std::vector<ChangeAction> Prepare(const ControlDocument& current,
                                    const PeerContacts& contacts,
                                    MonotonicTime now);
  std::vector<ChangeAction> WriteIfReady(const PeerContacts& contacts,
                                         MonotonicTime now);
  std::vector<ChangeAction> Write();
  // Returns AskMembers, unless the last one was returned a short time ago.
  std::vector<ChangeAction> AskIfDue(const std::set<EntryName>& members,
                                     MonotonicTime now);
  std::vector<ChangeAction> HandleWritten(std::uint64_t version,
                                          const PeerContacts& contacts,
                                          MonotonicTime now);
  void CheckAcceptance(const PeerContacts& contacts,
                       MonotonicTime now,
                       std::vector<ChangeAction>& actions);
  void CheckZones(const PeerContacts& contacts,
                  MonotonicTime now,
                  std::vector<ChangeAction>& actions);
  std::vector<ChangeAction> FinishWithConflict(const ControlHead& head);
  std::vector<ChangeAction> FinishWithError(Error error);

  ChangeProposal requested;
  Step step = Step::kWaiting;
  ControlDocument base;
  ControlDocument next;
  std::uint64_t written_version = 0;
  std::uint64_t catch_up_version = 0;
  std::set<ZoneName> zones_in_force;
  std::optional<MonotonicTime> last_request_at;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CHANGE_ACCEPTANCE_H_
