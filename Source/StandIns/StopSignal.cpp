#include "StandIns/StopSignal.h"

#include <csignal>
#include <thread>

namespace auburnroute::standins {

namespace {

volatile std::sig_atomic_t SignalArrived = 0;

void onSignal(int) { SignalArrived = 1; }

} // namespace

void StopSignal::install() {
  struct sigaction action {};
  action.sa_handler = onSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

bool StopSignal::hasArrived() { return SignalArrived != 0; }

void StopSignal::wait() {
  while (!hasArrived())
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

} // namespace auburnroute::standins
