#include "State/EdgeSettings.h"
#include "UnitTests/Fuzz/FuzzTarget.h"

using namespace auburnroute;

// Invalid settings files must be rejected with a message instead of crashing
// the process.
void unittests::runFuzzInput(std::string_view input) {
  const auto settings = state::loadEdgeSettings(input, "fuzz.json");
  require(settings.ok() || !settings.status().message().empty());
}
