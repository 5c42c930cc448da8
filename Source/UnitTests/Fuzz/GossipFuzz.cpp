#include "Common/ManualClock.h"
#include "Fleet/CauseHistory.h"
#include "Fleet/GossipCodec.h"
#include "Fleet/SharedFailureDetector.h"
#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/Fuzz/FuzzTarget.h"

using namespace auburnroute;
using namespace std::chrono_literals;

namespace {

class IgnoringVerdictObserver final : public fleet::VerdictObserver {
public:
  void onVerdict(const fleet::VerdictEvent &) override {}
  void onVerdictEnd(const fleet::VerdictEnd &) override {}
  void onRejected(fleet::EvidenceRejection, std::uint64_t,
                  std::uint32_t) override {}
};

} // namespace

// Messages of other hosts must not crash the process, revert the configuration
// or grow memory without bound.
void unittests::runFuzzInput(std::string_view input) {
  common::ManualClock clock;
  ViewFixture host;
  fleet::PeerTable peers({0x0a000001, "a", 1}, 1);
  fleet::CauseHistory history("a-1", "10.0.0.1", clock);
  IgnoringVerdictObserver observer;
  routing::ServerHealthTracker health;
  fleet::SharedFailureDetector detector(peers, host.Directory, health,
                                        observer);
  std::uint64_t version = 0;
  for (const auto part : splitInput(input)) {
    clock.advance(100ms);
    if (const auto message = fleet::GossipCodec::decode(part)) {
      peers.applyDirectUpdate(message->Sender, clock.now());
      for (const auto &it : message->Hosts)
        peers.applyRelayedUpdate(it, clock.now());
      host.View.applyPeerChanges(message->Changes, message->ViewAge,
                                 clock.now());
      history.merge(message->Causes);
      detector.onMessage(*message, clock.now());
    }
    detector.poll(clock.now());
    require(detector.caseCount() <= fleet::VerdictLimits().MaxServers);
    for (const auto &it : detector.takeOutgoing())
      require(fleet::GossipCodec::decode(fleet::GossipCodec::encode(it.Message))
                  .has_value());
    for (const auto id : detector.takeDead())
      require(host.Directory.at(id).IsOccupied);
    if (const auto snapshot = fleet::GossipCodec::decodeSnapshot(part))
      host.View.applySnapshot(snapshot->View, snapshot->Age, clock.now());
    if (const auto causes = fleet::GossipCodec::decodeCauses(part))
      history.merge(*causes);
    require(host.View.configurationVersion() >= version);
    version = host.View.configurationVersion();
    host.View.discardExpired(clock.now());
    history.expire();
    // Applied content is passed on and must be decodable by the receiver.
    fleet::GossipMessage out;
    out.Sender = peers.self();
    out.Changes = host.View.recentChanges(fleet::GossipCodec::MaxChanges);
    out.Causes = history.takeBatch();
    require(fleet::GossipCodec::decode(fleet::GossipCodec::encode(out))
                .has_value());
    require(fleet::GossipCodec::decodeSnapshot(
                fleet::GossipCodec::encode(
                    fleet::AgedSnapshot{host.View.snapshotSince(0, 0), 0ms}))
                .has_value());
    require(!history.causes(1h).empty());
  }
}
