#include "Core/Config/ip_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace daisyroad {

bool IsIpEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port < 1 ||
      port > 65535) {
    return false;
  }
  const std::string host = text.substr(0, colon);
  if (std::find(host.begin(), host.end(), '\0') != host.end()) {
    return false;
  }
  in6_addr address{};
  if (host.front() == '[' && host.back() == ']') {
    const std::string inner = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, inner.c_str(), &address) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

}  // namespace daisyroad
