#pragma once

#include <string_view>
#include <vector>

namespace auburnroute::unittests {

/// One input of a fuzz target; each target defines it. A fault ends the
/// process.
void runFuzzInput(std::string_view input);

/// Ends the process if \p holds is false.
void require(bool holds);

/// The parts of \p input, which are separated by "\n--\n".
std::vector<std::string_view> splitInput(std::string_view input);

} // namespace auburnroute::unittests
