#pragma once

#include "Common/Clock.h"
#include "Coordination/Distribution/SettingsHistory.h"
#include "Coordination/Messages/PeerMessage.h"
#include "Coordination/Messages/SettingsStamp.h"
#include "State/Settings.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnroute::distribution {

/// Bounds of settings distribution.
struct SettingsFollowerOptions {
  /// A request without a reply for so long goes to another peer.
  std::chrono::milliseconds RequestTimeout{500};
  std::size_t MaxDocumentBytes = 1'000'000; ///< As on the platform.
  std::size_t HistoryBytes = 8'000'000;
  std::size_t MaxRefusals = 16;
  std::size_t MaxCandidates = 32; ///< Peers known to have higher settings.
};

/// A document that was refused; for status.
struct SettingsRefusal {
  messages::SettingsStamp Stamp;
  std::string Errors; ///< One line per fault.
};

/// What became of a document.
enum class SettingsUpdateOutcome : std::uint8_t {
  InForce,  ///< New settings are in force.
  NotNewer, ///< Not higher than what is in force.
  Refused,  ///< The checker refused it; see refusals().
  Mismatch, ///< A reply that does not yield what it announces.
};

/// A request and the peer that it goes to.
struct AddressedRequest {
  std::string Peer;
  messages::SettingsRequest Request;
};

/// Outcome of a reply, and the request that it makes necessary.
struct ReplyOutcome {
  SettingsUpdateOutcome Outcome = SettingsUpdateOutcome::NotNewer;
  std::optional<AddressedRequest> Next;
};

/// Counts since the start.
struct SettingsFollowerCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t NotNewer = 0;
  std::uint64_t Mismatches = 0;
  std::uint64_t Timeouts = 0;
  std::uint64_t Requests = 0;
  std::uint64_t DeltasSent = 0;
  std::uint64_t DocumentsSent = 0;
};

/// Keeps the settings in force, from the platform and from peers.
///
/// Settings are ordered by (revision, digest); no event ever lowers them. A
/// document that the checker refuses changes nothing. Pure decisions over
/// (time, event); no socket, clock or thread.
class SettingsFollower {
public:
  explicit SettingsFollower(SettingsFollowerOptions options = {});

  /// A document that the platform published. It is read with
  /// GET /settings?after=stamp().Revision; after Old or Refused the platform
  /// delivers the same document at once, so the caller then waits a second.
  /// Skipping refused revisions would hide a correction with a lower one.
  SettingsUpdateOutcome onPlatformDocument(std::string_view text);
  /// A heartbeat of \p peer said what it has in force.
  std::optional<AddressedRequest> onPeerSettings(common::TimePoint now,
                                                 std::string_view peer,
                                                 messages::SettingsStamp stamp);
  /// Answers a peer; nothing if there is nothing newer here.
  std::optional<messages::SettingsReply>
  onSettingsRequest(const messages::SettingsRequest &request);
  ReplyOutcome onSettingsReply(common::TimePoint now, std::string_view peer,
                               const messages::SettingsReply &reply);
  /// Repeats a request that timed out, to another peer if there is one.
  std::optional<AddressedRequest> onTick(common::TimePoint now);

  /// The settings in force, or nullptr.
  const std::shared_ptr<const state::Settings> &settings() const {
    return InForce;
  }
  messages::SettingsStamp stamp() const { return Stamp; }
  /// The last accepted document as it came in, or canonical after a delta.
  const std::string &text() const { return Text; }
  /// The last refusals, oldest first.
  const std::deque<SettingsRefusal> &refusals() const { return Refusals; }
  const SettingsFollowerCounters &counters() const { return Counters; }

private:
  struct PendingRequest {
    std::string Peer;
    common::TimePoint SentAt;
  };

  SettingsUpdateOutcome accept(std::string_view text,
                               std::optional<messages::SettingsStamp> announced,
                               std::shared_ptr<const nlohmann::json> document);
  SettingsUpdateOutcome acceptReply(const messages::SettingsReply &reply);
  SettingsUpdateOutcome refuse(messages::SettingsStamp stamp,
                               std::string errors);
  bool isRefused(messages::SettingsStamp stamp) const;
  std::optional<AddressedRequest> requestFromBestPeer(common::TimePoint now);
  AddressedRequest makeRequest(common::TimePoint now, std::string_view peer,
                               messages::SettingsStamp have);

  SettingsFollowerOptions Options;
  std::shared_ptr<const state::Settings> InForce;
  messages::SettingsStamp Stamp;
  std::string Text;
  SettingsHistory History;
  std::uint64_t LastRefusedHash = 0; ///< Hash, to check it once only.
  std::deque<SettingsRefusal> Refusals;
  std::map<std::string, messages::SettingsStamp, std::less<>> Candidates;
  std::optional<PendingRequest> Pending;
  SettingsFollowerCounters Counters;
};

} // namespace auburnroute::distribution
