#include "daemon/peer_log.h"

namespace monsoonmux {
namespace {

constexpr std::size_t max_page_bytes = 4 << 20;

log_page to_page(const log_read_answer& read_answer) {
  log_page page;
  page.first_kept = read_answer.first_kept;
  page.end = read_answer.end;
  for (const log_read_entry& entry : read_answer.entries) {
    page.entries.push_back({entry.offset, entry.bytes});
  }
  return page;
}

}  // namespace

void peer_log::append(std::string, reply<log_offset> done) {
  done(not_run(error_code::unavailable, "daemons do not serve appends for each other"));
}

void peer_log::read(log_offset from, reply<log_page> done) {
  std::optional<member> best;
  for (const member& m : this->members.alive(this->time.now())) {
    if (m.id != this->self && (!best || m.last_heartbeat.next > best->last_heartbeat.next)) {
      best = m;
    }
  }
  const auto address = best ? parse_endpoint(best->last_heartbeat.peer)
                            : result<endpoint>(not_run(error_code::unavailable, "no live peer"));
  if (address.has_error() || this->link == nullptr) {
    done(not_run(error_code::unavailable, "no live peer"));
    return;
  }
  this->link->send_request(
      address.value(), log_read_request{from}, [done](const result<peer_body>& answer) {
        if (answer.has_error()) {
          done(answer.error());
        } else if (const auto* read_answer = std::get_if<log_read_answer>(&answer.value())) {
          done(to_page(*read_answer));
        } else {
          done(not_run(error_code::malformed_answer, "unexpected answer to the request"));
        }
      });
}

log_read_answer peer_log::serve(const log_read_request& request, const log_follower& follower,
                                const replica& state, std::int64_t snapshot_number) {
  log_read_answer out;
  const log_offset next = follower.next();
  out.first_kept = request.from;
  out.end = next;
  if (request.from >= next) {
    return out;
  }
  log_page page;
  if (follower.cache().read(request.from, max_page_bytes, page)) {
    for (const log_entry& entry : page.entries) {
      out.entries.push_back({entry.offset, entry.bytes});
    }
    return out;
  }
  // The snapshot is taken after `next` was read, so it contains the effect of at least
  // all entries before `next`.
  for (const std::string& bytes : state.snapshot(snapshot_number)) {
    out.entries.push_back({snapshot_offset, bytes});
  }
  out.first_kept = next;
  return out;
}

}  // namespace monsoonmux
