#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::membership {

/// Names of hosts of which there is news to spread. Each one goes into a
/// bounded number of heartbeat rounds; what is lost anyway is made up for when
/// two hosts notice that their views differ.
class UpdateQueue {
public:
  /// \p rounds is the number of rounds that repeat each item.
  explicit UpdateQueue(std::uint32_t rounds) : Rounds(rounds) {}

  /// Queues news of \p host, or starts it over if it is queued already.
  void push(std::string_view host);
  /// Takes the items of one round, oldest first, at most \p limit.
  std::vector<std::string> takeRound(std::size_t limit);
  bool empty() const { return Items.empty(); }

private:
  struct Item {
    std::string Host;
    std::uint32_t RoundsLeft = 0; ///< Rounds that still carry it.
  };

  std::uint32_t Rounds;
  std::deque<Item> Items; ///< At most one per host of the table.
};

} // namespace auburnroute::membership
