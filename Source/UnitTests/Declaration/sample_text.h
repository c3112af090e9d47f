#ifndef SOURCE_UNITTESTS_DECLARATION_SAMPLE_TEXT_H_
#define SOURCE_UNITTESTS_DECLARATION_SAMPLE_TEXT_H_

#include <string>

namespace daisyroad {

// A small valid declaration. Expected line numbers in the tests refer to it.
inline const std::string kSampleText = R"(site = "izarra"
regions = ["hills"]
[[zones]]
name = "north"
region = "hills"
[[pools]]
name = "rigging"
workers = { north = 4 }
cores = 64
memory_gb = 128
slots = 8
connections = 64
[[services]]
name = "catalogue"
pool = "rigging"
max_down_fraction = 0.25
[[services]]
name = "rigging"
pool = "rigging"
depends_on = ["catalogue"]
max_down = 2
[[queues]]
name = "rigging-slots"
service = "rigging"
class = "urgent"
default_deadline = "3s"
[[teams]]
name = "schools"
share = 4
upper_limit = 20
queues = ["rigging-slots"]
[maintenance]
interval = "49d"
windows = [{ weekday = "tuesday", start = "21:00", end = "04:00" }]
)";

// Returns the sample with the first occurrence of `from` replaced.
inline std::string Edited(const std::string& from, const std::string& to) {
  std::string text = kSampleText;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_DECLARATION_SAMPLE_TEXT_H_
