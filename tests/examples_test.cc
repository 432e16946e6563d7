#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "cornelweir/settings.h"
#include "cornelweir/table.h"
#include "cornelweir/table_text.h"

namespace cornelweir {
namespace {

const std::filesystem::path kExamples = std::filesystem::path(CORNELWEIR_SOURCE_DIR) / "examples";

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string FillIn(std::string text) {
  const std::pair<std::string, std::string> values[] = {{"\"@HOST@", "\"docs-2"},
                                                        {"/@HOST@", "/docs-2"},
                                                        {"\"@DOMAIN@", "\"b"},
                                                        {"\"@SERVICE@", "\"docs"},
                                                        {"\"@ADDRESS@", "\"10.1.2.3"}};
  for (const auto& [name, value] : values) {
    for (auto at = text.find(name); at != std::string::npos; at = text.find(name)) {
      text.replace(at, name.size(), value);
    }
  }
  return text;
}

std::string FaultsOf(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(settings::ParseSettings(text, {}));
        return std::string();
      },
      [](const settings::settings_error& error) { return ToString(error); },
      [] { return std::string("no settings_error"); });
}

// Guards against examples that a daemon of this version refuses.
TEST(Examples, AllSettingsAreAccepted) {
  int read = 0;
  for (const char* deployment : {"usa-deschisa", "baan-lift"}) {
    for (const auto& entry : std::filesystem::directory_iterator(kExamples / deployment)) {
      if (entry.path().extension() != ".json") continue;
      EXPECT_EQ(FaultsOf(FillIn(ReadFile(entry.path()))), "") << entry.path();
      ++read;
    }
  }
  EXPECT_EQ(read, 6);
}

// Guards against row files that 'cornelweirctl import' or 'accept' refuses.
TEST(Examples, AllRowsAreReadAndValid) {
  for (const char* deployment : {"usa-deschisa", "baan-lift"}) {
    const std::string text = ReadFile(kExamples / deployment / "rows.csv");
    const auto rows = table_text::ReadCsv(text);
    ASSERT_TRUE(rows) << deployment;
    for (const auto& fault : table::Validate(*rows)) {
      ADD_FAILURE() << deployment << ": " << ToString(fault.key) << " " << fault.reason;
    }
    EXPECT_EQ(table_text::WriteCsv(*rows), text);
  }
}

}  // namespace
}  // namespace cornelweir
