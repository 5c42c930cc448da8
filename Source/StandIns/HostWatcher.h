#pragma once

#include "StandIns/HostPool.h"

#include <atomic>
#include <map>
#include <thread>

namespace auburnroute::standins {

/// Keeps a HostPool current: watches the platform's host list and probes each
/// host's GET /ready, both on threads of its own.
class HostWatcher {
public:
  HostWatcher(HostPool &pool, common::Endpoint platform);
  ~HostWatcher();
  HostWatcher(const HostWatcher &) = delete;
  HostWatcher &operator=(const HostWatcher &) = delete;

private:
  struct Prober {
    common::Endpoint Operator;
    std::atomic<bool> IsStopped{false};
    std::thread Thread;
  };

  void watchHostList();
  void updateProbers();
  void runProber(Prober &prober, const std::string &name);
  static void stopProber(Prober &prober);

  HostPool &Pool;
  common::Endpoint Platform;
  std::atomic<bool> IsStopped{false};
  std::map<std::string, Prober> Probers; ///< By host; of the watch thread.
  std::thread WatchThread;
};

} // namespace auburnroute::standins
