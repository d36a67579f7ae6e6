#include "history/records.h"
#include "history/recordcodec.h"

#include <array>
#include <cassert>

namespace History {

namespace {

/// A record on the log: its type, and its payload behind a length so that a
/// reader can step over types it does not know.
struct Envelope {
  uint16_t Type = 0;
  std::string Payload;
};
template <class A> void serialize(A &a, Envelope &v) { a(v.Type, v.Payload); }

constexpr std::array<std::string_view, 12> TypeNames = {
    "skipped",       "table_edit", "lease",          "endpoint",
    "replica",       "demand",     "member_change",  "order_claim",
    "order_outcome", "snapshot",   "orders_expired", "order_bodies_expired"};
static_assert(std::variant_size_v<Record> == TypeNames.size());

constexpr std::array<std::string_view, 3> LifeNames = {"live", "leaving",
                                                       "gone"};
constexpr std::array<std::string_view, 3> ResultNames = {"ran", "not run",
                                                         "unknown"};

template <typename T> Record decodeAs(uint16_t type, const std::string &bytes) {
  Utils::Outcome<T> value = Codec::decode<T>(bytes);
  if (!value)
    return SkippedRecord{type, value.error().What};
  return std::move(value.value());
}

using Decoder = Record (*)(uint16_t, const std::string &);

/// Decoders by record type, in the order of the variant.
constexpr std::array<Decoder, 12> Decoders = {
    nullptr,
    decodeAs<TableEdit>,
    decodeAs<LeaseChange>,
    decodeAs<EndpointChange>,
    decodeAs<ReplicaChange>,
    decodeAs<Demand>,
    decodeAs<MemberChange>,
    decodeAs<OrderClaim>,
    decodeAs<OrderOutcome>,
    decodeAs<SnapshotChunk>,
    decodeAs<OrdersExpired>,
    decodeAs<OrderBodiesExpired>,
};
static_assert(std::variant_size_v<Record> == Decoders.size());

Record decodeEnvelope(const Envelope &envelope) {
  if (envelope.Type == 0 || envelope.Type >= Decoders.size())
    return SkippedRecord{envelope.Type, "unknown record type"};
  return Decoders[envelope.Type](envelope.Type, envelope.Payload);
}

template <typename T> std::string payloadOf(const T &record) {
  if constexpr (std::is_same_v<T, SkippedRecord>)
    return {};
  else
    return Codec::encode(record);
}

template <typename T> std::string idOf(const T &record) {
  if constexpr (requires { record.ChangeId; })
    return record.ChangeId;
  else if constexpr (requires { record.EditId; })
    return record.EditId;
  else if constexpr (std::is_same_v<T, OrderClaim>)
    return record.ClaimId;
  else
    return {};
}

} // namespace

std::string encodeRecords(const std::vector<Record> &records) {
  assert(records.size() <= MaxRecordsPerAppend);
  std::vector<Envelope> envelopes;
  envelopes.reserve(records.size());
  for (const Record &record : records)
    envelopes.push_back(
        {static_cast<uint16_t>(record.index()),
         std::visit([](const auto &it) { return payloadOf(it); }, record)});
  return Codec::encode(envelopes);
}

std::vector<Record> decodeRecords(std::string_view bytes) {
  auto envelopes = Codec::decode<std::vector<Envelope>>(bytes);
  if (!envelopes)
    return {SkippedRecord{0, envelopes.error().What}};
  if (envelopes->size() > MaxRecordsPerAppend)
    return {SkippedRecord{0, "too many records in one append"}};
  std::vector<Record> records;
  records.reserve(envelopes->size());
  for (const Envelope &envelope : *envelopes)
    records.push_back(decodeEnvelope(envelope));
  return records;
}

std::string recordId(const Record &record) {
  return std::visit([](const auto &it) { return idOf(it); }, record);
}

std::string_view endpointLifeName(EndpointLife life) {
  return LifeNames[static_cast<size_t>(life)];
}

std::string_view orderResultName(OrderResult result) {
  return ResultNames[static_cast<size_t>(result)];
}

std::string_view recordName(const Record &record) {
  return TypeNames[record.index()];
}

} // namespace History
