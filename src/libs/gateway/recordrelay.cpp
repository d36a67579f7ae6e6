#include "gateway/recordrelay.h"

#include "codec/codec.h"
#include "utils/digest.h"

#include <algorithm>
#include <chrono>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// Share of the link that all transfers together may take. Endpoint entries
/// take up to a quarter, and calls need the rest.
constexpr double RelayShareOfLink = 0.125;
/// Bytes of records in a fragment; the datagram's other fields need less than
/// 1,000 bytes.
constexpr size_t FragmentBytes = 40'000;
static_assert(FragmentBytes + 1000 <= FleetLink::MaxDatagramBytes);
/// Maximum size of a relayed topic, which bounds the memory of a transfer; a
/// configuration has some 100 kB.
constexpr uint32_t MaxFragments = 400;
/// Time after which a fragment is requested again. Answers take 2 to 6 ms, and
/// 32 ms to be sent over the smallest links (10 Mbit/s).
constexpr milliseconds FragmentTimeout{100};
/// Maximum of the time-out, which doubles with each repetition: in a fleet of
/// 195 gateways a holder whose share of the link is used up gets 500 requests a
/// second.
constexpr milliseconds MaxFragmentTimeout{400};
/// Time without a fragment after which a transfer ends. The next heartbeat
/// begins another if there is a holder.
constexpr milliseconds TransferSilence{5000};

using EncodedRecords = std::vector<std::pair<std::string, std::string>>;

uint32_t fragmentCount(size_t bytes) {
  return uint32_t(
      std::max<size_t>(1, (bytes + FragmentBytes - 1) / FragmentBytes));
}

} // namespace

RecordSource::RecordSource(double linkMbps)
    : BytesPerSecond(linkMbps * 125'000 * RelayShareOfLink),
      Budget(FragmentBytes) {}

void RecordSource::apply(const std::vector<TopicRecord> &records,
                         bool isSnapshot) {
  if (isSnapshot)
    Values.clear();
  for (const TopicRecord &it : records)
    if (it.Value)
      Values[it.Key] = *it.Value;
    else
      Values.erase(it.Key);
  Encoded.reset();
}

void RecordSource::encode() {
  if (Encoded)
    return;
  Encoded = Codec::encode(EncodedRecords(Values.begin(), Values.end()));
  Digest = Utils::fastHash(*Encoded);
}

/// The budget holds a tenth of a second of the share, and at least one
/// fragment.
bool RecordSource::takeBytes(size_t bytes, Utils::TimePoint now) {
  constexpr double burstSeconds = 0.1;
  double elapsed = std::chrono::duration<double>(now - BudgetAt).count();
  double most = std::max<double>(FragmentBytes, BytesPerSecond * burstSeconds);
  Budget = std::min(most, Budget + elapsed * BytesPerSecond);
  BudgetAt = now;
  if (Budget < double(bytes))
    return false;
  Budget -= double(bytes);
  return true;
}

std::optional<FleetLink::RecordFragment>
RecordSource::answer(const FleetLink::RecordRequest &request,
                     const StoreEra::Position &next, Utils::TimePoint asOf,
                     Utils::TimePoint now) {
  encode();
  uint32_t count = fragmentCount(Encoded->size());
  if (count > MaxFragments)
    return std::nullopt;
  FleetLink::RecordFragment out;
  out.Incarnation = request.Incarnation;
  out.Transfer = request.Transfer;
  out.State = {next.Offset, Digest, next.InEra};
  bool isSameState = request.State == out.State;
  out.Fragment = isSameState ? request.Fragment : 0;
  out.Fragments = count;
  if (out.Fragment >= count)
    return std::nullopt;
  // Rounded up: data must not appear younger than it is.
  out.AgeMs = uint32_t(std::max<int64_t>(
      0, std::chrono::ceil<milliseconds>(now - asOf).count()));
  out.Bytes = Encoded->substr(out.Fragment * FragmentBytes, FragmentBytes);
  if (!takeBytes(out.Bytes.size(), now))
    return std::nullopt;
  return out;
}

std::string unreadableKey(const std::string &key) {
  return key + " unreadable";
}

std::vector<TopicRecord>
withConfigurationInForce(std::vector<TopicRecord> records, bool isSnapshot,
                         const std::string &key,
                         const ConfigurationTexts &texts) {
  if (texts.InForce.empty())
    return records;
  bool isListed = false;
  for (TopicRecord &it : records)
    if (it.Key == key) {
      it.Value = texts.InForce;
      isListed = true;
    }
  if (isSnapshot && !isListed)
    records.push_back({key, texts.InForce});
  std::string unreadable = unreadableKey(key);
  if (!texts.Unreadable.empty() && (isListed || isSnapshot))
    records.push_back({unreadable, texts.Unreadable});
  else if (isListed && !isSnapshot) // A snapshot drops what it does not have.
    records.push_back({unreadable, std::nullopt});
  return records;
}

void RecordTransfer::start(Utils::TimePoint now) {
  if (Active)
    return;
  Active = true;
  GiveUpAt = now + TransferSilence;
  restart(now);
}

void RecordTransfer::restart(Utils::TimePoint now) {
  ++Number;
  StartedAt = now;
  State.reset();
  Fragments.clear();
  MaxAge = milliseconds(0);
  RequestAt = now;
  Timeout = FragmentTimeout;
}

std::optional<FleetLink::RecordRequest>
RecordTransfer::makeRequest(Utils::TimePoint now) {
  Active = Active && now < GiveUpAt;
  if (!Active || now < RequestAt)
    return std::nullopt;
  RequestAt = now + Timeout;
  Timeout = std::min(Timeout * 2, MaxFragmentTimeout);
  FleetLink::RecordRequest out;
  out.Transfer = Number;
  if (!State)
    return out;
  out.State = *State;
  auto missing = std::find(Fragments.begin(), Fragments.end(), std::nullopt);
  out.Fragment = uint32_t(missing - Fragments.begin());
  return out;
}

std::optional<RelayedRecords>
RecordTransfer::handleFragment(const FleetLink::RecordFragment &fragment,
                               Utils::TimePoint now) {
  if (!Active || fragment.Transfer != Number || fragment.Fragments == 0 ||
      fragment.Fragments > MaxFragments ||
      fragment.Fragment >= fragment.Fragments)
    return std::nullopt;
  GiveUpAt = now + TransferSilence;
  if (State && *State != fragment.State) {
    // Fragments of the earlier state that are still on their way carry the
    // earlier number.
    restart(now);
    return std::nullopt;
  }
  if (!State) {
    State = fragment.State;
    Fragments.resize(fragment.Fragments);
  }
  if (fragment.Fragments != Fragments.size())
    return std::nullopt;
  auto &slot = Fragments[fragment.Fragment];
  if (!slot) {
    slot = fragment.Bytes;
    RequestAt = now;
    Timeout = FragmentTimeout;
  }
  MaxAge = std::max(MaxAge, milliseconds(fragment.AgeMs));
  bool isComplete = std::all_of(Fragments.begin(), Fragments.end(),
                                [](const auto &it) { return it.has_value(); });
  return isComplete ? assemble() : std::nullopt;
}

std::optional<RelayedRecords> RecordTransfer::assemble() {
  Active = false;
  std::string bytes;
  for (const auto &it : Fragments)
    bytes += *it;
  Fragments.clear();
  if (Utils::fastHash(bytes) != State->Digest)
    return std::nullopt;
  auto decoded = Codec::decode<EncodedRecords>(bytes);
  if (!decoded)
    return std::nullopt;
  RelayedRecords out;
  out.Next = {State->InEra, State->Next};
  out.AsOf = StartedAt - MaxAge;
  out.RequestedAt = StartedAt;
  for (auto &[key, value] : decoded.value())
    out.Records.push_back({std::move(key), std::move(value)});
  return out;
}

} // namespace Gateway
