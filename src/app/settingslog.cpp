#include "commandline.h"
#include "logview.h"

#include "platform/platform.h"
#include "settings/settings.h"

#include <absl/flags/flag.h>
#include <iostream>

namespace App {

Utils::Outcome<Environment::LogService> logFromSettings() {
  Settings::LoadResult result =
      Settings::loadSettings(absl::GetFlag(FLAGS_settings));
  for (const Settings::Fault &fault : result.Faults)
    std::cerr << Settings::faultText(fault) << '\n';
  if (!result.Faults.empty())
    return Utils::failure(Utils::Errc::InvalidArgument, "invalid settings");
  return Platform::makeHttpLog(result.Values.Log.Host, result.Values.Log.Port);
}

} // namespace App
