#ifndef CORNELWEIR_SRC_SETTINGS_SECTION_READER_H_
#define CORNELWEIR_SRC_SETTINGS_SECTION_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/kernel/strong_id.h"
#include "cornelweir/src/settings/settings_document.h"

namespace cornelweir::settings::internal {

// Whether port 0 is allowed, which lets the system choose a free port to listen at.
enum class port_rule : std::uint8_t { kMayBeZero, kNotZero };

// Reads the keys of one section. Every error is recorded with its place, and reading goes on.
class section_reader {
 public:
  section_reader(settings_document& document, const json& section, std::string place);

  // Required keys.
  void Name(std::string_view key, std::string& value);
  void Endpoint(std::string_view key, port_rule rule, kernel::endpoint& value);
  void AbsolutePath(std::string_view key, std::string& value);
  void Names(std::string_view key, std::size_t most, std::vector<std::string>& values);
  void Endpoints(std::string_view key, std::size_t most, std::vector<kernel::endpoint>& values);
  void Sections(std::string_view key, std::size_t most,
                const std::function<void(section_reader&)>& read);

  template <class Tag>
  void Name(std::string_view key, kernel::strong_id<Tag, std::string>& value) {
    std::string name;
    Name(key, name);
    value = kernel::strong_id<Tag, std::string>(std::move(name));
  }

  // Keys that keep the value's default if they are absent.
  void OptionalFlag(std::string_view key, bool& value);
  void OptionalNumber(std::string_view key, std::int64_t least, std::int64_t most,
                      std::int64_t& value);
  // A number from 0 to most, whole or not.
  void OptionalReal(std::string_view key, std::int64_t most, double& value);
  // Reads a whole number of milliseconds from a key that ends in "_ms", or a time with its unit
  // from the same key without that ending. Both together are an error.
  void OptionalMilliseconds(std::string_view key, std::int64_t least, std::int64_t most,
                            std::int64_t& value);
  // Reads a time such as "1500ms", "5s" or "2.5s". A part of a millisecond is rounded.
  void OptionalDuration(std::string_view key, kernel::milliseconds least, kernel::milliseconds most,
                        kernel::milliseconds& value);
  bool OptionalSection(std::string_view key, const std::function<void(section_reader&)>& read);

  // Records an error for each key of the section that no other call has read.
  void RefuseUnknownKeys();

  void AddFault(std::string_view key, std::string reason);
  std::string PlaceOf(std::string_view key) const;
  bool Has(std::string_view key) const { return section_.contains(std::string(key)); }

 private:
  const json* Find(std::string_view key);
  const json* Require(std::string_view key);
  // The elements of a list, of which each must be a text.
  std::vector<std::string> Texts(std::string_view key, std::size_t most);
  bool CheckList(std::string_view key, const json& list, std::size_t most);

  settings_document& document_;
  const json& section_;
  std::string place_;
  std::vector<std::string_view> known_;
};

}  // namespace cornelweir::settings::internal

#endif  // CORNELWEIR_SRC_SETTINGS_SECTION_READER_H_
