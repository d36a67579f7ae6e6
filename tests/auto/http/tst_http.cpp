#include "http/http.h"

#include <doctest/doctest.h>

using namespace Http;

namespace {

struct RequestFixture {
  RequestLimits Limits{200, 20};
  RequestParser Parser{Limits};
  std::string Input;

  RequestState feed(const std::string &text) {
    Input += text;
    return Parser.feed(Input);
  }
};

struct ResponseFixture {
  ResponseParser Parser;
  std::string Input;
  std::string Body;

  ResponseState feed(const std::string &text) {
    Input += text;
    return Parser.feed(Input, Body);
  }
};

} // namespace

TEST_CASE_FIXTURE(RequestFixture,
                  "request received byte by byte is complete after the "
                  "last byte") {
  std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: "
                     "3\r\n\r\nabc";
  for (size_t i = 0; i + 1 < text.size(); ++i)
    REQUIRE(feed(text.substr(i, 1)) == RequestState::Incomplete);
  REQUIRE(feed("c") == RequestState::Complete);
  Request request = Parser.take(Limits);
  CHECK(request.Method == "POST");
  CHECK(request.Target == "/a/b?c=d");
  CHECK(pathOf(request.Target) == "/a/b");
  CHECK(*request.Headers.find("hOST") == "h");
  CHECK(request.Body == "abc");
  CHECK(request.KeepAlive);
}

TEST_CASE_FIXTURE(RequestFixture,
                  "pipelined request stays in the input until the "
                  "preceding one is taken") {
  REQUIRE(feed("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n") ==
          RequestState::Complete);
  CHECK(Parser.take(Limits).Target == "/1");
  REQUIRE(Parser.feed(Input) == RequestState::Complete);
  CHECK(Parser.take(Limits).Target == "/2");
  CHECK(Input.empty());
}

TEST_CASE_FIXTURE(RequestFixture, "chunked body is reassembled") {
  REQUIRE(feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") == RequestState::Complete);
  CHECK(Parser.take(Limits).Body == "abcde");
}

TEST_CASE_FIXTURE(RequestFixture,
                  "conflicting Content-Length fields are malformed") {
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
             "4\r\n\r\nabcd") == RequestState::Malformed);
}

TEST_CASE_FIXTURE(RequestFixture,
                  "Content-Length with chunked encoding is malformed") {
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
             "chunked\r\n\r\n0\r\n\r\n") == RequestState::Malformed);
}

TEST_CASE_FIXTURE(RequestFixture, "negative Content-Length is malformed") {
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") ==
        RequestState::Malformed);
}

TEST_CASE_FIXTURE(RequestFixture,
                  "oversized head and oversized body give different states") {
  CHECK(feed("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n") ==
        RequestState::HeadTooLarge);
  Parser = RequestParser(Limits);
  Input.clear();
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n") ==
        RequestState::BodyTooLarge);
}

TEST_CASE_FIXTURE(RequestFixture,
                  "small fields received one at a time exceed the head "
                  "limit in total") {
  RequestState state = feed("GET / HTTP/1.1\r\n");
  for (int i = 0; i < 60 && state == RequestState::Incomplete; ++i)
    state = feed("A: b\r\n");
  CHECK(state == RequestState::HeadTooLarge);
}

TEST_CASE_FIXTURE(RequestFixture,
                  "fields split within their names exceed the head "
                  "limit in total") {
  RequestState state = feed("GET / HTTP/1.1\r\nA");
  for (int i = 0; i < 60 && state == RequestState::Incomplete; ++i)
    state = feed(": b\r\nA");
  CHECK(state == RequestState::HeadTooLarge);
}

TEST_CASE_FIXTURE(RequestFixture, "trailer of many small fields is rejected") {
  RequestState state = feed(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n");
  for (int i = 0; i < 20'000 && state == RequestState::Incomplete; ++i)
    state = feed("A: b\r\n");
  CHECK(state != RequestState::Incomplete);
  CHECK(state != RequestState::Complete);
}

TEST_CASE_FIXTURE(RequestFixture, "chunked body over the limit is too large") {
  CHECK(feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "15\r\n" +
             std::string(21, 'x') + "\r\n0\r\n\r\n") ==
        RequestState::BodyTooLarge);
}

TEST_CASE_FIXTURE(ResponseFixture,
                  "response with Content-Length is complete after its last "
                  "byte and leaves further input") {
  CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab") ==
        ResponseState::Body);
  CHECK(feed("cHTTP/1.1 200") == ResponseState::Complete);
  CHECK(Body == "abc");
  CHECK(Input == "HTTP/1.1 200");
  CHECK(Parser.framing() == Framing::Length);
}

TEST_CASE_FIXTURE(ResponseFixture,
                  "response without a length is complete when the "
                  "connection closes") {
  CHECK(feed("HTTP/1.1 200 OK\r\n\r\nabc") == ResponseState::Body);
  CHECK(Parser.framing() == Framing::Close);
  CHECK_FALSE(Parser.keepAlive());
  CHECK(Parser.finish() == ResponseState::Complete);
}

TEST_CASE_FIXTURE(ResponseFixture,
                  "close before Content-Length bytes is malformed") {
  CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") ==
        ResponseState::Body);
  CHECK(Parser.finish() == ResponseState::Malformed);
}

TEST_CASE_FIXTURE(ResponseFixture, "close before the last chunk is malformed") {
  CHECK(feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"
             "\r\n") == ResponseState::Body);
  CHECK(Body == "abc");
  CHECK(Parser.finish() == ResponseState::Malformed);
}

TEST_CASE_FIXTURE(ResponseFixture, "input that is not HTTP is malformed") {
  CHECK(feed("#!garbage\r\n\r\n") == ResponseState::Malformed);
}

TEST_CASE_FIXTURE(ResponseFixture,
                  "endless head of small fields is malformed at a bounded "
                  "size") {
  feed("HTTP/1.1 200 OK\r\n");
  size_t bytes = 0;
  auto state = ResponseState::Head;
  for (; bytes < 1 << 20 && state == ResponseState::Head; bytes += 6)
    state = feed("A: b\r\n");
  CHECK(state == ResponseState::Malformed);
  CHECK(bytes <= 20'000);
}

TEST_CASE_FIXTURE(ResponseFixture,
                  "endless head of fields split within their names is "
                  "malformed at a bounded size") {
  // Beast consumes these fields one by one without adding up their sizes.
  feed("HTTP/1.1 200 OK\r\nA");
  size_t bytes = 0;
  auto state = ResponseState::Head;
  for (; bytes < 1 << 20 && state == ResponseState::Head; bytes += 6)
    state = feed(": b\r\nA");
  CHECK(state == ResponseState::Malformed);
  CHECK(bytes <= 20'000);
}

TEST_CASE_FIXTURE(ResponseFixture,
                  "endless chunk size line is malformed at a bounded "
                  "size") {
  feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=");
  size_t bytes = 0;
  auto state = ResponseState::Body;
  for (; bytes < 1 << 20 && state == ResponseState::Body; bytes += 1000)
    state = feed(std::string(1000, 'y'));
  CHECK(state == ResponseState::Malformed);
  CHECK(bytes <= 100'000);
}

// Guards against an absolute target that no route matches.
TEST_CASE("target in absolute form is rewritten, and its host counts") {
  auto rewritten = [](const char *target) {
    Request request;
    request.Target = target;
    request.Headers.add("Host", "other");
    toOriginForm(request);
    return *request.Headers.find("Host") + " " + request.Target;
  };
  CHECK(rewritten("/a/b?c=http://h/") == "other /a/b?c=http://h/");
  CHECK(rewritten("http://h.example:80/a/b?c") == "h.example:80 /a/b?c");
  CHECK(rewritten("HTTPS://h/") == "h /");
  CHECK(rewritten("http://h") == "h /");
  CHECK(rewritten("http://h?c") == "h /?c");
  CHECK(rewritten("*") == "other *");
}

TEST_CASE("keep-alive timeout and connection close are read from fields") {
  Fields headers;
  CHECK_FALSE(keepAliveSeconds(headers));
  headers.add("keep-alive", "max=5, timeout=12");
  headers.add("Connection", "foo, Close");
  CHECK(keepAliveSeconds(headers) == 12U);
  CHECK(closesConnection(headers));
}

TEST_CASE("chunk sizes are hexadecimal and empty data adds no chunk") {
  std::string text;
  appendChunk(text, "");
  CHECK(text.empty());
  appendChunk(text, std::string(17, 'x'));
  CHECK(text == "11\r\n" + std::string(17, 'x') + "\r\n");
}
