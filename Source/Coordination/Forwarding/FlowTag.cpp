#include "Coordination/Forwarding/FlowTag.h"

namespace auburnroute::forwarding {

namespace {

constexpr std::uint32_t WideBit = 1;
// Range of the backend server's clock that both layouts keep: 2^24 ms.
constexpr unsigned TimeBits = 24;

struct Layout {
  unsigned NumberBits;
  unsigned DroppedBits; ///< Low bits of the timestamp that are not kept.

  unsigned tagBits() const { return NumberBits + 1; }
  std::uint32_t numberMask() const { return (1U << NumberBits) - 1; }
};

constexpr Layout Narrow{7, 0};
constexpr Layout Wide{12, 5};
static_assert(32 - (Narrow.NumberBits + 1) + Narrow.DroppedBits == TimeBits);
static_assert(32 - (Wide.NumberBits + 1) + Wide.DroppedBits == TimeBits);

/// The layout that the lowest bit of a tag or timestamp selects.
const Layout &layoutOf(std::uint32_t value) {
  return (value & WideBit) != 0 ? Wide : Narrow;
}

} // namespace

std::uint32_t FlowTag::encode(const FlowKey &key, std::uint16_t number,
                              std::uint64_t seed) {
  const auto marker = number > MaxNarrowNumber ? WideBit : 0;
  const auto masked = number ^ static_cast<std::uint32_t>(key.hash(seed));
  return ((masked & layoutOf(marker).numberMask()) << 1) | marker;
}

std::uint16_t FlowTag::decode(const FlowKey &key, std::uint32_t tag,
                              std::uint64_t seed) {
  const auto masked = (tag >> 1) ^ static_cast<std::uint32_t>(key.hash(seed));
  const auto number =
      static_cast<std::uint16_t>(masked & layoutOf(tag).numberMask());
  const bool isWide = (tag & WideBit) != 0;
  return isWide == (number > MaxNarrowNumber) ? number : std::uint16_t{0};
}

std::uint32_t FlowTag::tagValue(std::uint32_t value, std::uint32_t tag) {
  const auto &layout = layoutOf(tag);
  return ((value >> layout.DroppedBits) << layout.tagBits()) | tag;
}

std::uint32_t FlowTag::tagOf(std::uint32_t echo) {
  return echo & ((1U << layoutOf(echo).tagBits()) - 1);
}

std::uint32_t FlowTag::restoreEcho(std::uint32_t echo,
                                   std::uint32_t lastValue) {
  constexpr std::uint32_t Span = 1U << TimeBits;
  const auto &layout = layoutOf(echo);
  const std::uint32_t low = (echo >> layout.tagBits()) << layout.DroppedBits;
  std::uint32_t value = (lastValue & ~(Span - 1)) | low;
  // The upper bits may be off by one span in either direction.
  const auto distance = static_cast<std::int32_t>(value - lastValue);
  if (distance > static_cast<std::int32_t>(Span / 2))
    value -= Span;
  else if (distance < -static_cast<std::int32_t>(Span / 2))
    value += Span;
  return value;
}

} // namespace auburnroute::forwarding
