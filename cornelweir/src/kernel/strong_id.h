#ifndef CORNELWEIR_SRC_KERNEL_STRONG_ID_H_
#define CORNELWEIR_SRC_KERNEL_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace cornelweir::kernel {

// A strongly typed id or number. Ids with different tags do not convert into each other, so a
// version can't be passed where a revision is expected.
template <class Tag, class Rep>
class strong_id {
 public:
  using rep = Rep;

  constexpr strong_id() = default;
  constexpr explicit strong_id(Rep value) : value_(std::move(value)) {}

  constexpr const Rep& value() const { return value_; }

  friend constexpr auto operator<=>(const strong_id&, const strong_id&) = default;
  friend constexpr bool operator==(const strong_id&, const strong_id&) = default;

 private:
  Rep value_{};
};

// Returns the successor of a numeric id.
template <class Tag, class Rep>
constexpr strong_id<Tag, Rep> Next(const strong_id<Tag, Rep>& id) {
  return strong_id<Tag, Rep>(id.value() + 1);
}

// Returns the id before the given one, or 0 for 0.
template <class Tag, class Rep>
constexpr strong_id<Tag, Rep> Previous(const strong_id<Tag, Rep>& id) {
  return strong_id<Tag, Rep>(id.value() == 0 ? 0 : id.value() - 1);
}

}  // namespace cornelweir::kernel

template <class Tag, class Rep>
struct std::hash<cornelweir::kernel::strong_id<Tag, Rep>> {
  std::size_t operator()(const cornelweir::kernel::strong_id<Tag, Rep>& id) const {
    return std::hash<Rep>{}(id.value());
  }
};

#endif  // CORNELWEIR_SRC_KERNEL_STRONG_ID_H_
