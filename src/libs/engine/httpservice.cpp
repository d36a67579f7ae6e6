#include "engine/connectionpool.h"

namespace Engine {

Endpoint makeHttpService(const std::string &host, uint16_t port,
                         std::shared_ptr<ConnectionPool> connections) {
  return {[=, connections = std::move(connections)](const Call &call,
                                                    const AnswerSink &sink) {
    return connections->send(host, port, call, sink);
  }};
}

} // namespace Engine
