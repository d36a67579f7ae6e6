#include "daemon/limitslink.h"

#include "daemon/limitsholder.h"

#include <algorithm>

namespace Daemon::Internal {

namespace {

struct LinkText {
  std::string_view Name;
  std::string_view Message;
};

constexpr LinkText Texts[] = {
    {"granting", "the team's rate is checked"},
    {"not_member", "this daemon is not recorded as a member yet, so that it "
                   "cannot check the team's rate; others may"},
    {"no_holder", "no daemon holds the teams' rates now"},
    {"holder_silent", "the daemon that holds the teams' rates does not answer"},
};

constexpr Utils::Milliseconds LeastRetry(1000);

const LinkText &textOf(LimitsLink link) {
  return Texts[static_cast<size_t>(link)];
}

LimitsLink linkOf(const LimitsLead &lead, bool accepted) {
  if (!lead.IsMember)
    return LimitsLink::NotMember;
  if (lead.Holder.empty())
    return LimitsLink::NoHolder;
  return accepted ? LimitsLink::Granting : LimitsLink::HolderSilent;
}

} // namespace

std::string_view linkName(LimitsLink link) { return textOf(link).Name; }

std::string_view linkMessage(LimitsLink link) { return textOf(link).Message; }

void observeLink(LinkView &view, const LimitsLead &lead, bool accepted,
                 Utils::TimePoint now) {
  LimitsLink link = linkOf(lead, accepted);
  if (link == view.Link && view.Since != Utils::TimePoint())
    return;
  view = {link, now};
}

uint32_t linkRetryMs(const LinkView &view, Utils::Milliseconds takeover,
                     Utils::TimePoint now) {
  Utils::Milliseconds left = LeastRetry;
  if (view.Link == LimitsLink::HolderSilent)
    left = std::max(left, std::chrono::ceil<Utils::Milliseconds>(
                              view.Since + takeover - now));
  return static_cast<uint32_t>(left.count());
}

} // namespace Daemon::Internal
