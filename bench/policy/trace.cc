#include "bench/policy/trace.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>
#include <sstream>

namespace dandelion::bench {
namespace {

constexpr int kOrganisationCount = 20;
constexpr int64_t kMaxOutputTokens = 16'000;
/// Mean output tokens of a request over long traces; must match the
/// distributions below, as the arrival rate is derived from it.
constexpr double kMeanOutputTokens = 307;

/// Samples a length in tokens, from 1 to `kMaxOutputTokens`.
int64_t SampleLognormal(pcg64& random, double median, double sigma) {
  std::lognormal_distribution<double> lengths(std::log(median), sigma);
  const double length = lengths(random);
  return std::clamp<int64_t>(static_cast<int64_t>(length), 1, kMaxOutputTokens);
}

/// Samples the route of a request and the lengths of its prompt and output.
/// `lengths_shifted` makes drafts 1.7 times as long.
void SampleRouteAndLengths(pcg64& random,
                           bool lengths_shifted,
                           TraceEntry* entry) {
  std::uniform_real_distribution<double> unit(0, 1);
  const double route_sample = unit(random);
  constexpr double kCheckShare = 0.55;
  constexpr double kDigestShare = 0.06;
  if (route_sample < kCheckShare) {
    entry->route = "check";
    entry->is_short = true;
    entry->prompt_tokens = SampleLognormal(random, 300, 0.6);
    entry->output_tokens = 1 + static_cast<int64_t>(unit(random) * 7);
  } else if (route_sample < 1 - kDigestShare) {
    entry->route = "draft";
    entry->prompt_tokens = SampleLognormal(random, 500, 0.7);
    const bool second_mode = unit(random) < 0.35;
    const double median = second_mode ? 1300 : 200;
    entry->output_tokens =
        SampleLognormal(random, lengths_shifted ? 1.7 * median : median, 0.45);
  } else {
    entry->route = "digest";
    entry->prompt_tokens = SampleLognormal(random, 900, 0.5);
    entry->output_tokens = SampleLognormal(random, 1200, 0.9);
  }
}

}  // namespace

std::vector<TraceEntry> MakeTrace(const TraceParams& params) {
  pcg64 random(params.seed);
  std::uniform_real_distribution<double> unit(0, 1);
  std::vector<double> organisation_weights;
  for (int i = 0; i < kOrganisationCount; ++i) {
    organisation_weights.push_back(1.0 / std::pow(i + 1, 1.2));
  }
  std::discrete_distribution<int> organisation(organisation_weights.begin(),
                                               organisation_weights.end());
  const double mean_requests_per_ms =
      params.tokens_per_second / kMeanOutputTokens / 1000;
  std::vector<TraceEntry> trace;
  double now_ms = 0;
  bool in_burst = false;
  double phase_end_ms = 0;
  while (now_ms < params.duration_ms) {
    if (now_ms >= phase_end_ms) {
      in_burst = !in_burst;
      // Bursts have 1.5 times the mean rate and last 3 s on average. Lulls of
      // 6 s at 0.75 times the rate keep the mean.
      std::exponential_distribution<double> phase_ms(
          1 / (in_burst ? 3000.0 : 6000.0));
      phase_end_ms = now_ms + phase_ms(random);
    }
    const double requests_per_ms =
        mean_requests_per_ms * (in_burst ? 1.5 : 0.75);
    now_ms += std::exponential_distribution<double>(requests_per_ms)(random);
    TraceEntry entry;
    entry.arrival_ms = now_ms;
    entry.organisation = organisation(random);
    const bool lengths_shifted =
        entry.organisation == 0 && now_ms > params.duration_ms / 2;
    SampleRouteAndLengths(random, lengths_shifted, &entry);
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
