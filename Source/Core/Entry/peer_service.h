#ifndef SOURCE_CORE_ENTRY_PEER_SERVICE_H_
#define SOURCE_CORE_ENTRY_PEER_SERVICE_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Control/peer_report.h"

namespace daisyroad {

struct EntryContext;

// Exchanges reports with the other entry instances and knows which are alive.
class PeerService {
 public:
  struct Peer {
    EntryName name;
    ZoneName zone;
    std::string address;
    PeerReport report;
    MonotonicTime replied_at;    // when the last reply came
    MonotonicTime request_sent;  // of the request of that reply
    Milliseconds clock{0};       // the peer's clock in that reply
    Duration round_trip{0};
  };
  using ReportSource = std::function<PeerReport()>;
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

  void Start(ReportSource source, ReplyHandler handler);
  // Serves the RPC method `peer.exchange`.
  Json::Value Exchange(const Json::Value& params);

  // Instances that replied within the suspicion time, without this one.
  std::vector<Peer> Live() const;
  // Names of the live instances of the zone, this one included if it is there.
  std::vector<EntryName> LiveIn(const ZoneName& zone) const;
  // Names of all live instances, this one included.
  std::vector<EntryName> LiveNames() const;
  std::optional<std::string> AddressOf(const EntryName& name) const;
  std::optional<Peer> Find(const EntryName& name) const;
  const std::map<std::string, Peer>& known() const { return this->peers; }
  bool IsLive(const Peer& peer) const;
  // Exchanges with one instance at once, besides the periodic rounds.
  void AskNow(const EntryName& name);
  // The clock in which this instance states deadlines to its peers.
  static Milliseconds Clock();

 private:
  void Round();
  void Ask(const std::string& address);

  EntryContext* context;
  struct SectionHooks {
    Section source;
    SectionHandler handler;
  };

  ReportSource source;
  ReplyHandler handler;
  std::map<std::string, SectionHooks> sections;
  std::map<std::string, Peer> peers;  // by address
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_PEER_SERVICE_H_
