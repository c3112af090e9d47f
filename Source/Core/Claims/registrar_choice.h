#ifndef SOURCE_CORE_CLAIMS_REGISTRAR_CHOICE_H_
#define SOURCE_CORE_CLAIMS_REGISTRAR_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Member of a ClaimRoster. An incarnation is one run of an entry process.
struct ClaimMember {
  EntryName incarnation;
  ZoneName zone;
};

// The entry incarnations that share the keys during one epoch.
struct ClaimRoster {
  std::uint64_t epoch = 0;
  std::vector<ClaimMember> members;
};

// Chooses the member that is responsible for a key by rendezvous hashing over
// the roster. A key `ZONE/...` is hashed only over the members of ZONE if the
// roster has members there. Returns nothing if the roster is empty.
std::optional<EntryName> ChooseRegistrar(const std::string& key,
                                         const ClaimRoster& roster);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_REGISTRAR_CHOICE_H_
