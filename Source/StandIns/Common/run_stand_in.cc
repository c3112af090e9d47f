#include "StandIns/Common/run_stand_in.h"

#include <csignal>
#include <iostream>

#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_server.h"

namespace daisyroad {

int RunStandIn(std::uint16_t port,
               EventLoop* loop,
               const HttpHandler& handler) {
  HttpServer server;
  HttpServerOptions options;
  options.port = port;
  const Status started =
      server.Start(options, [loop, handler](const HttpRequest& request,
                                            const HttpResponder& respond) {
        loop->Post(
            [handler, request, respond]() { handler(request, respond); });
      });
  if (!started.ok()) {
    std::cerr << started.error().ToString() << "\n";
    return 1;
  }
  loop->OnSignals({SIGTERM, SIGINT}, [loop](int) { loop->Stop(); });
  loop->Run();
  server.Stop();
  return 0;
}

}  // namespace daisyroad
