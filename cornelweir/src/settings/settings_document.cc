#include "cornelweir/src/settings/settings_document.h"

#include <cstddef>
#include <utility>

namespace cornelweir::settings::internal {

void settings_document::AddFault(std::string place, std::string reason) {
  faults_.push_back(settings_fault{std::move(place), std::move(reason)});
}

void settings_document::Parse(std::string_view text) {
  // The library silently keeps the last of two equal keys, but the first may be the intended one.
  std::vector<std::set<std::string>> open_objects;
  const auto check_keys = [&](int, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) open_objects.emplace_back();
    if (event == json::parse_event_t::object_end) open_objects.pop_back();
    if (event == json::parse_event_t::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!open_objects.back().insert(key).second) AddFault(key, "the key occurs twice");
    }
    return true;
  };
  try {
    root_ = json::parse(text, check_keys, /*allow_exceptions=*/true, /*ignore_comments=*/true);
  } catch (const json::exception& error) {
    AddFault("syntax", error.what());
    root_ = json::object();
    return;
  }
  if (root_.is_object()) return;
  AddFault("syntax", "the settings must be one JSON object");
  root_ = json::object();
}

void settings_document::Override(const std::string& assignment) {
  const std::size_t equals = assignment.find('=');
  if (equals == std::string::npos || equals == 0) {
    AddFault(assignment, "an override has the form key=value or section.key=value");
    return;
  }
  const std::string place = assignment.substr(0, equals);
  json* section = &root_;
  std::size_t begin = 0;
  for (std::size_t dot = place.find('.'); dot != std::string::npos; dot = place.find('.', begin)) {
    json& inner = (*section)[place.substr(begin, dot - begin)];
    if (inner.is_null()) inner = json::object();
    if (!inner.is_object()) {
      AddFault(place, "the override names a key inside a value that is not a section");
      return;
    }
    section = &inner;
    begin = dot + 1;
  }
  (*section)[place.substr(begin)] = assignment.substr(equals + 1);
  overridden_.insert(place);
}

}  // namespace cornelweir::settings::internal
