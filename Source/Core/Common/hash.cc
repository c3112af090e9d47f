#include "Core/Common/hash.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace daisyroad {

std::uint64_t StableHash(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  std::string text;
  text.reserve(static_cast<std::size_t>(length) * 2);
  for (unsigned int i = 0; i < length; ++i) {
    text.push_back(kHexDigits[digest[i] >> 4]);
    text.push_back(kHexDigits[digest[i] & 15]);
  }
  return text;
}

std::size_t RendezvousIndex(std::string_view key,
                            const std::vector<std::string>& candidates) {
  const std::uint64_t key_hash = StableHash(key);
  std::size_t best_index = 0;
  std::uint64_t best_weight = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t weight = StableHash(candidates[i], key_hash);
    if (i == 0 || weight > best_weight) {
      best_index = i;
      best_weight = weight;
    }
  }
  return best_index;
}

}  // namespace daisyroad
