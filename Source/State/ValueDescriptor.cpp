#include "State/ValueDescriptor.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace auburnroute::state {

using common::toAbsl;

namespace {

ValueDescriptor make(std::string_view key, ValueType type,
                     std::string_view doc) {
  ValueDescriptor descriptor;
  descriptor.Key = key;
  descriptor.Type = type;
  descriptor.Doc = doc;
  return descriptor;
}

} // namespace

ValueDescriptor ValueDescriptor::integer(std::string_view key,
                                         std::string_view unit,
                                         std::int64_t min, std::int64_t max,
                                         std::string_view doc) {
  auto descriptor = make(key, ValueType::Integer, doc);
  descriptor.Unit = unit;
  descriptor.Min = min;
  descriptor.Max = max;
  return descriptor;
}

ValueDescriptor ValueDescriptor::share(std::string_view key, double min,
                                       double max, std::string_view doc) {
  auto descriptor = make(key, ValueType::Share, doc);
  descriptor.MinShare = min;
  descriptor.MaxShare = max;
  return descriptor;
}

ValueDescriptor ValueDescriptor::duration(std::string_view key,
                                          std::chrono::milliseconds min,
                                          std::chrono::milliseconds max,
                                          std::string_view doc) {
  auto descriptor = make(key, ValueType::Duration, doc);
  descriptor.Unit = "ms, s, m";
  descriptor.Min = min.count();
  descriptor.Max = max.count();
  return descriptor;
}

ValueDescriptor ValueDescriptor::choice(std::string_view key,
                                        std::vector<std::string_view> choices,
                                        std::string_view doc) {
  auto descriptor = make(key, ValueType::Choice, doc);
  descriptor.Choices = std::move(choices);
  return descriptor;
}

ValueDescriptor ValueDescriptor::name(std::string_view key,
                                      std::string_view doc) {
  auto descriptor = make(key, ValueType::Name, doc);
  descriptor.Min = 1;
  descriptor.Max = MaxNameSize;
  return descriptor;
}

ValueDescriptor ValueDescriptor::secret(std::string_view key, std::int64_t min,
                                        std::int64_t max,
                                        std::string_view doc) {
  auto descriptor = make(key, ValueType::Secret, doc);
  descriptor.Unit = "characters";
  descriptor.Min = min;
  descriptor.Max = max;
  return descriptor;
}

ValueDescriptor ValueDescriptor::address(std::string_view key,
                                         std::string_view doc) {
  return make(key, ValueType::Address, doc);
}

ValueDescriptor ValueDescriptor::endpoint(std::string_view key,
                                          std::string_view doc) {
  return make(key, ValueType::Endpoint, doc);
}

ValueDescriptor ValueDescriptor::endpoints(std::string_view key,
                                           std::int64_t max,
                                           std::string_view doc) {
  auto descriptor = make(key, ValueType::EndpointList, doc);
  descriptor.Max = max;
  return descriptor;
}

ValueDescriptor ValueDescriptor::required() const {
  auto descriptor = *this;
  descriptor.IsRequired = true;
  return descriptor;
}

ValueDescriptor ValueDescriptor::listening() const {
  auto descriptor = *this;
  descriptor.AllowsAnyAddress = true;
  return descriptor;
}

std::string ValueDescriptor::range() const {
  using std::chrono::milliseconds;
  switch (Type) {
  case ValueType::Integer:
    return absl::StrCat(Min, " to ", Max);
  case ValueType::Share:
    return absl::StrCat(MinShare, " to ", MaxShare);
  case ValueType::Duration:
    return absl::StrCat(formatDuration(milliseconds(Min)), " to ",
                        formatDuration(milliseconds(Max)));
  case ValueType::Choice:
    return absl::StrJoin(Choices, ", ", [](std::string *out, auto it) {
      absl::StrAppend(out, toAbsl(it));
    });
  case ValueType::Name:
  case ValueType::Secret:
    return absl::StrCat(Min, " to ", Max, " characters");
  case ValueType::EndpointList:
    return absl::StrCat("at most ", Max);
  case ValueType::Address:
  case ValueType::Endpoint:
    break;
  }
  return "";
}

std::string ValueDescriptor::accepted() const {
  switch (Type) {
  case ValueType::Integer:
    return absl::StrCat("an integer from ", range());
  case ValueType::Share:
    return absl::StrCat("a number from ", range());
  case ValueType::Duration:
    return absl::StrCat("a duration from ", range(),
                        " such as \"800ms\", \"10s\" or \"5m\"");
  case ValueType::Choice:
    return absl::StrCat("one of ", range());
  case ValueType::Name:
    return absl::StrCat("a name of ", range(),
                        " (letters, digits, '.', '_', '-')");
  case ValueType::Secret:
    return absl::StrCat("a text of ", range());
  case ValueType::Address:
    return "an IPv4 address such as 192.0.2.11";
  case ValueType::Endpoint:
    return "an address and port such as 192.0.2.1:8001";
  case ValueType::EndpointList:
    return absl::StrCat("an array of ", range(),
                        " addresses and ports such as 192.0.2.1:8001");
  }
  return "";
}

std::string ValueDescriptor::format(const SettingValue &value) const {
  switch (Type) {
  case ValueType::Integer:
    return absl::StrCat(std::get<std::int64_t>(value));
  case ValueType::Share:
    return absl::StrCat(std::get<double>(value));
  case ValueType::Duration:
    return formatDuration(std::get<std::chrono::milliseconds>(value));
  case ValueType::Choice:
    return std::string(
        Choices.at(static_cast<std::size_t>(std::get<std::int64_t>(value))));
  case ValueType::Name:
    return std::get<std::string>(value);
  case ValueType::Secret:
    return "(hidden)";
  case ValueType::Address:
    return common::addressToString(
        static_cast<std::uint32_t>(std::get<std::int64_t>(value)));
  case ValueType::Endpoint:
    return common::toString(std::get<common::Endpoint>(value));
  case ValueType::EndpointList:
    return absl::StrJoin(std::get<std::vector<common::Endpoint>>(value), ", ",
                         [](std::string *out, const auto &it) {
                           absl::StrAppend(out, common::toString(it));
                         });
  }
  return "";
}

std::string_view toString(ValueType type) {
  switch (type) {
  case ValueType::Integer:
    return "integer";
  case ValueType::Share:
    return "number";
  case ValueType::Duration:
    return "duration";
  case ValueType::Choice:
    return "choice";
  case ValueType::Name:
    return "name";
  case ValueType::Secret:
    return "text";
  case ValueType::Address:
    return "IPv4 address";
  case ValueType::Endpoint:
    return "address and port";
  case ValueType::EndpointList:
    return "array of address and port";
  }
  return "";
}

std::string formatDuration(std::chrono::milliseconds duration) {
  constexpr std::int64_t Second = 1000;
  constexpr std::int64_t Minute = 60 * Second;
  const auto n = duration.count();
  if (n != 0 && n % Minute == 0)
    return absl::StrCat(n / Minute, "m");
  if (n != 0 && n % Second == 0)
    return absl::StrCat(n / Second, "s");
  return absl::StrCat(n, "ms");
}

} // namespace auburnroute::state
