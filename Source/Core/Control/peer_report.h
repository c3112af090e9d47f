#ifndef SOURCE_CORE_CONTROL_PEER_REPORT_H_
#define SOURCE_CORE_CONTROL_PEER_REPORT_H_

#include <cstdint>
#include <optional>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// What an instance says about its configuration in every reply to a peer.
struct PeerReport {
  EntryName name;
  ZoneName zone;
  std::uint64_t version = 0;  // in force
  // Highest version heard of; above `version` while parts are being fetched.
  std::uint64_t known_version = 0;
  // Age of the confirmation of `version`; absent if never confirmed.
  std::optional<Duration> confirmation_age;
  bool reaches_store = true;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_PEER_REPORT_H_
