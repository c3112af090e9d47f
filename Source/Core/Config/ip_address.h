#ifndef SOURCE_CORE_CONFIG_IP_ADDRESS_H_
#define SOURCE_CORE_CONFIG_IP_ADDRESS_H_

#include <string>

namespace daisyroad {

// Whether the text is "IP:PORT" with a port from 1 to 65535. Host names are
// rejected because the daemon does not resolve them.
bool IsIpEndpoint(const std::string& text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_IP_ADDRESS_H_
