#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/command.h"

namespace monsoonmux {

// Rows of text in aligned columns.
class table {
 public:
  explicit table(std::vector<std::string> column_names) {
    this->rows.push_back(std::move(column_names));
  }
  void add(std::vector<std::string> row) { this->rows.push_back(std::move(row)); }
  void print() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

// The exit code for an answer or failure. Prints error responses and failures to
// standard error.
int exit_code_of(const result<client_answer>& answer);

// The JSON body of a successful answer. Sets `code` to the exit code; after a failure
// also prints the error and returns null.
nlohmann::ordered_json body_of(const result<client_answer>& answer, int& code);

// The text of a JSON value in a table cell; "-" for an empty string.
std::string cell_text(const nlohmann::ordered_json& value);

// Unix milliseconds as HH:MM:SS.mmm in UTC, or "-" for 0.
std::string clock_text(std::int64_t wall_ms);

}  // namespace monsoonmux
