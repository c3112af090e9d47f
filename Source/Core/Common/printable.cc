#include "Core/Common/printable.h"

namespace daisyroad {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";
constexpr std::string_view kCut = "...";
constexpr std::size_t kEscapeSize = 4;  // of \xNN

}  // namespace

std::string Printable(std::string_view text) {
  std::string printable;
  for (const char c : text) {
    if (printable.size() + kEscapeSize + kCut.size() > kMaxPrintableBytes) {
      printable += kCut;
      break;
    }
    if (c >= ' ' && c <= '~') {
      printable.push_back(c);
      continue;
    }
    const unsigned char byte = static_cast<unsigned char>(c);
    printable += "\\x";
    printable.push_back(kHexDigits[byte >> 4]);
    printable.push_back(kHexDigits[byte & 15]);
  }
  return printable;
}

}  // namespace daisyroad
