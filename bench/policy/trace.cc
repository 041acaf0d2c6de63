#include "bench/policy/trace.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>
#include <sstream>

namespace dandelion::bench {
namespace {

constexpr int kOrganisations = 20;
constexpr int64_t kMostOutput = 16'000;
/// Output tokens of the mean request, measured over long traces.
constexpr double kMeanOutput = 307;

int64_t Lognormal(pcg64& random, double median, double sigma) {
  std::lognormal_distribution<double> lengths(std::log(median), sigma);
  const double length = lengths(random);
  return std::clamp<int64_t>(static_cast<int64_t>(length), 1, kMostOutput);
}

void FillLengths(pcg64& random, bool shifted, TraceEntry* entry) {
  std::uniform_real_distribution<double> unit(0, 1);
  const double kind = unit(random);
  constexpr double kShortShare = 0.55;
  constexpr double kDigestShare = 0.06;
  if (kind < kShortShare) {
    entry->route = "check";
    entry->is_short = true;
    entry->prompt_tokens = Lognormal(random, 300, 0.6);
    entry->output_tokens = 1 + static_cast<int64_t>(unit(random) * 7);
  } else if (kind < 1 - kDigestShare) {
    entry->route = "draft";
    entry->prompt_tokens = Lognormal(random, 500, 0.7);
    const bool second_hump = unit(random) < 0.35;
    const double median = second_hump ? 1300 : 200;
    entry->output_tokens =
        Lognormal(random, shifted ? 1.7 * median : median, 0.45);
  } else {
    entry->route = "digest";
    entry->prompt_tokens = Lognormal(random, 900, 0.5);
    entry->output_tokens = Lognormal(random, 1200, 0.9);
  }
}

}  // namespace

std::vector<TraceEntry> MakeTrace(const TraceParams& params) {
  pcg64 random(params.seed);
  std::uniform_real_distribution<double> unit(0, 1);
  std::vector<double> weights;
  for (int i = 0; i < kOrganisations; ++i) {
    weights.push_back(1.0 / std::pow(i + 1, 1.2));
  }
  std::discrete_distribution<int> organisation(weights.begin(), weights.end());
  const double per_ms = params.tokens_per_second / kMeanOutput / 1000;
  std::vector<TraceEntry> trace;
  double now = 0;
  bool burst = false;
  double phase_end = 0;
  while (now < params.duration_ms) {
    if (now >= phase_end) {
      burst = !burst;
      // Bursts of 1.5 times the mean rate, lulls that make up for them.
      std::exponential_distribution<double> length(1 /
                                                   (burst ? 3000.0 : 6000.0));
      phase_end = now + length(random);
    }
    const double rate = per_ms * (burst ? 1.5 : 0.75);
    now += std::exponential_distribution<double>(rate)(random);
    TraceEntry entry;
    entry.arrival_ms = now;
    entry.organisation = organisation(random);
    const bool shifted =
        entry.organisation == 0 && now > params.duration_ms / 2;
    FillLengths(random, shifted, &entry);
    constexpr int kPrefixesPerOrganisation = 3;
    entry.prefix = static_cast<uint64_t>(
        1 + entry.organisation * kPrefixesPerOrganisation +
        static_cast<int>(unit(random) * kPrefixesPerOrganisation));
    trace.push_back(entry);
  }
  return trace;
}

std::string ToJsonLines(const std::vector<TraceEntry>& trace) {
  std::string out;
  for (const TraceEntry& entry : trace) {
    out += nlohmann::json({{"arrival_ms", entry.arrival_ms},
                           {"organisation", entry.organisation},
                           {"route", entry.route},
                           {"short", entry.is_short},
                           {"prefix", entry.prefix},
                           {"prompt_tokens", entry.prompt_tokens},
                           {"output_tokens", entry.output_tokens}})
               .dump() +
           "\n";
  }
  return out;
}

std::vector<TraceEntry> FromJsonLines(const std::string& text) {
  std::vector<TraceEntry> trace;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const nlohmann::json in = nlohmann::json::parse(line);
    TraceEntry entry;
    entry.arrival_ms = in.at("arrival_ms");
    entry.organisation = in.at("organisation");
    entry.route = in.at("route");
    entry.is_short = in.at("short");
    entry.prefix = in.at("prefix");
    entry.prompt_tokens = in.at("prompt_tokens");
    entry.output_tokens = in.at("output_tokens");
    trace.push_back(entry);
  }
  return trace;
}

}  // namespace dandelion::bench
