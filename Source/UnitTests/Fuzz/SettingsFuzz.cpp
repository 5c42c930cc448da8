#include "State/EdgeSettings.h"
#include "UnitTests/Fuzz/FuzzTarget.h"

using namespace auburnroute;

// Guards against settings files that end the process instead of being refused.
void unittests::runFuzzInput(std::string_view input) {
  const auto settings = state::loadEdgeSettings(input, "fuzz.json");
  require(settings.ok() || !settings.status().message().empty());
}
