#include "Load/event_player.h"

#include <csignal>
#include <utility>

#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kRetryInterval{200};
// Longer than the 10 s for which an entry instance tries to apply a change.
constexpr Milliseconds kOperatorTimeout{12000};

bool IsFaultInjection(const ScriptedEvent& event) {
  return std::holds_alternative<PostFault>(event.action);
}

}  // namespace

EventPlayer::EventPlayer(EventLoop* loop,
                         Options options,
                         const std::vector<ScriptedEvent>& events)
    : loop(loop),
      options(std::move(options)),
      unfinished(events.size()),
      http([loop](std::function<void()> function) {
        loop->Post(std::move(function));
      }) {
  for (const ScriptedEvent& event : events) {
    PlayedEvent item;
    item.event = event;
    this->played.push_back(std::move(item));
  }
}

void EventPlayer::Start() {
  for (std::size_t i = 0; i < this->played.size(); ++i) {
    this->loop->After(this->played[i].event.at, [this, i]() {
      this->played[i].sent = std::chrono::system_clock::now();
      this->Play(i);
    });
  }
}

void EventPlayer::Play(std::size_t index) {
  const ScriptedEvent& event = this->played[index].event;
  if (const SendSignal* signal = std::get_if<SendSignal>(&event.action)) {
    const bool sent = ::kill(signal->process, signal->signal) == 0;
    this->End(index, sent, sent ? "" : "no such process");
  } else if (const PostFault* fault = std::get_if<PostFault>(&event.action)) {
    this->Send(index, this->RequestFor(*fault));
  } else if (const ChangeZone* zone = std::get_if<ChangeZone>(&event.action)) {
    this->Send(index, this->RequestFor(*zone));
  } else {
    this->Send(index,
               this->RequestFor(std::get<WithdrawTeamKey>(event.action)));
  }
}

HttpClientRequest EventPlayer::RequestFor(const PostFault& fault) {
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + fault.address + fault.path;
  request.body = fault.body;
  return request;
}

HttpClientRequest EventPlayer::RequestFor(const ChangeZone& change) {
  return this->OperatorRequest(
      "POST", "zones/" + change.zone.str() + (change.is_out ? "/out" : "/in"));
}

HttpClientRequest EventPlayer::RequestFor(const WithdrawTeamKey& withdrawal) {
  return this->OperatorRequest(
      "DELETE", "keys/" + this->options.key_ids[withdrawal.team]);
}

HttpClientRequest EventPlayer::OperatorRequest(const std::string& method,
                                               const std::string& path) {
  const std::size_t entry = this->next_entry++ % this->options.entries.size();
  HttpClientRequest request;
  request.method = method;
  request.url = "http://" + this->options.entries[entry] + "/v1/ops/" + path;
  request.headers["Authorization"] = "Bearer " + this->options.operator_secret;
  request.timeout = kOperatorTimeout;
  return request;
}

void EventPlayer::Send(std::size_t index, const HttpClientRequest& request) {
  this->http.Send(request, [this, index](const Result<HttpResponse>& reply) {
    this->OnReply(index, reply);
  });
}

void EventPlayer::OnReply(std::size_t index,
                          const Result<HttpResponse>& reply) {
  const std::string detail =
      reply.ok() ? reply.value().body : reply.error().ToString();
  if (reply.ok() && reply.value().status / 100 == 2) {
    this->End(index, true, detail);
    return;
  }
  const PlayedEvent& item = this->played[index];
  const Duration age = std::chrono::system_clock::now() - item.sent;
  if (IsFaultInjection(item.event) || age > this->options.give_up_after) {
    this->End(index, false, detail);
    return;
  }
  this->loop->After(kRetryInterval, [this, index]() { this->Play(index); });
}

void EventPlayer::End(std::size_t index, bool ok, const std::string& detail) {
  PlayedEvent& item = this->played[index];
  item.ok = ok;
  item.detail = detail;
  item.answered = std::chrono::system_clock::now();
  --this->unfinished;
}

}  // namespace daisyroad
