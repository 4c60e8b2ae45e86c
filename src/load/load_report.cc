#include "load/load_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace monsoonmux {
namespace {

using json = nlohmann::ordered_json;

constexpr int curve_steps = 100;
constexpr double plot_width = 640;
constexpr double plot_height = 240;
constexpr double min_plotted_ms = 0.1;  // Lower end of the logarithmic latency axis.

double quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::llround(fraction * last))];
}

json stream_json(const stream_report& s) {
  return {{"name", s.name},
          {"planned", s.planned},
          {"answered", s.answered},
          {"not_run", s.not_run},
          {"may_have_run", s.may_have_run},
          {"p50_ms", s.p50_ms},
          {"p95_ms", s.p95_ms},
          {"p99_ms", s.p99_ms},
          {"max_ms", s.max_ms},
          {"per_second", s.per_second},
          {"curve", s.curve}};
}

std::string polyline(const stream_report& s, double top_ms, const std::string& colour) {
  std::ostringstream out;
  out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
  const double span = std::log10(top_ms / min_plotted_ms);
  for (std::size_t i = 0; i < s.curve.size(); ++i) {
    const double x = plot_width * static_cast<double>(i) / curve_steps;
    const double y = std::log10(std::max(s.curve[i], min_plotted_ms) / min_plotted_ms) / span;
    out << x << "," << plot_height * (1 - y) << " ";
  }
  out << "\"/>";
  return out.str();
}

}  // namespace

void summarize(std::vector<double> latencies_ms, stream_report& into) {
  std::sort(latencies_ms.begin(), latencies_ms.end());
  into.p50_ms = quantile(latencies_ms, 0.5);
  into.p95_ms = quantile(latencies_ms, 0.95);
  into.p99_ms = quantile(latencies_ms, 0.99);
  into.max_ms = quantile(latencies_ms, 1.0);
  into.curve.clear();
  for (int i = 0; i <= curve_steps; ++i) {
    into.curve.push_back(quantile(latencies_ms, static_cast<double>(i) / curve_steps));
  }
}

std::string to_json_text(const load_report& report) {
  json out;
  out["experiment"] = report.experiment;
  out["seconds"] = report.seconds;
  out["streams"] = json::array();
  for (const stream_report& s : report.streams) {
    out["streams"].push_back(stream_json(s));
  }
  return out.dump(1) + "\n";
}

result<load_report> read_report(const std::string& json_text) {
  try {
    const json in = json::parse(json_text);
    load_report out;
    out.experiment = in.at("experiment");
    out.seconds = in.at("seconds");
    for (const json& s : in.at("streams")) {
      stream_report r;
      r.name = s.at("name");
      r.planned = s.at("planned");
      r.answered = s.at("answered");
      r.not_run = s.at("not_run");
      r.may_have_run = s.at("may_have_run");
      r.p50_ms = s.at("p50_ms");
      r.p95_ms = s.at("p95_ms");
      r.p99_ms = s.at("p99_ms");
      r.max_ms = s.at("max_ms");
      r.per_second = s.at("per_second");
      r.curve = s.at("curve").get<std::vector<double>>();
      out.streams.push_back(std::move(r));
    }
    return out;
  } catch (const nlohmann::json::exception& error) {
    return not_run(error_code::bad_request, error.what());
  }
}

std::string to_html(const std::vector<load_report>& reports) {
  constexpr std::array<const char*, 6> colours = {"#1b6ca8", "#c0392b", "#27ae60",
                                                  "#8e44ad", "#d68910", "#555555"};
  double top = 1;
  for (const load_report& r : reports) {
    for (const stream_report& s : r.streams) {
      top = std::max(top, s.max_ms * 1.1);
    }
  }
  std::ostringstream out;
  out << "<!doctype html><meta charset=\"utf-8\"><title>load report</title>"
         "<style>body{font:13px sans-serif}td,th{padding:2px 10px;text-align:right}</style>";
  for (const load_report& r : reports) {
    out << "<h2>" << r.experiment << "</h2><p>Latency in ms (logarithmic, " << min_plotted_ms
        << " to " << top << ") over the percentile (0 to 100).</p><svg width=\"" << plot_width
        << "\" height=\"" << plot_height << "\" style=\"border:1px solid #ccc\">";
    for (std::size_t i = 0; i < r.streams.size(); ++i) {
      out << polyline(r.streams[i], top, colours[i % colours.size()]);
    }
    out << "</svg><table><tr><th>stream<th>planned<th>answered<th>not run<th>may have run"
           "<th>p50<th>p95<th>p99<th>max<th>per s";
    for (std::size_t i = 0; i < r.streams.size(); ++i) {
      const stream_report& s = r.streams[i];
      out << "<tr><td style=\"color:" << colours[i % colours.size()] << "\">" << s.name << "<td>"
          << s.planned << "<td>" << s.answered << "<td>" << s.not_run << "<td>" << s.may_have_run
          << "<td>" << s.p50_ms << "<td>" << s.p95_ms << "<td>" << s.p99_ms << "<td>" << s.max_ms
          << "<td>" << s.per_second;
    }
    out << "</table>";
  }
  return out.str();
}

}  // namespace monsoonmux
