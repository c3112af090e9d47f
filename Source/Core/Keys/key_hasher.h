#ifndef SOURCE_CORE_KEYS_KEY_HASHER_H_
#define SOURCE_CORE_KEYS_KEY_HASHER_H_

#include <string>
#include <string_view>

namespace daisyroad {

// Stored form of a key; both fields are lower-case hexadecimal.
struct KeyHash {
  std::string salt;
  std::string digest;

  friend bool operator==(const KeyHash&, const KeyHash&) = default;
};

// Salted SHA-256. A slow hash such as PBKDF2 or scrypt protects passwords that
// can be guessed. These secrets are 256 random bits, which cannot be guessed
// offline, and a slow hash would block the core thread on every request.
class KeyHasher {
 public:
  static KeyHash Hash(std::string_view secret, std::string_view salt);
  // Compares in constant time.
  static bool Matches(std::string_view secret, const KeyHash& hash);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_KEYS_KEY_HASHER_H_
