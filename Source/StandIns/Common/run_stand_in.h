#ifndef SOURCE_STANDINS_COMMON_RUN_STAND_IN_H_
#define SOURCE_STANDINS_COMMON_RUN_STAND_IN_H_

#include <cstdint>

#include "Core/Transport/http_message.h"

namespace daisyroad {

class EventLoop;

// Serves HTTP on 127.0.0.1 until SIGTERM or SIGINT and calls `handler` on the
// thread of the event loop. Returns the exit code of the program, which is 1 if
// the server cannot start, for example because the port is in use.
int RunStandIn(std::uint16_t port, EventLoop* loop, const HttpHandler& handler);

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_COMMON_RUN_STAND_IN_H_
