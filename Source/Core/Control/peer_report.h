#ifndef SOURCE_CORE_CONTROL_PEER_REPORT_H_
#define SOURCE_CORE_CONTROL_PEER_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// State of the configuration on an instance, sent in every reply to a peer.
struct PeerReport {
  EntryName name;
  ZoneName zone;
  std::uint64_t version = 0;  // version in force
  // Highest version known to exist; above `version` while its parts are being
  // fetched.
  std::uint64_t known_version = 0;
  // Time since `version` was last confirmed as current; absent if it never was.
  std::optional<Duration> confirmation_age;
  bool reaches_store = true;
  // Members that could not reach the store and knew no version above `version`,
  // with the age of their report. Sent only while the sender cannot reach the
  // store. With 2 peers every 500 ms an instance hears from 12 others within
  // kFreshness, so at 50 instances reports from a majority must be relayed.
  std::map<EntryName, Duration> outage_support;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_PEER_REPORT_H_
