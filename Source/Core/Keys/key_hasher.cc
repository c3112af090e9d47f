#include "Core/Keys/key_hasher.h"

#include <openssl/crypto.h>

#include "Core/Common/hash.h"

namespace daisyroad {

KeyHash KeyHasher::Hash(std::string_view secret, std::string_view salt) {
  std::string input(salt);
  // The salt is hexadecimal, so ':' separates salt and secret unambiguously.
  input.push_back(':');
  input.append(secret);
  KeyHash hash{std::string(salt), Sha256Hex(input)};
  OPENSSL_cleanse(input.data(), input.size());
  return hash;
}

bool KeyHasher::Matches(std::string_view secret, const KeyHash& hash) {
  const std::string digest = Hash(secret, hash.salt).digest;
  return digest.size() == hash.digest.size() &&
         CRYPTO_memcmp(digest.data(), hash.digest.data(), digest.size()) == 0;
}

}  // namespace daisyroad
