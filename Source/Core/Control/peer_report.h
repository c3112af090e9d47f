#ifndef SOURCE_CORE_CONTROL_PEER_REPORT_H_
#define SOURCE_CORE_CONTROL_PEER_REPORT_H_

#include <cstdint>
#include <map>
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
  // Members, with the age of their report, that could not reach the store and
  // knew no version above `version`. Sent only while the sender does not reach
  // the store: with 2 peers every 500 ms an instance hears 12 others within
  // kFreshness, so at 50 instances a majority can be heard through relays only.
  std::map<EntryName, Duration> outage_support;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_PEER_REPORT_H_
