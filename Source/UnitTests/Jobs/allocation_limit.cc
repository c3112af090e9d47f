// Replaces the allocation functions of the program to count what it holds.

#include "UnitTests/Jobs/allocation_limit.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <limits>
#include <new>

namespace daisyroad {
namespace {

constexpr std::ptrdiff_t kNoLimit = std::numeric_limits<std::ptrdiff_t>::max();

std::atomic<std::ptrdiff_t> held{0};
std::atomic<std::ptrdiff_t> most_held{kNoLimit};

}  // namespace

AllocationLimit::AllocationLimit(std::size_t bytes) : before(held.load()) {
  most_held = this->before + static_cast<std::ptrdiff_t>(bytes);
}

AllocationLimit::~AllocationLimit() {
  most_held = kNoLimit;
}

std::ptrdiff_t AllocationLimit::Held() const {
  return held.load() - this->before;
}

}  // namespace daisyroad

void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  void* const memory =
      daisyroad::held.load() + static_cast<std::ptrdiff_t>(size) <=
              daisyroad::most_held.load()
          ? std::malloc(size)
          : nullptr;
  if (memory != nullptr) {
    daisyroad::held += static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
  }
  return memory;
}

void* operator new(std::size_t size) {
  void* const memory = operator new(size, std::nothrow);
  if (memory == nullptr) {
    // The test still reports the failure.
    daisyroad::most_held = daisyroad::kNoLimit;
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* memory) noexcept {
  daisyroad::held -= static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  operator delete(memory);
}
