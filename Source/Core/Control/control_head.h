#ifndef SOURCE_CORE_CONTROL_CONTROL_HEAD_H_
#define SOURCE_CORE_CONTROL_CONTROL_HEAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/strong_string.h"

namespace daisyroad {

using ChangeId = StrongString<struct ChangeIdTag>;
// SHA-256 of the text of a part, in lower-case hexadecimal.
using PartDigest = StrongString<struct PartDigestTag>;

enum class ControlPart { kDeclaration, kKeys, kZonesOut, kRoster };
inline constexpr ControlPart kControlParts[] = {
    ControlPart::kDeclaration, ControlPart::kKeys, ControlPart::kZonesOut,
    ControlPart::kRoster};
const char* ControlPartName(ControlPart part);

inline constexpr char kControlHeadKey[] = "control/head";
std::string ControlPartKey(const PartDigest& digest);
std::string ControlHistoryKey(std::uint64_t version);

struct RecordedChange {
  std::uint64_t version = 0;
  ChangeId id;

  friend bool operator==(const RecordedChange&,
                         const RecordedChange&) = default;
};

// Value of the store key `control/head`: the version of the configuration and
// the digests of its parts.
struct ControlHead {
  // Number of recent changes kept, so that a writer whose answer was lost can
  // find its change even after others have been written. 32 cover some minutes
  // of a burst at 3,300 changes per day.
  static constexpr std::size_t kRecentChanges = 32;

  std::uint64_t version = 0;
  std::uint64_t roster_epoch = 0;
  std::map<ControlPart, PartDigest> parts;
  std::vector<RecordedChange> recent;  // oldest first

  std::string ToJson() const;
  static Result<ControlHead> FromJson(const std::string& text);

  friend bool operator==(const ControlHead&, const ControlHead&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_CONTROL_HEAD_H_
