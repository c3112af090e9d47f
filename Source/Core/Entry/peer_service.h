#ifndef SOURCE_CORE_ENTRY_PEER_SERVICE_H_
#define SOURCE_CORE_ENTRY_PEER_SERVICE_H_

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Control/peer_report.h"
#include "Core/Membership/gossip_protocol.h"

namespace daisyroad {

struct EntryContext;
class ControlDocument;

// Carries out the decisions of GossipProtocol: exchanges with the other entry
// instances and knows which are alive.
class PeerService {
 public:
  // An instance that has replied to this one.
  struct Peer {
    EntryName name;
    ZoneName zone;
    std::string address;
    PeerReport report;
    MonotonicTime replied_at;  // when the last reply came
    Milliseconds clock{0};     // the peer's clock in that reply
  };
  using ReportSource = std::function<PeerReport()>;
  using DocumentSource = std::function<const ControlDocument&()>;
  using ReplyHandler =
      std::function<void(const PeerReport& report, MonotonicTime request_sent)>;

  // Further content of the exchange, by member name: what this instance says,
  // and what it does with what a peer said.
  using Section = std::function<Json::Value()>;
  using SectionHandler =
      std::function<void(const EntryName& peer, const Json::Value& section)>;

  explicit PeerService(EntryContext* context);

  void AddSection(const std::string& name,
                  Section section_source,
                  SectionHandler section_handler);

  void Start(ReportSource source,
             DocumentSource document,
             ReplyHandler handler);
  // RPC methods `peer.exchange`, `peer.report`, `peer.probe`, `peer.probed`.
  Json::Value ServeExchange(const Json::Value& params);
  Json::Value ServeReport();
  Json::Value ServeProbe(const Json::Value& params);
  Json::Value ServeProbed(const Json::Value& params);

  // Instances that are alive and answer this one, without this one.
  std::vector<Peer> Live() const;
  // Names of the live instances of the zone, this one included if it is there.
  std::vector<EntryName> LiveIn(const ZoneName& zone) const;
  // Names of all live instances, this one included.
  std::vector<EntryName> LiveNames() const;
  std::optional<std::string> AddressOf(const EntryName& name) const;
  std::optional<Peer> Find(const EntryName& name) const;
  // The latest instance that replied at each address.
  const std::map<std::string, Peer>& known() const { return this->peers; }
  bool IsLive(const Peer& peer) const;
  const MemberTable& members() const { return this->gossip->members(); }
  // Asks one instance for its report at once, besides the periodic exchanges.
  void AskNow(const EntryName& name);
  // The clock in which this instance states deadlines to its peers.
  static Milliseconds Clock();

 private:
  struct SectionHooks {
    Section source;
    SectionHandler handler;
  };

  void Apply(const std::vector<GossipAction>& actions);
  void Apply(const GossipAction& action);
  void Exchange(const SendGossip& send);
  void Probe(const AskProbe& ask);
  void AskForReport(const std::string& address);
  void OnReply(const std::string& address,
               const PeerReport& report,
               const Json::Value& reply,
               MonotonicTime sent);

  EntryContext* context;
  ReportSource source;
  DocumentSource document;
  ReplyHandler handler;
  std::unique_ptr<GossipProtocol> gossip;
  std::map<std::string, SectionHooks> sections;
  std::map<std::string, Peer> peers;  // by address
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_PEER_SERVICE_H_
