// Runs every script in scenarios/ with several seeds.

#include "control/testing/scenario.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace monsoonmux {
namespace {

constexpr unsigned seeds = 25;

std::string read(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

}  // namespace

TEST_CASE("every scenario holds") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR)) {
    if (entry.path().extension() == ".yaml") {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  REQUIRE(files.size() >= 20);
  for (const auto& file : files) {
    const std::string text = read(file);
    for (unsigned seed = 0; seed < seeds; ++seed) {
      INFO(file.filename().string() << ", seed " << seed);
      const auto errors = run_scenario(text, seed);
      REQUIRE(errors.has_value());
      CHECK(errors.value() == "");
    }
  }
}

TEST_CASE("an invalid script is reported with its line") {
  CHECK(run_scenario("steps:\n  - dance: 1\n", 1).error().detail == "line 2: dance: unknown step");
  CHECK(run_scenario("steps: []\nexpect:\n  - joy: 1\n", 1).error().detail ==
        "line 3: joy: unknown expectation");
}

TEST_CASE("an expectation that does not hold is reported") {
  const std::string script = "steps:\n  - jobs: {count: 2}\nexpect:\n  - starts: 3\n";
  CHECK(run_scenario(script, 1).value() == "starts: expected 3, got 2\n");
}

}  // namespace monsoonmux
