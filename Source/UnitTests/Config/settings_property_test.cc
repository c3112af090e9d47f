#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "Core/Common/random.h"
#include "Core/Config/settings_loader.h"
#include "UnitTests/Config/sample_settings.h"

namespace daisyroad {
namespace {

// Guards against crashes on malformed settings and errors without a location.
TEST_CASE("Random edits of settings never crash the loader") {
  CHECK(rc::check([](std::uint64_t seed, const std::string& value) {
    Random random(seed);
    std::string text = kSampleSettings;
    const std::size_t at = random.Below(text.size());
    text.erase(at, random.Below(12));
    text.insert(at, value);
    const Result<Settings> result =
        LoadSettings(text, "e.toml", {{"seeds", value}, {"log.level", "info"}});
    if (!result.ok()) {
      const std::string& detail = result.error().detail;
      RC_ASSERT(detail.starts_with("e.toml") ||
                detail.starts_with("command line"));
    }
  }));
}

}  // namespace
}  // namespace daisyroad
