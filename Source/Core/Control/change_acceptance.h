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
  ChangeId id;  // unique for ever; found again in the head after a lost answer
  ControlChange change;
  std::uint64_t base_version = 0;  // what the operator's proposal was based on
};

enum class WriteAnswer { kWritten, kConflict, kLost };

// Brings one change from proposal to "in force". One object a change.
//
// Before the write every other zone is in contact or has been silent for long
// (design, section 3.4), and a change of the roster waits until the base
// version excludes outages, so that instances differ by one roster at most.
// After the write the change counts as accepted once ExcludesOutage holds for
// the members that know it: otherwise instances which do not know it could
// take the store for down everywhere and go on under the old version.
class ChangeAcceptance {
 public:
  explicit ChangeAcceptance(ChangeProposal proposal);

  std::vector<ChangeAction> Start(const ControlDocument& current,
                                  const PeerContacts& contacts,
                                  MonotonicTime now);
  // Call every 100 ms or so and after peer replies. Drop the object when
  // finished, or after a minute or so if a zone does not acknowledge.
  std::vector<ChangeAction> OnTick(const PeerContacts& contacts,
                                   MonotonicTime now);
  std::vector<ChangeAction> OnWriteAnswered(WriteAnswer answer,
                                            const PeerContacts& contacts,
                                            MonotonicTime now);
  std::vector<ChangeAction> OnHeadRead(const ControlHead& head,
                                       const PeerContacts& contacts,
                                       MonotonicTime now);
  // The replica has a document of at least the version of CatchUp.
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
  std::vector<ChangeAction> WriteIfSettled(const PeerContacts& contacts,
                                           MonotonicTime now);
  std::vector<ChangeAction> Write();
  // AskMembers, unless they were asked a short time ago.
  std::vector<ChangeAction> Ask(const std::set<EntryName>& members,
                                MonotonicTime now);
  std::vector<ChangeAction> Written(std::uint64_t version,
                                    const PeerContacts& contacts,
                                    MonotonicTime now);
  void Acknowledge(const PeerContacts& contacts,
                   MonotonicTime now,
                   std::vector<ChangeAction>& actions);
  void AcknowledgeZones(const PeerContacts& contacts,
                        MonotonicTime now,
                        std::vector<ChangeAction>& actions);
  std::vector<ChangeAction> Lose(const ControlHead& head);
  std::vector<ChangeAction> Refuse(Error error);

  ChangeProposal requested;
  Step step = Step::kWaiting;
  ControlDocument base;
  ControlDocument next;
  std::uint64_t written_version = 0;
  std::uint64_t catch_up_version = 0;
  std::set<ZoneName> acknowledged;
  std::optional<MonotonicTime> asked_at;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CHANGE_ACCEPTANCE_H_
