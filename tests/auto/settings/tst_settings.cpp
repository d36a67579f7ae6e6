#include "settings/settings.h"

#include <doctest/doctest.h>
#include <random>

using namespace Settings;

namespace {

const std::string Valid = R"({
  // "http_port" within a comment is not a setting
  "daemon": {
    "name": "threads",
    "failure_domain": "http",
    "http_port": 1,
    "admin_port": 2,
    "peer_port": 3
  },
  "platform": {"log": "127.0.0.1:1", "vm_list": "127.0.0.1:2",
    "weight_store": "127.0.0.1:3"},
  "peers": {"cluster_secret": "0123456789abcdef"},
  "http": {
    "threads": 8
  }
}
)";

std::string validExcept(const std::string &from, const std::string &to) {
  std::string text = Valid;
  return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> faultTexts(const std::string &text) {
  std::vector<std::string> out;
  for (const Fault &it : parseSettings(text, "d.json").Faults)
    out.push_back(faultText(it));
  return out;
}

} // namespace

TEST_CASE("valid settings have no faults") { CHECK(faultTexts(Valid).empty()); }

TEST_CASE("fault is reported on the line of its setting when other texts equal "
          "its name") {
  CHECK(faultTexts(validExcept("\"threads\": 8", "\"threads\": 1")) ==
        std::vector<std::string>{"d.json:14: http.threads: found 1, allowed is "
                                 "a whole number from 4 to 4096"});
  CHECK(faultTexts(validExcept("\"http_port\": 1", "\"http_port\": 0")) ==
        std::vector<std::string>{"d.json:6: daemon.http_port: found 0, allowed "
                                 "is a whole number from 1 to 65535"});
  CHECK(faultTexts(validExcept("\"threads\": 8", "\"name\": 8")) ==
        std::vector<std::string>{"d.json:14: http.name: found an unknown name, "
                                 "allowed is the names of the reference"});
}

TEST_CASE("duplicate name is reported on its second line") {
  CHECK(faultTexts(
            validExcept("\"threads\": 8", "\"threads\": 8,\n\"threads\": 9")) ==
        std::vector<std::string>{"d.json:15: http.threads: found a second "
                                 "value, allowed is each name once"});
}

TEST_CASE("missing setting is reported on the line of its section") {
  CHECK(faultTexts(
            validExcept("\"peer_port\": 3", "\"listen_address\": \"1\"")) ==
        std::vector<std::string>{"d.json:3: daemon.peer_port: found nothing, "
                                 "allowed is a whole number from 1 to 65535"});
}

TEST_CASE("parsing mutated settings gives values or faults with a line") {
  constexpr uint32_t seed = 20261203;
  MESSAGE("seed " << seed);
  std::mt19937 random(seed);
  for (int i = 0; i < 5000; ++i) {
    std::string text = Valid;
    for (uint32_t n = 1 + random() % 4; n > 0; --n) {
      size_t at = random() % text.size();
      if (random() % 2)
        text[at] = static_cast<char>(random());
      else
        text.erase(at, 1 + random() % 9);
    }
    LoadResult result = parseSettings(text, "d.json");
    for (const Fault &it : result.Faults)
      CHECK(it.Line >= 1);
  }
}
