#ifndef HTTPIO_SOCKETOPTIONS_H
#define HTTPIO_SOCKETOPTIONS_H

#include "utils/bootclock.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/ip/tcp.hpp>
#include <string_view>
#include <system_error>

namespace HttpIo {

using Tcp = asio::ip::tcp;

/// Fires by the clock that counts suspensions.
using Timer = asio::basic_waitable_timer<Utils::BootClock>;

/// Turns off delayed small writes and bounds how long sent bytes may stay
/// unacknowledged.
void setLowLatency(Tcp::socket &socket);

/// Parses IP:PORT.
Tcp::endpoint parseEndpoint(std::string_view address, std::error_code &ec);

} // namespace HttpIo

#endif // HTTPIO_SOCKETOPTIONS_H
