#pragma once

#include "Common/Clock.h"
#include "Fleet/RegistryCall.h"
#include "Routing/RouteTable.h"
#include "Routing/ServerDirectory.h"
#include "Routing/ZoneEvacuations.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <chrono>
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
  /// Era that From and To belong to, see RegistryPage.
  std::uint64_t Era = 0;
  /// Also those of earlier eras that count until the view is reconciled.
  std::vector<routing::ZoneEvacuation> Evacuations{};
  /// Whether the sender's view has evacuations; those of earlier versions do
  /// not, so they leave the receiver's view incomplete.
  bool HasEvacuations = true;
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
  /// Era that From and Revision belong to, see RegistryPage.
  std::uint64_t Era = 0;
  /// Time for which the sender has been in the era.
  std::chrono::milliseconds EraAge{0};
  std::vector<routing::ZoneEvacuation> Evacuations{};
  bool HasEvacuations = true; ///< See ViewChanges.
};

/// First answer of a list of the registry.
struct ListStart {
  std::uint64_t Revision = 0;
  common::TimePoint AskedAt;
  std::uint64_t Era = 0;
};

/// A view's change to another era of the registry.
struct EraChange {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  std::uint64_t RevisionBefore = 0; ///< In era From.
  std::uint64_t Revision = 0;       ///< In era To.
};

/// What became of the servers that a restored registry did not show as known.
struct EraReconciliation {
  std::uint64_t Era = 0;
  std::size_t Lapsed = 0; ///< They were not registered again.
  /// The registry still holds an entry of them that looked outdated.
  std::size_t Confirmed = 0;
};

/// Receives the changes of a view, for logging.
class ViewObserver {
public:
  virtual ~ViewObserver() = default;

  virtual void onConfiguration(std::uint64_t version) = 0;
  virtual void onServer(const routing::ServerRegistration &server,
                        routing::DirectoryChange change) = 0;
  /// The view has no room for \p server.
  virtual void onServerRefused(const routing::ServerRegistration &server) = 0;
  /// A zone has been evacuated, or is so no longer.
  virtual void onEvacuation(const routing::ZoneEvacuation &evacuation) = 0;
  /// The view has no room for \p evacuation.
  virtual void
  onEvacuationRefused(const routing::ZoneEvacuation &evacuation) = 0;
  virtual void onEra(const EraChange &change) = 0;
  virtual void onEraReconciled(const EraReconciliation &result) = 0;
};

/// This host's copy of the registry, from its own reads and from peers.
///
/// The view never goes back: the highest revision of a server and the highest
/// version of the configuration win, and the revision up to which the view is
/// complete only increases.
///
/// When the registry is restored from a backup, a new era begins: it gives out
/// revisions again and lacks what was written last, until servers and operator
/// have written it again. The view then takes the registry's new revisions, but
/// keeps what it knew: entries that the server wrote before the known one do
/// not count, and servers without an entry stay. Zones are evacuated if either
/// era says so. After the rewrite time the registry's word holds: the view is
/// reconciled.
class FleetView {
public:
  /// How long changes are kept for peers that lag. Peers that lag further fetch
  /// a snapshot.
  static constexpr std::chrono::seconds HistoryRetention{5};
  /// Limit of the names of servers, services and zones in one message. Together
  /// with the other fields of a message they fit a datagram. A single server
  /// may exceed it with its three names of at most 200 bytes.
  static constexpr std::size_t MaxNameBytes = 320;

  /// Limit of the view in bytes, as a message holds it. A snapshot must fit an
  /// answer of 4 MiB together with the configuration, which has at most 1 MiB,
  /// and with withheld entries. Servers of services without a route take at
  /// most half of it, so that entries of other writers do not displace others.
  static constexpr std::size_t MaxBytes = std::size_t{2} * 1024 * 1024;
  /// Size of a server in a message without its names.
  static constexpr std::size_t NumberBytes = 60;
  /// Limit of the names of services without a route, and of those of zones,
  /// over the life of the process.
  static constexpr std::size_t MaxNames = 8192;

  /// \p rewriteTime: time within which living servers have written their
  /// entries again after a restore of the registry, and the entries of others
  /// have expired.
  FleetView(routing::RouteTable &routes, routing::ServerDirectory &directory,
            ViewObserver &observer,
            std::chrono::milliseconds rewriteTime = MinRewriteTime)
      : Routes(routes), Directory(directory), Observer(observer),
        RewriteTime(rewriteTime) {}

  /// Servers are back in the registry about 2 s after its return.
  static constexpr std::chrono::milliseconds MinRewriteTime{2500};
  /// The rewrite time of servers that write each \p heartbeat; entries expire
  /// after three of them.
  static std::chrono::milliseconds
  rewriteTimeFor(std::chrono::milliseconds heartbeat) {
    return std::max(MinRewriteTime, heartbeat * 7 / 2);
  }

  /// Applies entries that need not be complete, such as one page of a list.
  void applyEntries(const RegistryPage &page, common::TimePoint now);
  /// Applies an answer that has all changes after revision(). The view is then
  /// current as of \p askedAt.
  void applyChanges(const RegistryPage &page, common::TimePoint askedAt,
                    common::TimePoint now);
  /// Completes a list: servers that it did not contain have lapsed, unless it
  /// is the first one of an era, and evacuations of zones that are not in \p
  /// evacuated have ended.
  void finishList(const std::set<std::string> &listed, const ListStart &start,
                  common::TimePoint now,
                  const std::set<std::string> &evacuated = {});
  /// Applies a peer's changes. Returns whether the view is now complete up to
  /// \p changes.To, configuration included; if not, a snapshot is needed.
  /// \p peerViewAge: age of the peer's view when it sent the changes.
  bool applyPeerChanges(const ViewChanges &changes,
                        std::chrono::milliseconds peerViewAge,
                        common::TimePoint now);
  /// Applies a snapshot whose sender had a view of age \p peerViewAge, with
  /// evacuations.
  void applySnapshot(const ViewSnapshot &snapshot,
                     std::chrono::milliseconds peerViewAge,
                     common::TimePoint now);

  /// The retained changes after revision \p since, at most \p maxChanges
  /// servers and evacuations with names of MaxNameBytes in all.
  ViewChanges recentChanges(std::size_t maxChanges,
                            std::uint64_t since = 0) const;
  /// What a host lacks whose view is complete up to \p after and has
  /// configuration \p version; a full snapshot if removals after \p after may
  /// be unknown here, or if \p after belongs to another era than the view.
  ViewSnapshot snapshotSince(std::uint64_t after, std::uint64_t version,
                             std::uint64_t era = 0) const;
  /// The servers that \p tags may identify, at most \p limit with names of
  /// MaxNameBytes in all, for a peer that does not know them.
  std::vector<routing::ServerRegistration>
  serversWithTags(const std::vector<std::uint32_t> &tags, std::size_t limit,
                  common::TimePoint now) const;
  /// Applies a server that a peer knows by its tag.
  void applyNamedServer(const routing::ServerRegistration &server,
                        common::TimePoint now) {
    applyPeerServer(server, now);
  }
  /// Sets for how long the lapsed ones of \p servers, which are about to be
  /// sent, have been so.
  void setLapsedTimes(std::vector<routing::ServerRegistration> &servers,
                      common::TimePoint now) const;
  /// Ends the time in which a restored registry is filled again, if it is over
  /// and the view is current.
  void reconcileEra(common::TimePoint now);

  const routing::ZoneEvacuations &evacuations() const { return Evacuations; }
  /// Whether the active configuration has a route to \p service.
  bool isRouted(const std::string &service) const {
    return Routes.isRouted(service);
  }
  /// Whether the server \p name is known in any state.
  bool contains(const std::string &name) const {
    return Directory.findByName(name) != nullptr || Withheld.contains(name);
  }
  /// Whether servers were refused that a later configuration may need, so that
  /// the registry must be listed.
  bool isListDue() const { return IsListDue; }
  /// The view is complete up to this revision; 0 if it is empty.
  std::uint64_t revision() const { return Revision; }
  /// Era that revision() belongs to, see RegistryPage.
  std::uint64_t era() const { return Era; }
  std::chrono::milliseconds eraAge(common::TimePoint now) const;
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
  /// Number of servers that were not applied because the view had no room.
  std::uint64_t refused() const { return Refused; }
  /// Discards changes older than HistoryRetention, and lapsed servers after
  /// the retention time of the directory.
  void discardExpired(common::TimePoint now);

private:
  struct Change {
    std::uint64_t Revision = 0; ///< Revision of the server's entry.
    common::TimePoint At;
    std::string Name;
    bool IsEvacuation = false; ///< Name is that of a zone.
  };
  /// Returns false if a later state of the zone is known.
  bool applyEvacuation(const routing::ZoneEvacuation &evacuation,
                       common::TimePoint now);
  /// Applies an evacuation of a peer's view, which may be older than this one.
  void applyPeerEvacuation(const routing::ZoneEvacuation &evacuation,
                           common::TimePoint now);
  /// Ends each evacuation at \p revision that is not in \p present and has a
  /// lower revision.
  void endMissingEvacuations(const std::set<std::string> &present,
                             std::uint64_t revision, common::TimePoint now);
  void discardEndedEvacuations(common::TimePoint now);
  /// Whether \p server may be added within the limits of the view, or is known.
  bool hasRoomFor(const routing::ServerRegistration &server) const;
  /// Returns false if a later state of the server is known.
  bool applyServer(const routing::ServerRegistration &server,
                   common::TimePoint now);
  /// Reports and remembers the effect of an update of \p server.
  void recordChange(const routing::ServerRegistration &server,
                    routing::DirectoryChange change, common::TimePoint now);
  /// Whether a peer's \p server has been removed since, though the directory
  /// does not show it.
  bool isForgotten(const routing::ServerRegistration &server) const;
  /// Keeps the entry of the newer era, if \p next and \p known are of different
  /// eras and the other one counts, until the view is reconciled.
  void withhold(const routing::ServerRegistration &next,
                const routing::ServerRegistration &known, bool isApplied,
                common::TimePoint now);
  void enterEra(std::uint64_t era, std::uint64_t revision,
                common::TimePoint enteredAt, common::TimePoint now);
  /// Applies a server of a peer's view, which may be older than this one.
  void applyPeerServer(const routing::ServerRegistration &server,
                       common::TimePoint now);
  bool applyConfiguration(const routing::RoutingConfiguration &configuration);
  void advance(std::uint64_t revision, common::TimePoint freshAt);

  routing::RouteTable &Routes;
  routing::ServerDirectory &Directory;
  ViewObserver &Observer;
  routing::ZoneEvacuations Evacuations;
  std::chrono::milliseconds RewriteTime;
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
  common::TimePoint EraEnteredAt;
  bool IsReconciled = true;
  /// The view was complete up to this revision when its last era ended.
  std::uint64_t PreviousEra = 0;
  std::uint64_t PreviousRevision = 0;
  /// Entries of the registry in a new era that look outdated, by name. Until
  /// the view is reconciled, an earlier entry that the server wrote later
  /// counts.
  absl::flat_hash_map<std::string, routing::ServerRegistration> Withheld;
  common::TimePoint FreshAt;
  std::uint64_t ChangeCount = 0;
  std::uint64_t Unreadable = 0;
  std::uint64_t Outdated = 0;
  std::uint64_t Refused = 0;
  bool IsListDue = false;
  /// Evacuations were refused whose zones may get servers later.
  bool HasRefusedEvacuations = false;
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
