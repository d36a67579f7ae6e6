#ifndef HTTPIO_HTTPIOCONSTANTS_H
#define HTTPIO_HTTPIOCONSTANTS_H

#include <chrono>
#include <cstddef>

namespace HttpIo {

/// Bytes read at once; most requests and answers of the sites fit into it.
constexpr size_t ReadBytes = 4096;

/// Most bytes of a fetched response. A page of the store holds 1 MB, which its
/// encoding makes a third larger.
constexpr size_t LargestFetchBytes = 8 << 20;

/// Bytes that may wait for a caller who does not read, about a hundred times
/// a long stream of the sites; more breaks the connection.
constexpr size_t CallerBacklogBytes = 1 << 20;

/// Bytes of further requests that are read ahead while one is being answered.
constexpr size_t ReadAheadBytes = 16384;

/// Time for the peer to acknowledge sent bytes. Links take milliseconds; a
/// lost packet is sent again after 200 ms, three in a row within 1.4 s.
constexpr std::chrono::milliseconds UnacknowledgedLimit{1500};

/// Time to establish a connection to an endpoint, which takes about 3 ms; the
/// first lost packet is sent again after 1 s.
constexpr std::chrono::milliseconds ConnectLimit{400};

/// How often connections are looked over for those that timed out. A quarter
/// of the shortest time-out checked that way.
constexpr std::chrono::milliseconds SweepInterval{500};

/// How long a closed connection waits for the caller's own close, so that
/// unread bytes do not turn the close into a reset.
constexpr std::chrono::milliseconds LingerLimit{1000};

} // namespace HttpIo

#endif // HTTPIO_HTTPIOCONSTANTS_H
