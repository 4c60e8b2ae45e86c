#include "cell/runner_contacts.h"

#include <catch2/catch.hpp>

#include "base/testing/hex.h"
#include "cell/testing/fake_cell.h"
#include "cell/testing/recorded_log.h"

namespace monsoonmux::cell {
namespace {

constexpr millis kept_unlisted{30'000};

runner_entry entry_of(const std::string& id, std::int64_t incarnation) {
  runner_entry out;
  out.id = id;
  out.address = id + ":1";
  out.domain = domain_id("z");
  out.incarnation = incarnation;
  return out;
}

struct contacts_fixture {
  // Stores the appends that are under way and returns their records.
  std::vector<keyed_record> stored() {
    std::vector<keyed_record> out;
    this->loop.run_for(millis{1});
    while (!this->log.appends.empty()) {
      const append_request request = this->log.appends.front().request;
      out.insert(out.end(), request.records.begin(), request.records.end());
      this->log.answer(this->log.execute(request));
      this->loop.run_for(millis{1});
    }
    return out;
  }
  void forget_departed(const std::set<std::string>& with_runs = {}) {
    this->contacts.forget_departed(
        [&with_runs](const std::string& id) { return with_runs.contains(id); });
  }

  fake_loop loop;
  event_log events{fake_cell::log_descriptor(), loop, "test"};
  recorded_log log;
  progress_writer writer{loop,
                         log,
                         loop,
                         events,
                         epoch{1},
                         [](const job_id&) { return keyed_record{}; },
                         [](const logged_record&) {},
                         [] {}};
  runner_contacts contacts{writer, loop};
};

TEST_CASE("Where a runner is reached is written once for each incarnation") {
  contacts_fixture f;
  f.contacts.listed(entry_of("a", 1));
  const auto first = f.stored();
  REQUIRE(first.size() == 1);
  CHECK(first[0].key == key_of_contact("a"));
  CHECK(decode_runner_contact(first[0].value) == runner_contact{"a:1", domain_id("z"), 1});
  f.contacts.listed(entry_of("a", 1));
  f.contacts.unlisted("a");
  f.contacts.listed(entry_of("a", 1));
  CHECK(f.stored().empty());
  f.contacts.listed(entry_of("a", 2));
  REQUIRE(f.stored().size() == 1);
  CHECK(f.contacts.known().at("a").incarnation == 2);
}

TEST_CASE("A new leader writes nothing about runners that the log knows") {
  contacts_fixture f;
  f.contacts.inherit({{"a", {"a:1", domain_id("z"), 1}}});
  f.contacts.listed(entry_of("a", 1));
  CHECK(f.stored().empty());
  CHECK(f.contacts.known().contains("a"));
}

TEST_CASE("A runner that is not listed for long is forgotten, unless it has runs") {
  contacts_fixture f;
  f.contacts.inherit({{"a", {"a:1", domain_id("z"), 1}}, {"b", {"b:1", domain_id("z"), 1}}});
  f.contacts.listed(entry_of("c", 1));
  f.stored();
  f.loop.run_for(kept_unlisted - millis{1'000});
  f.forget_departed({"b"});
  CHECK(f.contacts.known().size() == 3);
  f.loop.run_for(millis{1'000});
  f.forget_departed({"b"});
  CHECK_FALSE(f.contacts.known().contains("a"));
  CHECK(f.contacts.known().contains("b"));
  CHECK(f.contacts.known().contains("c"));
  const auto removed = f.stored();
  REQUIRE(removed.size() == 1);
  CHECK(removed[0].key == key_of_contact("a"));
  CHECK(removed[0].value.empty());
  f.loop.run_for(millis{1'000});
  f.forget_departed();
  CHECK_FALSE(f.contacts.known().contains("b"));
}

// A daemon must read what a daemon of another build wrote.
TEST_CASE("A contact is encoded as before") {
  const std::string expected = from_hex(
      "02"
      "0300000000000000613a31"
      "01000000000000007a"
      "0700000000000000"
      "00");
  CHECK(encode(runner_contact{"a:1", domain_id("z"), 7}) == expected);
  CHECK(key_of_contact("a") == "ra");
}

TEST_CASE("The job table knows the contacts that the log has") {
  job_table table;
  const runner_contact contact{"a:1", domain_id("z"), 1};
  CHECK(table.apply({key_of_contact("a"), encode(contact)}, 0) == job_table_change::learned);
  REQUIRE(table.contacts().contains("a"));
  CHECK(table.contacts().at("a") == contact);
  CHECK(table.apply({key_of_contact("b"), "x"}, 1) == job_table_change::unreadable);
  CHECK(table.contacts().size() == 1);
  CHECK(table.apply({key_of_contact("a"), ""}, 2) == job_table_change::learned);
  CHECK(table.contacts().empty());
  CHECK(table.jobs().empty());
}

}  // namespace
}  // namespace monsoonmux::cell
