#include "Core/Declaration/write_declaration.h"

#include <charconv>
#include <cstdint>
#include <utility>

#include "Core/Declaration/duration_text.h"
#include "Core/Declaration/time_of_day.h"

namespace daisyroad {

namespace {

// Escapes the text, since in a declaration that was not parsed, regions may
// hold any characters. Names never need escapes.
std::string Quote(const std::string& text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string quoted = "\"";
  for (const char c : text) {
    const unsigned byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < 0x20U || byte == 0x7FU) {
      quoted += "\\u00";
      quoted += kHexDigits[byte >> 4U];
      quoted += kHexDigits[byte & 0xFU];
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

std::string BoolText(bool value) {
  return value ? "true" : "false";
}

// Shortest form that parses to the same value.
std::string RealLiteral(double value) {
  char buffer[32];
  const std::to_chars_result result =
      std::to_chars(buffer, buffer + sizeof(buffer), value);
  std::string text(buffer, result.ptr);
  return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
}

std::string DurationLiteral(Milliseconds time) {
  return Quote(FormatDuration(time));
}

template <typename Name>
std::string NameList(const std::vector<Name>& names) {
  std::string text = "[";
  for (const Name& name : names) {
    text += (text.size() == 1 ? "" : ", ") + Quote(name.str());
  }
  return text + "]";
}

DeclaredItem TopLevelItem(const Declaration& declaration) {
  std::string regions = "[";
  for (const std::string& region : declaration.regions) {
    regions += (regions.size() == 1 ? "" : ", ") + Quote(region);
  }
  return {
      "", "", {{"site", Quote(declaration.site)}, {"regions", regions + "]"}}};
}

DeclaredItem ZoneItem(const Zone& zone) {
  return {"zones",
          zone.name.str(),
          {{"name", Quote(zone.name.str())}, {"region", Quote(zone.region)}}};
}

DeclaredItem PoolItem(const Pool& pool) {
  std::string workers;
  for (const auto& [zone, count] : pool.workers) {
    workers += (workers.empty() ? "{ " : ", ") + Quote(zone.str()) + " = " +
               std::to_string(count);
  }
  return {"pools",
          pool.name.str(),
          {{"name", Quote(pool.name.str())},
           {"workers", workers.empty() ? "{}" : workers + " }"},
           {"spare", BoolText(pool.spare)},
           {"cores", std::to_string(pool.worker.cores)},
           {"memory_gb", std::to_string(pool.worker.memory_gb)},
           {"accelerators", std::to_string(pool.worker.accelerators)},
           {"slots", std::to_string(pool.worker.slots)},
           {"connections", std::to_string(pool.worker.connections)}}};
}

DeclaredItem ServiceItem(const Service& service) {
  DeclaredItem item{"services",
                    service.name.str(),
                    {{"name", Quote(service.name.str())},
                     {"pool", Quote(service.pool.str())},
                     {"depends_on", NameList(service.depends_on)},
                     {"service_level", RealLiteral(service.service_level)}}};
  if (const MaxDownCount* limit = std::get_if<MaxDownCount>(&service.budget)) {
    item.fields.emplace_back("max_down", std::to_string(limit->count));
  } else {
    item.fields.emplace_back(
        "max_down_fraction",
        RealLiteral(std::get<MaxDownFraction>(service.budget).fraction));
  }
  return item;
}

DeclaredItem QueueItem(const TaskQueue& queue) {
  const bool urgent = queue.queue_class == QueueClass::kUrgent;
  const bool serves = queue.when_isolated == WhenIsolated::kServe;
  return {
      "queues",
      queue.name.str(),
      {{"name", Quote(queue.name.str())},
       {"service", Quote(queue.service.str())},
       {"class", Quote(urgent ? "urgent" : "long")},
       {"idempotent", BoolText(queue.idempotent)},
       {"open_to_all", BoolText(queue.open_to_all)},
       {"when_isolated", Quote(serves ? "serve" : "refuse")},
       {"default_deadline", DurationLiteral(queue.default_deadline)},
       {"max_payload_bytes", std::to_string(queue.max_payload_bytes)},
       {"queue_bound", std::to_string(queue.queue_bound)},
       {"checkpoint_patience", DurationLiteral(queue.checkpoint_patience)}}};
}

DeclaredItem TeamItem(const Team& team) {
  return {"teams",
          team.name.str(),
          {{"name", Quote(team.name.str())},
           {"share", std::to_string(team.share)},
           {"upper_limit", std::to_string(team.upper_limit)},
           {"queues", NameList(team.queues)}}};
}

DeclaredItem MaintenanceItem(const MaintenancePolicy& policy) {
  std::string windows = "[";
  for (const MaintenanceWindow& window : policy.windows) {
    const std::string weekday(kWeekdayNames[window.weekday.c_encoding()]);
    windows += (windows.size() == 1 ? "{ weekday = " : ", { weekday = ") +
               Quote(weekday) +
               ", start = " + Quote(FormatTimeOfDay(window.start)) +
               ", end = " + Quote(FormatTimeOfDay(window.end)) + " }";
  }
  return {"maintenance",
          "",
          {{"interval", DurationLiteral(policy.interval)},
           {"patience", DurationLiteral(policy.patience)},
           {"windows", windows + "]"}}};
}

template <typename Item, typename Convert>
void AppendItems(const std::vector<Item>& items,
                 const Convert& convert,
                 std::vector<DeclaredItem>& list) {
  for (const Item& item : items) {
    list.push_back(convert(item));
  }
}

}  // namespace

std::string DeclaredItem::Value(const std::string& field) const {
  for (const auto& [field_name, value] : this->fields) {
    if (field_name == field) {
      return value;
    }
  }
  return "";
}

std::vector<DeclaredItem> ListItems(const Declaration& declaration) {
  std::vector<DeclaredItem> items = {TopLevelItem(declaration)};
  AppendItems(declaration.zones, ZoneItem, items);
  AppendItems(declaration.pools, PoolItem, items);
  AppendItems(declaration.services, ServiceItem, items);
  AppendItems(declaration.queues, QueueItem, items);
  AppendItems(declaration.teams, TeamItem, items);
  items.push_back(MaintenanceItem(declaration.maintenance));
  return items;
}

std::string WriteDeclaration(const Declaration& declaration) {
  std::string text;
  for (const DeclaredItem& item : ListItems(declaration)) {
    if (item.section == "maintenance") {
      text += "\n[maintenance]\n";
    } else if (!item.section.empty()) {
      text += "\n[[" + item.section + "]]\n";
    }
    for (const auto& [field, value] : item.fields) {
      text += field;
      text += " = ";
      text += value;
      text += "\n";
    }
  }
  return text;
}

}  // namespace daisyroad
