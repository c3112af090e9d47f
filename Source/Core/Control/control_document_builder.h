#ifndef SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_BUILDER_H_
#define SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_BUILDER_H_

#include <string>

#include "Core/Control/control_document.h"

namespace daisyroad {

class ControlDocumentBuilder {
 public:
  ControlDocumentBuilder() = default;
  explicit ControlDocumentBuilder(ControlDocument base);

  ControlDocumentBuilder& Declaration(std::string text);
  ControlDocumentBuilder& Keys(KeyTable keys);
  ControlDocumentBuilder& ZonesOut(std::set<ZoneName> zones);
  // Replaces the members, keeps the present ones as previous, and raises the
  // roster epoch.
  ControlDocumentBuilder& Members(RosterMembers members);
  // Raises the version by one and records the change that led to it.
  ControlDocumentBuilder& NextVersion(const ChangeId& change);

  ControlDocument Build() const { return this->document; }

 private:
  ControlDocument document;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_DOCUMENT_BUILDER_H_
