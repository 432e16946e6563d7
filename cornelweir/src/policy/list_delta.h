#ifndef CORNELWEIR_SRC_POLICY_LIST_DELTA_H_
#define CORNELWEIR_SRC_POLICY_LIST_DELTA_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/field.h"

namespace cornelweir::policy {

// An element of a list in which no two elements have the same key. ViewOf() of an element and of
// its key return the same value, which refers to their strings instead of copying them.
template <class T>
concept keyed_element = std::equality_comparable<T> && requires(const T& element) {
  { T::kElementName } -> std::convertible_to<std::string_view>;
  KeyOf(element);
  { ViewOf(element) } -> std::totally_ordered;
  { ViewOf(KeyOf(element)) } -> std::same_as<decltype(ViewOf(element))>;
};

template <class Element>
using element_key = decltype(KeyOf(std::declval<const Element&>()));

// A new element and its index in the new list.
template <class Element>
struct inserted_element {
  std::int64_t position = 0;
  Element added;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"at", &inserted_element::position},
                      kernel::field{Element::kElementName, &inserted_element::added}};
  }
  friend bool operator==(const inserted_element&, const inserted_element&) = default;
};

// The difference between two lists of keyed elements.
template <class Element>
struct list_delta {
  // Keys of the elements of the base that are not in the new list.
  std::vector<element_key<Element>> removed;
  // New contents of elements that are in the base under the same key.
  std::vector<Element> changed;
  // In ascending order of position.
  std::vector<inserted_element<Element>> inserted;
  // All keys in the new order, if elements that are in both lists change their order.
  std::optional<std::vector<element_key<Element>>> order;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"removed", &list_delta::removed},
                      kernel::field{"changed", &list_delta::changed},
                      kernel::field{"inserted", &list_delta::inserted},
                      kernel::field{"order", &list_delta::order}};
  }
  friend bool operator==(const list_delta&, const list_delta&) = default;
};

namespace internal {

template <keyed_element Element>
using element_index = std::map<decltype(ViewOf(std::declval<const Element&>())), const Element*>;

template <keyed_element Element>
element_index<Element> IndexOf(const std::vector<Element>& elements) {
  element_index<Element> index;
  for (const Element& element : elements) index[ViewOf(element)] = &element;
  return index;
}

template <keyed_element Element>
std::vector<element_key<Element>> KeysOf(const std::vector<Element>& elements) {
  std::vector<element_key<Element>> keys;
  keys.reserve(elements.size());
  for (const Element& element : elements) keys.push_back(KeyOf(element));
  return keys;
}

// Sorts elements into the order of the keys. Returns false, and changes nothing, if the keys are
// not as many as the elements or one of them is unknown.
template <keyed_element Element>
bool Reorder(std::vector<Element>& elements, const std::vector<element_key<Element>>& order) {
  if (order.size() != elements.size()) return false;
  const element_index<Element> index = IndexOf(elements);
  std::vector<Element> ordered;
  ordered.reserve(order.size());
  for (const auto& key : order) {
    const auto found = index.find(ViewOf(key));
    if (found == index.end()) return false;
    ordered.push_back(*found->second);
  }
  elements = std::move(ordered);
  return true;
}

}  // namespace internal

// The delta that turns the old list into the new one.
template <keyed_element Element>
list_delta<Element> DiffLists(const std::vector<Element>& old_list,
                              const std::vector<Element>& new_list) {
  list_delta<Element> delta;
  const auto before = internal::IndexOf(old_list);
  const auto after = internal::IndexOf(new_list);
  // The elements that are in both lists, in the order of each list.
  std::vector<decltype(ViewOf(old_list.front()))> kept_before;
  std::vector<decltype(ViewOf(old_list.front()))> kept_after;
  for (const Element& old_element : old_list) {
    if (after.contains(ViewOf(old_element))) {
      kept_before.push_back(ViewOf(old_element));
    } else {
      delta.removed.push_back(KeyOf(old_element));
    }
  }
  for (std::size_t i = 0; i < new_list.size(); ++i) {
    const Element& new_element = new_list[i];
    const auto found = before.find(ViewOf(new_element));
    if (found == before.end()) {
      delta.inserted.push_back({static_cast<std::int64_t>(i), new_element});
      continue;
    }
    kept_after.push_back(ViewOf(new_element));
    if (*found->second != new_element) delta.changed.push_back(new_element);
  }
  if (kept_before != kept_after) delta.order = internal::KeysOf(new_list);
  return delta;
}

// Applies a delta. Empty if it refers to elements that are not in the base, or has positions or an
// order that do not fit.
template <keyed_element Element>
std::optional<std::vector<Element>> ApplyList(const std::vector<Element>& base,
                                              const list_delta<Element>& delta) {
  std::vector<Element> result;
  result.reserve(base.size() + delta.inserted.size());
  std::set<decltype(ViewOf(base.front()))> removed;
  for (const auto& key : delta.removed) removed.insert(ViewOf(key));
  auto changed = internal::IndexOf(delta.changed);
  auto inserted = delta.inserted.begin();
  // Appends the inserted elements whose position is the current end of the result.
  const auto insert_at_end = [&] {
    while (inserted != delta.inserted.end() &&
           inserted->position == static_cast<std::int64_t>(result.size())) {
      result.push_back(inserted->added);
      ++inserted;
    }
  };
  for (const Element& base_element : base) {
    if (removed.erase(ViewOf(base_element)) > 0) continue;
    insert_at_end();
    const auto found = changed.find(ViewOf(base_element));
    if (found == changed.end()) {
      result.push_back(base_element);
    } else {
      result.push_back(*found->second);
      changed.erase(found);
    }
  }
  insert_at_end();
  if (!removed.empty() || !changed.empty() || inserted != delta.inserted.end()) return std::nullopt;
  if (delta.order && !internal::Reorder(result, *delta.order)) return std::nullopt;
  return result;
}

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_LIST_DELTA_H_
