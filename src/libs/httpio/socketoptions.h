#ifndef HTTPIO_SOCKETOPTIONS_H
#define HTTPIO_SOCKETOPTIONS_H

#include "utils/bootclock.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/ip/tcp.hpp>
#include <string_view>
#include <system_error>

namespace HttpIo {

using Tcp = asio::ip::tcp;

/// A timer on a clock that keeps running while the system is suspended.
using Timer = asio::basic_waitable_timer<Utils::BootClock>;

/// Disables Nagle's algorithm and sets TCP_USER_TIMEOUT, which limits how long
/// sent data may stay unacknowledged.
void setTcpOptions(Tcp::socket &socket);

/// Parses an address of the form IP:PORT; the IP must be IPv4.
Tcp::endpoint parseEndpoint(std::string_view address, std::error_code &ec);

} // namespace HttpIo

#endif // HTTPIO_SOCKETOPTIONS_H
