#pragma once

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::state {

/// Content of a file of the source tree.
inline std::string readSource(const std::string &path) {
  std::ifstream in(std::string(AUBURN_SOURCE_DIR "/") + path);
  if (!in)
    throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// Seeds of the randomised tests.
inline std::vector<std::uint64_t> testSeeds() {
  const auto *text = std::getenv("AUBURN_TEST_SEEDS");
  std::istringstream in(text == nullptr ? "1 2 3" : text);
  return {std::istream_iterator<std::uint64_t>(in), {}};
}

/// \p text with the only occurrence of \p from replaced by \p to.
inline std::string replaceOnce(std::string text, std::string_view from,
                               std::string_view to) {
  const auto at = text.find(from);
  if (at == std::string::npos || text.find(from, at + 1) != std::string::npos)
    throw std::runtime_error("not exactly once: " + std::string(from));
  return text.replace(at, from.size(), to);
}

/// Whether each line of \p message has the form
/// "FILE:LINE: PATH: WHAT, expected EXPECTED".
inline bool hasErrorFormat(const std::string &message) {
  static const std::regex form("f:[1-9][0-9]*: [!-~]+: [ -~]+, expected "
                               "[ -~]+");
  std::istringstream in(message);
  std::string line;
  std::size_t n = 0;
  for (; std::getline(in, line); ++n)
    if (!std::regex_match(line, form))
      return false;
  return n > 0;
}

/// A document with two services; its lines are referred to by the tests.
inline constexpr std::string_view SampleSettings = R"({
  "revision": 7, "flowSeed": 11, "region": "r",
  // Line 3.
  "defaults": { "queueLimit": 10,
                "queueTimeout": "700ms" },
  "zones": { "z1": { "slowStart": "5s", "queueLimit": 20 }, "z2": {} },
  "owners": { "o1": { "queueTimeout": "600ms", "queueLimit": 30 },
              "o2": {} },
  "services": {
    "a": {
      "owner": "o1",
      "queueLimit": 40,
      "listeners": [
        { "address": "198.51.100.1:80", "kind": "feed", "backendPort": 91 },
        { "address": "198.51.100.1:81", "kind": "request",
          "backendPort": 92 }
      ],
      "backendServers": [
        { "name": "a1", "number": 1, "zone": "z1", "address": "192.0.2.1",
          "tunnel": "127.0.0.1:1001",
          "loadReport": "127.0.0.1:2001",
          "slots": 2, "connections": 20, "weight": 3, "state": "active" },
        { "name": "a2", "number": 2, "zone": "z2", "address": "192.0.2.2",
          "tunnel": "127.0.0.1:1002", "loadReport": "127.0.0.1:2002" }
      ]
    },
    "b": {
      "owner": "o2",
      "listeners": [ { "address": "198.51.100.2:80", "backendPort": 93 } ],
      "backendServers": [
        { "name": "b1", "number": 1, "zone": "z1", "address": "192.0.2.3",
          "tunnel": "127.0.0.1:1003", "loadReport": "127.0.0.1:2003",
          "state": "draining" }
      ]
    }
  }
}
)";

} // namespace auburnroute::state
