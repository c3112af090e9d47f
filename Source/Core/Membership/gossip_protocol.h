#ifndef SOURCE_CORE_MEMBERSHIP_GOSSIP_PROTOCOL_H_
#define SOURCE_CORE_MEMBERSHIP_GOSSIP_PROTOCOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/time.h"
#include "Core/Membership/gossip_message.h"
#include "Core/Membership/member_table.h"

namespace daisyroad {

// Send `message` to `address` and pass the reply to OnReply with the same
// `exchange`. Failures need not be reported.
struct SendGossip {
  std::uint64_t exchange = 0;
  std::string address;
  GossipMessage message;
};

// Indirect probe: ask the helper to send a request to the target, and report to
// OnProbeAnswer whether the target answered.
struct AskProbe {
  std::uint64_t exchange = 0;
  std::string helper_address;
  std::string target_address;
};

// The state or reachability of a member has changed. Used for logs and as
// evidence for the diagnosis.
struct MemberChanged {
  MemberInfo info;
  Reachability reachability = Reachability::kDirect;
};

using GossipAction = std::variant<SendGossip, AskProbe, MemberChanged>;

// SWIM-like gossip protocol that disseminates member states (design, section
// 3.8). Messages also carry the control report, which the caller passes in.
class GossipProtocol {
 public:
  static constexpr Milliseconds kInterval{500};
  static constexpr int kPeersPerInterval = 2;
  // If a request has no reply after this time, the peer is probed indirectly.
  static constexpr Milliseconds kProbeAfter{500};
  static constexpr Milliseconds kSuspectAfter{1500};
  static constexpr std::size_t kProbeHelpers = 2;
  // Limits the size of a message.
  static constexpr std::size_t kUpdatesPerMessage = 8;

  // An instance requests the full member list in its first requests after it
  // has joined. One reply is not enough: while many instances join at once, no
  // single peer knows all of them.
  static constexpr int kFullListRequests = 6;

  // `seeds` are the peer addresses from the settings.
  GossipProtocol(MemberInfo self,
                 std::vector<std::string> seeds,
                 std::uint64_t random_seed);

  // Replaces the addresses from the instance list. The list may be outdated, so
  // it is used only to contact instances and not as evidence of membership.
  void SetListedAddresses(std::vector<std::string> addresses);

  // Call every 100 ms.
  std::vector<GossipAction> OnTick(const PeerReport& control,
                                   MonotonicTime now);
  // Returns the reply and the member changes.
  std::pair<GossipMessage, std::vector<GossipAction>> OnRequest(
      const GossipMessage& request,
      const PeerReport& control,
      MonotonicTime now);
  std::vector<GossipAction> OnReply(std::uint64_t exchange,
                                    const GossipMessage& reply,
                                    MonotonicTime now);
  std::vector<GossipAction> OnProbeAnswer(std::uint64_t exchange, bool reached);

  const MemberTable& members() const { return this->table; }

 private:
  struct Exchange {
    EntryName peer;  // empty if only the address of the peer is known
    MonotonicTime sent;
    bool probed = false;
  };

  // A member whose state is sent with the next messages.
  struct PendingUpdate {
    EntryName name;
    int sent = 0;  // number of messages that have carried the update
  };

  void StartExchanges(const PeerReport& control,
                      MonotonicTime now,
                      std::vector<GossipAction>& actions);
  void Send(const EntryName& peer,
            const std::string& address,
            const PeerReport& control,
            MonotonicTime now,
            std::vector<GossipAction>& actions);
  void CheckExchanges(MonotonicTime now, std::vector<GossipAction>& actions);
  void SendProbes(std::uint64_t exchange,
                  const EntryName& peer,
                  std::vector<GossipAction>& actions);
  void Merge(const MemberInfo& info,
             MonotonicTime now,
             std::vector<GossipAction>& actions,
             bool spread = true);
  void MergeMessage(const GossipMessage& message,
                    MonotonicTime now,
                    std::vector<GossipAction>& actions);
  void QueueUpdate(const EntryName& name);
  void UpdateReachability(const EntryName& name,
                          Reachability reachability,
                          std::vector<GossipAction>& actions);
  GossipMessage BuildMessage(const EntryName& receiver,
                             const PeerReport& control);
  std::string PickContactAddress();
  std::vector<EntryName> LivePeers() const;

  MemberTable table;
  std::vector<std::string> seeds;
  std::vector<std::string> listed_addresses;
  Random random;
  std::uint64_t next_exchange = 1;
  std::map<std::uint64_t, Exchange> exchanges;
  std::deque<PendingUpdate> pending_updates;
  MonotonicTime last_interval;
  int full_list_requests = 0;
  MonotonicTime last_tick;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MEMBERSHIP_GOSSIP_PROTOCOL_H_
