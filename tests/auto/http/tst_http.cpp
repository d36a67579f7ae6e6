#include "http/http.h"

#include <doctest/doctest.h>

using namespace Http;

namespace {

struct Requests {
  RequestLimits Limits{200, 20};
  RequestParser Parser{Limits};
  std::string Input;

  RequestState feed(const std::string &text) {
    Input += text;
    return Parser.feed(Input);
  }
};

struct Responses {
  ResponseParser Parser;
  std::string Input;
  std::string Body;

  ResponseState feed(const std::string &text) {
    Input += text;
    return Parser.feed(Input, Body);
  }
};

} // namespace

TEST_CASE_FIXTURE(Requests, "request in single bytes is complete with the last "
                            "one") {
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

TEST_CASE_FIXTURE(Requests, "second request behind the first stays in the "
                            "input until the first is taken") {
  REQUIRE(feed("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n") ==
          RequestState::Complete);
  CHECK(Parser.take(Limits).Target == "/1");
  REQUIRE(Parser.feed(Input) == RequestState::Complete);
  CHECK(Parser.take(Limits).Target == "/2");
  CHECK(Input.empty());
}

TEST_CASE_FIXTURE(Requests, "chunked body arrives whole") {
  REQUIRE(feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") == RequestState::Complete);
  CHECK(Parser.take(Limits).Body == "abcde");
}

TEST_CASE_FIXTURE(Requests, "two different lengths are malformed") {
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
             "4\r\n\r\nabcd") == RequestState::Malformed);
}

TEST_CASE_FIXTURE(Requests, "length beside chunks is malformed") {
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
             "chunked\r\n\r\n0\r\n\r\n") == RequestState::Malformed);
}

TEST_CASE_FIXTURE(Requests, "negative length is malformed") {
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") ==
        RequestState::Malformed);
}

TEST_CASE_FIXTURE(Requests, "head over the limit is told from a long body") {
  CHECK(feed("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n") ==
        RequestState::HeadTooLarge);
  Parser = RequestParser(Limits);
  Input.clear();
  CHECK(feed("POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n") ==
        RequestState::BodyTooLarge);
}

TEST_CASE_FIXTURE(Requests, "head of many small fields that come one by one is "
                            "over the limit in sum") {
  RequestState state = feed("GET / HTTP/1.1\r\n");
  for (int i = 0; i < 60 && state == RequestState::Incomplete; ++i)
    state = feed("A: b\r\n");
  CHECK(state == RequestState::HeadTooLarge);
}

TEST_CASE_FIXTURE(Requests, "head of fields whose pieces end within a name is "
                            "over the limit in sum") {
  RequestState state = feed("GET / HTTP/1.1\r\nA");
  for (int i = 0; i < 60 && state == RequestState::Incomplete; ++i)
    state = feed(": b\r\nA");
  CHECK(state == RequestState::HeadTooLarge);
}

TEST_CASE_FIXTURE(Requests, "trailer of many small fields is over the limit") {
  RequestState state = feed(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n");
  for (int i = 0; i < 20'000 && state == RequestState::Incomplete; ++i)
    state = feed("A: b\r\n");
  CHECK(state != RequestState::Incomplete);
  CHECK(state != RequestState::Complete);
}

TEST_CASE_FIXTURE(Requests, "chunked body over the limit is refused") {
  CHECK(feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "15\r\n" +
             std::string(21, 'x') + "\r\n0\r\n\r\n") ==
        RequestState::BodyTooLarge);
}

TEST_CASE_FIXTURE(Responses, "response with a length is complete with its last "
                             "byte, and bytes behind it are left") {
  CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab") ==
        ResponseState::Body);
  CHECK(feed("cHTTP/1.1 200") == ResponseState::Complete);
  CHECK(Body == "abc");
  CHECK(Input == "HTTP/1.1 200");
  CHECK(Parser.framing() == Framing::Length);
}

TEST_CASE_FIXTURE(Responses, "response without a length ends with an orderly "
                             "close only") {
  CHECK(feed("HTTP/1.1 200 OK\r\n\r\nabc") == ResponseState::Body);
  CHECK(Parser.framing() == Framing::Close);
  CHECK_FALSE(Parser.keepAlive());
  CHECK(Parser.finish() == ResponseState::Complete);
}

TEST_CASE_FIXTURE(Responses, "close before the promised length is malformed") {
  CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") ==
        ResponseState::Body);
  CHECK(Parser.finish() == ResponseState::Malformed);
}

TEST_CASE_FIXTURE(Responses, "chunked response cut before its last chunk is "
                             "malformed") {
  CHECK(feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"
             "\r\n") == ResponseState::Body);
  CHECK(Body == "abc");
  CHECK(Parser.finish() == ResponseState::Malformed);
}

TEST_CASE_FIXTURE(Responses, "bytes that are no response are malformed") {
  CHECK(feed("#!garbage\r\n\r\n") == ResponseState::Malformed);
}

TEST_CASE_FIXTURE(Responses, "head of small fields without end is malformed "
                             "before it fills the memory") {
  feed("HTTP/1.1 200 OK\r\n");
  size_t bytes = 0;
  auto state = ResponseState::Head;
  for (; bytes < 1 << 20 && state == ResponseState::Head; bytes += 6)
    state = feed("A: b\r\n");
  CHECK(state == ResponseState::Malformed);
  CHECK(bytes <= 20'000);
}

TEST_CASE_FIXTURE(Responses, "head of fields without end whose pieces end "
                             "within a name is malformed all the same") {
  // Beast takes such fields one by one and forgets how long they were.
  feed("HTTP/1.1 200 OK\r\nA");
  size_t bytes = 0;
  auto state = ResponseState::Head;
  for (; bytes < 1 << 20 && state == ResponseState::Head; bytes += 6)
    state = feed(": b\r\nA");
  CHECK(state == ResponseState::Malformed);
  CHECK(bytes <= 20'000);
}

TEST_CASE_FIXTURE(Responses,
                  "size line of a chunk without end is malformed before "
                  "it fills the memory") {
  feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=");
  size_t bytes = 0;
  auto state = ResponseState::Body;
  for (; bytes < 1 << 20 && state == ResponseState::Body; bytes += 1000)
    state = feed(std::string(1000, 'y'));
  CHECK(state == ResponseState::Malformed);
  CHECK(bytes <= 100'000);
}

TEST_CASE("response keeps its idle time and its wish to close") {
  Fields headers;
  CHECK_FALSE(keepAliveSeconds(headers));
  headers.add("keep-alive", "max=5, timeout=12");
  headers.add("Connection", "foo, Close");
  CHECK(keepAliveSeconds(headers) == 12U);
  CHECK(closesConnection(headers));
}

TEST_CASE("chunks carry their length in hexadecimal, and none is empty") {
  std::string text;
  appendChunk(text, "");
  CHECK(text.empty());
  appendChunk(text, std::string(17, 'x'));
  CHECK(text == "11\r\n" + std::string(17, 'x') + "\r\n");
}
