#pragma once

#include "State/ValueDescriptor.h"

#include <optional>
#include <type_traits>
#include <vector>

namespace auburnroute::state {

/// Binds a described value to a data member of \p Target.
template <class Target> struct FieldDescriptor {
  ValueDescriptor Value;
  void (*Set)(Target &, const SettingValue &) = nullptr;
  SettingValue (*Get)(const Target &) = nullptr;

  /// The default of the data member, so that it is defined in one place.
  SettingValue defaultValue() const { return Get(Target{}); }
};

/// All described values of one kind of object, in the order of the reference
/// page.
template <class Target> using FieldTable = std::vector<FieldDescriptor<Target>>;

/// The alternative of SettingValue that holds a data member of type Field.
template <class Field> struct StoredAs {
  using Type =
      std::conditional_t<std::is_enum_v<Field> || std::is_integral_v<Field>,
                         std::int64_t, Field>;
  static Type of(const Field &value) { return static_cast<Type>(value); }
};
/// An absent endpoint is stored as one with port 0.
template <> struct StoredAs<std::optional<common::Endpoint>> {
  using Type = common::Endpoint;
  static Type of(const std::optional<Type> &value) {
    return value.value_or(Type{});
  }
};

/// The descriptor of the data member \p Member.
template <class Target, auto Member>
FieldDescriptor<Target> field(ValueDescriptor value) {
  using Field = std::remove_cvref_t<decltype(std::declval<Target>().*Member)>;
  using Stored = StoredAs<Field>;
  using Type = typename Stored::Type;
  return {std::move(value),
          [](Target &target, const SettingValue &v) {
            target.*Member = static_cast<Field>(std::get<Type>(v));
          },
          [](const Target &target) {
            return SettingValue(Stored::of(target.*Member));
          }};
}

} // namespace auburnroute::state
