#include "Core/Membership/gossip_protocol.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisyroad {
namespace {

// Removed members and known addresses are tried once in this many intervals,
// so that two halves of a healed network find each other again.
constexpr std::uint64_t kContactPeriod = 4;

}  // namespace

GossipProtocol::GossipProtocol(MemberInfo self,
                               std::vector<std::string> addresses,
                               std::uint64_t random_seed)
    : table(std::move(self)),
      seeds(std::move(addresses)),
      random(random_seed) {}

void GossipProtocol::SetListedAddresses(std::vector<std::string> addresses) {
  this->listed = std::move(addresses);
}

std::vector<GossipAction> GossipProtocol::OnTick(const PeerReport& control,
                                                 MonotonicTime now) {
  std::vector<GossipAction> actions;
  // After a pause of this instance, missing replies say nothing of the peers.
  if (now - this->last_tick > kProbeAfter) {
    this->exchanges.clear();
  }
  this->last_tick = now;
  this->CheckExchanges(now, actions);
  for (const MemberInfo& info : this->table.Expire(now)) {
    this->Spread(info.name);
    actions.push_back(MemberChanged{info, Reachability::kNone});
  }
  if (now - this->last_interval >= kInterval) {
    this->last_interval = now;
    this->StartExchanges(control, now, actions);
  }
  return actions;
}

void GossipProtocol::StartExchanges(const PeerReport& control,
                                    MonotonicTime now,
                                    std::vector<GossipAction>& actions) {
  std::vector<EntryName> peers = this->LivePeers();
  for (int i = 0; i < kPeersPerInterval && !peers.empty(); ++i) {
    const std::size_t index = this->random.Below(peers.size());
    const EntryName peer = peers[index];
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    this->Send(peer, this->table.Find(peer)->info.address, control, now,
               actions);
  }
  if (this->table.Live().size() == 1 ||
      this->random.Below(kContactPeriod) == 0) {
    const std::string address = this->ContactAddress();
    if (!address.empty()) {
      this->Send(EntryName(), address, control, now, actions);
    }
  }
}

void GossipProtocol::Send(const EntryName& peer,
                          const std::string& address,
                          const PeerReport& control,
                          MonotonicTime now,
                          std::vector<GossipAction>& actions) {
  const std::uint64_t exchange = this->next_exchange++;
  this->exchanges[exchange] = Exchange{peer, now, false};
  GossipMessage message = this->Message(peer, control);
  message.wants_all = this->table.Live().size() == 1;
  if (!message.wants_all && this->join_requests < kJoinRequests) {
    ++this->join_requests;
    message.wants_all = true;
  }
  actions.push_back(SendGossip{exchange, address, std::move(message)});
}

std::string GossipProtocol::ContactAddress() {
  std::vector<std::string> addresses = this->seeds;
  addresses.insert(addresses.end(), this->listed.begin(), this->listed.end());
  for (const std::pair<const EntryName, Member>& entry :
       this->table.members()) {
    const std::string& address = entry.second.info.address;
    if (entry.second.info.state == MemberState::kRemoved) {
      addresses.push_back(address);
    } else {
      std::erase(addresses, address);
    }
  }
  return addresses.empty() ? ""
                           : addresses[this->random.Below(addresses.size())];
}

void GossipProtocol::CheckExchanges(MonotonicTime now,
                                    std::vector<GossipAction>& actions) {
  for (auto entry = this->exchanges.begin(); entry != this->exchanges.end();) {
    Exchange& exchange = entry->second;
    const Duration age = now - exchange.sent;
    const Member* member = this->table.Find(exchange.peer);
    if (age >= kSuspectAfter) {
      if (member != nullptr && member->info.state == MemberState::kAlive) {
        MemberInfo suspect = member->info;
        suspect.state = MemberState::kSuspect;
        this->Reach(suspect.name, Reachability::kNone, actions);
        this->Merge(suspect, now, actions);
      }
      entry = this->exchanges.erase(entry);
      continue;
    }
    if (age >= kProbeAfter && !exchange.probed && member != nullptr) {
      exchange.probed = true;
      this->Probe(entry->first, exchange.peer, actions);
    }
    ++entry;
  }
}

void GossipProtocol::Probe(std::uint64_t exchange,
                           const EntryName& peer,
                           std::vector<GossipAction>& actions) {
  std::vector<EntryName> helpers = this->LivePeers();
  std::erase(helpers, peer);
  for (std::size_t i = 0; i < kHelpers && !helpers.empty(); ++i) {
    const std::size_t index = this->random.Below(helpers.size());
    actions.push_back(AskProbe{exchange,
                               this->table.Find(helpers[index])->info.address,
                               this->table.Find(peer)->info.address});
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

std::vector<GossipAction> GossipProtocol::OnProbeAnswer(std::uint64_t exchange,
                                                        bool reached) {
  std::vector<GossipAction> actions;
  const auto found = this->exchanges.find(exchange);
  if (reached && found != this->exchanges.end()) {
    this->Reach(found->second.peer, Reachability::kThroughOthers, actions);
    this->exchanges.erase(found);
  }
  return actions;
}

std::pair<GossipMessage, std::vector<GossipAction>> GossipProtocol::OnRequest(
    const GossipMessage& request,
    const PeerReport& control,
    MonotonicTime now) {
  std::vector<GossipAction> actions;
  this->MergeMessage(request, now, actions);
  GossipMessage reply = this->Message(request.sender.name, control);
  if (request.wants_all) {
    reply.updates.clear();
    for (const std::pair<const EntryName, Member>& entry :
         this->table.members()) {
      reply.updates.push_back(entry.second.info);
    }
  }
  return {std::move(reply), std::move(actions)};
}

std::vector<GossipAction> GossipProtocol::OnReply(std::uint64_t exchange,
                                                  const GossipMessage& reply,
                                                  MonotonicTime now) {
  std::vector<GossipAction> actions;
  this->MergeMessage(reply, now, actions);
  if (this->exchanges.erase(exchange) != 0) {
    this->Reach(reply.sender.name, Reachability::kDirect, actions);
  }
  return actions;
}

void GossipProtocol::MergeMessage(const GossipMessage& message,
                                  MonotonicTime now,
                                  std::vector<GossipAction>& actions) {
  this->Merge(message.sender, now, actions);
  // A full list is old news to others; spreading it would fill every message
  // for a minute after 200 instances have started at once.
  const bool full = message.updates.size() > kUpdatesPerMessage;
  for (const MemberInfo& info : message.updates) {
    this->Merge(info, now, actions, !full);
  }
}

void GossipProtocol::Merge(const MemberInfo& info,
                           MonotonicTime now,
                           std::vector<GossipAction>& actions,
                           bool spread) {
  if (!this->table.Merge(info, now)) {
    return;
  }
  if (spread) {
    this->Spread(info.name);
  }
  const Member* member = this->table.Find(info.name);
  actions.push_back(MemberChanged{member->info, member->reachability});
}

void GossipProtocol::Reach(const EntryName& name,
                           Reachability reachability,
                           std::vector<GossipAction>& actions) {
  const Member* member = this->table.Find(name);
  if (member == nullptr || member->reachability == reachability) {
    return;
  }
  this->table.SetReachability(name, reachability);
  actions.push_back(MemberChanged{member->info, reachability});
}

void GossipProtocol::Spread(const EntryName& name) {
  std::erase_if(this->rumors,
                [&name](const Rumor& rumor) { return rumor.name == name; });
  this->rumors.push_front(Rumor{name, 0});
}

GossipMessage GossipProtocol::Message(const EntryName& receiver,
                                      const PeerReport& control) {
  GossipMessage message;
  message.sender = this->table.self();
  message.control = control;
  // A receiver that is suspected must learn of it to refute it.
  const Member* member = this->table.Find(receiver);
  if (member != nullptr && member->info.state != MemberState::kAlive) {
    message.updates.push_back(member->info);
  }
  const int repeats =
      3 * static_cast<int>(std::ceil(std::log2(
              static_cast<double>(this->table.members().size()) + 1.0)));
  std::stable_sort(
      this->rumors.begin(), this->rumors.end(),
      [](const Rumor& a, const Rumor& b) { return a.sent < b.sent; });
  for (Rumor& rumor : this->rumors) {
    if (message.updates.size() >= kUpdatesPerMessage) {
      break;
    }
    ++rumor.sent;
    const Member* subject = this->table.Find(rumor.name);
    if (subject != nullptr) {
      message.updates.push_back(subject->info);
    }
  }
  std::erase_if(this->rumors, [repeats](const Rumor& rumor) {
    return rumor.sent >= repeats;
  });
  // One member at random repairs what was lost.
  if (message.updates.size() < kUpdatesPerMessage) {
    auto any = this->table.members().begin();
    std::advance(any, static_cast<std::ptrdiff_t>(
                          this->random.Below(this->table.members().size())));
    message.updates.push_back(any->second.info);
  }
  return message;
}

std::vector<EntryName> GossipProtocol::LivePeers() const {
  std::vector<EntryName> peers = this->table.Live();
  std::erase(peers, this->table.self().name);
  return peers;
}

}  // namespace daisyroad
