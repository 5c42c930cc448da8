#pragma once

#include "StandIns/HostPool.h"

#include <atomic>
#include <map>
#include <thread>

namespace auburnroute::standins {

/// Keeps a HostPool up to date: long-polls the platform's host list on one
/// thread and probes GET /ready of each host on a thread per host.
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
  std::map<std::string, Prober> Probers; ///< By host name; WatchThread only.
  std::thread WatchThread;
};

} // namespace auburnroute::standins
