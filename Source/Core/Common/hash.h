#ifndef SOURCE_CORE_COMMON_HASH_H_
#define SOURCE_CORE_COMMON_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisyroad {

// XXH64 of the bytes. Equal on every machine, so that all instances agree.
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);

// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view data);

// Returns the index of the candidate with the highest rendezvous hashing weight
// for `key`. `candidates` must not be empty.
std::size_t RendezvousIndex(std::string_view key,
                            const std::vector<std::string>& candidates);

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_HASH_H_
