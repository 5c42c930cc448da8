#include "UnitTests/platform/AllocationPeak.h"

#include <algorithm>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

// The tests run on one thread.
std::size_t allocatedBytes = 0;
std::size_t peakBytes = 0;

} // namespace

void *operator new(std::size_t size) {
  void *const memory = std::malloc(std::max<std::size_t>(size, 1));
  if (memory == nullptr)
    throw std::bad_alloc();
  allocatedBytes += malloc_usable_size(memory);
  peakBytes = std::max(peakBytes, allocatedBytes);
  return memory;
}

void operator delete(void *memory) noexcept {
  allocatedBytes -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept {
  operator delete(memory);
}

namespace auburnroute::unittests {

AllocationPeak::AllocationPeak() : Before(allocatedBytes) {
  peakBytes = allocatedBytes;
}

std::size_t AllocationPeak::bytes() const { return peakBytes - Before; }

} // namespace auburnroute::unittests
