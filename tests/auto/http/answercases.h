#ifndef TESTS_ANSWERCASES_H
#define TESTS_ANSWERCASES_H

#include <string>
#include <vector>

/// Bytes that an endpoint sends before it closes the connection, and what a
/// reader makes of them. The same for each place where an answer is read.
struct AnswerCase {
  std::string Name;
  std::string Text;
  /// Whether they are a whole answer with the body `abc`.
  bool IsAnswer = false;
};

/// `fields`: lines that each head has behind its status line.
inline std::vector<AnswerCase> answerCases(const std::string &fields) {
  const std::string body = "abc";
  const std::string chunks = "3\r\nabc\r\n0\r\n\r\n";
  const std::string length = "Content-Length: 3\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  auto make = [&](const std::string &status, const std::string &lines,
                  const std::string &content) {
    return status + "\r\n" + fields + lines + "\r\n" + content;
  };
  const std::string ok = "HTTP/1.1 200 OK";
  std::vector<AnswerCase> out = {
      {"length", make(ok, length, body), true},
      {"chunks", make(ok, chunked, chunks), true},
      {"chunks, other case", make(ok, "transfer-encoding: Chunked\r\n", chunks),
       true},
      {"chunks and a trailer",
       make(ok, chunked, "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"), true},
      {"end of connection", make(ok, "Connection: close\r\n", body), true},
      {"end of connection, HTTP/1.0", make("HTTP/1.0 200 OK", "", body), true},
      {"status 599", make("HTTP/1.1 599 Odd", length, body), true},
      {"two lengths", make(ok, length + "Content-Length: 2\r\n", body)},
      {"length and chunks", make(ok, length + chunked, chunks)},
      {"chunks and length", make(ok, chunked + length, chunks)},
      {"chunks in HTTP/1.0", make("HTTP/1.0 200 OK", chunked, chunks)},
      {"line without a colon", make(ok, "nonsense\r\n" + length, body)},
      {"empty name", make(ok, ": x\r\n" + length, body)},
      {"trailer with a blank in its name",
       make(ok, chunked, "3\r\nabc\r\n0\r\nX Sum: 1\r\n\r\n")},
      {"chunk without a size", make(ok, chunked, "x\r\nabc\r\n0\r\n\r\n")},
      {"unknown version", make("HTTP/3.1 200 OK", length, body)},
  };
  for (const char *it : {"000", "099", "101", "600", "999", "20", "2000"})
    out.push_back({std::string("status ") + it,
                   make(std::string("HTTP/1.1 ") + it + " OK", length, body)});
  for (const char *it : {"-1", "x", "3, 4", "", "0x3"})
    out.push_back(
        {std::string("length ") + it,
         make(ok, "Content-Length: " + std::string(it) + "\r\n", body)});
  for (const char *it :
       {"gzip", "identity", "chunked, identity", "unknown", "gzip, chunked",
        "chunked, chunked", "chunked;q=1", ""})
    for (bool inChunks : {false, true})
      out.push_back(
          {std::string("coding ") + it + (inChunks ? ", chunks" : ", as it is"),
           make(ok, "Transfer-Encoding: " + std::string(it) + "\r\n",
                inChunks ? chunks : body)});
  out.push_back({"two codings", make(ok, chunked + chunked, chunks)});
  auto field = [&](const std::string &name, const std::string &value) {
    std::string line = name;
    line.append(": ").append(value).append("\r\n").append(length);
    return make(ok, line, body);
  };
  for (const char *it : {"Bad Name", "Content-Length ", "Bad\x01Name",
                         "Bad\x7fName", "Bad\tName", "(name)"})
    out.push_back({std::string("name ") + it, field(it, "1")});
  for (const char *it : {"a\x01"
                         "b",
                         "a\x7f"
                         "b",
                         "a\rb"})
    out.push_back({std::string("value ") + it, field("X-Odd", it)});
  return out;
}

#endif // TESTS_ANSWERCASES_H
