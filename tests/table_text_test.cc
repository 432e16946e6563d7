#include "cornelweir/table_text.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace cornelweir::table_text {
namespace {

template <class Action>
std::string FaultsOf(Action&& action) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(action());
        return std::string();
      },
      [](const table_text_error& error) { return ToString(error); },
      [] { return std::string("no table_text_error"); });
}

table::row_map Sample() {
  table::row_map rows;
  rows[{table::row_kind::kService, "forms"}] =
      table::service_row{kernel::limit_name("standard"),
                         kernel::wait_name("short"),
                         {kernel::service_name("intake"), kernel::service_name("archive")}};
  rows[{table::row_kind::kSplit, "forms/v1"}] = table::split_row{kernel::weight(100)};
  rows[{table::row_kind::kRoute, "forms"}] =
      table::route_row{"/a,\"b\"", kernel::service_name("forms"), true};
  return rows;
}

TEST(Cell, IsSetByNameAndReadBack) {
  table::row_content row = EmptyRow(table::row_kind::kService);
  EXPECT_TRUE(SetCell(row, "calls", "intake, archive"));
  EXPECT_EQ(CellText(row, "calls"), "intake archive");
  EXPECT_TRUE(SetCell(row, "calls", ""));
  EXPECT_EQ(CellText(row, "calls"), "");
  row = EmptyRow(table::row_kind::kRoute);
  EXPECT_TRUE(SetCell(row, "idempotent", "TRUE"));
  EXPECT_EQ(CellText(row, "idempotent"), "true");
}

// Guards against a typing error that changes another cell, or half of one.
TEST(Cell, RefusesBadTextsAndLeavesTheRowAlone) {
  table::row_content row = EmptyRow(table::row_kind::kSplit);
  EXPECT_TRUE(SetCell(row, "weight", "7"));
  EXPECT_EQ(FaultsOf([&] { return SetCell(row, "weight", "7x"); }),
            "weight: '7x' is not a whole number\n");
  EXPECT_EQ(FaultsOf([&] { return SetCell(row, "wieght", "8"); }),
            "wieght: a split row has no such cell; did you mean 'weight'?\n");
  EXPECT_EQ(CellText(row, "weight"), "7");
}

TEST(Key, IsReadOrRefusedWithAHint) {
  const auto key = ParseKey("split/forms/v1");
  ASSERT_TRUE(key);
  EXPECT_EQ(table::ToString(*key), "split/forms/v1");
  EXPECT_NE(FaultsOf([] { return ParseKey("forms"); }).find("kind/name"), std::string::npos);
  EXPECT_NE(FaultsOf([] { return ParseKey("servise/forms"); }).find("'service'"),
            std::string::npos);
}

TEST(Csv, HasASectionForEachKind) {
  EXPECT_EQ(WriteCsv(Sample()),
            "kind,name,limit,wait,calls\n"
            "service,forms,standard,short,intake archive\n"
            "\n"
            "kind,name,weight\n"
            "split,forms/v1,100\n"
            "\n"
            "kind,name,path_prefix,service,idempotent\n"
            "route,forms,\"/a,\"\"b\"\"\",forms,true\n");
}

TEST(Csv, ReadsWhatASpreadsheetMakesOfIt) {
  const auto rows = ReadCsv(
      "\xEF\xBB\xBFkind,name,calls,wait,limit,\r\n"
      "service,forms,\"intake,archive\",short,standard,\r\n"
      ",,,,,\r\n"
      "kind,name,weight,,,\r\n"
      "split,forms/v1,100,,,\r\n"
      "kind,name,path_prefix,service,idempotent\r\n"
      "route,forms,\"/a,\"\"b\"\"\",forms,TRUE");
  ASSERT_TRUE(rows);
  EXPECT_EQ(*rows, Sample());
}

// Guards against a lost column that resets cells, and against an operator who learns of one fault
// for each import.
TEST(Csv, ReportsEveryFaultWithItsLine) {
  EXPECT_EQ(FaultsOf([] {
              return ReadCsv(
                  "split,forms/v1,100\n"
                  "kind,name,weight\n"
                  "split,forms/v1,many\n"
                  "split,forms/v2,1\n"
                  "split,forms/v2,2\n"
                  "spilt,forms/v3,2\n"
                  "kind,name,request_ms\n"
                  "wait,\"two\nlines\",5,6\n"
                  "wait,\"x\"y,5\n"
                  "wait,\"open");
            }),
            "line 1: the row has no header line kind,name,... above it\n"
            "line 3: weight: 'many' is not a whole number\n"
            "line 5: row split/forms/v2 occurs twice\n"
            "line 6: kind: 'spilt' is not a kind of row\n"
            "line 8: queue_ms: the header line above has no such column\n"
            "line 8: '6' has no column in the header line above\n"
            "line 10: text follows a closing quote\n"
            "line 10: queue_ms: the header line above has no such column\n"
            "line 10: request_ms: '' is not a whole number\n"
            "line 11: a quoted field is not closed\n"
            "line 11: queue_ms: the header line above has no such column\n"
            "line 11: request_ms: '' is not a whole number\n");
}

// Guards against quoting that loses or changes any byte of a name or a path.
TEST(Csv, IsReadBackAsItWasWritten) {
  EXPECT_TRUE(rc::check([](const std::vector<std::string>& texts, std::int64_t number, bool flag) {
    table::row_map rows;
    for (const std::string& text : texts) {
      if (text.empty()) continue;
      rows[{table::row_kind::kRoute, text}] =
          table::route_row{text, kernel::service_name(text), flag};
      rows[{table::row_kind::kWait, text}] = table::wait_row{number, -number};
    }
    const auto read = ReadCsv(WriteCsv(rows));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == rows);
  }));
}

// Guards against a crash on any file that is not a table.
TEST(Csv, AnyTextIsReadOrRefused) {
  EXPECT_TRUE(rc::check([] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "kind", "name", "service", "weight", "split", ",", "\n", "\r", "\"", "\"\"", "7", "x"));
    std::string text;
    for (const std::string& piece : pieces) text += piece;
    const bool read = ReadCsv(text).has_value();
    RC_ASSERT(read == FaultsOf([&] { return ReadCsv(text); }).empty());
  }));
}

// Guards against names that move the terminal's cursor.
TEST(TextGrid, AlignsColumnsAndMasksControlCharacters) {
  text_grid grid;
  grid.AddLine({"service", "wait", ""});
  grid.AddLine({"ușa", "\x1b[2J", "x"});
  EXPECT_EQ(grid.Text(), "service  wait  -\nușa      ?[2J  x\n");
}

}  // namespace
}  // namespace cornelweir::table_text
