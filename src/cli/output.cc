#include "cli/output.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace monsoonmux {

void table::print() const {
  std::vector<std::size_t> widths;
  for (const auto& row : this->rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    std::cout << line << "\n";
  }
}

int exit_code_of(const result<client_answer>& answer) {
  if (answer.has_error()) {
    std::cerr << to_string(answer.error().code) << ": " << answer.error().detail << "\n";
    return answer.error().effect == verdict::not_run ? exit_refused : exit_may_have_run;
  }
  const client_answer& a = answer.value();
  if (a.status < 400) {
    return exit_done;
  }
  std::cerr << a.body;
  return a.header("X-Monsoonmux-Verdict") == to_string(verdict::may_have_run) ? exit_may_have_run
                                                                              : exit_refused;
}

nlohmann::ordered_json body_of(const result<client_answer>& answer, int& code) {
  code = exit_code_of(answer);
  if (code != exit_done) {
    return nullptr;
  }
  try {
    return nlohmann::ordered_json::parse(answer.value().body);
  } catch (const nlohmann::json::exception& error) {
    std::cerr << "the answer is not JSON: " << error.what() << "\n";
    code = exit_may_have_run;
    return nullptr;
  }
}

std::string cell_text(const nlohmann::ordered_json& value) {
  if (value.is_string()) {
    return value.get<std::string>().empty() ? "-" : value.get<std::string>();
  }
  return value.dump();
}

std::string clock_text(std::int64_t wall_ms) {
  if (wall_ms == 0) {
    return "-";
  }
  const std::int64_t day = wall_ms % (24LL * 3'600'000);
  char text[32];
  std::snprintf(text, sizeof(text), "%02d:%02d:%02d.%03d", static_cast<int>(day / 3'600'000),
                static_cast<int>(day / 60'000 % 60), static_cast<int>(day / 1'000 % 60),
                static_cast<int>(day % 1'000));
  return text;
}

}  // namespace monsoonmux
