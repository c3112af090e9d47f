#include "Core/Claims/registrar_choice.h"

#include "Core/Common/hash.h"

namespace daisyroad {

std::optional<EntryName> ChooseRegistrar(const std::string& key,
                                         const ClaimRoster& roster) {
  const std::size_t slash = key.find('/');
  std::vector<std::string> all;
  std::vector<std::string> in_zone;
  for (const ClaimMember& member : roster.members) {
    all.push_back(member.incarnation.str());
    if (slash != std::string::npos &&
        key.compare(0, slash, member.zone.str()) == 0) {
      in_zone.push_back(member.incarnation.str());
    }
  }
  const std::vector<std::string>& candidates = in_zone.empty() ? all : in_zone;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return EntryName(candidates[RendezvousIndex(key, candidates)]);
}

}  // namespace daisyroad
