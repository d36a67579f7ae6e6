#ifndef HTTPIO_HTTPIOCONSTANTS_H
#define HTTPIO_HTTPIOCONSTANTS_H

#include <chrono>
#include <cstddef>

namespace HttpIo {

/// Size of a read buffer. Most requests and responses of the sites fit into it.
constexpr size_t ReadBufferBytes = 4096;

/// Maximum body size of a fetched response. A page of the store holds 1 MB,
/// which its encoding enlarges by a third.
constexpr size_t MaxFetchBytes = 8 << 20;

/// Maximum number and size of the interim responses (status 1xx) of one
/// exchange. A server sends one or two; without a limit, one that sends nothing
/// else would be read until the deadline of its caller.
constexpr size_t MaxInterimResponses = 64;
constexpr size_t MaxInterimBytes = 65'536;

/// Maximum number and size of the responses of one exchange that are discarded
/// because they belong to another request: a connection has few late copies of
/// earlier responses, and the largest that a gateway takes has 4 MB.
constexpr size_t MaxSkippedResponses = 16;
constexpr size_t MaxSkippedBytes = 4 << 20;

/// Maximum unsent output for a client that reads too slowly; the connection is
/// closed when more is sent while it is exceeded. About a hundred times a long
/// stream of the sites.
constexpr size_t MaxSendBacklogBytes = 1 << 20;

/// Size of the input buffer at which reading pauses while a request is being
/// processed.
constexpr size_t MaxReadAheadBytes = 16384;

/// Value of TCP_USER_TIMEOUT: how long sent data may stay unacknowledged. Links
/// take milliseconds; TCP retransmits a lost packet after 200 ms, and three
/// losses in a row are repaired within 1.4 s.
constexpr std::chrono::milliseconds TcpUserTimeout{1500};

/// Timeout for connecting to an endpoint, which takes about 3 ms. A lost SYN
/// would be retransmitted only after 1 s.
constexpr std::chrono::milliseconds ConnectTimeout{400};

/// Interval between checks of the connections for timeouts. A quarter of the
/// shortest timeout checked that way.
constexpr std::chrono::milliseconds TimeoutCheckInterval{500};

/// How long a connection reads on after its sending side is shut down, so that
/// unread bytes do not turn the close into a reset.
constexpr std::chrono::milliseconds LingerTimeout{1000};

} // namespace HttpIo

#endif // HTTPIO_HTTPIOCONSTANTS_H
