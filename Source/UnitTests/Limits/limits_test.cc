#include <catch2/catch.hpp>

namespace daisyroad {
namespace {
}  // namespace
}  // namespace daisyroad
