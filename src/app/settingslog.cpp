#include "commandline.h"
#include "logview.h"

#include "platform/platform.h"
#include "settings/settings.h"

#include <absl/flags/flag.h>
#include <iostream>

namespace App {

Utils::Outcome<Environment::LogService> logFromSettings() {
  Settings::Loaded loaded =
      Settings::loadSettings(absl::GetFlag(FLAGS_settings));
  for (const Settings::Fault &fault : loaded.Faults)
    std::cerr << Settings::faultText(fault) << '\n';
  if (!loaded.Faults.empty())
    return Utils::failure(Utils::Errc::InvalidArgument, "faulty settings");
  return Platform::makeHttpLog(loaded.Values.Log.Host, loaded.Values.Log.Port);
}

} // namespace App
