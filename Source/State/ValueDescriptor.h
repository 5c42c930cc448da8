#pragma once

#include "Common/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnroute::state {

/// A value as read: integers, IPv4 addresses and the index of a choice are
/// std::int64_t, shares are double.
using SettingValue =
    std::variant<std::int64_t, double, std::chrono::milliseconds, std::string,
                 common::Endpoint, std::vector<common::Endpoint>>;

/// What a value is and how it is written.
enum class ValueType {
  Integer,
  Share,        ///< A number without unit.
  Duration,     ///< "800ms", "10s" or "5m".
  Choice,       ///< One of a list of words.
  Name,         ///< Letters, digits, '.', '_' and '-'.
  Secret,       ///< Text that messages never repeat.
  Address,      ///< IPv4 address.
  Endpoint,     ///< IPv4 address and port.
  EndpointList, ///< Array of endpoints.
};

/// Key, type, unit, range and meaning of one value of a settings file.
struct ValueDescriptor {
  std::string_view Key;
  ValueType Type = ValueType::Integer;
  std::string_view Doc;
  std::string_view Unit;
  std::int64_t Min = 0; ///< Integer; milliseconds; bytes of a text; items.
  std::int64_t Max = 0;
  double MinShare = 0;
  double MaxShare = 1;
  std::vector<std::string_view> Choices; ///< In the order of the enum.
  bool IsRequired = false;
  bool AllowsAnyAddress = false; ///< Whether 0.0.0.0 is accepted.

  static constexpr std::int64_t MaxNameSize = 63; ///< As in DNS labels.

  static ValueDescriptor integer(std::string_view key, std::string_view unit,
                                 std::int64_t min, std::int64_t max,
                                 std::string_view doc);
  static ValueDescriptor share(std::string_view key, double min, double max,
                               std::string_view doc);
  static ValueDescriptor duration(std::string_view key,
                                  std::chrono::milliseconds min,
                                  std::chrono::milliseconds max,
                                  std::string_view doc);
  static ValueDescriptor choice(std::string_view key,
                                std::vector<std::string_view> choices,
                                std::string_view doc);
  static ValueDescriptor name(std::string_view key, std::string_view doc);
  static ValueDescriptor secret(std::string_view key, std::int64_t min,
                                std::int64_t max, std::string_view doc);
  static ValueDescriptor address(std::string_view key, std::string_view doc);
  static ValueDescriptor endpoint(std::string_view key, std::string_view doc);
  static ValueDescriptor endpoints(std::string_view key, std::int64_t max,
                                   std::string_view doc);

  /// The same descriptor for a key that must be present.
  ValueDescriptor required() const;
  /// The same descriptor for an endpoint to listen on, where 0.0.0.0 stands
  /// for every address of the machine.
  ValueDescriptor listening() const;

  /// Range in words, such as "1 to 4095"; empty if there is none.
  std::string range() const;
  /// What is accepted, for messages.
  std::string accepted() const;
  /// \p value as it is written in the file, without quotes. Secrets are not
  /// shown.
  std::string format(const SettingValue &value) const;
};

/// Name of a type for the reference page.
std::string_view toString(ValueType type);

/// The shortest exact form with one of the units ms, s and m.
std::string formatDuration(std::chrono::milliseconds duration);

} // namespace auburnroute::state
