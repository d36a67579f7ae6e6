#include "commandline.h"

#include "utils/digest.h"

#include <iostream>

namespace App {

namespace {
constexpr char KeyPrefix[] = "hk-";
}

ExitCode runKey(const Arguments &arguments) {
  if (arguments.size() != 1)
    return usageError("key new | key hash < KEY");
  if (arguments.front() == "new") {
    std::string key = KeyPrefix + Utils::randomId() + Utils::randomId();
    std::cout << "key " << key << "\nkey_hash " << Utils::strongHash(key)
              << '\n';
    return ExitCode::Done;
  }
  if (arguments.front() != "hash")
    return usageError("key new | key hash < KEY");
  std::string key;
  if (!std::getline(std::cin, key) || key.empty())
    return usageError("key hash reads the key from standard input");
  std::cout << Utils::strongHash(key) << '\n';
  return ExitCode::Done;
}

} // namespace App
