#include "gateway/memberlink.h"

#include "httpio/httpio.h"
#include "utils/utils.h"

#include <asio/buffer.hpp>

namespace Gateway {

MemberLink::MemberLink(asio::io_context &loop) : Socket(loop) {}

void MemberLink::start(const std::string &ipAddress, uint16_t port,
                       std::error_code &ec) {
  auto ip = asio::ip::make_address_v4(ipAddress, ec);
  if (!ec)
    Socket.open(asio::ip::udp::v4(), ec);
  if (!ec)
    Socket.bind({ip, port}, ec);
  if (!ec)
    Socket.non_blocking(true, ec);
  if (ec)
    return;
  Buffer.resize(FleetLink::MaxDatagramBytes);
  receive();
}

void MemberLink::send(const std::string &address, const std::string &bytes) {
  std::error_code ec;
  auto peer = HttpIo::parseEndpoint(address, ec);
  if (!ec && bytes.size() <= FleetLink::MaxDatagramBytes)
    Socket.send_to(asio::buffer(bytes), {peer.address(), peer.port()}, 0, ec);
  else if (!ec)
    ec = std::make_error_code(std::errc::message_size);
  if (ec) // Handled like a lost datagram: the next one follows soon.
    Utils::Event("datagram_not_sent")
        .with("to", address)
        .with("bytes", bytes.size())
        .with("error", ec.message())
        .warning();
}

void MemberLink::receive() {
  Socket.async_receive_from(asio::buffer(Buffer), Sender,
                            [this](const std::error_code &ec, size_t n) {
                              if (ec == asio::error::operation_aborted)
                                return;
                              if (!ec)
                                dispatch(std::string_view(Buffer).substr(0, n));
                              receive();
                            });
}

void MemberLink::dispatch(std::string_view bytes) {
  auto datagram = FleetLink::decode(bytes);
  if (!datagram) {
    Utils::Event("datagram_unreadable")
        .with("from", Sender.address().to_string())
        .with("error", datagram.error().What)
        .warning();
    return;
  }
  if (auto *report = std::get_if<FleetLink::Report>(&datagram.value()))
    OnReport(std::move(*report));
  else if (auto *heartbeat =
               std::get_if<FleetLink::Heartbeat>(&datagram.value()))
    OnHeartbeat(std::move(*heartbeat));
  else if (auto *request =
               std::get_if<FleetLink::GrantRequest>(&datagram.value()))
    OnGrantRequest(std::move(*request));
  else if (auto *grant = std::get_if<FleetLink::Grant>(&datagram.value()))
    OnGrant(std::move(*grant));
  else if (auto *wanted =
               std::get_if<FleetLink::RecordRequest>(&datagram.value()))
    OnRecordRequest(std::move(*wanted));
  else if (auto *fragment =
               std::get_if<FleetLink::RecordFragment>(&datagram.value()))
    OnRecordFragment(std::move(*fragment));
  else if (auto *question =
               std::get_if<FleetLink::ConfigurationQuestion>(&datagram.value()))
    OnConfigurationQuestion(std::move(*question));
  else if (auto *answer =
               std::get_if<FleetLink::ConfigurationAnswer>(&datagram.value()))
    OnConfigurationAnswer(std::move(*answer));
}

} // namespace Gateway
