#include "Core/Keys/key_secret.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace daisyroad {
namespace {

constexpr std::string_view kPrefix = "dr_";
constexpr std::size_t kIdDigits = 16;
constexpr std::size_t kSecretDigits = 64;
constexpr std::size_t kSaltDigits = 32;

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

std::string ToHex(const unsigned char* data, std::size_t size) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kHexDigits[data[i] >> 4]);
    text.push_back(kHexDigits[data[i] & 15]);
  }
  return text;
}

}  // namespace

Result<NewKey> GenerateKey() {
  std::array<unsigned char, (kIdDigits + kSecretDigits + kSaltDigits) / 2>
      bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Error{Errc::kInternal, "keys.generate", "",
                 "RAND_bytes of OpenSSL failed"};
  }
  const std::string digits = ToHex(bytes.data(), bytes.size());
  NewKey key;
  key.id = KeyId(digits.substr(0, kIdDigits));
  key.text.append(kPrefix)
      .append(key.id.str())
      .append("_")
      .append(digits.substr(kIdDigits, kSecretDigits));
  key.hash =
      KeyHasher::Hash(key.text, digits.substr(kIdDigits + kSecretDigits));
  return key;
}

Result<KeyId> KeyIdOf(std::string_view text) {
  constexpr std::size_t kKeyLength =
      kPrefix.size() + kIdDigits + 1 + kSecretDigits;
  if (text.size() != kKeyLength || text.substr(0, kPrefix.size()) != kPrefix ||
      text[kPrefix.size() + kIdDigits] != '_' ||
      !IsHex(text.substr(kPrefix.size(), kIdDigits)) ||
      !IsHex(text.substr(kPrefix.size() + kIdDigits + 1))) {
    return Error{Errc::kUnauthorized, "keys.parse", "",
                 "the key does not have the form dr_ID_SECRET"};
  }
  return KeyId(std::string(text.substr(kPrefix.size(), kIdDigits)));
}

}  // namespace daisyroad
