#ifndef SOURCE_LOAD_EVENT_PLAYER_H_
#define SOURCE_LOAD_EVENT_PLAYER_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Transport/http_client.h"
#include "Load/played_event.h"

namespace daisyroad {

class EventLoop;

// Plays the faults and operator calls of a run at their times. An operator call
// that is not accepted is repeated through the next entry instance until it is.
class EventPlayer {
 public:
  struct Options {
    std::vector<std::string> entries;  // host:port of the caller addresses
    std::string operator_secret;
    std::map<TeamName, std::string> key_ids;  // of the keys that callers use
    // Repetition of an operator call ends this long after its time.
    Milliseconds patience{20000};
  };

  EventPlayer(EventLoop* loop,
              Options options,
              const std::vector<ScriptedEvent>& events);

  void Start();
  bool finished() const { return this->open == 0; }
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
  std::size_t open;
  std::size_t next_entry = 0;
  HttpClient http;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_EVENT_PLAYER_H_
