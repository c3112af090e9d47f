#include "Core/Declaration/review_declaration.h"

#include <optional>
#include <vector>

#include "Core/Declaration/declaration_doubts.h"
#include "Core/Declaration/diff_declarations.h"
#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/parse_declaration.h"

namespace daisyroad {
namespace {

constexpr char kStep[] = "declaration.review";

// One line for each entry, or nothing.
std::string LinesOf(const FaultList& list, const std::string& file_name) {
  return list.empty() ? "" : list.ToError(kStep, file_name).detail + "\n";
}

template <typename Item>
std::string PathOf(const std::vector<Item>& items,
                   const std::string& section,
                   const std::string& name) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].name.str() == name) {
      return section + "[" + std::to_string(i) + "]";
    }
  }
  return "";
}

// Where an item such as "teams.frost" stands in the declaration; empty if it
// has none.
std::string PathOf(const Declaration& declaration, const std::string& item) {
  const std::size_t dot = item.find('.');
  if (dot == std::string::npos) {
    return item;
  }
  const std::string section = item.substr(0, dot);
  const std::string name = item.substr(dot + 1);
  if (section == "zones") {
    return PathOf(declaration.zones, section, name);
  }
  if (section == "pools") {
    return PathOf(declaration.pools, section, name);
  }
  if (section == "services") {
    return PathOf(declaration.services, section, name);
  }
  if (section == "queues") {
    return PathOf(declaration.queues, section, name);
  }
  return section == "teams" ? PathOf(declaration.teams, section, name) : "";
}

void AddChanges(const Declaration& in_force,
                const Declaration& declaration,
                FaultList& found) {
  for (const DeclarationChange& change :
       DiffDeclarations(in_force, declaration)) {
    std::string text = DiffText({change});
    text.pop_back();  // the end of the line
    const std::string path = PathOf(declaration, change.item);
    if (change.kind == ChangeKind::kRemoved) {
      found.AddAt(0, "", text);
    } else {
      found.Add(path.empty() || change.field.empty()
                    ? path + change.field
                    : path + "." + change.field,
                text);
    }
  }
}

}  // namespace

DeclarationReview ReviewDeclaration(std::string_view text,
                                    const std::string& file_name,
                                    const Declaration* in_force) {
  DeclarationReview review;
  FaultList faults;
  const std::optional<Declaration> declaration = ReadDeclaration(text, faults);
  if (!declaration) {
    review.faults = LinesOf(faults, file_name);
    return review;
  }
  // The list is still empty, but knows the lines.
  FaultList ineffective = faults;
  FindIneffectiveEntries(*declaration, ineffective);
  review.ineffective = LinesOf(ineffective, file_name);
  FaultList conflicts = faults;
  FindConflictingLimits(*declaration, conflicts);
  review.conflicts = LinesOf(conflicts, file_name);
  if (in_force != nullptr) {
    FaultList changes = faults;
    AddChanges(*in_force, *declaration, changes);
    review.changes = LinesOf(changes, file_name);
  }
  return review;
}

}  // namespace daisyroad
