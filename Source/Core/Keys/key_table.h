#ifndef SOURCE_CORE_KEYS_KEY_TABLE_H_
#define SOURCE_CORE_KEYS_KEY_TABLE_H_

#include <json/value.h>

#include <map>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Keys/key_record.h"

namespace daisyroad {

// Hashes of team and operator keys. Withdrawn keys stay in the table so that
// operators can see that they were once valid and no id is used twice.
class KeyTable {
 public:
  // Returns kConflict if the id is already in use.
  Status Add(const KeyRecord& record);
  // Returns kNotFound if there is no such id. Idempotent.
  Status Withdraw(const KeyId& id);

  // Returns the holder of the key with the given full text, or kUnauthorized.
  // The error detail may contain the key id but never the secret.
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
