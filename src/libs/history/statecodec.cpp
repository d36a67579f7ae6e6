#include "history/statecodec.h"
#include "history/applyrecord.h"
#include "history/fieldcount.h"
#include "history/recordcodec.h"

#include <cereal/types/deque.hpp>
#include <tuple>

namespace History {

/// A lease in encodings of version 1.
struct FirstLease {
  std::string Holder;
  Position Fence = 0;
  Position Renewal = 0;
  uint32_t DurationMs = 0;
};

namespace {

/// Members of each type in the order of the encoding.
auto fields(Verdict &v) {
  return std::tie(v.Accepted, v.Reason, v.At, v.WinningVersion);
}
auto fields(TableRow &v) { return std::tie(v.Version, v.Values); }
auto fields(Lease &v) {
  return std::tie(v.Holder, v.Fence, v.Renewal, v.DurationMs, v.Known,
                  v.Actors);
}

auto fields(FirstLease &v) {
  return std::tie(v.Holder, v.Fence, v.Renewal, v.DurationMs);
}

auto fields(Endpoint &v) {
  return std::tie(v.Kind, v.Life, v.Address, v.Port, v.FailureDomain,
                  v.MemoryMb, v.ChargedMb, v.ChecksFencing, v.Service);
}
auto fields(Replica &v) {
  return std::tie(v.Model, v.Endpoint, v.MemoryMb, v.Phase, v.Decision, v.Actor,
                  v.Senders);
}
auto fields(Member &v) {
  return std::tie(v.Address, v.PeerPort, v.FailureDomain, v.Joined);
}
auto fields(Order &v) {
  return std::tie(v.ClaimId, v.Daemon, v.RequestHash, v.ExpiryUnixS, v.Claimed,
                  v.Settled, v.Result, v.HttpStatus, v.ContentType, v.Body,
                  v.BodyDropped);
}
auto fields(AuditEntry &v) {
  return std::tie(v.At, v.WallMs, v.Actor, v.What, v.Before, v.After,
                  v.Accepted, v.Reason);
}

/// The state without what is derived from other members: the views of the
/// table, and the verdicts, which go in the order in which they are forgotten.
template <typename S> auto plainFields(S &v) {
  return std::tie(v.Applied, v.NextOffset, v.Table.Rows, v.Leases, v.Endpoints,
                  v.Replicas, v.Members, v.Orders, v.Demands, v.Audit,
                  v.OrderAudit, v.SkippedRecords);
}

template <typename T>
concept Listed = requires(T &v) {
  fields(v);
};

template <typename T>
constexpr bool
    AllListed = std::tuple_size_v<decltype(fields(std::declval<T &>()))> ==
                Internal::fieldCount<T>();
static_assert(AllListed<Verdict>);
static_assert(AllListed<TableRow>);
static_assert(AllListed<Lease>);
static_assert(AllListed<FirstLease>);
static_assert(AllListed<Endpoint>);
static_assert(AllListed<Replica>);
static_assert(AllListed<Member>);
static_assert(AllListed<Order>);
static_assert(AllListed<AuditEntry>);
constexpr size_t VerdictMembers = 2;
static_assert(
    std::tuple_size_v<decltype(plainFields(std::declval<State &>()))> +
        VerdictMembers ==
    Internal::fieldCount<State>());

void checkEnums(const Endpoint &v) {
  Internal::checkLast(v.Kind, EndpointKind::Service);
  Internal::checkLast(v.Life, EndpointLife::Gone);
}
void checkEnums(const Replica &v) {
  Internal::checkLast(v.Phase, ReplicaPhase::Unloading);
}
void checkEnums(const Order &v) {
  Internal::checkLast(v.Result, OrderResult::Unknown);
}

} // namespace

template <class A, Listed T> void serialize(A &a, T &v) {
  std::apply([&](auto &...it) { a(it...); }, fields(v));
  if constexpr (requires { checkEnums(v); })
    checkEnums(v);
}

namespace {

using KeptVerdicts = std::vector<std::pair<std::string, Verdict>>;

struct Encoding {
  const State &Content;
};

template <class A> void save(A &a, const Encoding &v) {
  a(StateVersion);
  std::apply([&](const auto &...it) { a(it...); }, plainFields(v.Content));
  KeptVerdicts kept;
  kept.reserve(v.Content.VerdictOrder.size());
  for (const std::string &id : v.Content.VerdictOrder)
    kept.emplace_back(id, v.Content.Verdicts.at(id));
  a(kept);
}

template <class A, class T> void loadField(A &a, uint32_t, T &v) { a(v); }

/// Who else may act on a lease of version 1 is not known: its holder may, and
/// no daemon is surely known to it.
template <class A>
void loadField(A &a, uint32_t version, std::map<std::string, Lease> &v) {
  if (version > 1) {
    a(v);
    return;
  }
  std::map<std::string, FirstLease> first;
  a(first);
  for (auto &[duty, it] : first) {
    Lease &lease = v[duty];
    lease = {it.Holder, it.Fence, it.Renewal, it.DurationMs, 0, {}};
    if (!it.Holder.empty())
      lease.Actors[it.Holder] = it.Renewal;
  }
}

struct Decoding {
  State Content;
};

template <class A> void load(A &a, Decoding &v) {
  uint32_t version = 0;
  a(version);
  if (version == 0 || version > StateVersion)
    throw cereal::Exception("state of an unknown version");
  std::apply([&](auto &...it) { (loadField(a, version, it), ...); },
             plainFields(v.Content));
  KeptVerdicts kept;
  a(kept);
  for (auto &[id, verdict] : kept)
    if (v.Content.Verdicts.emplace(id, std::move(verdict)).second)
      v.Content.VerdictOrder.push_back(std::move(id));
}

} // namespace

std::string encodeState(const State &state) {
  return Codec::encode(Encoding{state});
}

Utils::Outcome<State> decodeState(std::string_view bytes) {
  auto decoded = Codec::decode<Decoding>(bytes);
  if (!decoded)
    return decoded.error();
  State state = std::move(decoded.value().Content);
  for (const auto &[id, row] : state.Table.Rows)
    Internal::addView(state.Table, id, row.Values);
  return state;
}

bool sameState(const State &left, const State &right) {
  return encodeState(left) == encodeState(right);
}

} // namespace History
