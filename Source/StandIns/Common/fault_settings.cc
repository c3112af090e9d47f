#include "StandIns/Common/fault_settings.h"

#include "Core/Transport/http_message.h"

namespace daisyroad {
namespace {

Error InvalidFault(const std::string& name) {
  return Error{Errc::kInvalidArgument, "standin.faults", "",
               "unknown fault or value of the wrong type: \"" + name + "\""};
}

bool ApplyFault(const std::string& name,
                const Json::Value& value,
                FaultSettings* faults) {
  if (name == "down" && value.isBool()) {
    faults->down = value.asBool();
  } else if (name == "fail_all" && value.isBool()) {
    faults->fail_all = value.asBool();
  } else if (name == "delay_ms" && value.isInt()) {
    faults->delay = Milliseconds(value.asInt());
  } else if (name == "lose_answers" && value.isInt()) {
    faults->lose_answers = value.asInt();
  } else if (name == "cut_zones" && value.isArray()) {
    faults->cut_zones.clear();
    for (const Json::Value& zone : value) {
      faults->cut_zones.insert(zone.asString());
    }
  } else {
    return false;
  }
  return true;
}

}  // namespace

Status FaultSettings::Update(const Json::Value& value) {
  if (!value.isObject()) {
    return InvalidFault("");
  }
  FaultSettings changed = *this;
  for (const std::string& name : value.getMemberNames()) {
    if (!ApplyFault(name, value[name], &changed)) {
      return InvalidFault(name);
    }
  }
  *this = changed;
  return OkStatus();
}

bool FaultSettings::Receives(const HttpRequest& request) const {
  return !this->down && this->cut_zones.count(request.Header("x-zone")) == 0;
}

bool FaultSettings::DropNextAnswer() {
  if (this->lose_answers == 0) {
    return false;
  }
  --this->lose_answers;
  return true;
}

}  // namespace daisyroad
