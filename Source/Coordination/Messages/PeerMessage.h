#pragma once

#include "Coordination/Messages/SettingsStamp.h"
#include "State/CauseStore.h"
#include "State/HostTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnroute::messages {

/// The state of a third host (joined, suspect, dead), spread by its peers.
struct HostUpdate {
  std::string Host;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0; ///< Last one that the reporter knows.
  state::HostState State = state::HostState::Joining;
  bool IsLeaving = false; ///< Announced as leaving in this incarnation.
  state::HostAddresses Addresses;

  bool operator==(const HostUpdate &) const = default;
};

/// Zone and addresses of the sender, which a peer needs before it can answer.
struct Introduction {
  std::string Zone;
  state::HostAddresses Addresses;

  bool operator==(const Introduction &) const = default;
};

/// Shows that the sender is alive, with its state and its settings stamp.
struct Heartbeat {
  state::HostState State = state::HostState::Joining;
  SettingsStamp Settings;            ///< In force at the sender.
  std::uint32_t EchoIncarnation = 0; ///< Low 32 bits; 0 if none was heard.
  std::uint64_t EchoSequence = 0;    ///< Last one heard from the receiver.
  std::uint32_t ViewDigest = 0;      ///< Hash of the sender's host table.
  /// The receiver is no neighbour of the sender; it need not answer.
  bool IsAnswer = false;
  bool IsProbe = false;              ///< The receiver should answer at once.
  std::optional<Introduction> Intro; ///< Until the receiver has echoed.
  std::vector<HostUpdate> Updates;   ///< Bounded.

  bool operator==(const Heartbeat &) const = default;
};

/// Requests the settings of the receiver.
struct SettingsRequest {
  /// Stamp of the sender's settings, from which a delta may be built; zero
  /// requests the whole document.
  SettingsStamp Base;

  bool operator==(const SettingsRequest &) const = default;
};

/// Answers a SettingsRequest with a document or a delta.
struct SettingsReply {
  SettingsStamp Stamp;
  SettingsStamp Base; ///< Zero if Text is a whole document.
  std::string Text;   ///< JSON document, merge patch (RFC 7386, an object) or
                      ///< patch (RFC 6902, an array).

  bool operator==(const SettingsReply &) const = default;
};

/// Summaries of causes, replicated to peers.
struct CauseBatch {
  std::vector<state::CauseEntry> Entries; ///< Bounded.

  bool operator==(const CauseBatch &) const = default;
};

using PeerBody =
    std::variant<Heartbeat, SettingsRequest, SettingsReply, CauseBatch>;

/// A message between two hosts.
struct PeerMessage {
  std::string Sender;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0; ///< Strictly increasing from sender to receiver.
  PeerBody Body;

  bool operator==(const PeerMessage &) const = default;
};

/// A message and the peer endpoint that it goes to.
struct OutgoingMessage {
  common::Endpoint To;
  PeerMessage Message;
};

} // namespace auburnroute::messages
