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

// Send the message and pass the reply to OnReply with `exchange`. Failures need
// not be reported.
struct SendGossip {
  std::uint64_t exchange = 0;
  std::string address;
  GossipMessage message;
};

// Ask the helper to send a request to the target and pass whether the target
// answered to OnProbeAnswer.
struct AskProbe {
  std::uint64_t exchange = 0;
  std::string helper_address;
  std::string target_address;
};

// For logs and the evidence of the diagnosis.
struct MemberChanged {
  MemberInfo info;
  Reachability reachability = Reachability::kDirect;
};

using GossipAction = std::variant<SendGossip, AskProbe, MemberChanged>;

// SWIM-like exchange of member states (design, section 3.8). The control report
// is passed in by the caller and carried unchanged.
class GossipProtocol {
 public:
  static constexpr Milliseconds kInterval{500};
  static constexpr int kPeersPerInterval = 2;
  // A request without a reply for this time starts indirect probes.
  static constexpr Milliseconds kProbeAfter{500};
  static constexpr Milliseconds kSuspectAfter{1500};
  static constexpr std::size_t kHelpers = 2;
  // Bounds the size of a message.
  static constexpr std::size_t kUpdatesPerMessage = 8;

  // A joiner asks for all members in its first requests: while many join at
  // once, a single peer does not know all of them yet.
  static constexpr int kJoinRequests = 6;

  // `seeds` are addresses from the settings.
  GossipProtocol(MemberInfo self,
                 std::vector<std::string> seeds,
                 std::uint64_t random_seed);

  // Replaces the addresses from the instance list, which lags and is used for
  // contact only.
  void SetListedAddresses(std::vector<std::string> addresses);

  // Call every 100 ms.
  std::vector<GossipAction> OnTick(const PeerReport& control,
                                   MonotonicTime now);
  // Returns the reply and what changed.
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
    EntryName peer;  // empty if only the address is known
    MonotonicTime sent;
    bool probed = false;
  };

  struct Rumor {
    EntryName name;
    int sent = 0;
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
  void Probe(std::uint64_t exchange,
             const EntryName& peer,
             std::vector<GossipAction>& actions);
  void Merge(const MemberInfo& info,
             MonotonicTime now,
             std::vector<GossipAction>& actions,
             bool spread = true);
  void MergeMessage(const GossipMessage& message,
                    MonotonicTime now,
                    std::vector<GossipAction>& actions);
  void Spread(const EntryName& name);
  void Reach(const EntryName& name,
             Reachability reachability,
             std::vector<GossipAction>& actions);
  GossipMessage Message(const EntryName& receiver, const PeerReport& control);
  std::string ContactAddress();
  std::vector<EntryName> LivePeers() const;

  MemberTable table;
  std::vector<std::string> seeds;
  std::vector<std::string> listed;
  Random random;
  std::uint64_t next_exchange = 1;
  std::map<std::uint64_t, Exchange> exchanges;
  std::deque<Rumor> rumors;
  MonotonicTime last_interval;
  int join_requests = 0;
  MonotonicTime last_tick;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MEMBERSHIP_GOSSIP_PROTOCOL_H_
