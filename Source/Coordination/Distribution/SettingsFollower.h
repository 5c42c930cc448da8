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

/// Limits and timeouts of settings distribution.
struct SettingsFollowerOptions {
  /// Time without a reply after which another peer is asked.
  std::chrono::milliseconds RequestTimeout{500};
  std::size_t MaxDocumentBytes = 1'000'000; ///< Same limit as on the platform.
  std::size_t HistoryBytes = 8'000'000;
  std::size_t MaxRefusals = 16;
  std::size_t MaxCandidates = 32; ///< Peers known to have newer settings.
};

/// A document that failed validation; shown in the status.
struct SettingsRefusal {
  messages::SettingsStamp Stamp;
  std::string Errors; ///< One error per line.
};

/// Result of a document that was received.
enum class SettingsUpdateOutcome : std::uint8_t {
  InForce,  ///< The document is in force now.
  NotNewer, ///< Its stamp is not above the one in force.
  Refused,  ///< It failed validation; see refusals().
  Mismatch, ///< A reply whose document differs from its stamp.
};

/// A request and the peer that it goes to.
struct AddressedRequest {
  std::string Peer;
  messages::SettingsRequest Request;
};

/// Outcome of a reply, and the request to send next, if any.
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

/// Keeps the settings in force, received from the platform (see
/// messages::HostList) and from peers.
///
/// Settings are ordered by (revision, digest) and are never replaced by lower
/// ones. A document that fails validation changes nothing. Deterministic over
/// (time, event): uses no socket, clock or thread.
class SettingsFollower {
public:
  explicit SettingsFollower(SettingsFollowerOptions options = {});

  /// Handles a document that the platform published, which is read with
  /// GET /settings?after=stamp().Revision. After NotNewer or Refused the
  /// platform would deliver the same document at once, so the caller waits a
  /// second. Reading after the refused revision instead would miss a correction
  /// with a lower revision.
  SettingsUpdateOutcome onPlatformDocument(std::string_view text);
  /// A heartbeat of \p peer reported the settings it has in force. Returns the
  /// request to send, if any.
  std::optional<AddressedRequest> onPeerSettings(common::TimePoint now,
                                                 std::string_view peer,
                                                 messages::SettingsStamp stamp);
  /// Answers a request of a peer; nothing if this host has no newer settings.
  std::optional<messages::SettingsReply>
  onSettingsRequest(const messages::SettingsRequest &request);
  ReplyOutcome onSettingsReply(common::TimePoint now, std::string_view peer,
                               const messages::SettingsReply &reply);
  /// Replaces a request that timed out by one to another peer, if there is one.
  std::optional<AddressedRequest> onTick(common::TimePoint now);

  /// The settings in force, or nullptr.
  const std::shared_ptr<const state::Settings> &settings() const {
    return SettingsInForce;
  }
  messages::SettingsStamp stamp() const { return StampInForce; }
  /// The last accepted document as received, or in canonical form after a
  /// delta.
  const std::string &text() const { return DocumentText; }
  /// The last refusals, oldest first.
  const std::deque<SettingsRefusal> &refusals() const { return Refusals; }
  const SettingsFollowerCounters &counters() const { return Counters; }

private:
  struct PendingRequest {
    std::string Peer;
    common::TimePoint SentAt;
  };

  /// Validates a document and puts it in force if it is newer than the settings
  /// in force. \p announced is the stamp from the reply of a peer; \p document
  /// is the parsed \p text, or nullptr if it is not parsed yet.
  SettingsUpdateOutcome
  validateAndApply(std::string_view text,
                   std::optional<messages::SettingsStamp> announced,
                   std::shared_ptr<const nlohmann::json> document);
  SettingsUpdateOutcome applyReply(const messages::SettingsReply &reply);
  SettingsUpdateOutcome refuse(messages::SettingsStamp stamp,
                               std::string errors);
  bool isRefused(messages::SettingsStamp stamp) const;
  std::optional<AddressedRequest> requestFromBestPeer(common::TimePoint now);
  AddressedRequest makeRequest(common::TimePoint now, std::string_view peer,
                               messages::SettingsStamp base);

  SettingsFollowerOptions Options;
  std::shared_ptr<const state::Settings> SettingsInForce;
  messages::SettingsStamp StampInForce;
  std::string DocumentText; ///< See text().
  SettingsHistory History;
  /// Hash of the last platform document that was refused, so that it is not
  /// validated again.
  std::uint64_t LastRefusedHash = 0;
  std::deque<SettingsRefusal> Refusals;
  /// Peers with newer settings, with the stamp that they reported.
  std::map<std::string, messages::SettingsStamp, std::less<>> Candidates;
  std::optional<PendingRequest> Pending;
  SettingsFollowerCounters Counters;
};

} // namespace auburnroute::distribution
