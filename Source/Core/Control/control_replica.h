#ifndef SOURCE_CORE_CONTROL_CONTROL_REPLICA_H_
#define SOURCE_CORE_CONTROL_CONTROL_REPLICA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Control/control_document.h"
#include "Core/Control/control_head.h"

namespace daisyroad {

struct StoreSource {
  friend bool operator==(const StoreSource&, const StoreSource&) = default;
};

struct PeerSource {
  EntryName peer;

  friend bool operator==(const PeerSource&, const PeerSource&) = default;
};

using ControlSource = std::variant<StoreSource, PeerSource>;

struct FetchHead {
  ControlSource source;
};

struct FetchPart {
  PartDigest digest;
  ControlSource source;
};

// `document()` has changed to this version, which is always higher than the
// previous one.
struct VersionAdopted {
  std::uint64_t version = 0;
};

using ReplicaAction = std::variant<FetchHead, FetchPart, VersionAdopted>;

// Holds the version in force on this instance and fetches newer versions from
// the store or from peers.
class ControlReplica {
 public:
  // An unanswered fetch is repeated from another source after this time, which
  // is several times the response time of a healthy peer or store.
  static constexpr Milliseconds kFetchTimeout{300};
  static constexpr std::size_t kWatchersPerZone = 2;

  const ControlDocument& document() const { return this->in_force; }

  // A message from `peer` named `version`.
  std::vector<ReplicaAction> OnVersionHeard(std::uint64_t version,
                                            const EntryName& peer,
                                            MonotonicTime now);
  // A head was received from a store read, a watch or a peer.
  std::vector<ReplicaAction> OnHead(const ControlHead& head,
                                    const ControlSource& source,
                                    MonotonicTime now);
  std::vector<ReplicaAction> OnPart(const PartDigest& digest,
                                    const std::string& text);
  // A fetch of a head or a part failed. Switches to the next source.
  std::vector<ReplicaAction> OnFetchFailed(MonotonicTime now);
  // Call about every 100 ms.
  std::vector<ReplicaAction> OnTick(MonotonicTime now);

  // The text of a part of the version in force or being fetched, to serve to
  // peers.
  std::optional<std::string> Part(const PartDigest& digest) const;

  // Whether this instance keeps a watch on the head. Rendezvous hashing selects
  // kWatchersPerZone of the live instances of a zone.
  static bool Watches(const EntryName& self,
                      const ZoneName& zone,
                      const std::vector<EntryName>& live_in_zone);

 private:
  struct PendingVersion {
    std::uint64_t version = 0;
    std::optional<ControlHead> head;
    std::optional<EntryName> reporting_peer;
    ControlSource source;
    MonotonicTime last_request_at;
  };

  std::vector<ReplicaAction> RequestMissing(MonotonicTime now);
  std::vector<ReplicaAction> AdoptIfComplete();

  ControlDocument in_force;
  // Parts of the version in force and of the pending one.
  std::map<PartDigest, std::string> part_texts = ControlDocument().Parts();
  std::optional<PendingVersion> pending;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_REPLICA_H_
