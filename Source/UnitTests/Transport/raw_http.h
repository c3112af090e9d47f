#ifndef SOURCE_UNITTESTS_TRANSPORT_RAW_HTTP_H_
#define SOURCE_UNITTESTS_TRANSPORT_RAW_HTTP_H_

#include <string>

namespace daisyroad {

// HTTP/1.1 on blocking sockets, for peers that break off connections.

// Reads one request or response with its body, whose length must be given in
// Content-Length. Empty if the connection ends before.
std::string ReadHttpMessage(int socket);
void WriteAll(int socket, const std::string& data);
// Closes the socket with a reset.
void ResetConnection(int socket);

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_TRANSPORT_RAW_HTTP_H_
