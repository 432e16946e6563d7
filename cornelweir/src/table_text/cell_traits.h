#ifndef CORNELWEIR_SRC_TABLE_TEXT_CELL_TRAITS_H_
#define CORNELWEIR_SRC_TABLE_TEXT_CELL_TRAITS_H_

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::table_text::internal {

// Converts a cell of type T to and from text. Parse returns the reason of a refusal, or null.
template <class T>
struct cell_traits;

template <>
struct cell_traits<std::int64_t> {
  static std::string Text(std::int64_t value) { return std::to_string(value); }
  static const char* Parse(std::string_view text, std::int64_t& value) {
    const char* last = text.data() + text.size();
    const auto [end, status] = std::from_chars(text.data(), last, value);
    return status == std::errc{} && end == last ? nullptr : "is not a whole number";
  }
};

template <>
struct cell_traits<bool> {
  static std::string Text(bool value) { return value ? "true" : "false"; }
  // Spreadsheets write TRUE and FALSE.
  static const char* Parse(std::string_view text, bool& value) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    if (lower != "true" && lower != "false") return "is not true or false";
    value = lower == "true";
    return nullptr;
  }
};

template <>
struct cell_traits<std::string> {
  static std::string Text(const std::string& value) { return value; }
  static const char* Parse(std::string_view text, std::string& value) {
    value = std::string(text);
    return nullptr;
  }
};

template <class Tag, class Rep>
struct cell_traits<kernel::strong_id<Tag, Rep>> {
  using id = kernel::strong_id<Tag, Rep>;
  static std::string Text(const id& value) { return cell_traits<Rep>::Text(value.value()); }
  static const char* Parse(std::string_view text, id& value) {
    Rep raw{};
    if (const char* reason = cell_traits<Rep>::Parse(text, raw)) return reason;
    value = id(std::move(raw));
    return nullptr;
  }
};

template <class T>
struct cell_traits<std::vector<T>> {
  static std::string Text(const std::vector<T>& values) {
    std::string text;
    for (const T& value : values) {
      if (!text.empty()) text += ' ';
      text += cell_traits<T>::Text(value);
    }
    return text;
  }
  static const char* Parse(std::string_view text, std::vector<T>& values) {
    std::vector<T> parsed;
    while (true) {
      text.remove_prefix(std::min(text.find_first_not_of(", "), text.size()));
      if (text.empty()) break;
      const std::size_t end = std::min(text.find_first_of(", "), text.size());
      if (const char* reason = cell_traits<T>::Parse(text.substr(0, end), parsed.emplace_back())) {
        return reason;
      }
      text.remove_prefix(end);
    }
    values = std::move(parsed);
    return nullptr;
  }
};

}  // namespace cornelweir::table_text::internal

#endif  // CORNELWEIR_SRC_TABLE_TEXT_CELL_TRAITS_H_
