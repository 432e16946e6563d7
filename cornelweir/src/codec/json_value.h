#ifndef CORNELWEIR_SRC_CODEC_JSON_VALUE_H_
#define CORNELWEIR_SRC_CODEC_JSON_VALUE_H_

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/src/codec/codec_error.h"
#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/strong_id.h"
#include "cornelweir/src/table/row_key.h"

namespace cornelweir::codec {

using json = nlohmann::json;

// Converts a value to and from the JSON data model. Specialized for each shape of type: numbers,
// strings, ids, lists, optionals, maps, types that list their fields, and variants of those.
template <class T>
struct json_traits;

// The JSON form of a value.
template <class T>
json ToJson(const T& value) {
  return json_traits<T>::To(value);
}

// Reads a value from its JSON form. Errors carry a codec_error that names the member.
template <class T>
boost::leaf::result<void> FromJson(const json& from, T& value, const std::string& place) {
  return json_traits<T>::From(from, value, place);
}

namespace internal {

inline boost::leaf::error_id WrongType(const std::string& place) {
  return boost::leaf::new_error(codec_error{codec_fault::kWrongType, place});
}

}  // namespace internal

template <>
struct json_traits<bool> {
  static json To(bool value) { return value; }
  static boost::leaf::result<void> From(const json& from, bool& value, const std::string& place) {
    if (!from.is_boolean()) return internal::WrongType(place);
    value = from.get<bool>();
    return {};
  }
};

template <class T>
requires std::is_integral_v<T>
struct json_traits<T> {
  static json To(T value) { return value; }
  static boost::leaf::result<void> From(const json& from, T& value, const std::string& place) {
    if (!from.is_number_integer()) return internal::WrongType(place);
    if (from.is_number_unsigned()) {
      const auto number = from.get<std::uint64_t>();
      if (!std::in_range<T>(number)) return internal::WrongType(place);
      value = static_cast<T>(number);
    } else {
      const auto number = from.get<std::int64_t>();
      if (!std::in_range<T>(number)) return internal::WrongType(place);
      value = static_cast<T>(number);
    }
    return {};
  }
};

template <class T>
requires std::is_enum_v<T>
struct json_traits<T> {
  using number = std::underlying_type_t<T>;
  static json To(T value) { return static_cast<number>(value); }
  static boost::leaf::result<void> From(const json& from, T& value, const std::string& place) {
    number raw{};
    BOOST_LEAF_CHECK(FromJson(from, raw, place));
    value = static_cast<T>(raw);
    return {};
  }
};

// Durations travel as their count; each field has one unit.
template <class Rep, class Period>
struct json_traits<std::chrono::duration<Rep, Period>> {
  using duration = std::chrono::duration<Rep, Period>;
  static json To(duration value) { return value.count(); }
  static boost::leaf::result<void> From(const json& from, duration& value,
                                        const std::string& place) {
    Rep count{};
    BOOST_LEAF_CHECK(FromJson(from, count, place));
    value = duration(count);
    return {};
  }
};

template <>
struct json_traits<double> {
  static json To(double value) { return value; }
  static boost::leaf::result<void> From(const json& from, double& value, const std::string& place) {
    if (!from.is_number()) return internal::WrongType(place);
    value = from.get<double>();
    return {};
  }
};

// Kinds of rows travel by name, so that messages and operators' requests read alike.
template <>
struct json_traits<table::row_kind> {
  static json To(table::row_kind value) { return std::string(table::RowKindName(value)); }
  static boost::leaf::result<void> From(const json& from, table::row_kind& value,
                                        const std::string& place) {
    if (!from.is_string() || !table::ParseRowKind(from.get_ref<const std::string&>(), value)) {
      return internal::WrongType(place);
    }
    return {};
  }
};

template <>
struct json_traits<std::string> {
  static json To(const std::string& value) { return value; }
  static boost::leaf::result<void> From(const json& from, std::string& value,
                                        const std::string& place) {
    if (!from.is_string()) return internal::WrongType(place);
    value = from.get<std::string>();
    return {};
  }
};

template <>
struct json_traits<kernel::byte_string> {
  static json To(const kernel::byte_string& value) {
    return json::binary(json::binary_t::container_type(value.bytes.begin(), value.bytes.end()));
  }
  static boost::leaf::result<void> From(const json& from, kernel::byte_string& value,
                                        const std::string& place) {
    if (!from.is_binary()) return internal::WrongType(place);
    const auto& bytes = from.get_binary();
    value.bytes.assign(bytes.begin(), bytes.end());
    return {};
  }
};

template <class Tag, class Rep>
struct json_traits<kernel::strong_id<Tag, Rep>> {
  using id = kernel::strong_id<Tag, Rep>;
  static json To(const id& value) { return ToJson(value.value()); }
  static boost::leaf::result<void> From(const json& from, id& value, const std::string& place) {
    Rep raw{};
    BOOST_LEAF_CHECK(FromJson(from, raw, place));
    value = id(std::move(raw));
    return {};
  }
};

template <class T>
struct json_traits<std::vector<T>> {
  static json To(const std::vector<T>& value) {
    json list = json::array();
    for (const T& element : value) list.push_back(ToJson(element));
    return list;
  }
  static boost::leaf::result<void> From(const json& from, std::vector<T>& value,
                                        const std::string& place) {
    if (!from.is_array()) return internal::WrongType(place);
    value.clear();
    value.reserve(from.size());
    for (const json& element : from) {
      T decoded{};
      BOOST_LEAF_CHECK(FromJson(element, decoded, place + "[]"));
      value.push_back(std::move(decoded));
    }
    return {};
  }
};

template <class First, class Second>
struct json_traits<std::pair<First, Second>> {
  using pair = std::pair<First, Second>;
  static json To(const pair& value) {
    return json::array({ToJson(value.first), ToJson(value.second)});
  }
  static boost::leaf::result<void> From(const json& from, pair& value, const std::string& place) {
    if (!from.is_array() || from.size() != 2) return internal::WrongType(place);
    BOOST_LEAF_CHECK(FromJson(from[0], value.first, place + ".first"));
    return FromJson(from[1], value.second, place + ".second");
  }
};

template <class T>
struct json_traits<std::optional<T>> {
  static json To(const std::optional<T>& value) { return value ? ToJson(*value) : json(nullptr); }
  static boost::leaf::result<void> From(const json& from, std::optional<T>& value,
                                        const std::string& place) {
    value.reset();
    if (from.is_null()) return {};
    T decoded{};
    BOOST_LEAF_CHECK(FromJson(from, decoded, place));
    value = std::move(decoded);
    return {};
  }
};

// Maps travel as lists of pairs, since keys may be more than text.
template <class Key, class Value>
struct json_traits<std::map<Key, Value>> {
  static json To(const std::map<Key, Value>& value) {
    json list = json::array();
    for (const auto& [key, mapped] : value) {
      list.push_back(json::array({ToJson(key), ToJson(mapped)}));
    }
    return list;
  }
  static boost::leaf::result<void> From(const json& from, std::map<Key, Value>& value,
                                        const std::string& place) {
    if (!from.is_array()) return internal::WrongType(place);
    value.clear();
    for (const json& pair : from) {
      if (!pair.is_array() || pair.size() != 2) return internal::WrongType(place);
      Key key{};
      Value mapped{};
      BOOST_LEAF_CHECK(FromJson(pair[0], key, place + ".key"));
      BOOST_LEAF_CHECK(FromJson(pair[1], mapped, place + ".value"));
      value.insert_or_assign(std::move(key), std::move(mapped));
    }
    return {};
  }
};

template <kernel::has_fields T>
struct json_traits<T> {
  static json To(const T& value) {
    json object = json::object();
    kernel::ForEachField(value, [&](std::string_view name, const auto& member) {
      object[std::string(name)] = ToJson(member);
    });
    return object;
  }
  // A member that is absent keeps its default, so that a newer process can add members.
  static boost::leaf::result<void> From(const json& from, T& value, const std::string& place) {
    if (!from.is_object()) return internal::WrongType(place);
    boost::leaf::result<void> outcome;
    kernel::ForEachField(value, [&](std::string_view name, auto& member) {
      if (!outcome) return;
      const auto found = from.find(std::string(name));
      if (found == from.end()) return;
      outcome = FromJson(*found, member, place + "." + std::string(name));
    });
    return outcome;
  }
};

// A variant travels as the fields of its alternative plus "type", the alternative's name.
template <kernel::has_type_name... Alternatives>
struct json_traits<std::variant<Alternatives...>> {
  using variant = std::variant<Alternatives...>;

  static json To(const variant& value) {
    return std::visit(
        []<class T>(const T& alternative) {
          json object = ToJson(alternative);
          object["type"] = std::string(T::kType);
          return object;
        },
        value);
  }

  static boost::leaf::result<void> From(const json& from, variant& value,
                                        const std::string& place) {
    if (!from.is_object()) return internal::WrongType(place);
    const auto type = from.find("type");
    if (type == from.end() || !type->is_string()) return internal::WrongType(place + ".type");
    const auto& name = type->template get_ref<const std::string&>();
    boost::leaf::result<void> outcome =
        boost::leaf::new_error(codec_error{codec_fault::kUnknownType, place + ".type=" + name});
    (TryAlternative<Alternatives>(name, from, value, place, outcome) || ...);
    return outcome;
  }

 private:
  template <class T>
  static bool TryAlternative(const std::string& name, const json& from, variant& value,
                             const std::string& place, boost::leaf::result<void>& outcome) {
    if (name != T::kType) return false;
    T alternative{};
    outcome = FromJson(from, alternative, place);
    if (outcome) value = std::move(alternative);
    return true;
  }
};

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_JSON_VALUE_H_
