#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "Core/Common/random.h"
#include "Core/Declaration/diff_declarations.h"
#include "Core/Declaration/parse_declaration.h"
#include "Core/Declaration/write_declaration.h"
#include "UnitTests/Declaration/sample_text.h"

namespace daisyroad {
namespace {

const std::string kTokens[] = {
    "[",           "]",   "{",  "}", "\"",  "'''", "=",    ".",
    "-",           "#",   "\n", "0", "nan", "1e9", "\xFF", "name = \"a\"\n",
    "[[teams]]\n", "true"};

// Makes one random edit: deletes a range, inserts a token, repeats a range or
// sets a byte.
void ApplyRandomEdit(Random& random, std::string& text) {
  const std::size_t at = random.Below(text.size() + 1);
  const std::size_t length = random.Below(20);
  switch (random.Below(4)) {
    case 0:
      text.erase(at, length);
      break;
    case 1:
      text.insert(at, kTokens[random.Below(std::size(kTokens))]);
      break;
    case 2:
      text.insert(at, text.substr(at, length));
      break;
    default:
      if (at < text.size()) {
        text[at] = static_cast<char>(random.Below(256));
      }
  }
}

// Whether every line of the error starts with the file name.
bool EveryLineNamesFile(const std::string& detail) {
  std::size_t start = 0;
  while (start < detail.size()) {
    if (detail.compare(start, 6, "d.toml") != 0) {
      return false;
    }
    start = std::min(detail.find('\n', start), detail.size() - 1) + 1;
  }
  return !detail.empty();
}

// Guards against crashes on malformed text, errors without a location, and
// accepted text that does not survive a round trip through the writer.
TEST_CASE("Random edits give an error with a place or a round trip") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    std::string text = kSampleText;
    const std::uint64_t edits = 1 + random.Below(4);
    for (std::uint64_t i = 0; i < edits; ++i) {
      ApplyRandomEdit(random, text);
    }
    const Result<Declaration> result = ParseDeclaration(text, "d.toml");
    if (!result.ok()) {
      RC_ASSERT(EveryLineNamesFile(result.error().detail));
      return;
    }
    const Result<Declaration> again =
        ParseDeclaration(WriteDeclaration(result.value()), "d.toml");
    RC_ASSERT(again.ok());
    RC_ASSERT(again.value() == result.value());
    RC_ASSERT(DiffDeclarations(result.value(), again.value()).empty());
  }));
}

}  // namespace
}  // namespace daisyroad
