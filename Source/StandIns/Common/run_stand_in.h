#ifndef SOURCE_STANDINS_COMMON_RUN_STAND_IN_H_
#define SOURCE_STANDINS_COMMON_RUN_STAND_IN_H_

#include <cstdint>

#include "Core/Transport/http_message.h"

namespace daisyroad {

class EventLoop;

// Serves HTTP on 127.0.0.1 with `handler` on the loop's thread until SIGTERM or
// SIGINT. Returns the exit code of the program: 1 if the port is taken.
int RunStandIn(std::uint16_t port, EventLoop* loop, const HttpHandler& handler);

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_COMMON_RUN_STAND_IN_H_
