#include "commandline.h"

#include "explain/explain.h"

#include <absl/flags/flag.h>
#include <fstream>
#include <iostream>

namespace App {

namespace {

/// Appends the event lines of the stream to `lines`; returns the number of
/// other lines.
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

ExitCode runExplain(const Arguments &arguments) {
  std::string id = absl::GetFlag(FLAGS_id);
  if (id.empty())
    return usageError("explain --id ID [LOG...]");
  std::vector<Explain::LogLine> lines;
  size_t skipped = arguments.empty() ? readLines(std::cin, lines) : 0;
  for (const std::string &file : arguments) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << "hickoryspring: log " << file << " cannot be read\n";
      return ExitCode::Refused;
    }
    skipped += readLines(in, lines);
  }
  Explain::Explanation explanation = Explain::explain(lines, id);
  for (const Explain::LogLine &it : explanation.Lines)
    std::cout << it.Text << '\n';
  if (!explanation.Background.empty())
    std::cout << "-- before it, at the daemon that answered:\n";
  for (const Explain::LogLine &it : explanation.Background)
    std::cout << it.Text << '\n';
  std::cout << "cause: " << explanation.Cause << '\n';
  if (skipped > 0)
    std::cerr << "hickoryspring: " << skipped
              << " lines of the input are not event lines\n";
  return explanation.Lines.empty() ? ExitCode::Refused : ExitCode::Done;
}

} // namespace App
