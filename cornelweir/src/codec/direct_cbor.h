#ifndef CORNELWEIR_SRC_CODEC_DIRECT_CBOR_H_
#define CORNELWEIR_SRC_CODEC_DIRECT_CBOR_H_

#include <algorithm>
#include <array>
#include <boost/leaf.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/src/codec/cbor.h"
#include "cornelweir/src/codec/cbor_reader.h"
#include "cornelweir/src/kernel/field.h"

// Encodes and decodes like Encode() and Decode(), and writes the same bytes, but without a document
// in between: a policy of 20,000 routes takes a tenth of the time. Types for which there is no
// direct way, such as maps, take the way over a document. Not part of cornelweir/codec.h, since it
// instantiates more code for each type.

namespace cornelweir::codec {
namespace internal {

template <class T, template <class...> class Template>
inline constexpr bool kIsInstance = false;
template <template <class...> class Template, class... Arguments>
inline constexpr bool kIsInstance<Template<Arguments...>, Template> = true;

// Integers and enumerations that travel as numbers.
template <class T>
inline constexpr bool kIsNumber = (std::is_integral_v<T> && !std::is_same_v<T, bool>) ||
                                  (std::is_enum_v<T> && !std::is_same_v<T, table::row_kind>);

// Pairs travel as arrays of two elements.
inline constexpr std::uint64_t kPairSize = 2;

void AppendHead(cbor_type type, std::uint64_t value, std::string& out);
void AppendText(std::string_view text, std::string& out);

template <class T>
void AppendValue(const T& value, std::string& out);
template <class T>
bool ReadValue(cbor_reader& reader, T& value);

// How to write and read one member of a type.
template <class T>
struct member_codec {
  std::string_view name;
  void (*append)(const T&, std::string&);
  bool (*read)(cbor_reader&, T&);
};

template <class T, std::size_t Index>
member_codec<T> MakeMemberCodec() {
  return {std::get<Index>(T::Fields()).name,
          [](const T& value, std::string& out) {
            AppendValue(value.*(std::get<Index>(T::Fields()).pointer), out);
          },
          [](cbor_reader& reader, T& value) {
            return ReadValue(reader, value.*(std::get<Index>(T::Fields()).pointer));
          }};
}

// The members in the order in which documents list them.
template <class T>
const auto& SortedMembers() {
  static const auto members = []<std::size_t... Index>(std::index_sequence<Index...>) {
    std::array<member_codec<T>, sizeof...(Index)> sorted{MakeMemberCodec<T, Index>()...};
    std::sort(sorted.begin(), sorted.end(),
              [](const auto& left, const auto& right) { return left.name < right.name; });
    return sorted;
  }
  (std::make_index_sequence<std::tuple_size_v<decltype(T::Fields())>>());
  return members;
}

// Writes the members, and the name of the type if it is an alternative of a variant.
template <class T>
void AppendMembers(const T& value, const std::string_view* type, std::string& out) {
  constexpr std::string_view kTypeMember = "type";
  const auto& members = SortedMembers<T>();
  AppendHead(cbor_type::kMap, members.size() + (type != nullptr ? 1 : 0), out);
  for (const member_codec<T>& member : members) {
    if (type != nullptr && kTypeMember < member.name) {
      AppendText(kTypeMember, out);
      AppendText(*type, out);
      type = nullptr;
    }
    AppendText(member.name, out);
    member.append(value, out);
  }
  if (type == nullptr) return;
  AppendText(kTypeMember, out);
  AppendText(*type, out);
}

template <class T>
bool ReadMembers(cbor_reader& reader, T& value) {
  cbor_head head;
  if (!reader.ReadHead(head) || head.type != cbor_type::kMap) return false;
  const auto& members = SortedMembers<T>();
  for (std::uint64_t i = 0; i < head.value; ++i) {
    std::string_view name;
    if (!reader.ReadText(name)) return false;
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const member_codec<T>& member) { return member.name == name; });
    std::string_view skipped;
    if (found == members.end() ? !reader.SkipValue(skipped) : !found->read(reader, value)) {
      return false;
    }
  }
  return true;
}

// Finds the name of the alternative, which may be the last member, without consuming anything.
bool FindType(cbor_reader reader, std::string_view& type);

template <class... Alternatives>
bool ReadVariant(cbor_reader& reader, std::variant<Alternatives...>& value) {
  std::string_view type;
  if (!FindType(reader, type)) return false;
  bool is_read = false;
  const auto try_alternative = [&]<class T>(std::type_identity<T>) {
    if (type != T::kType) return false;
    T alternative{};
    is_read = ReadMembers(reader, alternative);
    value = std::move(alternative);
    return true;
  };
  (try_alternative(std::type_identity<Alternatives>()) || ...);
  return is_read;
}

template <class T>
bool ReadNumber(cbor_reader& reader, T& value) {
  cbor_head head;
  if (!reader.ReadHead(head)) return false;
  if (head.type == cbor_type::kUnsigned) {
    value = static_cast<T>(head.value);
    return std::in_range<T>(head.value);
  }
  if (head.type != cbor_type::kNegative || !std::in_range<std::int64_t>(head.value)) return false;
  const std::int64_t number = -1 - static_cast<std::int64_t>(head.value);
  value = static_cast<T>(number);
  return std::in_range<T>(number);
}

template <class T>
void AppendValue(const T& value, std::string& out) {
  if constexpr (std::is_same_v<T, bool>) {
    AppendHead(cbor_type::kSimple, value ? kCborTrue : kCborFalse, out);
  } else if constexpr (std::is_enum_v<T> && kIsNumber<T>) {
    AppendValue(static_cast<std::underlying_type_t<T>>(value), out);
  } else if constexpr (kIsNumber<T>) {
    if (std::cmp_less(value, 0)) {
      AppendHead(cbor_type::kNegative, static_cast<std::uint64_t>(-1 - value), out);
    } else {
      AppendHead(cbor_type::kUnsigned, static_cast<std::uint64_t>(value), out);
    }
  } else if constexpr (std::is_same_v<T, std::string>) {
    AppendText(value, out);
  } else if constexpr (std::is_same_v<T, kernel::byte_string>) {
    AppendHead(cbor_type::kBytes, value.bytes.size(), out);
    out += value.bytes;
  } else if constexpr (kIsInstance<T, std::chrono::duration>) {
    AppendValue(value.count(), out);
  } else if constexpr (kIsInstance<T, kernel::strong_id>) {
    AppendValue(value.value(), out);
  } else if constexpr (kIsInstance<T, std::vector>) {
    AppendHead(cbor_type::kArray, value.size(), out);
    for (const auto& element : value) AppendValue(element, out);
  } else if constexpr (kIsInstance<T, std::pair>) {
    AppendHead(cbor_type::kArray, kPairSize, out);
    AppendValue(value.first, out);
    AppendValue(value.second, out);
  } else if constexpr (kIsInstance<T, std::optional>) {
    if (value) {
      AppendValue(*value, out);
    } else {
      AppendHead(cbor_type::kSimple, kCborNull, out);
    }
  } else if constexpr (kIsInstance<T, std::variant>) {
    std::visit(
        [&](const auto& alternative) {
          const std::string_view type = std::remove_cvref_t<decltype(alternative)>::kType;
          AppendMembers(alternative, &type, out);
        },
        value);
  } else if constexpr (kernel::has_fields<T>) {
    AppendMembers(value, nullptr, out);
  } else {
    out += WriteCbor(ToJson(value));
  }
}

// Reads the content of a text or byte string.
inline bool ReadString(cbor_reader& reader, cbor_type type, std::string& value) {
  cbor_head head;
  std::string_view content;
  if (!reader.ReadHead(head) || head.type != type) return false;
  if (!reader.ReadContent(head.value, content)) return false;
  value = content;
  return true;
}

template <class T>
bool ReadVector(cbor_reader& reader, std::vector<T>& value) {
  // The count may be wrong, so memory is taken only for elements that follow.
  constexpr std::uint64_t kMaxReserved = 1'024;
  cbor_head head;
  if (!reader.ReadHead(head) || head.type != cbor_type::kArray) return false;
  value.clear();
  value.reserve(std::min(head.value, kMaxReserved));
  for (std::uint64_t i = 0; i < head.value; ++i) {
    T element{};
    if (!ReadValue(reader, element)) return false;
    value.push_back(std::move(element));
  }
  return true;
}

// Reads a value by way of a document.
template <class T>
bool ReadDocument(cbor_reader& reader, T& value) {
  std::string_view bytes;
  if (!reader.SkipValue(bytes)) return false;
  const auto document = ReadCbor(bytes, bytes.size());
  return document && FromJson(document.value(), value, "message");
}

template <class T>
bool ReadValue(cbor_reader& reader, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    cbor_head head;
    if (!reader.ReadHead(head) || head.type != cbor_type::kSimple) return false;
    value = head.value == kCborTrue;
    return value || head.value == kCborFalse;
  } else if constexpr (std::is_enum_v<T> && kIsNumber<T>) {
    std::underlying_type_t<T> number{};
    const bool is_read = ReadNumber(reader, number);
    value = static_cast<T>(number);
    return is_read;
  } else if constexpr (kIsNumber<T>) {
    return ReadNumber(reader, value);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return ReadString(reader, cbor_type::kText, value);
  } else if constexpr (std::is_same_v<T, kernel::byte_string>) {
    return ReadString(reader, cbor_type::kBytes, value.bytes);
  } else if constexpr (kIsInstance<T, std::chrono::duration>) {
    typename T::rep count{};
    const bool is_read = ReadValue(reader, count);
    value = T(count);
    return is_read;
  } else if constexpr (kIsInstance<T, kernel::strong_id>) {
    std::remove_cvref_t<decltype(value.value())> raw{};
    const bool is_read = ReadValue(reader, raw);
    value = T(std::move(raw));
    return is_read;
  } else if constexpr (kIsInstance<T, std::vector>) {
    return ReadVector(reader, value);
  } else if constexpr (kIsInstance<T, std::pair>) {
    cbor_head head;
    return reader.ReadHead(head) && head.type == cbor_type::kArray && head.value == kPairSize &&
           ReadValue(reader, value.first) && ReadValue(reader, value.second);
  } else if constexpr (kIsInstance<T, std::optional>) {
    value.reset();
    return reader.SkipNull() || ReadValue(reader, value.emplace());
  } else if constexpr (kIsInstance<T, std::variant>) {
    return ReadVariant(reader, value);
  } else if constexpr (kernel::has_fields<T>) {
    return ReadMembers(reader, value);
  } else {
    return ReadDocument(reader, value);
  }
}

}  // namespace internal

// Encodes a value that has json_traits, into the same bytes as Encode().
template <class T>
std::string EncodeDirectly(const T& value) {
  std::string bytes;
  internal::AppendValue(value, bytes);
  return bytes;
}

// Decodes what Encode() or EncodeDirectly() wrote. Errors carry a codec_error without a place.
template <class T>
boost::leaf::result<T> DecodeDirectly(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return boost::leaf::new_error(codec_error{codec_fault::kTooLarge, "message"});
  }
  internal::cbor_reader reader(bytes);
  T value{};
  if (!internal::ReadValue(reader, value) || !reader.remaining().empty()) {
    return boost::leaf::new_error(codec_error{codec_fault::kMalformed, "message"});
  }
  return value;
}

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_DIRECT_CBOR_H_
