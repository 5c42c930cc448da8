#include "Common/ManualClock.h"
#include "State/BurnReportCodec.h"
#include "State/CauseCodec.h"
#include "Tool/CommandTable.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include <sstream>
#include <string>
#include <thread>

using namespace auburnroute;

namespace {

/// A host that answers each path with a fixed body.
class FixedHost {
public:
  FixedHost() : Port(Server.bind_to_any_port("127.0.0.1")) {}
  ~FixedHost() {
    Server.stop();
    Thread.join();
  }
  void serve(const std::string &path, const std::string &body) {
    Server.Get(path, [body](const auto &, auto &response) {
      response.set_content(body, "application/json");
    });
  }
  void start() {
    Thread = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::yield();
  }
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  httplib::Server Server;
  int Port;
  std::thread Thread;
};

/// Runs \p command on an odd host that names a good one, and returns its output
/// with the exit code in front.
std::string outputOf(const std::string &command) {
  common::ManualClock clock;
  state::CauseStore store("good", 42);
  store.record(clock.wallTime(), state::Cause::NoRoute, "orders", 7, "");
  FixedHost good;
  good.serve("/status",
             R"({"host":"good","zone":"a","ready":true,"hosts":[]})");
  good.serve("/cause",
             state::encodeCauses("good", store.since(clock.wallTime() -
                                                     std::chrono::minutes(1))));
  state::HostBurnReport burn{"good", std::chrono::minutes(3), {}};
  burn.Services["orders"] = {};
  good.serve("/burn", state::encodeBurnReport(burn));
  good.start();
  FixedHost odd;
  odd.serve(
      "/status",
      R"({"host":7,"zone":[],"hosts":[5,[],{"operator":7},{"operator":")" +
          good.endpoint() + R"(","state":{},"name":"good"}]})");
  odd.serve("/cause", R"({"entries":[{"cause":"no_route","count":[]}]})");
  odd.serve("/burn", std::string(100000, '['));
  odd.start();
  tool::Arguments arguments;
  arguments.Hosts = {odd.endpoint()};
  std::ostringstream out;
  std::ostringstream err;
  tool::Output output{out, err};
  const auto code = tool::allCommands().run({command}, arguments, output);
  return std::to_string(code) + "\n" + out.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddAnswersTest)

// Guards against one host with an odd answer that hides the answers of others.
BOOST_AUTO_TEST_CASE(OddAnswerOfOneHostDoesNotHideOthers) {
  for (const std::string command : {"status", "cause", "burn"}) {
    const auto text = outputOf(command);
    BOOST_TEST(text.starts_with("0\n"), command << ": " << text);
    BOOST_TEST((text.find(command == "status" ? "good" : "orders") !=
                std::string::npos),
               command << ": " << text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
