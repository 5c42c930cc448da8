#pragma once

#include "Edge/EventRecorder.h"
#include "Fleet/FleetView.h"
#include "Routing/ServerHealthTracker.h"

namespace auburnroute::edge {

/// Reacts to changes of the view: records them, and resets the health of a
/// backend server that was added or restarted, so that observations of an
/// earlier instance do not count against it.
class ViewListener final : public fleet::ViewObserver {
public:
  ViewListener(EventRecorder &recorder,
               const routing::ServerDirectory &directory,
               routing::ServerHealthTracker &health)
      : Recorder(recorder), Directory(directory), Health(health) {}

  void onConfiguration(std::uint64_t version) override;
  void onServer(const routing::ServerRegistration &server,
                routing::DirectoryChange change) override;
  void onServerRefused(const routing::ServerRegistration &server) override {
    Recorder.recordRejectedEntry({.Key = server.Name,
                                  .Revision = server.Revision,
                                  .Why = fleet::EntryRejection::NoRoom});
  }
  void onEvacuation(const routing::ZoneEvacuation &evacuation) override {
    Recorder.recordEvacuation(evacuation);
  }
  void onEvacuationRefused(const routing::ZoneEvacuation &evacuation) override {
    Recorder.recordRejectedEntry({.Key = evacuation.Zone,
                                  .Revision = evacuation.Revision,
                                  .Why = fleet::EntryRejection::NoRoom});
  }
  void onEra(const fleet::EraChange &change) override {
    Recorder.recordEra(change);
  }
  void onEraReconciled(const fleet::EraReconciliation &result) override {
    Recorder.recordReconciliation(result);
  }

private:
  EventRecorder &Recorder;
  const routing::ServerDirectory &Directory;
  routing::ServerHealthTracker &Health;
};

} // namespace auburnroute::edge
