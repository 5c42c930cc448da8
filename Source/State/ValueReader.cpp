#include "State/ValueReader.h"

#include "Common/Text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace auburnroute::state {

using common::toAbsl;

namespace {

// Keeps every duration in range of 64-bit milliseconds.
constexpr std::size_t MaxDurationDigits = 9;

bool isDigit(char ch) { return ch >= '0' && ch <= '9'; }

std::optional<std::int64_t> unitInMilliseconds(std::string_view unit) {
  if (unit == "ms")
    return 1;
  if (unit == "s")
    return 1000;
  if (unit == "m")
    return 60 * 1000;
  return std::nullopt;
}

} // namespace

std::optional<SettingValue>
ValueReader::read(const JsonNode &node, std::string_view path,
                  const ValueDescriptor &descriptor) {
  Descriptor = &descriptor;
  Path = path;
  Line = node.Line;
  switch (descriptor.Type) {
  case ValueType::Integer:
    return integer(node);
  case ValueType::Share:
    return share(node);
  case ValueType::EndpointList:
    return endpoints(node);
  default:
    return textValue(node);
  }
}

bool ValueReader::isName(std::string_view text) {
  return !text.empty() && text.size() <= ValueDescriptor::MaxNameSize &&
         std::all_of(text.begin(), text.end(), [](char ch) {
           return isDigit(ch) || (ch >= 'a' && ch <= 'z') ||
                  (ch >= 'A' && ch <= 'Z') || ch == '.' || ch == '_' ||
                  ch == '-';
         });
}

std::optional<SettingValue> ValueReader::integer(const JsonNode &node) {
  if (!node.Value.is_number())
    return addError(absl::StrCat("is ", toAbsl(node.typeNameWithArticle())));
  if (!node.Value.is_number_integer())
    return addError(absl::StrCat(node.Value.dump(), " is not an integer"));
  constexpr auto Limit = std::numeric_limits<std::int64_t>::max();
  const bool tooLarge = node.Value.is_number_unsigned() &&
                        node.Value.get<std::uint64_t>() > std::uint64_t{Limit};
  const auto value = tooLarge ? Limit : node.Value.get<std::int64_t>();
  if (tooLarge || value < Descriptor->Min || value > Descriptor->Max)
    return addError(absl::StrCat(node.Value.dump(), " is out of range"));
  return value;
}

std::optional<SettingValue> ValueReader::share(const JsonNode &node) {
  if (!node.Value.is_number())
    return addError(absl::StrCat("is ", toAbsl(node.typeNameWithArticle())));
  const auto value = node.Value.get<double>();
  if (!(value >= Descriptor->MinShare && value <= Descriptor->MaxShare))
    return addError(absl::StrCat(node.Value.dump(), " is out of range"));
  return value;
}

std::optional<SettingValue> ValueReader::endpoints(const JsonNode &node) {
  if (!node.Value.is_array())
    return addError(absl::StrCat("is ", toAbsl(node.typeNameWithArticle())));
  if (node.Items.size() > static_cast<std::size_t>(Descriptor->Max))
    return addError(absl::StrCat(node.Items.size(), " items are too many"));
  const auto &list = *Descriptor;
  const auto path = Path;
  const auto item = ValueDescriptor::endpoint(list.Key, list.Doc);
  std::vector<common::Endpoint> values;
  for (std::size_t i = 0; i < node.Items.size(); ++i)
    if (const auto value =
            read(node.Items[i], absl::StrCat(path, "[", i, "]"), item))
      values.push_back(std::get<common::Endpoint>(*value));
  if (values.size() != node.Items.size())
    return std::nullopt;
  return values;
}

std::optional<SettingValue> ValueReader::textValue(const JsonNode &node) {
  // Settings that are on or off are choices between the words of JSON.
  const auto &choices = Descriptor->Choices;
  if (node.Value.is_boolean() &&
      std::find(choices.begin(), choices.end(), "true") != choices.end())
    return choice(node.Value.get<bool>() ? "true" : "false");
  if (!node.Value.is_string())
    return addError(absl::StrCat("is ", toAbsl(node.typeNameWithArticle())));
  const auto &text = node.Value.get_ref<const std::string &>();
  switch (Descriptor->Type) {
  case ValueType::Duration:
    return duration(text);
  case ValueType::Choice:
    return choice(text);
  case ValueType::Name:
    return name(text);
  case ValueType::Secret:
    return secret(text);
  case ValueType::Address:
    return address(text);
  default:
    return endpoint(text);
  }
}

std::optional<SettingValue> ValueReader::duration(std::string_view text) {
  const auto digits = static_cast<std::size_t>(
      std::find_if_not(text.begin(), text.end(),
                       [](char ch) { return isDigit(ch) || ch == '.'; }) -
      text.begin());
  double n = 0;
  if (digits == 0 || text.front() == '.' ||
      !absl::SimpleAtod(toAbsl(text.substr(0, digits)), &n))
    return addError(absl::StrCat(quotedText(text), " is not a duration"));
  if (digits == text.size())
    return addError(absl::StrCat(quotedText(text), " has no unit"));
  const auto unit = unitInMilliseconds(text.substr(digits));
  if (!unit)
    return addError(absl::StrCat(quotedText(text), " has an unknown unit"));
  if (digits > MaxDurationDigits)
    return addError(absl::StrCat(quotedText(text), " is out of range"));
  const auto milliseconds = std::llround(n * static_cast<double>(*unit));
  if (milliseconds < Descriptor->Min || milliseconds > Descriptor->Max)
    return addError(absl::StrCat(quotedText(text), " is out of range"));
  return std::chrono::milliseconds(milliseconds);
}

std::optional<SettingValue> ValueReader::choice(std::string_view text) {
  const auto &choices = Descriptor->Choices;
  const auto it = std::find(choices.begin(), choices.end(), text);
  if (it == choices.end())
    return addError(absl::StrCat(quotedText(text), " is unknown"));
  return std::int64_t{it - choices.begin()};
}

std::optional<SettingValue> ValueReader::name(std::string_view text) {
  if (!isName(text))
    return addError(absl::StrCat(quotedText(text), " is not a name"));
  return std::string(text);
}

std::optional<SettingValue> ValueReader::secret(std::string_view text) {
  const auto size = static_cast<std::int64_t>(text.size());
  if (size < Descriptor->Min || size > Descriptor->Max)
    return addError(absl::StrCat("has ", size, " characters"));
  return std::string(text);
}

std::optional<SettingValue> ValueReader::address(std::string_view text) {
  const auto parsed = common::parseEndpoint(absl::StrCat(toAbsl(text), ":1"));
  if (!parsed.ok() || common::addressToString(parsed->Address) != text)
    return addError(absl::StrCat(quotedText(text), " is not an address"));
  if (parsed->Address == 0)
    return addError("0.0.0.0 is not the address of a host");
  return std::int64_t{parsed->Address};
}

std::optional<SettingValue> ValueReader::endpoint(std::string_view text) {
  const auto parsed = common::parseEndpoint(text);
  // Accepts the written form of the endpoint only, so that it is unambiguous.
  if (!parsed.ok() || common::toString(*parsed) != text)
    return addError(
        absl::StrCat(quotedText(text), " is not an address and port"));
  if (parsed->Address == 0 && !Descriptor->AllowsAnyAddress)
    return addError("0.0.0.0 is not the address of a host");
  return *parsed;
}

std::nullopt_t ValueReader::addError(std::string_view what) {
  Errors.add(Line, Path, what, Descriptor->accepted());
  return std::nullopt;
}

} // namespace auburnroute::state
