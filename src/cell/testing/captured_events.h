#pragma once

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {

// Keeps the events of all cells that are made during its life.
class captured_events {
 public:
  captured_events() {
    REQUIRE(this->file != nullptr);
    fake_cell::captured_log = ::fileno(this->file);
  }
  ~captured_events() {
    fake_cell::captured_log = -1;
    std::fclose(this->file);
  }
  captured_events(const captured_events&) = delete;
  captured_events& operator=(const captured_events&) = delete;

  // The events of this name so far.
  std::vector<nlohmann::json> named(const std::string& name) const {
    std::vector<nlohmann::json> out;
    for (const nlohmann::json& event : this->all()) {
      if (event.at("event") == name) {
        out.push_back(event);
      }
    }
    return out;
  }

 private:
  std::vector<nlohmann::json> all() const {
    std::vector<nlohmann::json> out;
    std::string line;
    std::rewind(this->file);
    for (int c = std::fgetc(this->file); c != EOF; c = std::fgetc(this->file)) {
      if (c != '\n') {
        line.push_back(static_cast<char>(c));
        continue;
      }
      out.push_back(nlohmann::json::parse(line));
      line.clear();
    }
    return out;
  }

  std::FILE* const file = std::tmpfile();
};

}  // namespace monsoonmux::cell
