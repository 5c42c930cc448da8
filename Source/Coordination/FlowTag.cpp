#include "Coordination/FlowTag.h"

namespace auburnroute::coordination {

std::uint32_t FlowTag::encode(const FlowKey &key, std::uint16_t number,
                              std::uint64_t seed) {
  return (number ^ static_cast<std::uint32_t>(key.hash(seed))) & Mask;
}

std::uint16_t FlowTag::decode(const FlowKey &key, std::uint32_t tag,
                              std::uint64_t seed) {
  return static_cast<std::uint16_t>(
      (tag ^ static_cast<std::uint32_t>(key.hash(seed))) & Mask);
}

std::uint32_t FlowTag::tagValue(std::uint32_t value, std::uint32_t tag) {
  return ((value >> DroppedBits) << Bits) | (tag & Mask);
}

std::uint32_t FlowTag::restoreEcho(std::uint32_t echo,
                                   std::uint32_t lastValue) {
  // The echo holds bits 4 to 23 of the server's timestamp.
  constexpr unsigned KeptBits = 32 - Bits + DroppedBits;
  constexpr std::uint32_t Span = 1U << KeptBits;
  const std::uint32_t low = (echo >> Bits) << DroppedBits;
  std::uint32_t value = (lastValue & ~(Span - 1)) | low;
  // Signed distance decides between the neighbouring spans.
  const auto distance = static_cast<std::int32_t>(value - lastValue);
  if (distance > static_cast<std::int32_t>(Span / 2))
    value -= Span;
  else if (distance < -static_cast<std::int32_t>(Span / 2))
    value += Span;
  return value;
}

} // namespace auburnroute::coordination
