#ifndef DAEMON_LIMITSLINK_H
#define DAEMON_LIMITSLINK_H

#include "utils/utils.h"

#include <optional>
#include <string_view>

namespace Daemon::Internal {

struct LimitsLead;

/// Whether this daemon gets tokens, and if not, why.
enum class LimitsLink : uint8_t {
  Granting,     ///< The holder answers.
  NotMember,    ///< The log does not name this daemon yet.
  NoHolder,     ///< Nobody holds the limits.
  HolderSilent, ///< The holder does not answer, or holds the limits no more.
};

std::string_view linkName(LimitsLink link);
/// What a caller is told.
std::string_view linkMessage(LimitsLink link);

/// The link, and since when it has been so.
struct LinkView {
  LimitsLink Link = LimitsLink::NoHolder;
  Utils::TimePoint Since;
};

/// Folds in who leads and whether the last exchange was accepted.
void observeLink(LinkView &view, const LimitsLead &lead, bool accepted,
                 Utils::TimePoint now);

/// When to ask again, milliseconds. A holder that is silent is expected to be
/// followed `takeover` after it fell silent.
uint32_t linkRetryMs(const LinkView &view, Utils::Milliseconds takeover,
                     Utils::TimePoint now);

} // namespace Daemon::Internal

#endif // DAEMON_LIMITSLINK_H
