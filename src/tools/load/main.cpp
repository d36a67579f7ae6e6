#include "load/loadrun.h"
#include "load/summary.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, out, "",
          "run: file for the outcomes, JSON lines; "
          "plot: folder");
ABSL_FLAG(bool, json, false, "run: print the summary as JSON lines");

namespace {

constexpr int UsageError = 2;

int fail(const std::string &what) {
  std::cerr << "hickory-load: " << what
            << "\nusage: run PLAN | compare RUN RUN | plot RUN --out=FOLDER | "
               "report RUN\n";
  return UsageError;
}

Utils::Outcome<std::vector<Load::Outcome>> load(const std::string &file) {
  std::ifstream in(file);
  if (!in)
    return Utils::failure(Utils::Errc::NotFound, file + " cannot be read");
  return Load::readOutcomes(in);
}

int runPlan(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  auto plan = Load::parsePlan(text.str());
  if (!plan)
    return fail(file + ": " + plan.error().What);
  auto outcomes = Load::run(*plan, [](const Load::Progress &it) {
    std::cerr << it.Sent << " sent, " << it.Answered << " answered of "
              << it.Planned << '\n';
  });
  if (std::string out = absl::GetFlag(FLAGS_out); !out.empty()) {
    std::ofstream stream(out);
    Load::writeOutcomes(stream, outcomes);
  }
  auto summary = Load::summarize(*plan, outcomes);
  std::cout << (absl::GetFlag(FLAGS_json) ? Load::summaryJson(summary)
                                          : Load::summaryText(summary));
  return 0;
}

int compare(const std::string &first, const std::string &second) {
  auto before = load(first);
  auto after = load(second);
  if (!before || !after)
    return fail(!before ? before.error().What : after.error().What);
  std::cout << Load::compareRuns(*before, *after);
  return 0;
}

int plotOrReport(bool plot, const std::string &file) {
  auto outcomes = load(file);
  if (!outcomes)
    return fail(outcomes.error().What);
  if (!plot) {
    std::cout << Load::reportText(*outcomes);
    return 0;
  }
  Utils::Status status = Load::writePlot(*outcomes, absl::GetFlag(FLAGS_out));
  return status ? 0 : fail(status.error().What);
}

} // namespace

int main(int argc, char **argv) {
  std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
  std::vector<std::string> words(rest.begin() + 1, rest.end());
  if (words.size() == 2 && words[0] == "run")
    return runPlan(words[1]);
  if (words.size() == 3 && words[0] == "compare")
    return compare(words[1], words[2]);
  if (words.size() == 2 && (words[0] == "plot" || words[0] == "report"))
    return plotOrReport(words[0] == "plot", words[1]);
  return fail("wrong words");
}
