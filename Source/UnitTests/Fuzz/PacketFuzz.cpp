#include "UnitTests/Fuzz/FuzzTarget.h"
#include "UnitTests/Routing/RoutingFixture.h"
#include "platform/PacketCodec.h"

#include <span>

using namespace auburnroute;
using namespace std::chrono_literals;

// Packets of callers must not crash the process, grow memory without bound or
// be forwarded to a server that is not in the directory.
void unittests::runFuzzInput(std::string_view input) {
  RoutingFixture host;
  for (std::uint64_t identity = 1; identity <= 3; ++identity) {
    routing::ServerRegistration server;
    server.Name = "s" + std::to_string(identity);
    server.Identity = identity;
    server.Service = identity == 3 ? "sheets" : "orders";
    server.Zone = identity == 2 ? "b" : "a";
    server.Slots = 2;
    server.StartTimeMs = 1;
    server.Revision = identity;
    host.Directory.apply(server, host.Clock.now());
  }
  for (const auto part : splitInput(input)) {
    host.Clock.advance(70ms);
    const auto packet =
        platform::PacketCodec::decode(std::as_bytes(std::span(part)));
    if (packet) {
      const auto outcome = host.Router.onPacket(*packet, host.Clock.now());
      if (const auto *it = std::get_if<routing::ForwardPacket>(&outcome))
        require(host.Directory.at(it->Server).IsOccupied);
      platform::PacketCodec::makeReset(*packet);
    }
    host.Router.onTick(host.Clock.now());
  }
}
