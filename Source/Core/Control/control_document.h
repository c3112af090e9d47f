#ifndef SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_H_
#define SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Control/control_head.h"
#include "Core/Control/roster.h"
#include "Core/Keys/key_table.h"

namespace daisyroad {

// One immutable version of the cluster configuration, created by
// ControlDocumentBuilder or ApplyChange.
class ControlDocument {
 public:
  // Creates version 0, which has no declaration, keys or roster members.
  ControlDocument() = default;

  std::uint64_t version() const { return this->version_number; }
  std::uint64_t roster_epoch() const { return this->roster_epoch_number; }
  const std::string& declaration() const { return this->declaration_text; }
  const KeyTable& keys() const { return this->key_table; }
  const std::set<ZoneName>& zones_out() const { return this->excluded_zones; }
  const Roster& roster() const { return this->current_roster; }
  const std::vector<RecordedChange>& recent() const {
    return this->recent_changes;
  }

  // The text of a part as it is stored under `control/part/SHA256`.
  std::string PartText(ControlPart part) const;
  std::map<PartDigest, std::string> Parts() const;
  ControlHead Head() const;

  // Assembles a document from its parts. Fails with kNotFound if a part is
  // missing, kProtocol if a text does not match its digest, and
  // kInvalidArgument if a part is malformed.
  static Result<ControlDocument> FromParts(
      const ControlHead& head,
      const std::map<PartDigest, std::string>& texts);

  friend bool operator==(const ControlDocument&,
                         const ControlDocument&) = default;

 private:
  friend class ControlDocumentBuilder;

  std::uint64_t version_number = 0;
  std::uint64_t roster_epoch_number = 0;
  std::string declaration_text;
  KeyTable key_table;
  std::set<ZoneName> excluded_zones;
  Roster current_roster;
  std::vector<RecordedChange> recent_changes;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_H_
