#include "decide/agent_book.h"

#include <catch2/catch.hpp>

namespace monsoonmux::cell {
namespace {

constexpr instant start{10'000};
const domain_id here("here");
const domain_id there("there");

agent_options always() {
  return {.direct_runners = 0};
}

void list_runners(agent_book& book, int count, const domain_id& domain) {
  for (int i = 0; i < count; ++i) {
    book.runner_listed(domain.text + std::to_string(i), domain);
    (void)book.agent_of(domain.text + std::to_string(i), start);
  }
}

TEST_CASE("An owner of few runners speaks to them itself") {
  agent_book book({.direct_runners = 2});
  book.heard("a", here, 1, start);
  list_runners(book, 2, here);
  CHECK_FALSE(book.agent_of("here0", start));
  book.runner_listed("one more", here);
  CHECK(book.agent_of("here0", start) == "a");
}

TEST_CASE("Runners are spread by the strength of hosts, and weak ones carry none") {
  agent_book book(always());
  book.heard("strong", here, 1, start);
  book.heard("half", here, 0.5, start);
  book.heard("weak", here, 0.05, start);
  list_runners(book, 300, here);
  CHECK(book.carried_by("strong") == 200);
  CHECK(book.carried_by("half") == 100);
  CHECK(book.carried_by("weak") == 0);
}

TEST_CASE("A runner is carried in its own zone until that is much fuller") {
  agent_book book(always());
  book.heard("a", here, 1, start);
  book.heard("b", there, 1, start);
  for (int i = 0; i < 80; ++i) {
    for (const domain_id& domain : {here, there}) {
      const std::string runner = domain.text + std::to_string(i);
      book.runner_listed(runner, domain);
      CHECK(book.agent_of(runner, start) == (domain == here ? "a" : "b"));
    }
  }
  agent_book uneven(always());
  uneven.heard("a", here, 1, start);
  uneven.heard("b", there, 1, start);
  list_runners(uneven, 90, here);
  CHECK(uneven.carried_by("a") == 60);
  CHECK(uneven.carried_by("b") == 30);
}

TEST_CASE("The owner itself looks at a runner whose agent brought no answer") {
  const agent_options options = always();
  agent_book book(options);
  book.heard("a", here, 1, start);
  list_runners(book, 2, here);
  book.unanswered("here0", start);
  CHECK_FALSE(book.agent_of("here0", start));
  CHECK(book.agent_of("here1", start) == "a");
  book.heard("a", here, 1, start + options.direct_for);
  CHECK(book.agent_of("here0", start + options.direct_for) == "a");
}

TEST_CASE("A runner stays with its agent, and leaves one that broke or fell silent") {
  const agent_options options = always();
  agent_book book(options);
  book.heard("a", here, 1, start);
  list_runners(book, 1, here);
  book.heard("b", here, 1, start);
  CHECK(book.agent_of("here0", start) == "a");
  book.broke("a", start);
  CHECK(book.agent_of("here0", start) == "b");
  CHECK(book.carried_by("a") == 0);
  CHECK_FALSE(book.agent_of("here0", start + options.silence));  // Nobody is heard.
  book.heard("a", here, 1, start + options.avoid_for);
  CHECK(book.agent_of("here0", start + options.avoid_for) == "a");
}

}  // namespace
}  // namespace monsoonmux::cell
