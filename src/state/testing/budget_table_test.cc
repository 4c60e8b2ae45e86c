#include "state/budget_table.h"

#include <catch2/catch.hpp>
#include <random>

namespace monsoonmux {
namespace {

const team_id team("t");

domain_id domain(int i) {
  return domain_id("d" + std::to_string(i));
}

document cell(int domains, std::int64_t cpu) {
  document doc;
  doc.teams[team].limit = {{{cpu}, {0}, {0}}, 0};
  for (int i = 0; i < domains; ++i) {
    doc.domains[domain(i)] = {};
  }
  return doc;
}

budget_transfer make_transfer(const budget_table& table, int from, int to, std::int64_t more,
                              std::int64_t number = 0) {
  const resources total = table.given(team, domain(from), domain(to)) + resources{{more}, {0}, {0}};
  return {team, domain(from), domain(to), total, table.limit_version(team), {number}, false};
}

std::int64_t sum(const budget_table& table, int domains) {
  std::int64_t total = 0;
  for (int i = 0; i < domains; ++i) {
    total += table.budget_share(team, domain(i)).cpu.value;
  }
  return total;
}

}  // namespace

TEST_CASE(
    "budget shares sum to the limit after any records, and donors keep their guaranteed budget") {
  for (unsigned seed = 0; seed < 500; ++seed) {
    std::mt19937 random(seed);
    budget_table table;
    std::int64_t limit = 1 + random() % 1000;
    std::int64_t version = 1;
    table.configure(cell(3, limit), {version});
    std::vector<budget_transfer> old;
    for (int step = 0; step < 40; ++step) {
      const auto kind = random() % 10;
      if (kind == 0) {
        limit = random() % 1000;
        table.configure(cell(3, limit), {++version});
      } else if (kind <= 2 && !old.empty()) {
        table.apply(old[random() % old.size()]);
      } else {
        const int from = static_cast<int>(random() % 3);
        const auto t = make_transfer(table, from, static_cast<int>(random() % 3),
                                     static_cast<std::int64_t>(random() % 200));
        table.apply(t);
        old.push_back(t);
      }
      INFO("seed " << seed << " step " << step);
      REQUIRE(sum(table, 3) == limit);
      for (int i = 0; i < 3; ++i) {
        REQUIRE(table.guaranteed_budget(team, domain(i)).fits(table.budget_share(team, domain(i))));
      }
    }
  }
}

TEST_CASE("a fencing record voids later transfers by earlier placers") {
  budget_table table;
  table.configure(cell(2, 100), {1});
  const auto late = make_transfer(table, 0, 1, 10, 1);
  CHECK(table.fence({domain(0), {2}, daemon_id("x")}));
  CHECK_FALSE(table.apply(late));
  CHECK(table.apply(make_transfer(table, 0, 1, 10, 2)));
  CHECK_FALSE(table.fence({domain(0), {1}, daemon_id("y")}));
}

TEST_CASE("refresh records rebuild the same division in any order") {
  budget_table table;
  table.configure(cell(3, 90), {1});
  CHECK(table.apply(make_transfer(table, 0, 1, 15)));
  CHECK(table.apply(make_transfer(table, 1, 2, 30)));
  auto records = table.records();
  REQUIRE(records.size() == 2);
  budget_table rebuilt;
  rebuilt.configure(cell(3, 90), {1});
  CHECK(rebuilt.apply(records[1]));
  CHECK(rebuilt.apply(records[0]));
  for (int i = 0; i < 3; ++i) {
    CHECK(rebuilt.budget_share(team, domain(i)) == table.budget_share(team, domain(i)));
  }
}

}  // namespace monsoonmux
