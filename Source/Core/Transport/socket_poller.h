#ifndef SOURCE_CORE_TRANSPORT_SOCKET_POLLER_H_
#define SOURCE_CORE_TRANSPORT_SOCKET_POLLER_H_

#include <optional>
#include <unordered_set>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Waits for events on sockets with epoll, so that the cost of a wait depends on
// the sockets with events and not on all that are watched. Only Wake() may be
// called from another thread.
class SocketPoller {
 public:
  struct Event {
    int socket = -1;
    bool is_readable = false;
    bool is_writable = false;
    bool is_failed = false;
  };

  // Throws std::system_error if the process has no descriptors left.
  SocketPoller();
  ~SocketPoller();
  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  // Without any interest, the socket is no longer watched.
  void SetInterest(int socket, bool is_reading, bool is_writing);
  // Returns when a socket has events, at `due` or after a call of Wake().
  std::vector<Event> Wait(std::optional<MonotonicTime> due);
  void Wake();

 private:
  int epoll;
  int wakeup;
  std::unordered_set<int> watched;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_SOCKET_POLLER_H_
