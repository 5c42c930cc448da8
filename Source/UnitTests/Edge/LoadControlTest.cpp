#include "Edge/LoadControl.h"
#include "Common/ManualClock.h"
#include "UnitTests/Edge/CapturedOutput.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;

namespace {

class ZoneLoads final : public routing::SharedLoad {
public:
  routing::RemoteLoad elsewhere(routing::ServerId,
                                common::TimePoint) const override {
    return {};
  }
  std::optional<routing::ZoneLoad> zoneLoad(routing::NameTable::Id,
                                            routing::NameTable::Id zone,
                                            common::TimePoint) const override {
    return routing::ZoneLoad{zone == 0 ? Own : Other, 2, 20};
  }
  double Own = 0;
  double Other = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadControlTest)

// Guards against episodes that are not logged, or logged with each change, and
// against fields and metrics that operators cannot look up.
BOOST_AUTO_TEST_CASE(EpisodesAreLoggedOnce) {
  common::ManualClock clock;
  routing::ServerDirectory directory{65s};
  routing::ServerHealthTracker health;
  for (const std::string zone : {"a", "b"}) {
    routing::ServerRegistration server;
    server.Name = server.Zone = zone;
    server.Identity = static_cast<unsigned char>(zone[0]);
    server.Service = "orders";
    server.Slots = 2;
    server.Revision = 1;
    directory.apply(server, clock.now());
  }
  const auto service = directory.serviceNames().idOf("orders");
  routing::Route route;
  route.Objective = 200ms;
  route.Priority = 1;
  ZoneLoads load;
  edge::EdgeMetrics metrics;
  std::vector<nlohmann::json> lines;
  {
    unittests::CapturedOutput output;
    edge::EventLog log(clock);
    edge::LoadControl control(directory, health, nullptr, 0, load, 5ms, 1, log,
                              metrics);
    const auto run = [&](int seconds) {
      for (int i = 0; i < seconds * 100; ++i) {
        clock.advance(10ms);
        if (control.admission().admits({{1, 1}, {2, 2}}, route, service,
                                       clock.now()))
          control.zones().zoneFor(service, clock.now());
        if (i % 25 == 0)
          control.poll(clock.now());
      }
    };
    run(5);
    load.Own = 4;
    load.Other = 1;
    run(10);
    load.Other = 12;
    run(20);
    load.Own = load.Other = 0;
    run(10);
    log.flush();
    std::istringstream text(output.read());
    for (std::string line; std::getline(text, line);)
      lines.push_back(nlohmann::json::parse(line));
  }
  std::string events;
  std::ifstream in(AUBURN_SOURCE_DIR "/docs/OPERATIONS.md");
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  for (const auto &line : lines) {
    events += line["event"].get<std::string>() + " " +
              line["phase"].get<std::string>() + " ";
    for (const auto &[name, value] : line.items())
      BOOST_TEST(page.find("`" + name + "`") != std::string::npos, name);
  }
  BOOST_TEST(events == "zone_share begin overload begin zone_share end "
                       "overload end ");
  BOOST_TEST(metrics.value(edge::EdgeCounter::FlowsSentToOtherZones) > 0U);
  BOOST_TEST(metrics.value(edge::EdgeCounter::OverloadRefusals1) > 0U);
  BOOST_TEST(metrics.value(edge::EdgeCounter::OverloadRefusals0) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
