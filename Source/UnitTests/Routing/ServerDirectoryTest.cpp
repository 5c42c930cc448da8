#include "Routing/ServerDirectory.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::DirectoryChange;
using routing::ServerDirectory;
using routing::ServerRegistration;
using routing::ServerState;
using routing::ServerTag;

namespace {

ServerRegistration registration(const std::string &name, std::uint64_t identity,
                                std::uint64_t revision) {
  ServerRegistration server;
  server.Name = name;
  server.Identity = identity;
  server.Service = "orders";
  server.Zone = "a";
  server.Address = {0x0a000001, 8000}; // 10.0.0.1
  server.StartTimeMs = 7;
  server.Revision = revision;
  return server;
}

/// Searches for two identities that share their first candidate tag.
std::pair<std::uint64_t, std::uint64_t> collidingIdentities() {
  std::map<std::uint32_t, std::uint64_t> seen;
  for (std::uint64_t n = 1;; ++n) {
    const auto [it, added] = seen.emplace(ServerTag::of(n).front(), n);
    if (!added)
      return {it->second, n};
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerDirectoryTest)

// An entry that arrives late from a peer must not restore a removed server.
BOOST_AUTO_TEST_CASE(OlderRevisionsChangeNothing) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  auto it = registration("s-1", 1, 10);
  BOOST_TEST((directory.apply(it, clock.now()) == DirectoryChange::Added));
  BOOST_TEST((directory.apply(routing::removalOf("s-1", 0, 12), clock.now()) ==
              DirectoryChange::Lapsed));
  it.Revision = 11;
  BOOST_TEST((directory.apply(it, clock.now()) == DirectoryChange::None));
  BOOST_TEST(
      (directory.findByName("s-1")->Registration.State == ServerState::Lapsed));
  it.Revision = 13;
  BOOST_TEST((directory.apply(it, clock.now()) == DirectoryChange::Updated));
}

// A removal may arrive before the entry that it removes.
BOOST_AUTO_TEST_CASE(RemovalBeforeEntryIsKept) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  directory.apply(routing::removalOf("s-1", 0, 12), clock.now());
  directory.apply(registration("s-1", 1, 10), clock.now());
  BOOST_TEST(directory.readyCount() == 0U);
}

// Two servers must not share a tag; otherwise flows of one would reach the
// other.
BOOST_AUTO_TEST_CASE(CollidingServersGetDifferentTags) {
  const auto [first, second] = collidingIdentities();
  common::ManualClock clock;
  ServerDirectory directory(60s);
  directory.apply(registration("s-1", first, 1), clock.now());
  clock.advance(1s);
  directory.apply(registration("s-2", second, 2), clock.now());
  const auto &a = *directory.findByName("s-1");
  const auto &b = *directory.findByName("s-2");
  BOOST_TEST(a.Tag != b.Tag);
  BOOST_TEST(directory.findByTag(a.Tag, a.Service)->Registration.Name == "s-1");
  BOOST_TEST(directory.findByTag(b.Tag, b.Service)->Registration.Name == "s-2");
}

// Open flows must stay with their server when another one with the same
// candidate tag joins: the host that wrote the tag did not know the other.
BOOST_AUTO_TEST_CASE(SharedTagSelectsTheServerKnownFirst) {
  const auto [first, second] = collidingIdentities();
  common::ManualClock clock;
  ServerDirectory directory(60s);
  directory.apply(registration("s-2", second, 1), clock.now());
  const auto tag = directory.findByName("s-2")->Tag;
  clock.advance(1s);
  directory.apply(registration("s-1", first, 2), clock.now());
  BOOST_TEST(directory.findByTag(tag, 0)->Registration.Name == "s-2");
}

// Flows of a running server must still be forwarded after its entry lapsed.
BOOST_AUTO_TEST_CASE(LapsedServersAreFoundUntilTheRetentionEnds) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  directory.apply(registration("s-1", 1, 1), clock.now());
  const auto tag = directory.findByName("s-1")->Tag;
  directory.apply(routing::removalOf("s-1", 0, 2), clock.now());
  clock.advance(59s);
  directory.discardExpired(clock.now(), 0);
  BOOST_TEST((directory.findByTag(tag, 0) != nullptr));
  clock.advance(2s);
  directory.discardExpired(clock.now(), 0);
  BOOST_TEST((directory.findByTag(tag, 0) == nullptr));
}

// A restart under the same name must not be taken for the previous run.
BOOST_AUTO_TEST_CASE(AnotherLifetimeIsARestart) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  auto it = registration("s-1", 1, 1);
  directory.apply(it, clock.now());
  it.StartTimeMs = 8;
  it.Revision = 2;
  BOOST_TEST((directory.apply(it, clock.now()) == DirectoryChange::Restarted));
}

// In the lost seconds a server's address went to another one. The entry of the
// copy has a revision of the new era, but the later start has the address.
BOOST_AUTO_TEST_CASE(AddressBelongsToTheLaterStartAcrossEras) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  auto before = registration("s-1", 1, 10);
  auto after = registration("s-2", 2, 24);
  after.StartTimeMs = 9;
  after.Era = 1;
  before.Era = 2;
  directory.apply(after, clock.now());
  directory.apply(before, clock.now());
  BOOST_TEST(directory.findByName("s-1")->IsAddressReused);
  BOOST_TEST(!directory.findByName("s-2")->IsAddressReused);
}

// A server that starts again under its name in the lost seconds must not fall
// back to its earlier run when the registry is restored.
BOOST_AUTO_TEST_CASE(EarlierRunDoesNotReplaceALaterOneAcrossEras) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  auto it = registration("s-1", 1, 24);
  it.StartTimeMs = 9;
  it.Sequence = 1;
  directory.apply(it, clock.now());
  auto copy = registration("s-1", 1, 30);
  copy.Era = 1;
  copy.Sequence = 8;
  BOOST_TEST((directory.apply(copy, clock.now()) == DirectoryChange::None));
  BOOST_TEST(directory.findByName("s-1")->Registration.StartTimeMs == 9);
  // Its next entry counts, whatever its revision.
  it.Era = 1;
  it.Revision = 2;
  it.Sequence = 2;
  BOOST_TEST((directory.apply(it, clock.now()) == DirectoryChange::Refreshed));
}

// A server whose entry is gone must not come back as a server for new flows
// when a peer names it, nor be kept longer than by the peer; its address must
// be known.
BOOST_AUTO_TEST_CASE(RememberedServersAreLapsed) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  auto it = registration("s-1", 1, 5);
  it.LapsedFor = 20s;
  directory.rememberLapsed(it, clock.now());
  const auto *known = directory.findByName("s-1");
  BOOST_REQUIRE(known != nullptr);
  BOOST_TEST(directory.readyCount() == 0U);
  BOOST_TEST(!known->Registration.HasLapsedUnannounced);
  BOOST_TEST((known->Registration.Address == it.Address));
  BOOST_TEST((directory.findByTag(known->Tag, 0) == known));
  clock.advance(41s);
  directory.discardExpired(clock.now(), 0);
  BOOST_TEST(directory.findByName("s-1") == nullptr);
  it.LapsedFor = 60s;
  directory.rememberLapsed(it, clock.now());
  BOOST_TEST(directory.findByName("s-1") == nullptr);
}

// What is known of a server, and a later entry of the registry, must not give
// way to what a peer remembers.
BOOST_AUTO_TEST_CASE(RegistrationsGoBeforeRememberedServers) {
  common::ManualClock clock;
  ServerDirectory directory(60s);
  const auto it = registration("s-1", 1, 5);
  directory.apply(it, clock.now());
  directory.rememberLapsed(it, clock.now());
  BOOST_TEST(directory.readyCount() == 1U);
  const auto other = registration("s-2", 2, 6);
  directory.rememberLapsed(other, clock.now());
  directory.apply(registration("s-2", 2, 7), clock.now());
  BOOST_TEST(directory.readyCount() == 2U);
}

// Another server at the address shows that a remembered one has ended.
BOOST_AUTO_TEST_CASE(RememberedServerGivesWayAtItsAddress) {
  for (const bool isRememberedFirst : {true, false}) {
    common::ManualClock clock;
    ServerDirectory directory(60s);
    const auto gone = registration("s-1", 1, 5);
    auto next = registration("s-2", 2, 4);
    next.Address = gone.Address;
    if (isRememberedFirst)
      directory.rememberLapsed(gone, clock.now());
    directory.apply(next, clock.now());
    if (!isRememberedFirst)
      directory.rememberLapsed(gone, clock.now());
    BOOST_TEST(directory.findByName("s-1")->IsAddressReused);
    BOOST_TEST(!directory.findByName("s-2")->IsAddressReused);
  }
}

// A registry restored from a copy shows a server again that had left its
// address to another one, whose entry has expired. The living one keeps the
// address, whichever this host learns of first.
BOOST_AUTO_TEST_CASE(FormerServerDoesNotTakeItsAddressBack) {
  for (const bool isRemembered : {true, false}) {
    common::ManualClock clock;
    ServerDirectory directory(60s);
    auto former = registration("s-1", 1, 20);
    former.Era = 2;
    auto living = registration("s-2", 2, 30);
    living.Address = former.Address;
    living.StartTimeMs = former.StartTimeMs + 5000;
    living.Era = 1;
    if (isRemembered) {
      directory.apply(former, clock.now());
      directory.rememberLapsed(living, clock.now());
    } else {
      directory.apply(living, clock.now());
      directory.apply(routing::removalOf("s-2", 1, 31), clock.now());
      directory.apply(former, clock.now());
    }
    BOOST_TEST(!directory.findByName("s-2")->IsAddressReused);
  }
}

BOOST_AUTO_TEST_SUITE_END()
