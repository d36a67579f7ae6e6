#ifndef EXPLAIN_GATEWAYCAUSES_H
#define EXPLAIN_GATEWAYCAUSES_H

#include "explain/causes.h"

#include <string>

namespace Explain::Internal {

/// Describes the cause of an outcome that a gateway logged as `call_ended`.
std::string gatewayCause(const Evidence &evidence, const LogLine &outcome);

} // namespace Explain::Internal

#endif // EXPLAIN_GATEWAYCAUSES_H
