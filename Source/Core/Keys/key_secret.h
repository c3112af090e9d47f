#ifndef SOURCE_CORE_KEYS_KEY_SECRET_H_
#define SOURCE_CORE_KEYS_KEY_SECRET_H_

#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Common/strong_string.h"
#include "Core/Keys/key_hasher.h"

namespace daisyroad {

using KeyId = StrongString<struct KeyIdTag>;

// A new key. `text` is shown once to whoever asked for the key and is not kept.
struct NewKey {
  KeyId id;
  std::string text;  // dr_ID_SECRET
  KeyHash hash;      // of the whole text
};

// 64-bit id, 256-bit secret and 128-bit salt from RAND_bytes; kInternal if the
// generator of OpenSSL fails.
Result<NewKey> GenerateKey();

// Id embedded in `dr_ID_SECRET`; kUnauthorized if the text has another form.
// The error does not repeat the text.
Result<KeyId> KeyIdOf(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_KEYS_KEY_SECRET_H_
