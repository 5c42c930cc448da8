#include "Coordination/Placement/FlowRecords.h"

#include "Common/Invariant.h"

namespace auburnroute::placement {

void FlowRecords::remap(std::span<const std::uint32_t> newIds,
                        std::size_t servers) {
  const auto before = std::move(Lists);
  Lists.assign(servers, {});
  for (std::size_t id = 0; id < before.size(); ++id)
    for (const auto &list : before[id])
      for (auto n = list.First; n != None;) {
        const auto next = Nodes[n].Next;
        if (newIds[id] == RemovedServer) {
          Index.erase(Nodes[n].Flow.Key);
          Nodes[n].Next = FirstFree;
          FirstFree = n;
        } else {
          Nodes[n].Flow.BackendServer = newIds[id];
          append(n);
        }
        n = next;
      }
}

PlacedFlow *FlowRecords::find(const forwarding::FlowKey &key) {
  const auto it = Index.find(key);
  return it == Index.end() ? nullptr : &Nodes[it->second].Flow;
}

void FlowRecords::add(const PlacedFlow &flow) {
  common::invariant(!isFull(),
                    "add() must not be called when FlowRecords is full");
  auto n = FirstFree;
  if (n == None) {
    n = static_cast<std::uint32_t>(Nodes.size());
    Nodes.emplace_back();
  } else {
    FirstFree = Nodes[n].Next;
  }
  Nodes[n].Flow = flow;
  common::invariant(Index.emplace(flow.Key, n).second,
                    "a flow must not be placed twice");
  append(n);
}

void FlowRecords::remove(const forwarding::FlowKey &key) {
  const auto it = Index.find(key);
  common::invariant(it != Index.end(), "the flow to remove must be recorded");
  unlink(it->second);
  Nodes[it->second].Next = FirstFree;
  FirstFree = it->second;
  Index.erase(it);
}

std::uint32_t FlowRecords::count(std::uint32_t server,
                                 state::ListenerKind kind) const {
  return listOf(server, kind).Count;
}

std::uint32_t FlowRecords::countBefore(std::uint32_t server,
                                       state::ListenerKind kind,
                                       common::TimePoint time,
                                       std::uint32_t limit) const {
  std::uint32_t count = 0;
  for (auto n = listOf(server, kind).First;
       n != None && count < limit && Nodes[n].Flow.PlacedAt < time;
       n = Nodes[n].Next)
    ++count;
  return count;
}

std::uint32_t FlowRecords::countSince(std::uint32_t server,
                                      state::ListenerKind kind,
                                      common::TimePoint time,
                                      std::uint32_t limit) const {
  std::uint32_t count = 0;
  for (auto n = listOf(server, kind).Last;
       n != None && count < limit && Nodes[n].Flow.PlacedAt >= time;
       n = Nodes[n].Previous)
    ++count;
  return count;
}

std::uint32_t FlowRecords::removeOldest(std::uint32_t server,
                                        state::ListenerKind kind,
                                        std::uint32_t n,
                                        common::TimePoint time) {
  std::uint32_t removed = 0;
  while (removed < n) {
    const auto first = listOf(server, kind).First;
    if (first == None || Nodes[first].Flow.PlacedAt >= time)
      break;
    remove(forwarding::FlowKey(Nodes[first].Flow.Key));
    ++removed;
  }
  return removed;
}

FlowRecords::List &FlowRecords::listOf(const PlacedFlow &flow) {
  return Lists[flow.BackendServer][static_cast<std::size_t>(flow.Kind)];
}

const FlowRecords::List &FlowRecords::listOf(std::uint32_t server,
                                             state::ListenerKind kind) const {
  return Lists[server][static_cast<std::size_t>(kind)];
}

void FlowRecords::append(std::uint32_t node) {
  auto &list = listOf(Nodes[node].Flow);
  Nodes[node].Previous = list.Last;
  Nodes[node].Next = None;
  (list.Last == None ? list.First : Nodes[list.Last].Next) = node;
  list.Last = node;
  ++list.Count;
}

void FlowRecords::unlink(std::uint32_t node) {
  auto &list = listOf(Nodes[node].Flow);
  const auto previous = Nodes[node].Previous;
  const auto next = Nodes[node].Next;
  (previous == None ? list.First : Nodes[previous].Next) = next;
  (next == None ? list.Last : Nodes[next].Previous) = previous;
  common::invariant(list.Count > 0,
                    "the list that a flow is removed from must not be empty");
  --list.Count;
}

} // namespace auburnroute::placement
