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

// `document()` has become this version; never a lower one than before.
struct VersionAdopted {
  std::uint64_t version = 0;
};

using ReplicaAction = std::variant<FetchHead, FetchPart, VersionAdopted>;

// Holds the version in force on this instance and brings in newer ones.
class ControlReplica {
 public:
  // A fetch without an answer is repeated from another source after this time;
  // several answers of a healthy peer or store fit into it.
  static constexpr Milliseconds kFetchTimeout{300};
  static constexpr std::size_t kWatchersPerZone = 2;

  const ControlDocument& document() const { return this->in_force; }

  // A peer's message names a version.
  std::vector<ReplicaAction> OnVersionHeard(std::uint64_t version,
                                            const EntryName& peer,
                                            MonotonicTime now);
  // A head from a store read, a watch or a peer.
  std::vector<ReplicaAction> OnHead(const ControlHead& head,
                                    const ControlSource& source,
                                    MonotonicTime now);
  std::vector<ReplicaAction> OnPart(const PartDigest& digest,
                                    const std::string& text);
  // A fetch of a head or a part failed; the next source is tried.
  std::vector<ReplicaAction> OnFetchFailed(MonotonicTime now);
  // Call every 100 ms or so.
  std::vector<ReplicaAction> OnTick(MonotonicTime now);

  // Text of a part of the version in force or being fetched, for peers.
  std::optional<std::string> Part(const PartDigest& digest) const;

  // Whether this instance keeps a watch on the head: kWatchersPerZone instances
  // do, chosen by rendezvous hashing among the live ones of the zone.
  static bool Watches(const EntryName& self,
                      const ZoneName& zone,
                      const std::vector<EntryName>& live_in_zone);

 private:
  struct Pending {
    std::uint64_t version = 0;
    std::optional<ControlHead> head;
    std::optional<EntryName> informant;
    ControlSource source;
    MonotonicTime asked_at;
  };

  std::vector<ReplicaAction> Ask(MonotonicTime now);
  std::vector<ReplicaAction> AdoptIfComplete();

  ControlDocument in_force;
  // Parts of the version in force and of the pending one.
  std::map<PartDigest, std::string> texts = ControlDocument().Parts();
  std::optional<Pending> pending;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_REPLICA_H_
