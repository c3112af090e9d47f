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
// Lower-case hexadecimal SHA-256 of the text of a part.
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

// Value of `control/head`.
struct ControlHead {
  // A writer whose answer was lost finds its change among the latest ones even
  // after others have written; 32 cover some minutes at 3,300 changes a day in
  // bursts.
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
