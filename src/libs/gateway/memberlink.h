#ifndef GATEWAY_MEMBERLINK_H
#define GATEWAY_MEMBERLINK_H

#include "fleetlink/fleetlink.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <system_error>

namespace Gateway {

/// UDP socket for the datagrams between gateways.
class MemberLink {
public:
  explicit MemberLink(asio::io_context &loop);

  void start(const std::string &ipAddress, uint16_t port, std::error_code &ec);
  void send(const std::string &address, const std::string &bytes);

  std::function<void(FleetLink::Report)> OnReport;
  std::function<void(FleetLink::Heartbeat)> OnHeartbeat;
  std::function<void(FleetLink::GrantRequest)> OnGrantRequest;
  std::function<void(FleetLink::Grant)> OnGrant;
  std::function<void(FleetLink::RecordRequest)> OnRecordRequest;
  std::function<void(FleetLink::RecordFragment)> OnRecordFragment;
  std::function<void(FleetLink::ConfigurationQuestion)> OnConfigurationQuestion;
  std::function<void(FleetLink::ConfigurationAnswer)> OnConfigurationAnswer;

private:
  void receive();
  void dispatch(std::string_view bytes);

  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint Sender;
  std::string Buffer;
};

} // namespace Gateway

#endif // GATEWAY_MEMBERLINK_H
