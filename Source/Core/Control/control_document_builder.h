#ifndef SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_BUILDER_H_
#define SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_BUILDER_H_

#include <string>

#include "Core/Control/control_document.h"

namespace daisyroad {

// Builds a ControlDocument from scratch or from an existing version.
class ControlDocumentBuilder {
 public:
  ControlDocumentBuilder() = default;
  explicit ControlDocumentBuilder(ControlDocument base);

  ControlDocumentBuilder& Declaration(std::string text);
  ControlDocumentBuilder& Keys(KeyTable keys);
  ControlDocumentBuilder& ZonesOut(std::set<ZoneName> zones);
  // Replaces the roster members, keeps the current ones as the previous
  // members, and increments the roster epoch.
  ControlDocumentBuilder& Members(RosterMembers members);
  // Increments the version and records the change that led to it.
  ControlDocumentBuilder& NextVersion(const ChangeId& change);

  ControlDocument Build() const { return this->document; }

 private:
  ControlDocument document;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_BUILDER_H_
