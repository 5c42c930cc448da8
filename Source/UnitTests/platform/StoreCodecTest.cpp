#include "platform/StoreCodec.h"
#include "Common/Text.h"
#include "UnitTests/Seeds.h"
#include "UnitTests/platform/AllocationPeak.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace auburnroute;
using fleet::RegistryCall;
using fleet::RegistryCallKind;
using platform::StoreCodec;
using routing::RequestKind;
using routing::ServerState;

namespace {

std::string item(const std::string &key, const std::string &value,
                 std::uint64_t revision) {
  return absl::StrCat(R"({"key":")", key, R"(","value":")",
                      absl::Base64Escape(value), R"(","revision":)", revision,
                      R"(,"created":1,"lease":0})");
}

std::string list(const std::vector<std::string> &items,
                 const char *name = "items") {
  std::string body = absl::StrCat(R"({")", name, R"(":[)");
  for (std::size_t i = 0; i < items.size(); ++i)
    absl::StrAppend(&body, i == 0 ? "" : ",", items[i]);
  return absl::StrCat(body, R"(],"has_more":false,"at_rev":530})");
}

const std::string Server =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"sando",)"
    R"("version":"v1","slots":2,"state":"ready","cold_left_ms":150,)"
    R"("sequence":4,"born":1769245012022})";

const std::string Configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1",)"
    R"("prefix":"/8443/","type":"safe","timeout_ms":500,"aim_ms":100,)"
    R"("backends":[{"service":"huvo11a","weight":90},)"
    R"({"service":"wuno96b","weight":10}]},)"
    R"({"name":"r-2","host":"198.18.0.2","prefix":"/8443/",)"
    R"("type":"download","service":"wuno96b"}],)"
    R"("services":[],"limits":{"idle_timeout_ms":12000}})";

fleet::RegistryPage decode(const std::string &body,
                           RegistryCallKind kind = RegistryCallKind::List) {
  RegistryCall call;
  call.Kind = kind;
  auto page = StoreCodec::decode(call, body);
  BOOST_REQUIRE(page.ok());
  return *std::move(page);
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreCodecTest)

// Guards against a field of the platform's entries that is decoded into the
// wrong member.
BOOST_AUTO_TEST_CASE(ServerEntryIsDecoded) {
  const auto page = decode(list({item("servers/i-7f3a91c2", Server, 412)}));
  BOOST_REQUIRE(page.Servers.size() == 1U);
  const auto &it = page.Servers.front();
  BOOST_TEST(it.Name == "i-7f3a91c2");
  BOOST_TEST(it.Identity == 0x7f3a91c2U);
  BOOST_TEST(it.Service == "huvo11a");
  BOOST_TEST(common::toString(it.Address) == "10.128.0.9:8080");
  BOOST_TEST(it.Slots == 2U);
  BOOST_TEST((it.State == ServerState::Ready));
  BOOST_TEST(it.WarmUpLeft.count() == 150);
  BOOST_TEST(it.StartTimeMs == 1769245012022);
  BOOST_TEST(it.Sequence == 4U);
  BOOST_TEST(it.Revision == 412U);
  BOOST_TEST(page.Revision == 530U);
}

BOOST_AUTO_TEST_CASE(ConfigurationEntryIsDecoded) {
  const auto page = decode(list({item("op/config", Configuration, 9)}));
  BOOST_REQUIRE(page.Configuration.has_value());
  const auto &it = *page.Configuration;
  BOOST_TEST(it.Version == 7U);
  BOOST_REQUIRE(it.Routes.size() == 2U);
  BOOST_TEST(common::toString(it.Routes[0].Address) == "198.18.0.1:8443");
  BOOST_TEST((it.Routes[0].Kind == RequestKind::Idempotent));
  BOOST_TEST(it.Routes[0].Services.size() == 2U);
  BOOST_TEST(it.Routes[0].Services[0].Weight == 90U);
  BOOST_TEST((it.Routes[1].Kind == RequestKind::Download));
  BOOST_TEST(it.IdleTimeout.count() == 12000);
}

// Only the key of an evacuation counts: hosts must not ignore one because of
// its value.
BOOST_AUTO_TEST_CASE(EvacuationsAreDecodedWhateverTheirValue) {
  const std::string bare = R"({"key":"op/evacuate/couva","revision":7})";
  const std::string odd =
      R"({"key":"op/evacuate/tunapuna","value":{"a":[1]},"revision":8})";
  const std::string gone =
      R"({"key":"op/evacuate/sando","revision":9,"tombstone":true})";
  const std::vector<std::string> items = {
      item("op/evacuate/a-1", R"({"by":"ops"})", 5),
      item("op/evacuate/a-2", std::string("\xff\0", 2), 6), bare, odd, gone};
  for (const auto kind : {RegistryCallKind::List, RegistryCallKind::Watch}) {
    const auto page = decode(
        list(items, kind == RegistryCallKind::List ? "items" : "events"), kind);
    BOOST_TEST(page.Unreadable == 0U);
    BOOST_REQUIRE(page.Evacuations.size() == 5U);
    BOOST_TEST(page.Evacuations[0].Zone == "a-1");
    BOOST_TEST(page.Evacuations[0].Revision == 5U);
    for (std::size_t i = 0; i < 5; ++i)
      BOOST_TEST(page.Evacuations[i].IsActive == (i < 4));
    BOOST_TEST(page.Evacuations[4].Zone == "sando");
    BOOST_TEST(page.LastKey == "op/evacuate/sando");
  }
}

// Hosts cannot tell each other of a name that no zone can have.
BOOST_AUTO_TEST_CASE(EvacuationsOfInvalidNamesAreRejected) {
  const auto page = decode(
      list({item("op/evacuate/", "x", 5), item("op/evacuate/a/b", "x", 6),
            item("op/evacuate/" + std::string(201, 'z'), "x", 7),
            item("op/evacuate", "x", 8), item("op/evacuated/a", "x", 9),
            R"({"key":"op/evacuate/a b","revision":9,"tombstone":true})"}));
  BOOST_TEST(page.Evacuations.empty());
  BOOST_TEST(page.Unreadable == 3U);
  BOOST_REQUIRE(page.Rejected.size() == 3U);
  BOOST_TEST(page.Rejected[1].Key == "op/evacuate/a/b");
  BOOST_TEST((page.Rejected[1].Why == fleet::EntryRejection::Key));
}

// Guards against a malformed or foreign entry that is accepted as a backend
// server, and against one that makes the entries next to it unreadable.
BOOST_AUTO_TEST_CASE(MalformedEntriesAreSkippedAndCounted) {
  const std::vector<std::pair<std::string, std::string>> replacements = {
      {R"("service":"huvo11a",)", ""},
      {R"("service":"huvo11a")", R"("service":5)"},
      {R"("service":"huvo11a")", R"("service":"a\"b")"},
      {R"("address":"10.128.0.9:8080")", R"("address":"10.128.0.9")"},
      {R"("address":"10.128.0.9:8080")", R"("address":"nowhere:1")"},
      {R"("state":"ready")", R"("state":"napping")"},
      {R"("slots":2)", R"("slots":"2")"},
      {R"("slots":2)", R"("slots":-1)"},
      {R"("sequence":4)", R"("sequence":null)"},
      {R"("zone":"sando",)", ""},
      {R"("born":1769245012022)", R"("born":"then")"},
      {R"("born":1769245012022)", R"("born":1.5)"},
      {R"("cold_left_ms":150)", R"("cold_left_ms":true)"},
  };
  for (const auto &[from, to] : replacements) {
    auto value = Server;
    value.replace(value.find(from), from.size(), to);
    const auto page = decode(list(
        {item("servers/i-01", value, 5), item("servers/i-02", Server, 6)}));
    BOOST_TEST(page.Servers.size() == 1U, value);
    BOOST_TEST(page.Unreadable == 1U, value);
    // A server that was known under this name is removed.
    BOOST_REQUIRE(page.Removed.size() == 1U);
    BOOST_TEST(page.Removed.front().Name == "i-01");
  }
  for (const auto *key : {"servers/", "servers/i-", "servers/i-xyz",
                          "servers/i-0", "servers/i-11112222333344445"})
    BOOST_TEST(decode(list({item(key, Server, 5)})).Servers.empty(), key);
  const auto bytes =
      decode(list({item("servers/i-01", std::string("\xff\0\1", 3), 5),
                   R"({"key":"servers/i-02","value":"%%",)"
                   R"("revision":6})",
                   "7", R"({"key":5})"}));
  BOOST_TEST(bytes.Servers.empty());
  BOOST_TEST(bytes.Unreadable == 4U);
  BOOST_TEST(bytes.Removed.size() == 2U);
  using Why = fleet::EntryRejection;
  BOOST_REQUIRE(bytes.Rejected.size() == 4U);
  BOOST_TEST(bytes.Rejected[0].Key == "servers/i-01");
  BOOST_TEST(bytes.Rejected[0].Revision == 5U);
  BOOST_TEST(bytes.Rejected[0].Bytes == 3U);
  BOOST_TEST((bytes.Rejected[0].Why == Why::Syntax));
  BOOST_TEST((bytes.Rejected[1].Why == Why::Encoding));
  BOOST_TEST((bytes.Rejected[2].Why == Why::Key));
  const auto longEntry =
      decode(list({item("servers/i-01", Server + std::string(70000, ' '), 5),
                   item("servers/i-02", R"({"service":1})", 6),
                   item("op/config", "x", 7), item("servers/a/b", Server, 8)}));
  BOOST_REQUIRE(longEntry.Rejected.size() == 4U);
  BOOST_TEST((longEntry.Rejected[0].Why == Why::TooLong));
  BOOST_TEST((longEntry.Rejected[1].Why == Why::Field));
  BOOST_TEST((longEntry.Rejected[2].Why == Why::Syntax));
  BOOST_TEST((longEntry.Rejected[3].Why == Why::Key));
}

// Guards against a number beyond the range of its type that is taken for the
// number that remains of its low bits.
BOOST_AUTO_TEST_CASE(EntriesWithTooLargeNumbersAreRejected) {
  const std::vector<std::pair<std::string, std::string>> replacements = {
      {R"("slots":2)", R"("slots":4294967296)"},
      {R"("slots":2)", R"("slots":4294967298)"},
      {R"("slots":2)", R"("slots":18446744073709551618)"},
      {R"("slots":2)", R"("slots":1e300)"},
      {R"("sequence":4)", R"("sequence":18446744073709551620)"},
      {R"("born":1769245012022)", R"("born":9223372036854775808)"},
      {R"("born":1769245012022)", R"("born":18446744073709551615)"},
      {R"("born":1769245012022)", R"("born":9007199254740993)"},
      {R"(10.128.0.9:8080)", R"(10.128.0.9:65536)"},
      {R"(10.128.0.9:8080)", R"(10.128.0.9:4294975376)"},
  };
  for (const auto &[from, to] : replacements) {
    auto value = Server;
    value.replace(value.find(from), from.size(), to);
    const auto page = decode(list({item("servers/i-01", value, 5)}));
    BOOST_TEST(page.Servers.empty(), value);
    BOOST_TEST(page.Unreadable == 1U, value);
  }
}

// Guards against a time limit that is too large for its type and becomes a
// short one, or none.
BOOST_AUTO_TEST_CASE(TooLargeDurationsAreLimited) {
  for (const auto *text :
       {"2147483648", "4294967296", "4294967297", "18446744073709551615",
        "18446744073709551616", "1e300"}) {
    auto value = Configuration;
    for (const std::string name : {R"("timeout_ms":500)", R"("aim_ms":100)",
                                   R"("idle_timeout_ms":12000)"}) {
      const auto digits = name.find(':') + 1;
      value.replace(value.find(name) + digits, name.size() - digits, text);
    }
    const auto page = decode(list({item("op/config", value, 9)}));
    BOOST_REQUIRE(page.Configuration.has_value());
    const auto &it = *page.Configuration;
    BOOST_REQUIRE(it.Routes.size() == 2U);
    BOOST_TEST(it.Routes[0].Timeout.count() == 2147483647, text);
    BOOST_TEST(it.Routes[0].Objective.count() == 2147483647, text);
    BOOST_TEST(it.IdleTimeout.count() == 2147483647, text);
    auto entry = Server;
    const std::string from = R"("cold_left_ms":150)";
    entry.replace(entry.find(from), from.size(),
                  absl::StrCat(R"("cold_left_ms":)", text));
    const auto servers = decode(list({item("servers/i-01", entry, 5)})).Servers;
    BOOST_REQUIRE(servers.size() == 1U);
    BOOST_TEST(servers.front().WarmUpLeft.count() == 2147483647, text);
  }
}

// Guards against a weight of which only the low bits count, so that its service
// gets hardly any flows.
BOOST_AUTO_TEST_CASE(TooLargeWeightsAreLimited) {
  for (const auto *text : {"4294967296", "4294967297", "1e300"}) {
    auto value = Configuration;
    const std::string from = R"("weight":90)";
    value.replace(value.find(from), from.size(),
                  absl::StrCat(R"("weight":)", text));
    const auto page = decode(list({item("op/config", value, 9)}));
    BOOST_REQUIRE(page.Configuration.has_value());
    BOOST_REQUIRE(page.Configuration->Routes.size() == 2U);
    BOOST_TEST(page.Configuration->Routes[0].Services[0].Weight == 4294967295U);
  }
}

// Guards against a list that begins again at a key whose special characters end
// the parameter, so that it never ends; and against a second request inside.
BOOST_AUTO_TEST_CASE(KeysAreEncodedInRequests) {
  RegistryCall call;
  call.Kind = RegistryCallKind::List;
  BOOST_TEST(StoreCodec::requestTarget(call) == "/kv-range?prefix=");
  const std::vector<std::pair<std::string, std::string>> targets = {
      {"servers/i-7f3a91c2", "servers/i-7f3a91c2"},
      {"servers/R&D-label-press", "servers/R%26D-label-press"},
      {"a b+c%d#e=f?g", "a%20b%2bc%25d%23e%3df%3fg"},
      {"x HTTP/1.1\r\nA: b", "x%20HTTP/1.1%0d%0aA%3a%20b"},
      {"\xc3\xa4", "%c3%a4"},
      {std::string(1, '\0'), "%00"},
  };
  for (const auto &[key, encoded] : targets) {
    call.After = key;
    BOOST_TEST(StoreCodec::requestTarget(call) ==
               "/kv-range?prefix=&after=" + encoded);
  }
}

// Guards against a list that ends early and makes the servers of the next pages
// lapse, because no key of a page is readable.
BOOST_AUTO_TEST_CASE(PageWithoutAKeyIsNotTheLastOne) {
  const auto page = decode(
      R"({"items":[{"key":5,"revision":5}],"has_more":true,"at_rev":530})");
  BOOST_TEST(page.HasMore);
  BOOST_TEST(page.LastKey.empty());
}

// Guards against a malformed route that makes the other routes disappear.
BOOST_AUTO_TEST_CASE(MalformedRoutesAreSkippedAndCounted) {
  auto value = Configuration;
  const std::string from = R"("prefix":"/8443/","type":"safe")";
  value.replace(value.find(from), from.size(), R"("prefix":"8443")");
  const auto page = decode(list({item("op/config", value, 9)}));
  BOOST_REQUIRE(page.Configuration.has_value());
  BOOST_TEST(page.Configuration->Routes.size() == 1U);
  BOOST_TEST(page.Unreadable == 1U);
}

BOOST_AUTO_TEST_CASE(TombstonesRemoveServers) {
  const auto page =
      decode(list({R"({"key":"servers/i-0a","revision":413,"tombstone":true})",
                   item("servers/i-0b", Server, 414),
                   R"({"key":"other/x","revision":415,"tombstone":true})"},
                  "events"),
             RegistryCallKind::Watch);
  BOOST_REQUIRE(page.Removed.size() == 1U);
  BOOST_TEST(page.Removed.front().Name == "i-0a");
  BOOST_TEST(page.Removed.front().Revision == 413U);
  BOOST_TEST(page.Servers.size() == 1U);
}

// Guards against an entry that hosts tell each other of and whose name makes
// their messages invalid.
BOOST_AUTO_TEST_CASE(EntriesThatNameNoServerAreNotRemovals) {
  for (const std::string name :
       {"i-7f3a910001/notes", "R&D-label-press", "notes", "", "i-0"}) {
    const auto page =
        decode(list({item("servers/" + name, Server, 411),
                     absl::StrCat(R"({"key":"servers/)", name,
                                  R"(","revision":413,"tombstone":true})")},
                    "events"),
               RegistryCallKind::Watch);
    BOOST_TEST(page.Servers.empty(), name);
    BOOST_TEST(page.Removed.empty(), name);
    BOOST_TEST(page.Unreadable == 1U, name);
  }
}

// Guards against an answer that cannot be read as a whole, so that hosts stop
// following changes, because of a key with bytes that are no text.
BOOST_AUTO_TEST_CASE(KeysThatAreNoTextDoNotHideOtherEntries) {
  for (const std::string key :
       {"servers/\xff", "servers/\xc3", "servers/\xc0\xaf",
        "servers/\xe0\x80\x80", "servers/\xed\xa0\x80",
        "servers/\xf4\x90\x80\x80", "servers/a\nb", R"(servers/\udcff)",
        R"(servers/\ud83c)", R"(servers/\ud83cx)", R"(servers/\ud83c\ud83c)",
        R"(servers/\ud83c\udfed)", "servers/\xf0\x9f\x8f\xad"}) {
    const auto page =
        decode(list({item(key, Server, 5), item("servers/i-02", Server, 6)}));
    BOOST_TEST(page.Servers.size() == 1U, key);
    BOOST_TEST(page.Unreadable == 1U, key);
    BOOST_TEST(page.LastKey == "servers/i-02", key);
  }
  BOOST_TEST(!StoreCodec::decode({}, "{\"items\":[\xff],\"at_rev\":1}").ok());
  BOOST_TEST(!StoreCodec::decode({}, "{\"items\":[\"\\").ok());
}

// Guards against a crash, or a server without identity or port, from a
// truncated or corrupted response body.
BOOST_AUTO_TEST_CASE(CorruptedBodiesYieldErrorsOrValidServers) {
  const auto body = list({item("servers/i-7f3a91c2", Server, 412),
                          item("op/config", Configuration, 9)});
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 2000; ++i) {
      auto corrupted = body.substr(0, random() % (body.size() + 1));
      for (auto n = random() % 6; n > 0 && !corrupted.empty(); --n)
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
      const auto page = StoreCodec::decode({}, corrupted);
      if (!page.ok())
        continue;
      for (const auto &it : page->Servers)
        BOOST_TEST((it.Identity != 0 && it.Address.Port != 0));
    }
  }
  BOOST_TEST(!StoreCodec::decode({}, "[]").ok());
  BOOST_TEST(!StoreCodec::decode({}, R"({"items":[]})").ok());
  BOOST_TEST(!StoreCodec::decode({}, R"({"at_rev":1})").ok());
}

// Guards against an entry of another writer whose document exceeds the memory
// of a host, 80 MB: nested arrays take 80 bytes for each byte of the value.
BOOST_AUTO_TEST_CASE(OddValuesTakeLittleMemory) {
  constexpr std::size_t ValueBytes = 1048576; // Limit of the registry.
  constexpr std::size_t MaxPeakBytes = std::size_t{12} * 1024 * 1024;
  const auto repeated = [](std::string_view text) {
    std::string value;
    while (value.size() + text.size() <= ValueBytes)
      value.append(text);
    return value;
  };
  const std::vector<std::string> values = {
      repeated("["),
      repeated(R"({"a":)"),
      "[" + repeated("[],"),
      "[" + repeated(R"({"":0},)"),
      "{" + repeated(R"("a":{"a":[]},)"),
      R"({"routes":[)" + repeated("[],"),
      R"({"version":1,"routes":[{"backends":[)" + repeated("0,"),
      R"({"service":[)" + repeated("0,"),
  };
  for (const auto &value : values)
    for (const auto *key : {"servers/i-90000000", "op/config"}) {
      const auto body = list(
          {item("servers/i-02", Server, 6), item(key, value, 5)}, "events");
      const unittests::AllocationPeak peak;
      const auto page = decode(body, RegistryCallKind::Watch);
      BOOST_TEST(peak.bytes() <= MaxPeakBytes, value.substr(0, 40));
      BOOST_TEST(page.Servers.size() == 1U);
      BOOST_TEST(page.Unreadable == 1U);
    }
}

// Guards against a body with many odd entries, each of which would need little
// memory.
BOOST_AUTO_TEST_CASE(ManyOddEntriesTakeLittleMemory) {
  constexpr std::size_t BodyBytes = std::size_t{4} * 1024 * 1024;
  constexpr std::size_t MaxPeakBytes = std::size_t{24} * 1024 * 1024;
  std::vector<std::string> items = {item("servers/i-02", Server, 1)};
  std::size_t size = 0;
  while (size < BodyBytes) {
    items.push_back(item(absl::StrCat("servers/i-9", absl::Hex(items.size())),
                         R"({"service":[]})", items.size()));
    size += items.back().size();
  }
  const auto body = list(items, "events");
  const unittests::AllocationPeak peak;
  const auto page = decode(body, RegistryCallKind::Watch);
  BOOST_TEST(peak.bytes() <= MaxPeakBytes);
  BOOST_TEST(page.Servers.size() == 1U);
  BOOST_TEST(page.Unreadable == items.size() - 1);
}

// A restore shows only in the header field "Store-Era"; one that cannot be read
// must not pass for the first era.
BOOST_AUTO_TEST_CASE(EraIsReadFromTheHeader) {
  common::HttpResponse response;
  BOOST_TEST(*StoreCodec::eraOf(response) == 0U);
  response.Headers.emplace_back("store-era", "3");
  BOOST_TEST(*StoreCodec::eraOf(response) == 3U);
  for (const char *text : {"", "x", "-1", "3x", "18446744073709551616"}) {
    response.Headers.back().second = text;
    BOOST_TEST(!StoreCodec::eraOf(response).ok(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
