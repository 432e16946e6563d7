#ifndef CORNELWEIR_SRC_SETTINGS_SETTINGS_DOCUMENT_H_
#define CORNELWEIR_SRC_SETTINGS_SETTINGS_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/settings/settings_error.h"

namespace cornelweir::settings::internal {

using json = nlohmann::json;

// Settings as JSON, with the overrides applied, and the errors found so far.
class settings_document {
 public:
  // Reads JSON with comments. Records an error for bad syntax and for keys that occur twice.
  void Parse(std::string_view text);

  // Replaces the value of a key by the text of an override "a.b=text".
  void Override(const std::string& assignment);

  // Whether the value at a place is the text of an override, which is converted to the key's type.
  bool IsOverridden(const std::string& place) const { return overridden_.contains(place); }

  void AddFault(std::string place, std::string reason);

  const json& root() const { return root_; }
  const std::vector<settings_fault>& faults() const { return faults_; }

 private:
  json root_ = json::object();
  std::set<std::string> overridden_;
  std::vector<settings_fault> faults_;
};

}  // namespace cornelweir::settings::internal

#endif  // CORNELWEIR_SRC_SETTINGS_SETTINGS_DOCUMENT_H_
