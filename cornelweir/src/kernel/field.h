#ifndef CORNELWEIR_SRC_KERNEL_FIELD_H_
#define CORNELWEIR_SRC_KERNEL_FIELD_H_

#include <cstddef>
#include <string_view>
#include <tuple>
#include <type_traits>

namespace cornelweir::kernel {

// The name of a data member and a pointer to it. A type that lists its members in a static function
// Fields() can be encoded, compared field by field and printed by generic code.
template <class Class, class Member>
struct field {
  using member_type = Member;

  std::string_view name;
  Member Class::*pointer;
};

template <class Class, class Member>
field(std::string_view, Member Class::*) -> field<Class, Member>;

// A type that lists its members in Fields().
template <class T>
concept has_fields = requires {
  T::Fields();
};

// A type with a name on the wire, such as an alternative of a message variant.
template <class T>
concept has_type_name = requires {
  { T::kType } -> std::convertible_to<std::string_view>;
};

// Calls visit(name, member) for each listed member of object.
template <has_fields T, class Visitor>
constexpr void ForEachField(T& object, Visitor&& visit) {
  std::apply([&](const auto&... fields) { (visit(fields.name, object.*(fields.pointer)), ...); },
             std::remove_const_t<T>::Fields());
}

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_FIELD_H_
