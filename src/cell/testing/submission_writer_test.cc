#include "cell/submission_writer.h"

#include <catch2/catch.hpp>

#include "cell/testing/fake_loop.h"
#include "cell/testing/recorded_log.h"

namespace monsoonmux::cell {
namespace {

// The outcome of a record whose first append is answered so and whose further ones are refused.
write_status outcome_after(append_status first) {
  constexpr millis deadline{1'000};
  fake_loop loop;
  recorded_log log;
  submission_writer writer(loop, log, loop);
  std::optional<write_status> outcome;
  writer.write({{"jx", "record"}, loop.now() + deadline, {}},
               [&outcome](const write_outcome& what) { outcome = what.status; });
  log.answer({first, 0, 0, 0});
  for (millis passed{0}; passed < deadline; passed += submission_writer_options{}.retry) {
    loop.run_for(submission_writer_options{}.retry);
    while (!log.appends.empty()) {
      log.answer({append_status::refused, 0, 0, 0});
    }
  }
  REQUIRE(outcome);
  return *outcome;
}

TEST_CASE("A record whose first append may have been stored is not called refused by later ones") {
  CHECK(outcome_after(append_status::unknown) == write_status::unknown);
  CHECK(outcome_after(append_status::refused) == write_status::not_stored);
}

}  // namespace
}  // namespace monsoonmux::cell
