#include "UnitTests/Fuzz/FuzzTarget.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace auburnroute::unittests {

void require(bool holds) {
  if (!holds)
    std::abort();
}

std::vector<std::string_view> splitInput(std::string_view input) {
  constexpr std::string_view Separator = "\n--\n";
  std::vector<std::string_view> parts;
  for (;;) {
    const auto end = input.find(Separator);
    parts.push_back(input.substr(0, end));
    if (end == std::string_view::npos)
      return parts;
    input.remove_prefix(end + Separator.size());
  }
}

} // namespace auburnroute::unittests

// Entry point of libFuzzer, which requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  auburnroute::unittests::runFuzzInput(
      {reinterpret_cast<const char *>(data), size});
  return 0;
}
