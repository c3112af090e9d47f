#ifndef SOURCE_LOAD_EVENT_PLAYER_H_
#define SOURCE_LOAD_EVENT_PLAYER_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Transport/http_client.h"
#include "Load/played_event.h"

namespace daisyroad {

class EventLoop;

// Executes the faults and operator calls of a run at their scheduled times. An
// operator call that fails is retried through the next entry instance.
class EventPlayer {
 public:
  struct Options {
    std::vector<std::string> entries;  // host:port of the caller addresses
    std::string operator_secret;
    std::map<TeamName, std::string> key_ids;  // keys that callers use
    // Time after the first attempt at which retrying an operator call stops.
    Milliseconds give_up_after{20000};
  };

  EventPlayer(EventLoop* loop,
              Options options,
              const std::vector<ScriptedEvent>& events);

  void Start();
  bool finished() const { return this->unfinished == 0; }
  const std::vector<PlayedEvent>& events() const { return this->played; }

 private:
  void Play(std::size_t index);
  HttpClientRequest RequestFor(const PostFault& fault);
  HttpClientRequest RequestFor(const ChangeZone& change);
  HttpClientRequest RequestFor(const WithdrawTeamKey& withdrawal);
  HttpClientRequest OperatorRequest(const std::string& method,
                                    const std::string& path);
  void Send(std::size_t index, const HttpClientRequest& request);
  void OnReply(std::size_t index, const Result<HttpResponse>& reply);
  void End(std::size_t index, bool ok, const std::string& detail);

  EventLoop* loop;
  Options options;
  std::vector<PlayedEvent> played;
  std::size_t unfinished;
  std::size_t next_entry = 0;
  HttpClient http;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_EVENT_PLAYER_H_
