#include "UnitTests/Fuzz/FuzzTarget.h"
#include "UnitTests/Routing/RoutingFixture.h"
#include "platform/PacketCodec.h"

#include <span>

using namespace auburnroute;
using namespace std::chrono_literals;

// Guards against packets of callers that end the process, fill its memory or
// are forwarded to a server that the directory does not hold.
void unittests::runFuzzInput(std::string_view input) {
  RoutingFixture host;
  for (std::uint64_t identity = 1; identity <= 3; ++identity) {
    routing::ServerRegistration server;
    server.Name = "s" + std::to_string(identity);
    server.Identity = identity;
    server.Service = identity == 3 ? "sheets" : "orders";
    server.Zone = identity == 2 ? "b" : "a";
    server.Slots = 2;
    server.Lifetime = 1;
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
        require(host.Directory.at(it->Server).Used);
      platform::PacketCodec::makeReset(*packet);
    }
    host.Router.onTick(host.Clock.now());
  }
}
