#pragma once

#include <cstddef>

namespace auburnroute::unittests {

/// The largest number of bytes that were allocated with operator new at the
/// same time since the object was created, beyond those that were allocated
/// then.
class AllocationPeak {
public:
  AllocationPeak();
  std::size_t bytes() const;

private:
  std::size_t Before;
};

} // namespace auburnroute::unittests
