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

// Executes the actions of GossipProtocol: exchanges messages with the other
// entry instances and tracks which of them are alive.
class PeerService {
 public:
  // An instance that has replied to this one at least once.
  struct Peer {
    EntryName name;
    ZoneName zone;
    std::string address;
    PeerReport report;
    MonotonicTime replied_at;  // when the last reply arrived
    Milliseconds clock{0};     // the peer's clock in that reply
  };
  using ReportSource = std::function<PeerReport()>;
  using DocumentSource = std::function<const ControlDocument&()>;
  using ReplyHandler =
      std::function<void(const PeerReport& report, MonotonicTime request_sent)>;

  // Additional sections of the exchange, by JSON member name: Section provides
  // the content that this instance sends, SectionHandler processes the content
  // received from a peer.
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

  // Live instances that answer this one directly, excluding this one.
  std::vector<Peer> Live() const;
  // Names of the live instances in the zone, including this one if it is there.
  std::vector<EntryName> LiveIn(const ZoneName& zone) const;
  // Names of all live instances, including this one.
  std::vector<EntryName> LiveNames() const;
  std::optional<std::string> AddressOf(const EntryName& name) const;
  std::optional<Peer> Find(const EntryName& name) const;
  // The instance that last replied at each address, by address.
  const std::map<std::string, Peer>& known() const { return this->peers; }
  bool IsLive(const Peer& peer) const;
  const MemberTable& members() const { return this->gossip->members(); }
  // Requests the report of an instance immediately, in addition to the periodic
  // exchanges.
  void RequestReport(const EntryName& name);
  // The monotonic clock of this instance, in which it sends deadlines to peers.
  static Milliseconds Clock();

 private:
  struct SectionCallbacks {
    Section source;
    SectionHandler handler;
  };

  void Apply(const std::vector<GossipAction>& actions);
  void Apply(const GossipAction& action);
  void Exchange(const SendGossip& send);
  void Probe(const AskProbe& ask);
  void RequestReportFrom(const std::string& address);
  void OnReply(const std::string& address,
               const PeerReport& report,
               const Json::Value& reply,
               MonotonicTime sent);

  EntryContext* context;
  ReportSource source;
  DocumentSource document;
  ReplyHandler handler;
  std::unique_ptr<GossipProtocol> gossip;
  std::map<std::string, SectionCallbacks> sections;
  std::map<std::string, Peer> peers;  // by address
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_PEER_SERVICE_H_
