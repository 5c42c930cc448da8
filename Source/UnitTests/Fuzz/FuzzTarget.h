#pragma once

#include <string_view>
#include <vector>

namespace auburnroute::unittests {

/// Runs one input; defined by each fuzz target. Aborts the process on a
/// violated requirement.
void runFuzzInput(std::string_view input);

/// Aborts the process if \p holds is false, which the fuzzer reports as a
/// crash.
void require(bool holds);

/// The parts of \p input, which are separated by "\n--\n".
std::vector<std::string_view> splitInput(std::string_view input);

} // namespace auburnroute::unittests
