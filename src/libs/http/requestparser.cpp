#include "http/requestparser.h"

#include "http/parserbase.h"

namespace Http {

namespace {

using Internal::BeastStringView;
using Internal::ErrorCode;

class Parser : public boost::beast::http::basic_parser<true> {
public:
  explicit Parser(size_t headLimitBytes) : FieldLimiter(headLimitBytes) {}
  Request Result;

private:
  void on_request_impl(boost::beast::http::verb, BeastStringView method,
                       BeastStringView target, int, ErrorCode &) override {
    Result.Method = Internal::toStringView(method);
    Result.Target = Internal::toStringView(target);
  }
  void on_response_impl(int, BeastStringView, int, ErrorCode &) override {}
  void on_field_impl(boost::beast::http::field, BeastStringView name,
                     BeastStringView value, ErrorCode &ec) override {
    FieldLimiter.add(name, value, ec);
    Result.Headers.add(Internal::toStringView(name),
                       Internal::toStringView(value));
  }
  void on_header_impl(ErrorCode &) override {}
  void on_body_init_impl(const boost::optional<uint64_t> &,
                         ErrorCode &) override {}
  size_t on_body_impl(BeastStringView body, ErrorCode &) override {
    Result.Body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(uint64_t, BeastStringView, ErrorCode &) override {}
  size_t on_chunk_body_impl(uint64_t, BeastStringView body,
                            ErrorCode &) override {
    Result.Body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(ErrorCode &) override {}

  Internal::FieldSizeLimiter FieldLimiter;
};

RequestState stateOf(const ErrorCode &ec) {
  using boost::beast::http::error;
  if (!ec || ec == error::need_more)
    return RequestState::Incomplete;
  if (ec == error::header_limit)
    return RequestState::HeadTooLarge;
  if (ec == error::body_limit)
    return RequestState::BodyTooLarge;
  return RequestState::Malformed;
}

} // namespace

struct RequestParser::Content {
  explicit Content(RequestLimits limits) : Impl(limits.HeaderBytes) {
    Impl.eager(true);
    Impl.header_limit(limits.HeaderBytes);
    Impl.body_limit(limits.BodyBytes);
  }
  Parser Impl;
};

RequestParser::RequestParser(RequestLimits limits)
    : Data(std::make_unique<Content>(limits)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser &&) noexcept = default;
RequestParser &RequestParser::operator=(RequestParser &&) noexcept = default;

RequestState RequestParser::feed(std::string &input) {
  ErrorCode ec = Internal::feedAll(Data->Impl, input);
  if (Data->Impl.is_done())
    return RequestState::Complete;
  return stateOf(ec);
}

bool RequestParser::hasStarted() const { return Data->Impl.got_some(); }

Request RequestParser::take(RequestLimits limits) {
  Request result = std::move(Data->Impl.Result);
  result.KeepAlive = Data->Impl.keep_alive();
  Data = std::make_unique<Content>(limits);
  return result;
}

} // namespace Http
