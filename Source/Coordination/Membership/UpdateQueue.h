#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::membership {

/// Names of hosts whose state is to be sent to the neighbours. Each name is
/// taken for a fixed number of heartbeat rounds; updates that are lost in all
/// of them are recovered when two hosts find that their view digests differ.
class UpdateQueue {
public:
  /// \p rounds is the number of rounds that carry each update.
  explicit UpdateQueue(std::uint32_t rounds) : Rounds(rounds) {}

  /// Queues \p host, or resets its remaining rounds if it is queued already.
  void push(std::string_view host);
  /// Takes the names for one round, oldest first, at most \p limit.
  std::vector<std::string> takeRound(std::size_t limit);
  bool empty() const { return Items.empty(); }

private:
  struct Item {
    std::string Host;
    std::uint32_t RoundsLeft = 0;
  };

  std::uint32_t Rounds;
  std::deque<Item> Items; ///< At most one per host of the table.
};

} // namespace auburnroute::membership
