#include "Fleet/GossipCodec.h"
#include "Common/EpochTime.h"
#include "Common/ManualClock.h"
#include "Routing/DegradedServers.h"
#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::GossipCodec;
using fleet::GossipMessage;

namespace {

GossipMessage largestMessage() {
  GossipMessage message;
  message.Sender = {0x0a010101, "availability-zone-1", 1769245012022, 1000};
  for (std::size_t n = 0; n < GossipCodec::MaxHosts; ++n)
    message.Hosts.push_back({0x0a010102 + static_cast<std::uint32_t>(n),
                             "availability-zone-1", 1769245012022, 1000});
  for (std::size_t n = 0; n < GossipCodec::MaxChanges; ++n) {
    auto server = unittests::sampleServer(0x1234567890 + n, 100000 + n);
    server.Name = "i-1234567890";
    server.StartTimeMs = 1769245012022;
    server.Sequence = 100000;
    server.Era = 6;
    message.Changes.Servers.push_back(server);
  }
  message.Changes.Evacuations = {{"couva", true, 7, 100090},
                                 {"sando", false, 6, 100095}};
  message.Changes.From = 99000;
  message.Changes.To = 100100;
  message.Changes.ConfigurationVersion = 100000;
  message.Changes.Era = 7;
  for (std::size_t n = 0; n < GossipCodec::MaxSuspects; ++n)
    message.Suspects.push_back({0x1234567890 + n, 1500ms});
  return message;
}

/// The largest message with evidence, which is sent apart from views.
GossipMessage largestEvidence() {
  GossipMessage message;
  message.Sender = {0x0a010101, "availability-zone-1", 1769245012022, 1000};
  for (std::size_t n = 0; n < GossipCodec::MaxSuspects; ++n)
    message.Suspects.push_back(
        {0xff1234567890 + n, 1500ms, 100, 100, 0x64400001, true});
  for (std::size_t n = 0; n < GossipCodec::MaxVerdicts; ++n) {
    message.Verdicts.push_back({0xff1234567890 + n, 1769245012022,
                                fleet::VerdictKind::Answering, 1500ms});
    message.Answers.push_back({0xff1234567890 + n, 1500ms});
  }
  return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GossipCodecTest)

// All fields of a message must survive encoding and decoding.
BOOST_AUTO_TEST_CASE(MessagesSurviveTheirEncoding) {
  const auto message = largestMessage();
  const auto decoded = GossipCodec::decode(GossipCodec::encode(message));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->Sender.Zone == message.Sender.Zone);
  BOOST_TEST(decoded->Hosts.size() == message.Hosts.size());
  BOOST_TEST(decoded->Changes.From == 99000U);
  BOOST_TEST(decoded->Changes.To == 100100U);
  BOOST_TEST(decoded->Changes.ConfigurationVersion == 100000U);
  BOOST_TEST(decoded->Changes.Era == 7U);
  const auto &server = decoded->Changes.Servers.back();
  BOOST_TEST(server.Identity == message.Changes.Servers.back().Identity);
  BOOST_TEST(server.StartTimeMs == 1769245012022);
  BOOST_TEST(server.Sequence == 100000U);
  BOOST_TEST(server.Era == 6U);
  BOOST_TEST((server.Address == message.Changes.Servers.back().Address));
  BOOST_TEST((decoded->Suspects.back().SilentFor == 1500ms));
  BOOST_TEST(decoded->Changes.HasEvacuations);
  BOOST_REQUIRE(decoded->Changes.Evacuations.size() == 2U);
  const auto &ended = decoded->Changes.Evacuations.back();
  BOOST_TEST(ended.Zone == "sando");
  BOOST_TEST(!ended.IsActive);
  BOOST_TEST(ended.Era == 6U);
  BOOST_TEST(ended.Revision == 100095U);
  BOOST_TEST(decoded->Changes.Evacuations.front().IsActive);
}

// Reports, verdicts and answers must survive encoding. A kind of verdict of a
// newer version is skipped.
BOOST_AUTO_TEST_CASE(EvidenceSurvivesItsEncoding) {
  auto message = largestEvidence();
  message.Verdicts.front().Kind = static_cast<fleet::VerdictKind>(17);
  const auto decoded = GossipCodec::decode(GossipCodec::encode(message));
  BOOST_REQUIRE(decoded.has_value());
  const auto &suspect = decoded->Suspects.back();
  BOOST_TEST(suspect.hasEvidence());
  BOOST_TEST(suspect.RequestCount == 100U);
  BOOST_TEST(suspect.SynCount == 100U);
  BOOST_TEST(suspect.Caller == 0x64400001U);
  BOOST_TEST(suspect.HasSeveralCallers);
  BOOST_TEST(decoded->Verdicts.size() == GossipCodec::MaxVerdicts - 1);
  const auto &verdict = decoded->Verdicts.back();
  BOOST_TEST(verdict.Identity == message.Verdicts.back().Identity);
  BOOST_TEST(verdict.StartTimeMs == 1769245012022);
  BOOST_TEST((verdict.Kind == fleet::VerdictKind::Answering));
  BOOST_TEST((verdict.Age == 1500ms));
  BOOST_TEST(decoded->Answers.size() == GossipCodec::MaxVerdicts);
  BOOST_TEST((decoded->Answers.back().Age == 1500ms));
}

// Causes must survive encoding. Entries with an unknown cause of a newer
// version, a name that would break a log line, or a time that overflows the
// clock are skipped.
// Counts of a faulty sender must not become shares above one, and a level of a
// newer version must not become another one.
BOOST_AUTO_TEST_CASE(OutcomesSurviveTheirEncodingAndAreLimited) {
  fleet::GossipMessage message;
  message.Sender = {0x0a010001, "a", 1, 1};
  routing::ServerOutcomes outcomes;
  outcomes.All.Sent = 9;
  outcomes.All.Answered = 5;
  outcomes.All.Unanswered = 4;
  outcomes.All.Slow = 7; // More than were answered.
  outcomes.All.AnswerTime = std::chrono::milliseconds(120);
  outcomes.Others.Syns = 3;
  outcomes.Others.FailedSyns = 2;
  outcomes.Caller = 0x64400001;
  outcomes.HasSeveralCallers = true;
  message.OutcomeReports.push_back({1, 77, outcomes});
  message.OutlierVerdicts.push_back(
      {1, 77, 4, std::chrono::milliseconds(4000), routing::OutlierKind::Slow});
  message.OutlierVerdicts.push_back(
      {2, 77, routing::DegradedServers::MaxLevel + 1, {}, {}});
  const auto copy = GossipCodec::decode(GossipCodec::encode(message));
  BOOST_REQUIRE(copy);
  BOOST_REQUIRE(copy->OutcomeReports.size() == 1U);
  const auto &report = copy->OutcomeReports.front();
  BOOST_TEST(report.Identity == 1U);
  BOOST_TEST(report.StartTimeMs == 77);
  BOOST_TEST(report.Outcomes.All.requests() == 9U);
  BOOST_TEST(report.Outcomes.All.Slow == 5U);
  BOOST_TEST(report.Outcomes.All.meanTime().count() == 24);
  BOOST_TEST(report.Outcomes.Others.FailedSyns == 2U);
  BOOST_TEST(report.Outcomes.Caller == 0x64400001U);
  BOOST_TEST(report.Outcomes.HasSeveralCallers);
  BOOST_REQUIRE(copy->OutlierVerdicts.size() == 1U);
  BOOST_TEST(copy->OutlierVerdicts.front().Level == 4);
  BOOST_TEST(copy->OutlierVerdicts.front().Hold.count() == 4000);
}

BOOST_AUTO_TEST_CASE(CausesSurviveTheirEncoding) {
  common::ManualClock clock;
  state::CauseEntry entry;
  entry.Key = {"front-1",     1769245012022,
               29487416,      state::Cause::BackendServerDown,
               "orders",      7,
               "i-1234567890"};
  entry.Count = 3;
  entry.First = clock.wallTime();
  entry.Last = clock.wallTime() + 5s;
  auto foreign = entry;
  foreign.Key.Cause = state::Cause::Count;
  auto badName = entry;
  badName.Key.Subject = "\"";
  auto farAhead = entry;
  farAhead.Last =
      common::fromEpochMilliseconds(common::MaxEpochMilliseconds + 1);
  const auto decoded = GossipCodec::decodeCauses(
      GossipCodec::encode(std::vector{foreign, entry, badName, farAhead}));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == std::vector{entry}));
  BOOST_TEST(!GossipCodec::decodeCauses("\xff\xff").has_value());
}

// A message that does not fit into a frame would be lost.
BOOST_AUTO_TEST_CASE(LargestMessageFitsIntoADatagram) {
  BOOST_TEST(GossipCodec::encode(largestMessage()).size() <=
             GossipCodec::MaxDatagramBytes);
  BOOST_TEST(GossipCodec::encode(largestEvidence()).size() <=
             GossipCodec::MaxDatagramBytes);
}

// Guards against a message or view that is dropped for an entry of another
// writer, whose name no server can have, so that hosts stop following changes.
BOOST_AUTO_TEST_CASE(ServersWithInvalidNamesAreSkipped) {
  GossipMessage message;
  message.Sender = {0x0a010101, "a", 1769245012022, 1000};
  message.Changes.To = 12;
  message.Changes.Servers = {routing::removalOf("i-7f3a910001/notes", 0, 11),
                             unittests::sampleServer(1, 12),
                             routing::removalOf(std::string(201, 'x'), 0, 10)};
  const auto decoded = GossipCodec::decode(GossipCodec::encode(message));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->Changes.To == 12U);
  BOOST_REQUIRE(decoded->Changes.Servers.size() == 1U);
  BOOST_TEST(decoded->Changes.Servers.front().Name == "s1");
  BOOST_TEST(decoded->SkippedServers == 2U);

  fleet::AgedSnapshot snapshot;
  snapshot.View.Revision = 12;
  snapshot.View.Configuration = unittests::sampleConfiguration(7);
  snapshot.View.Servers = message.Changes.Servers;
  const auto view = GossipCodec::decodeSnapshot(GossipCodec::encode(snapshot));
  BOOST_REQUIRE(view.has_value());
  BOOST_REQUIRE(view->View.Servers.size() == 1U);
  BOOST_TEST(view->View.Servers.front().Name == "s1");
  BOOST_TEST(view->SkippedServers == 2U);

  // Without a server that is invalid otherwise, the changes are not complete.
  message.Changes.Servers[1].Address.Port = 0;
  BOOST_TEST(!GossipCodec::decode(GossipCodec::encode(message)).has_value());
}

// Guards against changes that never reach other hosts, because the names of
// their servers make the message longer than a datagram.
BOOST_AUTO_TEST_CASE(LongNamesDoNotExceedADatagram) {
  for (const std::size_t length : {30U, 60U, 120U, 200U}) {
    unittests::ViewFixture host;
    common::ManualClock clock;
    std::vector<routing::ServerRegistration> servers;
    std::vector<std::uint32_t> tags;
    for (std::uint64_t n = 1; n <= GossipCodec::MaxChanges; ++n) {
      auto server = unittests::sampleServer(n, 1769245012022 + n);
      server.Name = std::string(length - 1, 'x') + std::to_string(n);
      server.Service = server.Zone = std::string(length, 'y');
      server.StartTimeMs = 1769245012022;
      server.Sequence = 1769245012022;
      tags.push_back(routing::ServerTag::of(n).front());
      servers.push_back(server);
    }
    const std::uint64_t last = servers.back().Revision;
    host.View.applyChanges(unittests::samplePage(1, {}, 1), clock.now(),
                           clock.now());
    host.View.applyChanges(unittests::samplePage(last, servers), clock.now(),
                           clock.now());
    auto message = largestMessage();
    message.Changes = host.View.recentChanges(GossipCodec::MaxChanges);
    BOOST_TEST(!message.Changes.Servers.empty());
    BOOST_TEST(GossipCodec::encode(message).size() <=
               GossipCodec::MaxDatagramBytes);
    // A receiver must know that it lacks those that were left out.
    unittests::ViewFixture peer;
    peer.View.applyChanges(unittests::samplePage(1, {}, 1), clock.now(),
                           clock.now());
    BOOST_TEST(peer.View.applyPeerChanges(message.Changes, 0ms, clock.now()) ==
               (message.Changes.Servers.size() == servers.size()));
    message.Changes = {};
    message.NamedServers =
        host.View.serversWithTags(tags, GossipCodec::MaxChanges, clock.now());
    BOOST_TEST(!message.NamedServers.empty());
    BOOST_TEST(GossipCodec::encode(message).size() <=
               GossipCodec::MaxDatagramBytes);
  }
}

// No input may crash the decoder, or yield a server without an address or
// service.
BOOST_AUTO_TEST_CASE(CorruptedMessagesAreRejectedOrValid) {
  const auto bytes = GossipCodec::encode(largestMessage());
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 3000; ++i) {
      auto mangled = bytes.substr(0, random() % (bytes.size() + 1));
      for (auto n = random() % 8; n > 0 && !mangled.empty(); --n)
        mangled[random() % mangled.size()] = static_cast<char>(random());
      const auto decoded = GossipCodec::decode(mangled);
      if (!decoded)
        continue;
      for (const auto &it : decoded->Changes.Servers)
        BOOST_TEST((
            it.State == routing::ServerState::Lapsed ||
            (it.Address.Port != 0 && it.Identity != 0 && !it.Service.empty())));
      GossipCodec::decodeSnapshot(mangled);
    }
  }
}

BOOST_AUTO_TEST_CASE(SnapshotsSurviveTheirEncoding) {
  fleet::AgedSnapshot snapshot;
  snapshot.View.Revision = 12;
  snapshot.View.Configuration = unittests::sampleConfiguration(7);
  snapshot.View.Servers.push_back(unittests::sampleServer(1, 3));
  snapshot.Age = 300ms;
  const auto decoded =
      GossipCodec::decodeSnapshot(GossipCodec::encode(snapshot));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->View.Revision == 12U);
  BOOST_TEST(decoded->View.Configuration.Version == 7U);
  BOOST_TEST(
      decoded->View.Configuration.Routes.front().Services.front().Service ==
      "orders");
  BOOST_TEST(decoded->View.Servers.size() == 1U);
  BOOST_TEST((decoded->Age == 300ms));
}

BOOST_AUTO_TEST_SUITE_END()
