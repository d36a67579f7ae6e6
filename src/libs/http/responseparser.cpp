#include "http/responseparser.h"

#include "http/parserbase.h"

namespace Http {

namespace {

using Internal::BeastStringView;
using Internal::ErrorCode;

/// Limit on a response head; a larger one is treated as malformed.
constexpr uint32_t HeadLimitBytes = 16384;

class Parser : public boost::beast::http::basic_parser<false> {
public:
  Parser() : FieldLimiter(HeadLimitBytes) {}
  ResponseHead Head;
  std::string *Body = nullptr;

private:
  void on_request_impl(boost::beast::http::verb, BeastStringView,
                       BeastStringView, int, ErrorCode &) override {}
  void on_response_impl(int status, BeastStringView reason, int,
                        ErrorCode &) override {
    Head.Status = unsigned(status);
    Head.Reason = Internal::toStringView(reason);
  }
  void on_field_impl(boost::beast::http::field, BeastStringView name,
                     BeastStringView value, ErrorCode &ec) override {
    FieldLimiter.add(name, value, ec);
    Head.Headers.add(Internal::toStringView(name),
                     Internal::toStringView(value));
  }
  void on_header_impl(ErrorCode &) override {}
  void on_body_init_impl(const boost::optional<uint64_t> &,
                         ErrorCode &) override {}
  size_t on_body_impl(BeastStringView body, ErrorCode &) override {
    Body->append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(uint64_t, BeastStringView, ErrorCode &) override {}
  size_t on_chunk_body_impl(uint64_t, BeastStringView body,
                            ErrorCode &) override {
    Body->append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(ErrorCode &) override {}

  Internal::FieldSizeLimiter FieldLimiter;
};

} // namespace

struct ResponseParser::Content {
  Content() {
    Impl.eager(true);
    Impl.header_limit(HeadLimitBytes);
    Impl.body_limit(boost::none);
  }
  ResponseState state() const {
    if (Impl.is_done())
      return ResponseState::Complete;
    return Impl.is_header_done() ? ResponseState::Body : ResponseState::Head;
  }
  Parser Impl;
};

ResponseParser::ResponseParser() : Data(std::make_unique<Content>()) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
ResponseParser &ResponseParser::operator=(ResponseParser &&) noexcept = default;

ResponseState ResponseParser::feed(std::string &input, std::string &body) {
  Data->Impl.Body = &body;
  ErrorCode ec = Internal::feedAll(Data->Impl, input);
  if (ec && ec != boost::beast::http::error::need_more)
    return ResponseState::Malformed;
  return Data->state();
}

ResponseState ResponseParser::finish() {
  ErrorCode ec;
  Data->Impl.put_eof(ec);
  return ec ? ResponseState::Malformed : Data->state();
}

bool ResponseParser::hasStarted() const { return Data->Impl.got_some(); }

const ResponseHead &ResponseParser::head() const { return Data->Impl.Head; }

Framing ResponseParser::framing() const {
  if (Data->Impl.chunked())
    return Framing::Chunked;
  return Data->Impl.need_eof() ? Framing::Close : Framing::Length;
}

bool ResponseParser::keepAlive() const { return Data->Impl.keep_alive(); }

void ResponseParser::reset() { Data = std::make_unique<Content>(); }

} // namespace Http
