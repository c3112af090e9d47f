#include "Core/Declaration/diff_declarations.h"

#include <algorithm>
#include <map>

#include "Core/Declaration/change_risk.h"
#include "Core/Declaration/write_declaration.h"

namespace daisyroad {

namespace {

using ItemMap = std::map<std::string, const DeclaredItem*>;

std::string ItemKey(const DeclaredItem& item) {
  return item.name.empty() ? item.section : item.section + "." + item.name;
}

ItemMap IndexItems(const std::vector<DeclaredItem>& items) {
  ItemMap index;
  for (const DeclaredItem& item : items) {
    index.emplace(ItemKey(item), &item);
  }
  return index;
}

bool IsBudgetField(const std::string& field) {
  return field == "max_down" || field == "max_down_fraction";
}

std::string ChangeRisk(const Declaration& before,
                       const Declaration& after,
                       const DeclaredItem& item,
                       const std::string& field) {
  if (item.section == "pools" && field == "workers") {
    const PoolName name(item.name);
    return PoolRisk(*before.FindPool(name), *after.FindPool(name));
  }
  if (item.section == "services" && (IsBudgetField(field) || field == "pool")) {
    const ServiceName name(item.name);
    return BudgetRisk(before, after, *before.FindService(name),
                      *after.FindService(name));
  }
  if (item.section == "teams" && field == "upper_limit") {
    const TeamName name(item.name);
    return LimitRisk(*before.FindTeam(name), *after.FindTeam(name));
  }
  return "";
}

// Returns the names of the fields of both items, those of the new item first. A
// budget that changes from a count to a fraction has different fields in them.
std::vector<std::string> MergedFieldNames(const DeclaredItem& before,
                                          const DeclaredItem& after) {
  std::vector<std::string> fields;
  for (const auto& [field, value] : after.fields) {
    fields.push_back(field);
  }
  for (const auto& [field, value] : before.fields) {
    if (std::find(fields.begin(), fields.end(), field) == fields.end()) {
      fields.push_back(field);
    }
  }
  return fields;
}

std::string ChangePath(const DeclarationChange& change) {
  const bool needs_dot = !change.item.empty() && !change.field.empty();
  return change.item + (needs_dot ? "." : "") + change.field;
}

std::string ValueOrAbsent(const std::string& value) {
  return value.empty() ? "(absent)" : value;
}

std::string FormatChange(const DeclarationChange& change) {
  std::string line;
  if (change.kind == ChangeKind::kAdded) {
    line = "+ " + ChangePath(change);
  } else if (change.kind == ChangeKind::kRemoved) {
    line = "- " + ChangePath(change);
  } else {
    line = "~ " + ChangePath(change) + ": " + ValueOrAbsent(change.old_value) +
           " -> " + ValueOrAbsent(change.new_value);
  }
  return change.risk.empty() ? line : line + " [risky: " + change.risk + "]";
}

const char* KindText(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "changed";
}

}  // namespace

std::vector<DeclarationChange> DiffDeclarations(const Declaration& before,
                                                const Declaration& after) {
  const std::vector<DeclaredItem> old_items = ListItems(before);
  const std::vector<DeclaredItem> new_items = ListItems(after);
  const ItemMap old_index = IndexItems(old_items);
  const ItemMap new_index = IndexItems(new_items);
  std::vector<DeclarationChange> changes;
  for (const DeclaredItem& item : new_items) {
    const auto found = old_index.find(ItemKey(item));
    if (found == old_index.end()) {
      changes.push_back({ChangeKind::kAdded, ItemKey(item), "", "", "", ""});
      continue;
    }
    for (const std::string& field : MergedFieldNames(*found->second, item)) {
      const std::string old_value = found->second->Value(field);
      const std::string new_value = item.Value(field);
      if (old_value != new_value) {
        changes.push_back({ChangeKind::kChanged, ItemKey(item), field,
                           old_value, new_value,
                           ChangeRisk(before, after, item, field)});
      }
    }
  }
  for (const DeclaredItem& item : old_items) {
    if (!new_index.contains(ItemKey(item))) {
      changes.push_back(
          {ChangeKind::kRemoved, ItemKey(item), "", "", "", "item removed"});
    }
  }
  return changes;
}

std::string DiffText(const std::vector<DeclarationChange>& changes) {
  std::string text;
  for (const DeclarationChange& change : changes) {
    text += FormatChange(change) + "\n";
  }
  return text;
}

Json::Value DiffJson(const std::vector<DeclarationChange>& changes) {
  Json::Value array(Json::arrayValue);
  for (const DeclarationChange& change : changes) {
    Json::Value entry(Json::objectValue);
    entry["kind"] = KindText(change.kind);
    entry["item"] = change.item;
    entry["field"] = change.field;
    entry["old"] = change.old_value;
    entry["new"] = change.new_value;
    entry["risk"] = change.risk;
    array.append(entry);
  }
  return array;
}

std::string DiffSummary(const std::vector<DeclarationChange>& changes) {
  std::map<ChangeKind, std::size_t> counts;
  std::size_t risky = 0;
  std::string risky_lines;
  for (const DeclarationChange& change : changes) {
    ++counts[change.kind];
    if (!change.risk.empty()) {
      ++risky;
      risky_lines += FormatChange(change) + "\n";
    }
  }
  return std::to_string(changes.size()) +
         " changes: " + std::to_string(counts[ChangeKind::kAdded]) +
         " added, " + std::to_string(counts[ChangeKind::kRemoved]) +
         " removed, " + std::to_string(counts[ChangeKind::kChanged]) +
         " changed; " + std::to_string(risky) + " risky\n" + risky_lines;
}

}  // namespace daisyroad
