#ifndef SOURCE_UNITTESTS_CONFIG_SAMPLE_SETTINGS_H_
#define SOURCE_UNITTESTS_CONFIG_SAMPLE_SETTINGS_H_

#include <string>

namespace daisyroad {

// Valid settings. Expected line numbers in the tests refer to them.
inline const std::string kSampleSettings = R"([instance]
name = "entry-1"
zone = "north"
region = "hills"
[listen]
callers = "127.0.0.1:18101"
peers = "127.0.0.1:18201"
[store]
addresses = ["127.0.0.1:18000"]
request_timeout = "500ms"
[instance_list]
address = "127.0.0.1:18001"
[[seeds]]
address = "127.0.0.1:18202"
zone = "east"
)";

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CONFIG_SAMPLE_SETTINGS_H_
