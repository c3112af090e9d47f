#ifndef SOURCE_CORE_KEYS_KEY_SECRET_H_
#define SOURCE_CORE_KEYS_KEY_SECRET_H_

#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Common/strong_string.h"
#include "Core/Keys/key_hasher.h"

namespace daisyroad {

using KeyId = StrongString<struct KeyIdTag>;

// A new key. `text` is returned once, to the requester, and is never stored.
struct NewKey {
  KeyId id;
  std::string text;  // dr_ID_SECRET
  KeyHash hash;      // of the whole text
};

// Generates a 64-bit id, 256-bit secret and 128-bit salt with RAND_bytes.
// Returns kInternal if RAND_bytes fails.
Result<NewKey> GenerateKey();

// Returns the id in `dr_ID_SECRET`, or kUnauthorized if the text has another
// form. The error does not contain the text.
Result<KeyId> KeyIdOf(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_KEYS_KEY_SECRET_H_
