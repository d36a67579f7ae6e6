#include "http/responseparser.h"

#include "http/parserbase.h"

namespace Http {

namespace {

using Error = boost::beast::http::error;
using Internal::BeastStringView;
using Internal::ErrorCode;

/// Limit on a response head; a larger one is treated as malformed.
constexpr uint32_t HeadLimitBytes = 16384;
/// Limits on the bytes of a response that are not part of its body: in all, and
/// for each byte of the body. A chunk of one byte takes five. Without them,
/// chunk extensions would let a response with a small body go on without end.
constexpr size_t MaxFramingBytes = 65'536;
constexpr size_t MaxFramingPerBodyByte = 16;

/// Whether a response may have the status (RFC 9110, section 15). A change of
/// the protocol is never asked for.
bool isStatus(unsigned status) {
  constexpr unsigned first = 100;
  constexpr unsigned end = 600;
  constexpr unsigned switchingProtocols = 101;
  return status >= first && status < end && status != switchingProtocols;
}

class Parser : public boost::beast::http::basic_parser<false> {
public:
  Parser() : FieldLimiter(HeadLimitBytes) {}
  ResponseHead Head;
  std::string *Body = nullptr;
  /// Fields from now on are trailers.
  bool HeadEnded = false;

private:
  void on_request_impl(boost::beast::http::verb, BeastStringView,
                       BeastStringView, int, ErrorCode &) override {}
  void on_response_impl(int status, BeastStringView reason, int version,
                        ErrorCode &) override {
    Version = version;
    Head.Status = unsigned(status);
    Head.Reason = Internal::toStringView(reason);
  }
  void on_field_impl(boost::beast::http::field, BeastStringView name,
                     BeastStringView value, ErrorCode &ec) override {
    FieldLimiter.add(name, value, ec);
    if (HeadEnded)
      return;
    Head.Headers.add(Internal::toStringView(name),
                     Internal::toStringView(value));
  }
  void on_header_impl(ErrorCode &ec) override {
    HeadEnded = true;
    if (!isStatus(Head.Status))
      ec = Error::bad_status;
    else if (!hasKnownCoding())
      ec = Error::bad_transfer_encoding;
  }
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

  /// Whether the body is in chunks or as it is. What a coding that is not
  /// undone here makes of a body is not the body (RFC 9112, section 6.1).
  bool hasKnownCoding() const {
    size_t codings = 0;
    bool isChunked = true;
    bool hasLength = false;
    for (const Field &it : Head.Headers) {
      hasLength |= equalsIgnoreCase(it.Name, "Content-Length");
      if (!equalsIgnoreCase(it.Name, "Transfer-Encoding"))
        continue;
      ++codings;
      isChunked &= equalsIgnoreCase(it.Value, "chunked");
    }
    constexpr int firstWithCodings = 11; // HTTP/1.1
    return codings == 0 || (codings == 1 && isChunked && !hasLength &&
                            Version >= firstWithCodings);
  }

  Internal::FieldSizeLimiter FieldLimiter;
  int Version = 0;
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
  bool hasTooMuchFraming() const {
    return FramingBytes > MaxFramingBytes + MaxFramingPerBodyByte * BodyBytes;
  }
  Parser Impl;
  size_t FramingBytes = 0;
  size_t BodyBytes = 0;
};

ResponseParser::ResponseParser() : Data(std::make_unique<Content>()) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
ResponseParser &ResponseParser::operator=(ResponseParser &&) noexcept = default;

ResponseState ResponseParser::feed(std::string &input, std::string &body) {
  Data->Impl.Body = &body;
  size_t unparsed = input.size();
  size_t bodyBefore = body.size();
  ErrorCode ec = Internal::feedAll(Data->Impl, input);
  size_t added = body.size() - bodyBefore;
  Data->BodyBytes += added;
  Data->FramingBytes += unparsed - input.size() - added;
  if ((ec && ec != boost::beast::http::error::need_more) ||
      Data->hasTooMuchFraming())
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
