#ifndef PEERS_RPC_H
#define PEERS_RPC_H

#include "utils/clock.h"
#include "utils/outcome.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Peers {

/// Handles one request of another daemon; runs on a worker thread. Workers are
/// few, so a handler must not wait long.
using Handler = std::function<Utils::Outcome<std::string>(
    const std::string &fromDaemon, std::string_view payload)>;

/// Gives the answer to a request, once, on any thread.
using Answer = std::function<void(Utils::Outcome<std::string>)>;

/// As Handler, for a method that answers later; it must not wait either.
using LaterHandler =
    std::function<void(const std::string &fromDaemon, std::string_view payload,
                       const Answer &answer)>;

/// What other libraries call; replaced by fakes in tests. Thread-safe but for
/// Handle, which is called before the start only.
struct Rpc {
  /// Calls a method of another daemon and waits for the answer until the
  /// deadline. Errc::Unavailable: the request was not sent, or was refused
  /// before its handler ran; Errc::UnknownResult: no answer in time;
  /// Errc::NotFound: no such method there. Other codes are the handler's own.
  std::function<Utils::Outcome<std::string>(
      const std::string &daemon, const std::string &method,
      const std::string &payload, Utils::TimePoint deadline)>
      Call;
  /// Registers the handler of a method; before start only.
  std::function<void(const std::string &method, Handler handler)> Handle;
  std::function<void(const std::string &method, LaterHandler handler)>
      HandleLater;
  /// Names of the other daemons thought alive now.
  std::function<std::vector<std::string>()> Members;
};

} // namespace Peers

#endif // PEERS_RPC_H
