#include "Core/Membership/gossip_protocol.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisyroad {
namespace {

// The address of a removed member, or one from the settings or the instance
// list, is contacted once in this many intervals on average, so that both sides
// of a healed network partition find each other again.
constexpr std::uint64_t kContactPeriod = 4;

}  // namespace

GossipProtocol::GossipProtocol(MemberInfo self,
                               std::vector<std::string> addresses,
                               std::uint64_t random_seed)
    : table(std::move(self)),
      seeds(std::move(addresses)),
      random(random_seed) {}

void GossipProtocol::SetListedAddresses(std::vector<std::string> addresses) {
  this->listed_addresses = std::move(addresses);
}

std::vector<GossipAction> GossipProtocol::OnTick(const PeerReport& control,
                                                 MonotonicTime now) {
  std::vector<GossipAction> actions;
  // After a pause of this instance, missing replies are no evidence against the
  // peers.
  if (now - this->last_tick > kProbeAfter) {
    this->exchanges.clear();
  }
  this->last_tick = now;
  this->CheckExchanges(now, actions);
  for (const MemberInfo& info : this->table.Expire(now)) {
    this->QueueUpdate(info.name);
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
    const std::string address = this->PickContactAddress();
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
  GossipMessage message = this->BuildMessage(peer, control);
  message.wants_all = this->table.Live().size() == 1;
  if (!message.wants_all && this->full_list_requests < kFullListRequests) {
    ++this->full_list_requests;
    message.wants_all = true;
  }
  actions.push_back(SendGossip{exchange, address, std::move(message)});
}

std::string GossipProtocol::PickContactAddress() {
  std::vector<std::string> addresses = this->seeds;
  addresses.insert(addresses.end(), this->listed_addresses.begin(),
                   this->listed_addresses.end());
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
        this->UpdateReachability(suspect.name, Reachability::kNone, actions);
        this->Merge(suspect, now, actions);
      }
      entry = this->exchanges.erase(entry);
      continue;
    }
    if (age >= kProbeAfter && !exchange.probed && member != nullptr) {
      exchange.probed = true;
      this->SendProbes(entry->first, exchange.peer, actions);
    }
    ++entry;
  }
}

void GossipProtocol::SendProbes(std::uint64_t exchange,
                                const EntryName& peer,
                                std::vector<GossipAction>& actions) {
  std::vector<EntryName> helpers = this->LivePeers();
  std::erase(helpers, peer);
  for (std::size_t i = 0; i < kProbeHelpers && !helpers.empty(); ++i) {
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
    this->UpdateReachability(found->second.peer, Reachability::kIndirect,
                             actions);
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
  GossipMessage reply = this->BuildMessage(request.sender.name, control);
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
    this->UpdateReachability(reply.sender.name, Reachability::kDirect, actions);
  }
  return actions;
}

void GossipProtocol::MergeMessage(const GossipMessage& message,
                                  MonotonicTime now,
                                  std::vector<GossipAction>& actions) {
  this->Merge(message.sender, now, actions);
  // Other members already know the entries of a full list. Forwarding them
  // would fill every message for a minute after 200 instances have started at
  // once.
  const bool is_full_list = message.updates.size() > kUpdatesPerMessage;
  for (const MemberInfo& info : message.updates) {
    this->Merge(info, now, actions, !is_full_list);
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
    this->QueueUpdate(info.name);
  }
  const Member* member = this->table.Find(info.name);
  actions.push_back(MemberChanged{member->info, member->reachability});
}

void GossipProtocol::UpdateReachability(const EntryName& name,
                                        Reachability reachability,
                                        std::vector<GossipAction>& actions) {
  const Member* member = this->table.Find(name);
  if (member == nullptr || member->reachability == reachability) {
    return;
  }
  this->table.SetReachability(name, reachability);
  actions.push_back(MemberChanged{member->info, reachability});
}

void GossipProtocol::QueueUpdate(const EntryName& name) {
  std::erase_if(this->pending_updates,
                [&name](const PendingUpdate& pending_update) {
                  return pending_update.name == name;
                });
  this->pending_updates.push_front(PendingUpdate{name, 0});
}

GossipMessage GossipProtocol::BuildMessage(const EntryName& receiver,
                                           const PeerReport& control) {
  GossipMessage message;
  message.sender = this->table.self();
  message.control = control;
  // A receiver that is suspected must be told, so that it can refute the
  // suspicion.
  const Member* member = this->table.Find(receiver);
  if (member != nullptr && member->info.state != MemberState::kAlive) {
    message.updates.push_back(member->info);
  }
  const int repeats =
      3 * static_cast<int>(std::ceil(std::log2(
              static_cast<double>(this->table.members().size()) + 1.0)));
  std::stable_sort(this->pending_updates.begin(), this->pending_updates.end(),
                   [](const PendingUpdate& left, const PendingUpdate& right) {
                     return left.sent < right.sent;
                   });
  for (PendingUpdate& pending_update : this->pending_updates) {
    if (message.updates.size() >= kUpdatesPerMessage) {
      break;
    }
    ++pending_update.sent;
    const Member* subject = this->table.Find(pending_update.name);
    if (subject != nullptr) {
      message.updates.push_back(subject->info);
    }
  }
  std::erase_if(this->pending_updates,
                [repeats](const PendingUpdate& pending_update) {
                  return pending_update.sent >= repeats;
                });
  // A random member is included to repair lost updates.
  if (message.updates.size() < kUpdatesPerMessage) {
    auto random_member = this->table.members().begin();
    std::advance(random_member, static_cast<std::ptrdiff_t>(this->random.Below(
                                    this->table.members().size())));
    message.updates.push_back(random_member->second.info);
  }
  return message;
}

std::vector<EntryName> GossipProtocol::LivePeers() const {
  std::vector<EntryName> peers = this->table.Live();
  std::erase(peers, this->table.self().name);
  return peers;
}

}  // namespace daisyroad
