#ifndef SOURCE_CORE_TRANSPORT_SOCKET_POLLER_H_
#define SOURCE_CORE_TRANSPORT_SOCKET_POLLER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
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

  // Without any interest, the socket has no events.
  void SetInterest(int socket, bool is_reading, bool is_writing);
  // Must be called when the socket is closed.
  void Forget(int socket) { this->watches.erase(socket); }
  // Returns when a socket has events, at `due` or after a call of Wake().
  std::vector<Event> Wait(std::optional<MonotonicTime> due);
  void Wake();

 private:
  struct Watch {
    // Events registered with epoll. They stay registered when the interest
    // ends, since a kept connection soon has the same one again.
    std::uint32_t registered = 0;
    bool is_wanted = false;
  };

  int epoll;
  int wakeup;
  std::unordered_map<int, Watch> watches;  // by socket
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_SOCKET_POLLER_H_
