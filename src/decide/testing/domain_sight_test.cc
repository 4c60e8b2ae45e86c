#include "decide/domain_sight.h"

#include <catch2/catch.hpp>

namespace monsoonmux::cell {
namespace {

constexpr instant now{100'000};
constexpr millis together{10'000};
constexpr millis second{1'000};
const domain_id domain{"z1"};

// Three runners that are present since `now`.
domain_sight three_present() {
  domain_sight out;
  for (const char* runner : {"i-1", "i-2", "i-3"}) {
    out.note(runner, domain, true, now);
  }
  return out;
}

TEST_CASE("A runner that went missing beside others of its failure domain is known to be gone") {
  domain_sight sight = three_present();
  sight.note("i-1", false, now + second);
  CHECK(sight.seen_since("i-1") == now);
}

TEST_CASE("Nothing is known of runners whose failure domain went missing as a whole") {
  domain_sight sight = three_present();
  for (const char* runner : {"i-1", "i-2", "i-3"}) {
    sight.note(runner, false, now + second);
  }
  sight.note("i-4", domain_id{"z2"}, true, now);
  CHECK(sight.seen_since("i-1") == never);
  const instant back = now + second * 5;
  sight.note("i-2", true, back);
  CHECK(sight.seen_since("i-1") == back);
  sight.note("i-3", true, back + second);
  CHECK(sight.seen_since("i-1") == back);
}

TEST_CASE("A gap in which a failure domain has no present runner counts, however short it is") {
  domain_sight sight = three_present();
  for (const char* runner : {"i-1", "i-2", "i-3"}) {
    sight.note(runner, false, now + second);
  }
  sight.note("i-3", true, now + second + millis{1});
  CHECK(sight.seen_since("i-1") == now + second + millis{1});
}

TEST_CASE("The absence of the only runner of a failure domain tells that it is gone") {
  domain_sight sight;
  sight.note("i-1", domain, true, now);
  sight.note("i-1", false, now + second);
  CHECK(sight.seen_since("i-1") == instant{0});
}

TEST_CASE("The absence of a failure domain's last runner counts if the others left long before") {
  domain_sight sight = three_present();
  sight.note("i-1", false, now);
  sight.note("i-2", false, now);
  sight.note("i-3", false, now + together);
  CHECK(sight.seen_since("i-3") == never);
  sight.note("i-3", true, now + together);
  sight.note("i-3", false, now + together + millis{1});
  CHECK(sight.seen_since("i-3") == instant{0});
}

TEST_CASE("A runner counts for the failure domain that it was listed in last") {
  domain_sight sight = three_present();
  sight.note("i-3", domain_id{"z2"}, true, now);
  sight.note("i-1", false, now + second);
  sight.note("i-2", false, now + second);
  CHECK(sight.seen_since("i-1") == never);
  CHECK(sight.seen_since("i-3") == now);
}

TEST_CASE("A runner of which nothing was noted is judged by the list alone") {
  domain_sight sight;
  sight.note("i-1", false, now);
  CHECK(sight.seen_since("i-1") == instant{0});
}

}  // namespace
}  // namespace monsoonmux::cell
