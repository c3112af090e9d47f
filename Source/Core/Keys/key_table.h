#ifndef SOURCE_CORE_KEYS_KEY_TABLE_H_
#define SOURCE_CORE_KEYS_KEY_TABLE_H_

#include <json/value.h>

#include <map>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Keys/key_record.h"

namespace daisyroad {

// Hashes of team and operator keys. Withdrawn keys stay listed so that an
// operator sees that a key was once valid and an id is never given twice.
class KeyTable {
 public:
  // kConflict if the id is taken.
  Status Add(const KeyRecord& record);
  // kNotFound if there is no such id; withdrawing twice is no error.
  Status Withdraw(const KeyId& id);

  // Holder of the key whose full text is given; kUnauthorized otherwise, with
  // the key id but never the secret in the detail.
  Result<KeyHolder> Authenticate(std::string_view text) const;

  const std::map<KeyId, KeyRecord>& records() const { return this->keys; }

  Json::Value ToJson() const;
  static Result<KeyTable> FromJson(const Json::Value& value);

  friend bool operator==(const KeyTable&, const KeyTable&) = default;

 private:
  std::map<KeyId, KeyRecord> keys;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_KEYS_KEY_TABLE_H_
