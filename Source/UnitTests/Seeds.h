#pragma once

#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <sstream>
#include <vector>

namespace auburnroute::unittests {

/// Seeds of a randomised test: those of AUBURN_TEST_SEEDS, or \p usual.
inline std::vector<std::uint64_t> seeds(std::vector<std::uint64_t> usual) {
  const char *text = std::getenv("AUBURN_TEST_SEEDS");
  if (text == nullptr)
    return usual;
  std::istringstream in(text);
  return {std::istream_iterator<std::uint64_t>(in), {}};
}

} // namespace auburnroute::unittests
