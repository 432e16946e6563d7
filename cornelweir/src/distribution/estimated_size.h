#ifndef CORNELWEIR_SRC_DISTRIBUTION_ESTIMATED_SIZE_H_
#define CORNELWEIR_SRC_DISTRIBUTION_ESTIMATED_SIZE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::distribution::internal {

// Upper bounds, in bytes, of the size of a value in a self-describing binary encoding that repeats
// member names. Messages are split by these bounds, since this module does not depend on a codec.
template <class T>
requires(std::is_integral_v<T> || std::is_enum_v<T>) constexpr std::int64_t SizeOf(const T&) {
  return 9;
}

inline std::int64_t SizeOf(const std::string& text) {
  return static_cast<std::int64_t>(text.size()) + 5;
}

template <class Tag, class Rep>
std::int64_t SizeOf(const kernel::strong_id<Tag, Rep>& id) {
  return SizeOf(id.value());
}

template <kernel::has_fields T>
std::int64_t SizeOf(const T& object);
template <class... Alternatives>
std::int64_t SizeOf(const std::variant<Alternatives...>& value);
template <class T>
std::int64_t SizeOf(const std::optional<T>& value);

template <class T>
std::int64_t SizeOf(const std::vector<T>& list) {
  std::int64_t size = 5;
  for (const T& element : list) size += SizeOf(element);
  return size;
}

template <kernel::has_fields T>
std::int64_t SizeOf(const T& object) {
  std::int64_t size = 5;
  kernel::ForEachField(object, [&](std::string_view name, const auto& member) {
    size += static_cast<std::int64_t>(name.size()) + 2 + SizeOf(member);
  });
  return size;
}

template <class... Alternatives>
std::int64_t SizeOf(const std::variant<Alternatives...>& value) {
  // 16 bytes for the type name of the alternative.
  return 16 + std::visit([](const auto& alternative) { return SizeOf(alternative); }, value);
}

template <class T>
std::int64_t SizeOf(const std::optional<T>& value) {
  return value ? SizeOf(*value) : 1;
}

}  // namespace cornelweir::distribution::internal

namespace cornelweir::distribution {

// An upper bound of the encoded size of a message or of a part of one.
template <class T>
kernel::byte_count EstimatedSize(const T& value) {
  return kernel::byte_count(internal::SizeOf(value));
}

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_ESTIMATED_SIZE_H_
