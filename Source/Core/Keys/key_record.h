#ifndef SOURCE_CORE_KEYS_KEY_RECORD_H_
#define SOURCE_CORE_KEYS_KEY_RECORD_H_

#include <string>
#include <variant>

#include "Core/Common/identifiers.h"
#include "Core/Keys/key_hasher.h"
#include "Core/Keys/key_secret.h"

namespace daisyroad {

struct TeamKey {
  TeamName team;

  friend bool operator==(const TeamKey&, const TeamKey&) = default;
};

struct OperatorKey {
  std::string name;

  friend bool operator==(const OperatorKey&, const OperatorKey&) = default;
};

using KeyHolder = std::variant<TeamKey, OperatorKey>;

struct KeyRecord {
  KeyId id;
  KeyHolder holder;
  KeyHash hash;
  bool withdrawn = false;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_KEYS_KEY_RECORD_H_
