#include "cornelweir/src/settings/section_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

#include "cornelweir/src/kernel/nearest_name.h"
#include "cornelweir/src/settings/endpoint_text.h"
#include "cornelweir/src/settings/limits.h"

namespace cornelweir::settings::internal {
namespace {

bool IsValidName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

constexpr const char* kNameRule = "must be a text of 1 to 64 letters, digits, '-', '_' or '.'";
constexpr const char* kEndpointRule =
    "must be an IP address and port such as \"127.0.0.1:7000\" or \"[::1]:7000\"";

std::vector<std::string> SplitAtCommas(std::string_view text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t comma = std::min(text.find(',', begin), text.size());
    parts.emplace_back(text.substr(begin, comma - begin));
    begin = comma + 1;
  }
  return parts;
}

}  // namespace

section_reader::section_reader(settings_document& document, const json& section, std::string place)
    : document_(document), section_(section), place_(std::move(place)) {}

std::string section_reader::PlaceOf(std::string_view key) const {
  return place_.empty() ? std::string(key) : place_ + "." + std::string(key);
}

void section_reader::AddFault(std::string_view key, std::string reason) {
  document_.AddFault(PlaceOf(key), std::move(reason));
}

const json* section_reader::Find(std::string_view key) {
  known_.push_back(key);
  const auto found = section_.find(std::string(key));
  return found == section_.end() ? nullptr : &*found;
}

const json* section_reader::Require(std::string_view key) {
  const json* value = Find(key);
  if (value == nullptr) AddFault(key, "is missing");
  return value;
}

void section_reader::Name(std::string_view key, std::string& value) {
  const json* found = Require(key);
  if (found == nullptr) return;
  if (!found->is_string() || !IsValidName(found->get_ref<const std::string&>())) {
    AddFault(key, kNameRule);
    return;
  }
  value = found->get<std::string>();
}

void section_reader::Endpoint(std::string_view key, port_rule rule, kernel::endpoint& value) {
  const json* found = Require(key);
  if (found == nullptr) return;
  const auto parsed =
      found->is_string() ? ParseEndpoint(found->get_ref<const std::string&>()) : std::nullopt;
  if (!parsed) {
    AddFault(key, kEndpointRule);
    return;
  }
  if (parsed->port() == 0 && rule == port_rule::kNotZero) {
    AddFault(key, "port 0 is only for an address to listen at");
  }
  value = kernel::endpoint(found->get<std::string>());
}

void section_reader::AbsolutePath(std::string_view key, std::string& value) {
  const json* found = Require(key);
  if (found == nullptr) return;
  const bool absolute = found->is_string() && !found->get_ref<const std::string&>().empty() &&
                        found->get_ref<const std::string&>().front() == '/' &&
                        found->get_ref<const std::string&>().size() <= kMaxPathBytes;
  if (!absolute) {
    AddFault(key, "must be an absolute path");
    return;
  }
  value = found->get<std::string>();
}

bool section_reader::CheckList(std::string_view key, const json& list, std::size_t most) {
  if (list.is_array() && !list.empty() && list.size() <= most) return true;
  AddFault(key, "must be a list of 1 to " + std::to_string(most) + " elements");
  return false;
}

std::vector<std::string> section_reader::Texts(std::string_view key, std::size_t most) {
  const json* found = Require(key);
  if (found == nullptr) return {};
  json list = *found;
  if (list.is_string() && document_.IsOverridden(PlaceOf(key))) {
    list = SplitAtCommas(list.get<std::string>());
  }
  if (!CheckList(key, list, most)) return {};
  std::vector<std::string> texts;
  std::set<std::string> seen;
  for (const json& element : list) {
    const std::string place = std::string(key) + "[" + std::to_string(texts.size()) + "]";
    texts.push_back(element.is_string() ? element.get<std::string>() : std::string());
    if (!element.is_string()) {
      AddFault(place, "must be a text");
    } else if (!seen.insert(texts.back()).second) {
      AddFault(place, "occurs twice in the list");
    }
  }
  return texts;
}

void section_reader::Names(std::string_view key, std::size_t most,
                           std::vector<std::string>& values) {
  values = Texts(key, most);
  for (std::size_t index = 0; index < values.size(); ++index) {
    if (IsValidName(values[index])) continue;
    AddFault(std::string(key) + "[" + std::to_string(index) + "]", kNameRule);
  }
}

void section_reader::Endpoints(std::string_view key, std::size_t most,
                               std::vector<kernel::endpoint>& values) {
  values.clear();
  for (std::string& text : Texts(key, most)) {
    const std::string place = std::string(key) + "[" + std::to_string(values.size()) + "]";
    const auto parsed = ParseEndpoint(text);
    if (!parsed) {
      AddFault(place, kEndpointRule);
    } else if (parsed->port() == 0) {
      AddFault(place, "port 0 is only for an address to listen at");
    }
    values.emplace_back(std::move(text));
  }
}

void section_reader::Sections(std::string_view key, std::size_t most,
                              const std::function<void(section_reader&)>& read) {
  const json* found = Require(key);
  if (found == nullptr) return;
  json list = *found;
  if (list.is_string() && document_.IsOverridden(PlaceOf(key))) {
    list = json::parse(list.get<std::string>(), nullptr, /*allow_exceptions=*/false);
  }
  if (!CheckList(key, list, most)) return;
  for (std::size_t index = 0; index < list.size(); ++index) {
    const std::string element = std::string(key) + "[" + std::to_string(index) + "]";
    if (!list[index].is_object()) {
      AddFault(element, "must be a section { ... }");
      continue;
    }
    section_reader reader(document_, list[index], PlaceOf(element));
    read(reader);
    reader.RefuseUnknownKeys();
  }
}

void section_reader::OptionalFlag(std::string_view key, bool& value) {
  const json* found = Find(key);
  if (found == nullptr) return;
  if (found->is_boolean()) {
    value = found->get<bool>();
    return;
  }
  const bool overridden = found->is_string() && document_.IsOverridden(PlaceOf(key));
  const std::string text = overridden ? found->get<std::string>() : std::string();
  if (text != "true" && text != "false") {
    AddFault(key, "must be true or false");
    return;
  }
  value = text == "true";
}

void section_reader::OptionalNumber(std::string_view key, std::int64_t least, std::int64_t most,
                                    std::int64_t& value) {
  const json* found = Find(key);
  if (found == nullptr) return;
  std::int64_t number = 0;
  bool valid = false;
  if (found->is_number_integer()) {
    valid =
        !found->is_number_unsigned() || std::in_range<std::int64_t>(found->get<std::uint64_t>());
    if (valid) number = found->get<std::int64_t>();
  } else if (found->is_string() && document_.IsOverridden(PlaceOf(key))) {
    const auto& text = found->get_ref<const std::string&>();
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    valid = status == std::errc{} && end == text.data() + text.size();
  }
  if (!valid || number < least || number > most) {
    AddFault(key, "must be a whole number from " + std::to_string(least) + " to " +
                      std::to_string(most));
    return;
  }
  value = number;
}

void section_reader::OptionalReal(std::string_view key, std::int64_t most, double& value) {
  const json* found = Find(key);
  if (found == nullptr) return;
  if (!found->is_number() || found->get<double>() < 0 ||
      found->get<double>() > static_cast<double>(most)) {
    AddFault(key, "must be a number from 0 to " + std::to_string(most));
    return;
  }
  value = found->get<double>();
}

void section_reader::OptionalDuration(std::string_view key, kernel::milliseconds least,
                                      kernel::milliseconds most, kernel::milliseconds& value) {
  const json* found = Find(key);
  if (found == nullptr) return;
  const std::string text = found->is_string() ? found->get<std::string>() : std::string();
  double count = 0;
  const char* const end = text.data() + text.size();
  const auto [unit, parse_error] =
      std::from_chars(text.data(), end, count, std::chars_format::fixed);
  const std::string_view unit_text(unit, static_cast<std::size_t>(end - unit));
  const int unit_ms = unit_text == "ms" ? 1 : unit_text == "s" ? 1'000 : 0;
  const double total_ms = std::round(count * unit_ms);
  // Not-a-number is outside every range.
  const bool in_range = total_ms >= static_cast<double>(least.count()) &&
                        total_ms <= static_cast<double>(most.count());
  if (parse_error != std::errc() || unit_ms == 0 || !in_range) {
    AddFault(key, "must be a time from " + std::to_string(least.count()) + "ms to " +
                      std::to_string(most.count()) + "ms, with its unit ms or s");
    return;
  }
  value = kernel::milliseconds(static_cast<std::int64_t>(total_ms));
}

void section_reader::OptionalMilliseconds(std::string_view key, std::int64_t least,
                                          std::int64_t most, std::int64_t& value) {
  constexpr std::string_view kUnitEnding = "_ms";
  const std::string_view key_with_unit = key.substr(0, key.size() - kUnitEnding.size());
  if (Has(key) && Has(key_with_unit)) {
    AddFault(key_with_unit, "is also given as '" + std::string(key) + "'");
  }
  OptionalNumber(key, least, most, value);
  kernel::milliseconds duration(value);
  OptionalDuration(key_with_unit, kernel::milliseconds(least), kernel::milliseconds(most),
                   duration);
  value = duration.count();
}

bool section_reader::OptionalSection(std::string_view key,
                                     const std::function<void(section_reader&)>& read) {
  const json* found = Find(key);
  if (found == nullptr) return false;
  if (!found->is_object()) {
    AddFault(key, "must be a section { ... }");
    return false;
  }
  section_reader reader(document_, *found, PlaceOf(key));
  read(reader);
  reader.RefuseUnknownKeys();
  return true;
}

void section_reader::RefuseUnknownKeys() {
  for (const auto& [key, value] : section_.items()) {
    if (std::find(known_.begin(), known_.end(), key) != known_.end()) continue;
    const std::string_view nearest = kernel::NearestName(key, known_);
    AddFault(key, nearest.empty()
                      ? "is not a known key"
                      : "is not a known key; did you mean '" + std::string(nearest) + "'?");
  }
}

}  // namespace cornelweir::settings::internal
