#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/advice_call_queue.h"
#include "cell/peer_port.h"
#include "cell/request_number.h"
#include "decide/placer.h"

namespace monsoonmux::cell {

struct dispatcher_options {
  // A daemon that has sent no hello for this long gets no queries.
  millis peer_timeout{1'200};
  // A daemon with a larger backlog than this gets no further queries. Waiting queries stay
  // with the leader, where their order can still change.
  millis max_backlog{150};
  // Long queries are not sent while the number of free daemons is at most the larger of
  // `min_free_daemons` and `min_free_fraction` of the available daemons, since shorter queries
  // would have to wait behind them. The limit applies only if more daemons than that are available,
  // and not to queries out of turn: short ones would keep a long one waiting for as long as they
  // keep coming.
  millis long_query = long_query_time;
  std::size_t min_free_daemons = 2;
  double min_free_fraction = 0.25;
  millis answer_margin{900};  // Added to the expected duration of all outstanding queries.
  millis penalty{2'000};      // A daemon that did not answer gets no queries for this long.
};

// Which advice queries the daemons can take now. A daemon takes another one while the expected
// durations of those that it has, its backlog, are below a bound.
struct advice_capacity {
  std::size_t daemons = 0;           // That can take any query.
  std::size_t daemons_for_long = 0;  // That can take a long one: some are kept free for short ones.
  // What is left of the bounds of their backlogs, in total. The last query of each may exceed it.
  millis backlog_left{0};
};

// Spreads the leader's advice queries over all daemons, since the advice service
// serializes the calls of each host.
class advice_dispatcher {
 public:
  using on_advice = std::function<void(const step_ref&, const std::vector<std::string>& asked,
                                       bool answered, const std::vector<ticket>&)>;

  advice_dispatcher(peer_port& link, advice_call_queue& local_calls, const clock& time,
                    event_log& events, daemon_id self, on_advice deliver,
                    const dispatcher_options& options = {});

  // Returns false if no daemon can take the query now; the caller may retry later.
  bool ask(const advice_query& query);
  // The daemon sent a hello and can be sent queries.
  void on_hello(const std::string& daemon, const peer_address& from);
  void answered(const advice_answer_message& answer);
  void tick();
  // Number of daemons that can be sent queries.
  std::size_t daemons() const;
  // Which queries they can take now.
  advice_capacity capacity() const;

 private:
  struct peer {
    peer_address address;
    instant last_received{0};
    millis outstanding{0};  // Expected duration of its unanswered queries.
    instant avoid_until{0};
  };
  struct pending_query {
    advice_query query;
    std::string peer;
    millis expected;
    instant deadline;
    // A tick found the deadline passed. The answer may have arrived in a long turn of the event
    // loop, so the query expires at the next tick.
    bool overdue = false;
  };

  bool is_available(const std::string& id, const peer& p, instant now) const;
  // Number of daemons to keep free of long queries; 0: too few are available for that.
  std::size_t daemons_kept_free(std::size_t available) const;
  peer* least_busy(millis expected, bool out_of_turn, std::string& name);
  void settle(std::int64_t number, bool answered, const std::vector<ticket>& tickets);

  peer_port& link;
  advice_call_queue& local_calls;
  const clock& time;
  event_log& events;
  const daemon_id self;
  const on_advice deliver;
  const dispatcher_options options;
  std::map<std::string, peer> peers;
  std::map<std::int64_t, pending_query> pending;
  std::int64_t next_number = first_request_number();
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
