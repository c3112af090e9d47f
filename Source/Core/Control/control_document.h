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

// One version of the configuration; immutable. Build with
// ControlDocumentBuilder or ApplyChange.
class ControlDocument {
 public:
  // Version 0: no declaration, keys or members.
  ControlDocument() = default;

  std::uint64_t version() const { return this->number; }
  std::uint64_t roster_epoch() const { return this->epoch; }
  const std::string& declaration() const { return this->declaration_text; }
  const KeyTable& keys() const { return this->key_table; }
  const std::set<ZoneName>& zones_out() const { return this->out; }
  const Roster& roster() const { return this->entries; }
  const std::vector<RecordedChange>& recent() const { return this->changes; }

  // Text of a part, as stored under `control/part/SHA256`.
  std::string PartText(ControlPart part) const;
  std::map<PartDigest, std::string> Parts() const;
  ControlHead Head() const;

  // Rebuilds a document; kNotFound if a part is absent, kProtocol if a text
  // does not match its digest, kInvalidArgument if a part is malformed.
  static Result<ControlDocument> FromParts(
      const ControlHead& head,
      const std::map<PartDigest, std::string>& texts);

  friend bool operator==(const ControlDocument&,
                         const ControlDocument&) = default;

 private:
  friend class ControlDocumentBuilder;

  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  std::string declaration_text;
  KeyTable key_table;
  std::set<ZoneName> out;
  Roster entries;
  std::vector<RecordedChange> changes;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_H_
