#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/Fuzz/FuzzTarget.h"
#include "platform/StoreCodec.h"

using namespace auburnroute;
using namespace std::chrono_literals;

// Answers of the registry store must not crash the process or revert the
// configuration.
void unittests::runFuzzInput(std::string_view input) {
  common::ManualClock clock;
  ViewFixture host;
  std::uint64_t version = 0;
  bool list = true;
  for (const auto part : splitInput(input)) {
    clock.advance(100ms);
    fleet::RegistryCall call;
    call.Kind =
        list ? fleet::RegistryCallKind::List : fleet::RegistryCallKind::Watch;
    list = !list;
    const auto page = platform::StoreCodec::decode(call, part);
    if (page.ok()) {
      if (call.Kind == fleet::RegistryCallKind::List)
        host.View.applyEntries(*page, clock.now());
      else
        host.View.applyChanges(*page, clock.now(), clock.now());
    }
    require(host.View.configurationVersion() >= version);
    version = host.View.configurationVersion();
    host.View.discardExpired(clock.now());
  }
}
