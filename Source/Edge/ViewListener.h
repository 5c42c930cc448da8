#pragma once

#include "Edge/EventRecorder.h"
#include "Fleet/FleetView.h"
#include "Routing/ServerHealthTracker.h"

namespace auburnroute::edge {

/// Passes changes of the view on: to the log, and to the health tracker, which
/// must not count what an earlier server or start of a server did.
class ViewListener final : public fleet::ViewObserver {
public:
  ViewListener(EventRecorder &recorder,
               const routing::ServerDirectory &directory,
               routing::ServerHealthTracker &health)
      : Recorder(recorder), Directory(directory), Health(health) {}

  void onConfiguration(std::uint64_t version) override;
  void onServer(const routing::ServerRegistration &server,
                routing::DirectoryChange change) override;

private:
  EventRecorder &Recorder;
  const routing::ServerDirectory &Directory;
  routing::ServerHealthTracker &Health;
};

} // namespace auburnroute::edge
