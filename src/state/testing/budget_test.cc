#include "state/budget.h"

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

budget_transfer give(const budget_book& book, int from, int to, std::int64_t more,
                     std::int64_t number = 0) {
  const resources total = book.given(team, domain(from), domain(to)) + resources{{more}, {0}, {0}};
  return {team, domain(from), domain(to), total, book.limit_version(team), {number}, false};
}

std::int64_t sum(const budget_book& book, int domains) {
  std::int64_t total = 0;
  for (int i = 0; i < domains; ++i) {
    total += book.allotment(team, domain(i)).cpu.value;
  }
  return total;
}

}  // namespace

TEST_CASE("allotments sum to the limit after any records, and no donor falls below its floor") {
  for (unsigned seed = 0; seed < 500; ++seed) {
    std::mt19937 random(seed);
    budget_book book;
    std::int64_t limit = 1 + random() % 1000;
    std::int64_t version = 1;
    book.configure(cell(3, limit), {version});
    std::vector<budget_transfer> old;
    for (int step = 0; step < 40; ++step) {
      const auto kind = random() % 10;
      if (kind == 0) {
        limit = random() % 1000;
        book.configure(cell(3, limit), {++version});
      } else if (kind <= 2 && !old.empty()) {
        book.apply(old[random() % old.size()]);
      } else {
        const int from = static_cast<int>(random() % 3);
        const auto t = give(book, from, static_cast<int>(random() % 3),
                            static_cast<std::int64_t>(random() % 200));
        book.apply(t);
        old.push_back(t);
      }
      INFO("seed " << seed << " step " << step);
      REQUIRE(sum(book, 3) == limit);
      for (int i = 0; i < 3; ++i) {
        REQUIRE(book.floor(team, domain(i)).fits(book.allotment(team, domain(i))));
      }
    }
  }
}

TEST_CASE("a fence voids transfers of earlier placers that come late") {
  budget_book book;
  book.configure(cell(2, 100), {1});
  const auto late = give(book, 0, 1, 10, 1);
  CHECK(book.fence({domain(0), {2}, daemon_id("x")}));
  CHECK_FALSE(book.apply(late));
  CHECK(book.apply(give(book, 0, 1, 10, 2)));
  CHECK_FALSE(book.fence({domain(0), {1}, daemon_id("y")}));
}

TEST_CASE("totals written again rebuild the same division in any order") {
  budget_book book;
  book.configure(cell(3, 90), {1});
  CHECK(book.apply(give(book, 0, 1, 15)));
  CHECK(book.apply(give(book, 1, 2, 30)));
  auto records = book.records();
  REQUIRE(records.size() == 2);
  budget_book fresh;
  fresh.configure(cell(3, 90), {1});
  CHECK(fresh.apply(records[1]));
  CHECK(fresh.apply(records[0]));
  for (int i = 0; i < 3; ++i) {
    CHECK(fresh.allotment(team, domain(i)) == book.allotment(team, domain(i)));
  }
}

}  // namespace monsoonmux
