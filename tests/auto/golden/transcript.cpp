#include "transcript.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace {

using Support::Json;

/// Matches become `<name1>`, `<name2>`, ... in the order in which distinct
/// values first appear.
const std::pair<std::regex, const char *> NumberedPatterns[] = {
    {std::regex("hk-[0-9a-f]{64}"), "key"},
    {std::regex("\\b[0-9a-f]{64}\\b"), "hash"},
    {std::regex("\\b[0-9a-f]{32}\\b"), "id"},
};

/// Matches become the same replacement text, whatever their value.
const std::pair<std::regex, const char *> UniformPatterns[] = {
    {std::regex("/\\S*/(\\w+\\.csv)"), "$1"},
    {std::regex("engine-[0-9]+"), "<engine>"},
    {std::regex("desk-[0-9]+\\b"), "<desk>"},
    {std::regex("re:[0-9]+"), "re:<prompt>"},
    {std::regex("\"retry_after_ms\":[0-9]+"), "\"retry_after_ms\":<ms>"},
    {std::regex("(version|in force) [0-9]{4,}"), "$1 <position>"},
};

std::string replaceNumbered(const std::string &text, const std::regex &pattern,
                            const char *name) {
  std::map<std::string, size_t> numberOf;
  std::string out;
  auto begin = std::sregex_iterator(text.begin(), text.end(), pattern);
  size_t last = 0;
  for (auto it = begin; it != std::sregex_iterator(); ++it) {
    size_t n = numberOf.emplace(it->str(), numberOf.size() + 1).first->second;
    out += text.substr(last, static_cast<size_t>(it->position()) - last);
    out += std::string("<") + name + std::to_string(n) + ">";
    last = static_cast<size_t>(it->position() + it->length());
  }
  return out + text.substr(last);
}

std::string formatAuditEntry(const Json &it) {
  std::string text = it["what"].get<std::string>() + ": ";
  text += it["accepted"].get<bool>()
              ? "accepted"
              : "refused, " + it["reason"].get<std::string>();
  return text + " | " + it["before"].get<std::string>() + " -> " +
         it["after"].get<std::string>();
}

std::string formatJournalEntry(const Json &it) {
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

void Transcript::addCall(const std::string &title,
                         const Support::Reply &reply) {
  addLine("> " + title);
  addLine("< " + std::to_string(reply.Status));
  std::istringstream body(reply.Body);
  for (std::string line; std::getline(body, line);)
    if (!line.empty())
      addLine("  " + line);
}

void Transcript::addEndpointJournals(const Support::Cluster &cluster) {
  std::vector<std::string> entries;
  for (const Json &vm : cluster.vms()) {
    std::string name = vm["name"].get<std::string>();
    bool engine = vm["kind"] == "engine";
    for (const Json &it :
         cluster.get(name, engine ? "/admin/journal" : "/control/journal"))
      if (std::string text = formatJournalEntry(it); !text.empty())
        entries.push_back("endpoint saw: " + text);
  }
  std::sort(entries.begin(), entries.end());
  Lines.insert(Lines.end(), entries.begin(), entries.end());
}

void Transcript::addAuditEntries(const Support::Cluster &cluster, int daemon,
                                 const std::vector<std::string> &prefixes) {
  for (const Json &it : cluster.audit(daemon)) {
    std::string what = it["what"].get<std::string>();
    bool matches = std::any_of(
        prefixes.begin(), prefixes.end(),
        [&](const std::string &prefix) { return what.rfind(prefix, 0) == 0; });
    if (matches)
      addLine("audit: " + formatAuditEntry(it));
  }
}

std::string Transcript::normalized() const {
  std::string text;
  for (const std::string &line : Lines)
    text += line + "\n";
  for (const auto &[pattern, name] : NumberedPatterns)
    text = replaceNumbered(text, pattern, name);
  for (const auto &[pattern, replacement] : UniformPatterns)
    text = std::regex_replace(text, pattern, replacement);
  return text;
}

std::string Transcript::compare() const {
  std::string file = std::string(GOLDEN_FOLDER) + "/" + Name + ".golden";
  std::string actual = normalized();
  if (std::getenv("HICKORY_REWRITE_GOLDEN")) {
    std::ofstream(file) << actual;
    return "";
  }
  std::istringstream expectedLines(Support::readFile(file));
  std::istringstream actualLines(actual);
  std::string expectedLine;
  std::string actualLine;
  for (size_t line = 1;; ++line) {
    bool hasExpected = bool(std::getline(expectedLines, expectedLine));
    bool hasActual = bool(std::getline(actualLines, actualLine));
    if (!hasExpected && !hasActual)
      return "";
    if (hasExpected == hasActual && expectedLine == actualLine)
      continue;
    std::string next;
    std::getline(actualLines, next);
    return Name + ".golden:" + std::to_string(line) +
           "\n  expected: " + (hasExpected ? expectedLine : "(end)") +
           "\n  actual:   " + (hasActual ? actualLine : "(end)") +
           "\n  next:     " + next;
  }
}
