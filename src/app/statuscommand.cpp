#include "commandline.h"

#include <absl/flags/flag.h>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace App {

namespace {

using Json = nlohmann::json;

/// Requests the path from the daemon's admin port; prints an error and returns
/// false if the response is missing or its status is not 200.
bool fetch(const char *path, std::string &body) {
  httplib::Client client("http://" + absl::GetFlag(FLAGS_admin));
  auto result = client.Get(path);
  if (result && result->status == 200) {
    body = result->body;
    return true;
  }
  std::cerr << "hickoryspring: no answer from --admin "
            << absl::GetFlag(FLAGS_admin) << '\n';
  return false;
}

void printTable(const Json &list, const char *title) {
  std::cout << title << " (" << list.size() << ")\n";
  for (const Json &row : list) {
    std::cout << ' ';
    for (const auto &[name, value] : row.items())
      std::cout << ' ' << name << '='
                << (value.is_string() ? value.get<std::string>()
                                      : value.dump());
    std::cout << '\n';
  }
}

} // namespace

ExitCode runStatus(const Arguments & /*arguments*/) {
  std::string body;
  if (!fetch("/status", body))
    return ExitCode::Unavailable;
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << body;
    return ExitCode::Done;
  }
  Json status = Json::parse(body);
  for (const auto &[name, value] : status.items())
    if (!value.is_array())
      std::cout << name << ": "
                << (value.is_string() ? value.get<std::string>() : value.dump())
                << '\n';
  for (const auto &[name, value] : status.items())
    if (value.is_array())
      printTable(value, name.c_str());
  return ExitCode::Done;
}

ExitCode runAudit(const Arguments &arguments) {
  bool orders = arguments.size() == 1 && arguments.front() == "orders";
  if (!arguments.empty() && !orders)
    return usageError("audit [orders] --admin IP:PORT [--json]");
  std::string body;
  if (!fetch(orders ? "/audit/orders" : "/audit", body))
    return ExitCode::Unavailable;
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << body;
    return ExitCode::Done;
  }
  for (const Json &it : Json::parse(body))
    std::cout << it["offset"] << ' ' << it["actor"].get<std::string>() << ' '
              << it["what"].get<std::string>() << ": "
              << (it["accepted"].get<bool>()
                      ? "accepted"
                      : "refused, " + it["reason"].get<std::string>())
              << " | " << it["before"].get<std::string>() << " -> "
              << it["after"].get<std::string>() << '\n';
  return ExitCode::Done;
}

} // namespace App
