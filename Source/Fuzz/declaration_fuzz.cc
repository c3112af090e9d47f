#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Core/Config/settings_loader.h"
#include "Core/Declaration/diff_declarations.h"
#include "Core/Declaration/parse_declaration.h"
#include "Core/Declaration/write_declaration.h"

// Checks that any input either is rejected or parses to a declaration that is
// unchanged after it is written and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (daisyroad::LoadSettings(text, "fuzz", {}).ok()) {
    return 0;
  }
  const daisyroad::Result<daisyroad::Declaration> first =
      daisyroad::ParseDeclaration(text, "fuzz");
  if (!first.ok()) {
    return 0;
  }
  const daisyroad::Result<daisyroad::Declaration> second =
      daisyroad::ParseDeclaration(daisyroad::WriteDeclaration(first.value()),
                                  "fuzz");
  if (!second.ok() || !(second.value() == first.value())) {
    std::abort();
  }
  return 0;
}
