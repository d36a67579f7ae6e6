#include "gateway/fleetagent.h"

#include "utils/utils.h"

/// How gateways ask each other for the operators' records and for the version
/// of the configuration in force.
namespace Gateway {

void FleetAgent::askConfiguration(const std::string &address) {
  FleetLink::ConfigurationQuestion out;
  out.Address = Address;
  out.Incarnation = Incarnation;
  Link.send(address, FleetLink::encode(out));
}

void FleetAgent::answerConfiguration(
    const FleetLink::ConfigurationQuestion &question) {
  ConfigurationState own = Ctx.OwnConfiguration();
  FleetLink::ConfigurationAnswer out;
  out.Address = Address;
  out.Incarnation = question.Incarnation;
  out.StoreEra = Ctx.ReadProgress().InEra;
  out.ConfigurationVersion = own.Version;
  out.ConfigurationConfirmed = own.Confirmed;
  Link.send(question.Address, FleetLink::encode(out));
}

void FleetAgent::noteOperatorsRecords(const std::vector<TopicRecord> &records,
                                      bool isSnapshot) {
  OperatorsRecords.apply(records, isSnapshot);
}

void FleetAgent::handleRecordRequest(const FleetLink::RecordRequest &request) {
  StoreReadProgress read = Ctx.ReadProgress();
  if (read.OperatorsAsOf == Utils::TimePoint{})
    return;
  auto fragment =
      OperatorsRecords.answer(request, {read.InEra, read.OperatorsNext},
                              read.OperatorsAsOf, Utils::BootClock::now());
  if (fragment)
    Link.send(request.Address, FleetLink::encode(*fragment));
}

void FleetAgent::relayRecords(const std::string &address) {
  RelayAddress = address;
  if (OperatorsTransfer.isActive())
    return;
  OperatorsTransfer.start(Utils::BootClock::now());
  sendRecordRequest();
}

/// Sends the next request of the transfer, and repeats it while its answer does
/// not come. Each goes to the gateway named last, or to the holder of that
/// moment.
void FleetAgent::sendRecordRequest() {
  if (!OperatorsTransfer.isActive())
    return;
  auto request = OperatorsTransfer.makeRequest(Utils::BootClock::now());
  const std::string &to =
      RelayAddress.empty() ? LastHolderAddress : RelayAddress;
  if (request && !to.empty()) {
    request->Address = Address;
    request->Incarnation = Incarnation;
    Link.send(to, FleetLink::encode(*request));
  }
  TransferTimer.callAt(OperatorsTransfer.nextRequestAt(),
                       [this] { sendRecordRequest(); });
}

void FleetAgent::handleRecordFragment(
    const FleetLink::RecordFragment &fragment) {
  if (fragment.Incarnation != Incarnation)
    return;
  auto records =
      OperatorsTransfer.handleFragment(fragment, Utils::BootClock::now());
  if (records)
    return OnRelayedRecords(*records);
  sendRecordRequest();
}

} // namespace Gateway
