#include "load/summary.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace Load {

namespace {

constexpr int HttpOk = 200;

std::map<std::string, std::vector<double>>
latenciesByTeam(const std::vector<Outcome> &outcomes) {
  std::map<std::string, std::vector<double>> byTeam;
  for (const Outcome &it : outcomes)
    if (it.Status == HttpOk)
      byTeam[it.Team].push_back(it.FirstMs);
  for (auto &[team, values] : byTeam)
    std::sort(values.begin(), values.end());
  return byTeam;
}

void writeLatencies(const std::map<std::string, std::vector<double>> &byTeam,
                    const std::filesystem::path &folder) {
  std::ofstream data(folder / "latency.dat");
  for (const auto &[team, values] : byTeam) {
    data << '"' << team << "\"\n";
    for (size_t i = 0; i < values.size(); ++i)
      data << values[i] << ' '
           << 100.0 * static_cast<double>(i + 1) /
                  static_cast<double>(values.size())
           << '\n';
    data << "\n\n";
  }
}

void writeSeconds(const std::vector<Outcome> &outcomes,
                  const std::filesystem::path &folder) {
  std::map<int, std::pair<size_t, size_t>> bySecond;
  for (const Outcome &it : outcomes) {
    auto &[served, other] = bySecond[static_cast<int>(it.AtS)];
    ++(it.Status == HttpOk ? served : other);
  }
  std::ofstream data(folder / "outcomes.dat");
  for (const auto &[second, counts] : bySecond)
    data << second << ' ' << counts.first << ' ' << counts.second << '\n';
}

void writeScript(size_t teams, const std::filesystem::path &folder) {
  std::ofstream script(folder / "plot.gp");
  script << "set terminal svg size 800,500\n"
            "set output 'latency.svg'\n"
            "set logscale x\n"
            "set xlabel 'time to the first byte, ms'\n"
            "set ylabel 'answers within, %'\n"
            "set key bottom right\nset grid\n"
            "plot for [i=0:"
         << teams - 1
         << "] 'latency.dat' index i using 1:2 with lines lw 2 "
            "title columnheader(1)\n"
            "unset logscale x\nset output 'outcomes.svg'\n"
            "set xlabel 'time, s'\nset ylabel 'requests a second'\n"
            "plot 'outcomes.dat' using 1:2 with lines lw 2 title 'served', "
            "'' using 1:3 with lines lw 2 title 'refused or broken'\n";
}

} // namespace

Utils::Status writePlot(const std::vector<Outcome> &outcomes,
                        const std::string &folder) {
  auto byTeam = latenciesByTeam(outcomes);
  if (byTeam.empty())
    return Utils::failure(Utils::Errc::NotFound, "no served request to plot");
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  if (ec)
    return Utils::Failure{ec, folder + ": cannot be made"};
  writeLatencies(byTeam, folder);
  writeSeconds(outcomes, folder);
  writeScript(byTeam.size(), folder);
  return Utils::success();
}

} // namespace Load
