#include "Edge/ViewListener.h"

namespace auburnroute::edge {

using routing::DirectoryChange;

void ViewListener::onConfiguration(std::uint64_t version) {
  Recorder.recordConfiguration(version);
}

void ViewListener::onServer(const routing::ServerRegistration &server,
                            DirectoryChange change) {
  if (change == DirectoryChange::Added || change == DirectoryChange::Restarted)
    if (const auto *known = Directory.findByName(server.Name))
      Health.reset(Directory.idOf(*known));
  Recorder.recordServer(server, change);
}

} // namespace auburnroute::edge
