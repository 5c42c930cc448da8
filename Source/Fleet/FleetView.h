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

/// Changes that update a view from one revision to another.
struct ViewChanges {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  std::vector<routing::ServerRegistration> Servers;
  /// Version of the configuration at To, which is not part of the changes.
  std::uint64_t ConfigurationVersion = 0;
};

/// Full or partial content of a view, for a host that lacks too much to catch
/// up by ViewChanges.
struct ViewSnapshot {
  /// 0 for a full snapshot; otherwise it contains all changes after this
  /// revision.
  std::uint64_t From = 0;
  std::uint64_t Revision = 0;
  routing::RoutingConfiguration Configuration; ///< Version 0 if omitted.
  std::vector<routing::ServerRegistration> Servers;
};

/// Receives the changes of a view, for logging.
class ViewObserver {
public:
  virtual ~ViewObserver() = default;

  virtual void onConfiguration(std::uint64_t version) = 0;
  virtual void onServer(const routing::ServerRegistration &server,
                        routing::DirectoryChange change) = 0;
};

/// This host's copy of the registry, from its own reads and from peers.
///
/// The view never goes back: the highest revision of a server and the highest
/// version of the configuration win, and the revision up to which the view is
/// complete only increases.
class FleetView {
public:
  /// How long changes are kept for peers that lag. Peers that lag further fetch
  /// a snapshot.
  static constexpr std::chrono::seconds HistoryRetention{5};

  FleetView(routing::RouteTable &routes, routing::ServerDirectory &directory,
            ViewObserver &observer)
      : Routes(routes), Directory(directory), Observer(observer) {}

  /// Applies entries that need not be complete, such as one page of a list.
  void applyEntries(const RegistryPage &page, common::TimePoint now);
  /// Applies an answer that has all changes after revision(). The view is then
  /// current as of \p askedAt.
  void applyChanges(const RegistryPage &page, common::TimePoint askedAt,
                    common::TimePoint now);
  /// Completes a list that began at \p baseRevision and \p askedAt: servers
  /// that it did not contain have lapsed.
  void finishList(const std::set<std::string> &listed,
                  std::uint64_t baseRevision, common::TimePoint askedAt,
                  common::TimePoint now);
  /// Applies a peer's changes. Returns whether the view is now complete up to
  /// \p changes.To, configuration included; if not, a snapshot is needed.
  /// \p peerViewAge: age of the peer's view when it sent the changes.
  bool applyPeerChanges(const ViewChanges &changes,
                        std::chrono::milliseconds peerViewAge,
                        common::TimePoint now);
  /// Applies a snapshot whose sender had a view of age \p peerViewAge.
  void applySnapshot(const ViewSnapshot &snapshot,
                     std::chrono::milliseconds peerViewAge,
                     common::TimePoint now);

  /// The retained changes after revision \p since, at most \p maxServers
  /// servers.
  ViewChanges recentChanges(std::size_t maxServers,
                            std::uint64_t since = 0) const;
  /// What a host lacks whose view is complete up to \p after and has
  /// configuration \p version; a full snapshot if removals after \p after may
  /// be unknown here.
  ViewSnapshot snapshotSince(std::uint64_t after, std::uint64_t version) const;

  /// The view is complete up to this revision; 0 if it is empty.
  std::uint64_t revision() const { return Revision; }
  /// Version of the active configuration; 0 if there is none.
  std::uint64_t configurationVersion() const { return Routes.version(); }
  /// The last time at which the view was known to be complete.
  common::TimePoint freshAt() const { return FreshAt; }
  /// Time since the view was last known to be complete.
  std::chrono::milliseconds age(common::TimePoint now) const;
  bool isComplete() const { return Revision != 0 && Routes.version() != 0; }
  /// Changes with each change of the content. Only compared for equality.
  std::uint64_t changeCount() const { return ChangeCount; }
  /// Number of registry entries that could not be parsed.
  std::uint64_t unreadable() const { return Unreadable; }
  void countUnreadable(std::uint32_t n) { Unreadable += n; }
  /// Number of registry entries that were not applied because this host knew a
  /// later state.
  std::uint64_t outdated() const { return Outdated; }
  /// Discards changes older than HistoryRetention, and lapsed servers after
  /// the retention time of the directory.
  void discardExpired(common::TimePoint now);

private:
  struct Change {
    std::uint64_t Revision = 0; ///< Revision of the server's entry.
    common::TimePoint At;
    std::string Name;
  };
  void applyServer(const routing::ServerRegistration &server,
                   common::TimePoint now);
  /// Applies a server of a peer's view, which may be older than this one.
  void applyPeerServer(const routing::ServerRegistration &server,
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
  std::uint64_t Outdated = 0;
  std::deque<Change> History;
  /// History contains all changes after this revision.
  std::uint64_t HistoryStart = 0;
  /// Servers that were removed up to this revision are not all in the
  /// directory: they were discarded, or were gone before this host read a list.
  std::uint64_t RemovalsUnknownUpTo = 0;
  /// Marks each server as lapsed at \p revision that is not in \p present and
  /// has a lower revision.
  void markMissingAsLapsed(const std::set<std::string> &present,
                           std::uint64_t revision, common::TimePoint now);
};

} // namespace auburnroute::fleet
