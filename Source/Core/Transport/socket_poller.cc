#include "Core/Transport/socket_poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <system_error>

namespace daisyroad {
namespace {

constexpr int kMaxEventsPerWait = 256;
constexpr Milliseconds kMaxWait{1000};

int CheckDescriptor(int descriptor) {
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "socket poller");
  }
  return descriptor;
}

epoll_event MakeEvent(int descriptor, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  return event;
}

}  // namespace

SocketPoller::SocketPoller()
    : epoll(CheckDescriptor(epoll_create1(EPOLL_CLOEXEC))),
      wakeup(CheckDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))) {
  epoll_event event = MakeEvent(this->wakeup, EPOLLIN);
  CheckDescriptor(epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wakeup, &event));
}

SocketPoller::~SocketPoller() {
  close(this->wakeup);
  close(this->epoll);
}

void SocketPoller::SetInterest(int socket, bool is_reading, bool is_writing) {
  const std::uint32_t wanted =
      (is_reading ? EPOLLIN : 0U) | (is_writing ? EPOLLOUT : 0U);
  Watch& watch = this->watches[socket];
  watch.is_wanted = wanted != 0;
  if (wanted == 0 || watch.registered == wanted) {
    return;
  }
  epoll_event event = MakeEvent(socket, wanted);
  epoll_ctl(this->epoll, watch.registered == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
            socket, &event);
  watch.registered = wanted;
}

std::vector<SocketPoller::Event> SocketPoller::Wait(
    std::optional<MonotonicTime> due) {
  Milliseconds wait = kMaxWait;
  if (due) {
    wait = std::clamp(std::chrono::ceil<Milliseconds>(
                          *due - std::chrono::steady_clock::now()),
                      Milliseconds(0), kMaxWait);
  }
  epoll_event received[kMaxEventsPerWait];
  const int count = epoll_wait(this->epoll, received, kMaxEventsPerWait,
                               static_cast<int>(wait.count()));
  std::vector<Event> events;
  for (int i = 0; i < count; ++i) {
    if (received[i].data.fd == this->wakeup) {
      std::uint64_t wakeups = 0;
      static_cast<void>(read(this->wakeup, &wakeups, sizeof(wakeups)));
      continue;
    }
    Event event;
    event.socket = received[i].data.fd;
    const std::unordered_map<int, Watch>::iterator watch =
        this->watches.find(event.socket);
    if (watch == this->watches.end() || !watch->second.is_wanted) {
      // For example, the peer closed an idle connection.
      epoll_ctl(this->epoll, EPOLL_CTL_DEL, event.socket, nullptr);
      this->Forget(event.socket);
      continue;
    }
    event.is_readable = (received[i].events & (EPOLLIN | EPOLLHUP)) != 0;
    event.is_writable = (received[i].events & EPOLLOUT) != 0;
    event.is_failed = (received[i].events & EPOLLERR) != 0;
    events.push_back(event);
  }
  return events;
}

void SocketPoller::Wake() {
  const std::uint64_t one = 1;
  static_cast<void>(write(this->wakeup, &one, sizeof(one)));
}

}  // namespace daisyroad
