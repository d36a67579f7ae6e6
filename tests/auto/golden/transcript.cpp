#include "transcript.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace {

using Support::Json;

/// Patterns whose matches are replaced by a name and a number of first use.
const std::pair<std::regex, const char *> Numbered[] = {
    {std::regex("hk-[0-9a-f]{64}"), "key"},
    {std::regex("\\b[0-9a-f]{64}\\b"), "hash"},
    {std::regex("\\b[0-9a-f]{32}\\b"), "id"},
};

/// Patterns whose matches are all alike.
const std::pair<std::regex, const char *> Alike[] = {
    {std::regex("/\\S*/(\\w+\\.csv)"), "$1"},
    {std::regex("engine-[0-9]+"), "<engine>"},
    {std::regex("desk-[0-9]+\\b"), "<desk>"},
    {std::regex("re:[0-9]+"), "re:<prompt>"},
    {std::regex("\"retry_after_ms\":[0-9]+"), "\"retry_after_ms\":<ms>"},
    {std::regex("(version|in force) [0-9]{4,}"), "$1 <position>"},
};

std::string numbered(const std::string &text, const std::regex &pattern,
                     const char *name) {
  std::map<std::string, size_t> seen;
  std::string out;
  auto begin = std::sregex_iterator(text.begin(), text.end(), pattern);
  size_t last = 0;
  for (auto it = begin; it != std::sregex_iterator(); ++it) {
    size_t n = seen.emplace(it->str(), seen.size() + 1).first->second;
    out += text.substr(last, static_cast<size_t>(it->position()) - last);
    out += std::string("<") + name + std::to_string(n) + ">";
    last = static_cast<size_t>(it->position() + it->length());
  }
  return out + text.substr(last);
}

std::string entryText(const Json &it) {
  std::string text = it["what"].get<std::string>() + ": ";
  text += it["accepted"].get<bool>()
              ? "accepted"
              : "refused, " + it["reason"].get<std::string>();
  return text + " | " + it["before"].get<std::string>() + " -> " +
         it["after"].get<std::string>();
}

std::string journalText(const Json &it) {
  if (it.contains("order"))
    return "order " + it["order"].get<std::string>() + " " +
           it["model"].get<std::string>();
  if (it.contains("call"))
    return "call " + it["path"].get<std::string>() + " " +
           it["body"].get<std::string>();
  if (it.contains("cancelled"))
    return "cancelled by the system";
  if (it.contains("key"))
    return "call " + it["path"].get<std::string>() + " with key " +
           it["key"].get<std::string>();
  return "";
}

} // namespace

void Transcript::call(const std::string &what, const Support::Reply &reply) {
  note("> " + what);
  note("< " + std::to_string(reply.Status));
  std::istringstream body(reply.Body);
  for (std::string line; std::getline(body, line);)
    if (!line.empty())
      note("  " + line);
}

void Transcript::endpoints(const Support::Cluster &cluster) {
  std::vector<std::string> seen;
  for (const Json &vm : cluster.vms()) {
    std::string name = vm["name"].get<std::string>();
    bool engine = vm["kind"] == "engine";
    for (const Json &it :
         cluster.get(name, engine ? "/admin/journal" : "/control/journal"))
      if (std::string text = journalText(it); !text.empty())
        seen.push_back("endpoint saw: " + text);
  }
  std::sort(seen.begin(), seen.end());
  Lines.insert(Lines.end(), seen.begin(), seen.end());
}

void Transcript::audit(const Support::Cluster &cluster, int daemon,
                       const std::vector<std::string> &subjects) {
  for (const Json &it : cluster.audit(daemon)) {
    std::string what = it["what"].get<std::string>();
    bool wanted = std::any_of(
        subjects.begin(), subjects.end(),
        [&](const std::string &word) { return what.rfind(word, 0) == 0; });
    if (wanted)
      note("audit: " + entryText(it));
  }
}

std::string Transcript::normalised() const {
  std::string text;
  for (const std::string &line : Lines)
    text += line + "\n";
  for (const auto &[pattern, name] : Numbered)
    text = numbered(text, pattern, name);
  for (const auto &[pattern, replacement] : Alike)
    text = std::regex_replace(text, pattern, replacement);
  return text;
}

std::string Transcript::compare() const {
  std::string file = std::string(GOLDEN_FOLDER) + "/" + Session + ".golden";
  std::string actual = normalised();
  if (std::getenv("HICKORY_REWRITE_GOLDEN")) {
    std::ofstream(file) << actual;
    return "";
  }
  std::istringstream wanted(Support::readFile(file));
  std::istringstream got(actual);
  std::string left;
  std::string right;
  for (size_t line = 1;; ++line) {
    bool moreWanted = bool(std::getline(wanted, left));
    bool moreGot = bool(std::getline(got, right));
    if (!moreWanted && !moreGot)
      return "";
    if (moreWanted == moreGot && left == right)
      continue;
    std::string next;
    std::getline(got, next);
    return Session + ".golden:" + std::to_string(line) +
           "\n  wanted: " + (moreWanted ? left : "(end)") +
           "\n  got:    " + (moreGot ? right : "(end)") + "\n  then:   " + next;
  }
}
