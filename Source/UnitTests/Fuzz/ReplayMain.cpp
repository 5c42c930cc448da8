#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size);

/// Runs each input in the given directories once, without a fuzzer.
int main(int argc, char **argv) {
  std::size_t count = 0;
  for (int i = 1; i < argc; ++i)
    for (const auto &it : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream file(it.path(), std::ios::binary);
      const std::string input{std::istreambuf_iterator<char>(file), {}};
      LLVMFuzzerTestOneInput(
          reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
      ++count;
    }
  std::cout << count << " inputs\n";
  return count == 0 ? 1 : 0;
}
