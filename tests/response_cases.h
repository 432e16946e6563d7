#ifndef CORNELWEIR_TESTS_RESPONSE_CASES_H_
#define CORNELWEIR_TESTS_RESPONSE_CASES_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelweir::http {

// What a server sends in response to one GET request, and what a reader of responses must make of
// it. Each reader of responses runs through all cases.
struct response_case {
  std::string name;
  // All that the server sends before it closes the connection.
  std::string bytes;
  // The status and the body that are delivered; no status if the response must be refused.
  std::optional<int> status = std::nullopt;
  std::string body = "";
};

using response_cases = std::vector<response_case>;

inline const std::string kOkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
inline const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
// The start of a response without a length, which only the end of its connection can complete.
inline const std::string kUnframedPart = "HTTP/1.1 200 OK\r\n\r\na part of the body";

inline response_cases MalformedStatusLines() {
  const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
  return {{"status of four digits", "HTTP/1.1 2000 OK" + rest},
          {"status of two digits", "HTTP/1.1 20 OK" + rest},
          {"status with a sign", "HTTP/1.1 -20 OK" + rest},
          {"switching protocols without an upgrade",
           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"},
          {"version 2.0", "HTTP/2.0 200 OK" + rest},
          {"no response", "garbage garbage\r\n\r\n"}};
}

// RFC 9110, section 15: only 100 to 599 are valid.
inline response_cases InvalidStatuses() {
  response_cases cases;
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    const std::string line = "HTTP/1.1 " + status + " Any\r\n";
    cases.push_back({"status " + status, line + "Content-Length: 2\r\n\r\nok"});
    cases.push_back({"interim with status " + status, (line + "\r\n").append(kOkResponse)});
  }
  return cases;
}

// Names of fields in the first and last line, in an interim response, and of those that frame the
// body.
inline response_cases InvalidNames() {
  using namespace std::string_literals;
  const std::vector<std::pair<std::string, std::string>> names = {{"a blank", "Bad Name"},
                                                                  {"a tab", "Bad\tName"},
                                                                  {"NUL", "Bad\0Name"s},
                                                                  {"a control byte", "Bad\1Name"},
                                                                  {"DEL", "Bad\x7fName"},
                                                                  {"CR", "Bad\rName"},
                                                                  {"a slash", "Bad/Name"},
                                                                  {"a high byte", "Bad\xe9Name"},
                                                                  {"a blank at its end", "Bad "},
                                                                  {"a tab at its end", "Bad\t"},
                                                                  {"nothing", ""}};
  response_cases cases;
  for (const auto& [what, name] : names) {
    const std::string line = name + ": x\r\n";
    cases.push_back(
        {"first name has " + what, "HTTP/1.1 200 OK\r\n" + line + "Content-Length: 2\r\n\r\nok"});
    cases.push_back(
        {"last name has " + what, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\nok"});
    cases.push_back({"name in an interim response has " + what,
                     ("HTTP/1.1 102 Processing\r\n" + line + "\r\n").append(kOkResponse)});
  }
  for (const std::string name : {"Content Length", "Content-Length ", "Content-\1Length"}) {
    cases.push_back(
        {"framing field '" + name + "'", "HTTP/1.1 200 OK\r\n" + name + ": 2\r\n\r\nok"});
  }
  cases.push_back({"framing field 'Transfer-Encoding '",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"});
  cases.push_back(
      {"line without a colon", "HTTP/1.1 200 OK\r\nBad\r\nContent-Length: 2\r\n\r\nok"});
  cases.push_back(
      {"control byte in a value", "HTTP/1.1 200 OK\r\nX: a\1b\r\nContent-Length: 2\r\n\r\nok"});
  return cases;
}

// A line that begins with a blank continues the value of the line before it.
inline response_cases FoldedLines() {
  response_cases cases;
  for (const std::string blank : {" ", "\t"}) {
    const std::string after = blank == " " ? " after a blank" : " after a tab";
    const auto add = [&](const std::string& what, const std::string& lines) {
      cases.push_back({what + after, "HTTP/1.1 200 OK\r\n" + lines + "\r\nok"});
    };
    add("folded value", "X: a\r\n" + blank + "b\r\nContent-Length: 2\r\n");
    add("folded last line", "Content-Length: 2\r\nX: a\r\n" + blank + "b\r\n");
    add("folded first line", blank + "X: a\r\nContent-Length: 2\r\n");
    add("folded Content-Length", "X: a\r\n" + blank + "Content-Length: 2\r\n");
    cases.push_back(
        {"folded line of an interim response" + after,
         ("HTTP/1.1 102 Processing\r\nX: a\r\n" + blank + "b\r\n\r\n").append(kOkResponse)});
  }
  return cases;
}

// Codings that the recipient would have to undo. They would be lost, since Transfer-Encoding is a
// hop-by-hop field.
inline response_cases UnsupportedCodings() {
  const std::string field = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
  response_cases cases;
  for (const std::string coding : {"gzip", "xchunked", "identity"}) {
    cases.push_back({"coding '" + coding + "'", field + coding + "\r\n\r\nok"});
  }
  for (const std::string coding : {"gzip, chunked", "chunked, chunked"}) {
    cases.push_back({"coding '" + coding + "'", field + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"});
  }
  return cases;
}

inline response_cases AmbiguousLengths() {
  const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
  response_cases cases = {
      {"chunked twice",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n" +
           chunks},
      {"chunked and a length",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 2\r\n\r\n" +
           chunks},
      {"chunk size that is no number", kChunkedHead + "x\r\nok\r\n0\r\n\r\n"},
      {"chunk size with a sign", kChunkedHead + "+2\r\nok\r\n0\r\n\r\n"},
      {"chunk that is longer than its size", kChunkedHead + "1\r\nok\r\n0\r\n\r\n"},
      {"bad name in a trailer", kChunkedHead + "2\r\nok\r\n0\r\nBad Name: x\r\n\r\n"},
      {"length in a trailer", kChunkedHead + "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n"}};
  for (const std::string length :
       {"+2", "-2", "2, 3", "2\r\nContent-Length: 3", "0x2", "2 2", ""}) {
    cases.push_back(
        {"length '" + length + "'", "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nok"});
  }
  return cases;
}

inline response_cases TruncatedResponses() {
  return {{"end in the status line", "HTTP/1.1 200"},
          {"end in the header", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"},
          {"end in a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok"},
          {"end in a chunk", kChunkedHead + "4\r\nok"},
          {"end before the last chunk", kChunkedHead + "2\r\nok\r\n"},
          {"end in the trailer", kChunkedHead + "2\r\nok\r\n0\r\nX: a\r\n"},
          {"end after an interim response", "HTTP/1.1 102 Processing\r\n\r\n"}};
}

// Responses that are invalid, or whose end or meaning is not known for certain.
inline response_cases BrokenResponses() {
  response_cases all;
  for (const response_cases& cases :
       {MalformedStatusLines(), InvalidStatuses(), InvalidNames(), FoldedLines(),
        UnsupportedCodings(), AmbiguousLengths(), TruncatedResponses()}) {
    all.insert(all.end(), cases.begin(), cases.end());
  }
  return all;
}

// Unusual responses that are valid and complete.
inline response_cases CompleteResponses() {
  return {
      {"with a length", kOkResponse, 200, "ok"},
      {"in chunks",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
       "1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n",
       200, "ok"},
      {"with a trailer", kChunkedHead + "2\r\nok\r\n0\r\nX: a\r\n\r\n", 200, "ok"},
      {"lines of the body that begin with a blank",
       "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na\r\n b\n", 200, "a\r\n b\n"},
      {"ended by the connection", "HTTP/1.1 200 OK\r\n\r\nok", 200, "ok"},
      {"empty, ended by the connection", "HTTP/1.1 200 OK\r\n\r\n", 200, ""},
      {"version 1.0", "HTTP/1.0 200 OK\r\n\r\nok", 200, "ok"},
      {"without a reason", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
      {"without a body", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
      {"status that is not assigned", "HTTP/1.1 299 Any\r\nContent-Length: 2\r\n\r\nok", 299, "ok"},
      {"largest status", "HTTP/1.1 599 Any\r\nContent-Length: 2\r\n\r\nok", 599, "ok"},
      {"after interim responses",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n" + kOkResponse, 200,
       "ok"},
  };
}

}  // namespace cornelweir::http

#endif  // CORNELWEIR_TESTS_RESPONSE_CASES_H_
