#include "httpio/socketoptions.h"

#include "httpio/httpioconstants.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace HttpIo {

void setTcpOptions(Tcp::socket &socket) {
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  std::error_code ec; // A connection without these options still works.
  socket.set_option(Tcp::no_delay(true), ec);
  socket.set_option(UserTimeout(int(TcpUserTimeout.count())), ec);
}

Tcp::endpoint parseEndpoint(std::string_view address, std::error_code &ec) {
  size_t colon = address.rfind(':');
  uint16_t port = 0;
  std::string_view digits = colon == std::string_view::npos
                                ? std::string_view()
                                : address.substr(colon + 1);
  auto end =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (digits.empty() || end.ec != std::errc() ||
      end.ptr != digits.data() + digits.size()) {
    ec = std::make_error_code(std::errc::invalid_argument);
    return {};
  }
  auto ip = asio::ip::make_address_v4(address.substr(0, colon), ec);
  return {ip, port};
}

} // namespace HttpIo
