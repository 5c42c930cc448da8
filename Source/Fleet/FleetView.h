#pragma once

#include "Common/Clock.h"
#include "Fleet/RegistryCall.h"
#include "Routing/RouteTable.h"
#include "Routing/ServerDirectory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace auburnroute::fleet {

/// Changes that lead a view from one revision to another.
struct ViewChanges {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  std::vector<routing::ServerRegistration> Servers;
};

/// What a view holds, for a host that changes alone do not bring up to date.
struct ViewSnapshot {
  /// 0: everything. Otherwise all that changed after this revision.
  std::uint64_t From = 0;
  std::uint64_t Revision = 0;
  routing::RoutingConfiguration Configuration; ///< Version 0: left out.
  std::vector<routing::ServerRegistration> Servers;
};

/// Gets the changes of a view; implemented by logs.
class ViewObserver {
public:
  virtual ~ViewObserver() = default;

  virtual void onConfiguration(std::uint64_t version) = 0;
  virtual void onServer(const routing::ServerRegistration &server,
                        routing::DirectoryChange change) = 0;
};

/// What this host knows of the registry, from its own reads and from peers.
///
/// Never goes back: servers are last-writer-wins by revision, configurations
/// by version, and the revision up to which the view is complete only rises.
class FleetView {
public:
  /// Changes are kept this long for peers that lag; others take a snapshot.
  static constexpr std::chrono::seconds HistoryRetention{5};

  FleetView(routing::RouteTable &routes, routing::ServerDirectory &directory,
            ViewObserver &observer)
      : Routes(routes), Directory(directory), Observer(observer) {}

  /// Takes entries over without a claim to be complete.
  void applyEntries(const RegistryPage &page, common::TimePoint now);
  /// Takes over an answer that has all changes after revision(); the view is
  /// as current as at \p askedAt.
  void applyChanges(const RegistryPage &page, common::TimePoint askedAt,
                    common::TimePoint now);
  /// Ends a list that began at \p baseRevision and \p askedAt: servers that it
  /// did not name have lapsed.
  void finishList(const std::set<std::string> &listed,
                  std::uint64_t baseRevision, common::TimePoint askedAt,
                  common::TimePoint now);
  /// Takes over a peer's changes. Returns whether the view is now complete to
  /// \p changes.To; if not, a snapshot is needed.
  bool applyPeerChanges(const ViewChanges &changes,
                        std::chrono::milliseconds age, common::TimePoint now);
  void applySnapshot(const ViewSnapshot &snapshot,
                     std::chrono::milliseconds age, common::TimePoint now);

  /// The changes after revision \p since as far as they are kept, at most
  /// \p most servers.
  ViewChanges recentChanges(std::size_t most, std::uint64_t since = 0) const;
  /// What a host lacks that is complete to \p after and has configuration
  /// \p version; everything if that can't be told.
  ViewSnapshot snapshotSince(std::uint64_t after, std::uint64_t version) const;

  /// The view is complete up to this revision; 0 if it is empty.
  std::uint64_t revision() const { return Revision; }
  /// Version of the configuration in force; 0 if there is none.
  std::uint64_t configurationVersion() const { return Routes.version(); }
  /// The view was complete at this time.
  common::TimePoint freshAt() const { return FreshAt; }
  /// How long ago the view was known to be complete.
  std::chrono::milliseconds age(common::TimePoint now) const;
  bool isComplete() const { return Revision != 0 && Routes.version() != 0; }
  /// Changes with each change of the content; compared for equality only.
  std::uint64_t changeCount() const { return ChangeCount; }
  std::uint64_t unreadable() const { return Unreadable; }
  void countUnreadable(std::uint32_t n) { Unreadable += n; }
  void expire(common::TimePoint now);

private:
  struct Change {
    std::uint64_t Revision = 0; ///< The view is complete up to it.
    common::TimePoint At;
    std::string Name;
  };
  void applyServer(const routing::ServerRegistration &server,
                   common::TimePoint now);
  void applyConfiguration(const routing::RoutingConfiguration &configuration);
  void advance(std::uint64_t revision, common::TimePoint freshAt);

  routing::RouteTable &Routes;
  routing::ServerDirectory &Directory;
  ViewObserver &Observer;
  std::uint64_t Revision = 0;
  common::TimePoint FreshAt;
  std::uint64_t ChangeCount = 0;
  std::uint64_t Unreadable = 0;
  std::deque<Change> History;
  std::uint64_t HistoryStart = 0; ///< History has all changes after it.
  /// Highest revision of the removed entries that were forgotten.
  std::uint64_t ForgottenRevision = 0;
  void markMissingLapsed(const std::set<std::string> &present,
                         std::uint64_t revision, common::TimePoint now);
};

} // namespace auburnroute::fleet
