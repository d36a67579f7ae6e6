#include "commandline.h"

#include "explain/explain.h"

#include <absl/flags/flag.h>
#include <fstream>
#include <iostream>

namespace App {

namespace {

/// Adds the event lines of the stream; returns how many lines are none.
size_t readLines(std::istream &in, std::vector<Explain::LogLine> &lines) {
  size_t skipped = 0;
  for (std::string text; std::getline(in, text);) {
    if (auto line = Explain::parseLine(text))
      lines.push_back(std::move(*line));
    else
      ++skipped;
  }
  return skipped;
}

} // namespace

ExitCode runExplain(const Words &words) {
  std::string id = absl::GetFlag(FLAGS_id);
  if (id.empty())
    return usageError("explain --id ID [LOG...]");
  std::vector<Explain::LogLine> lines;
  size_t skipped = words.empty() ? readLines(std::cin, lines) : 0;
  for (const std::string &file : words) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << "hickoryspring: log " << file << " cannot be read\n";
      return ExitCode::Refused;
    }
    skipped += readLines(in, lines);
  }
  Explain::Explanation found = Explain::explain(lines, id);
  for (const Explain::LogLine &it : found.Lines)
    std::cout << it.Text << '\n';
  if (!found.Background.empty())
    std::cout << "-- before it, at the daemon that answered:\n";
  for (const Explain::LogLine &it : found.Background)
    std::cout << it.Text << '\n';
  std::cout << "cause: " << found.Cause << '\n';
  if (skipped > 0)
    std::cerr << "hickoryspring: " << skipped
              << " lines of the input are no event lines\n";
  return found.Lines.empty() ? ExitCode::Refused : ExitCode::Done;
}

} // namespace App
