#include "Emulator/EmulatedHost.h"

#include "Emulator/CandidatePlacement.h"

namespace auburnroute::emulator {

namespace {

/// How long hosts remember removed servers: longer than flows of a run need
/// them.
constexpr std::chrono::seconds Retention{65};

routing::HealthLimits healthLimits(const Candidate &candidate) {
  routing::HealthLimits limits;
  limits.SuspicionHold = candidate.SuspicionHold;
  return limits;
}

} // namespace

/// Ignores routing events: results are measured at the callers and servers.
class EmulatedHost::NullObserver final : public routing::RoutingObserver {
public:
  void onPlaced(const routing::FlowId &, routing::ServerId,
                std::uint32_t) override {}
  void onRefused(const routing::RefusedPacket &) override {}
  void onSuspected(const routing::FlowId &, routing::ServerId,
                   routing::SuspicionReason,
                   std::chrono::milliseconds) override {}
  void onSuspicionCleared(routing::ServerId) override {}
  void onAnswered(const routing::FlowId &, routing::ServerId,
                  std::chrono::milliseconds,
                  std::chrono::milliseconds) override {}
};

EmulatedHost::EmulatedHost(const Candidate &candidate, const std::string &zone,
                           std::uint64_t seed)
    : Directory(Retention), Health(healthLimits(candidate)),
      Observer(std::make_unique<NullObserver>()),
      Shared(Directory, candidate.Subset, seed),
      Placement(CandidatePlacement::make(
          candidate, Directory, Health, Directory.zoneNames().idOf(zone), seed,
          candidate.ShareInterval.count() > 0 || candidate.Subset < 1
              ? &Shared
              : nullptr)),
      Router(Routes, Directory, Health, *Placement, *Observer) {}

LoadByServer EmulatedHost::ownLoads(common::TimePoint now) const {
  LoadByServer loads;
  for (const auto &it : Directory.all()) {
    const auto &load = Health.activity(Directory.idOf(it)).Load;
    if (it.IsOccupied && load.flows() + load.outstanding() > 0)
      loads[it.Registration.Identity] = {load.meanOutstanding(now),
                                         static_cast<double>(load.flows())};
  }
  return loads;
}

void EmulatedHost::setTotals(const LoadByServer &totals,
                             const LoadByServer &own) {
  Shared.setTotals(totals, own);
}

} // namespace auburnroute::emulator
