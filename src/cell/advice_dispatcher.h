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
  // A daemon that was not heard for this long is not asked.
  millis peer_timeout{1'200};
  // A daemon that has this much to do is not asked; what waits stays with the
  // owner, where its order can still change.
  millis max_backlog{150};
  // A question that takes longer than this leaves as many daemons free for the
  // others, which would otherwise wait behind it.
  millis long_query{150};
  std::size_t min_free_daemons = 2;
  double min_free_fraction = 0.25;  // Of all daemons, where that is more.
  millis answer_margin{900};        // Beyond the expected duration of all it was asked.
  millis penalty{2'000};            // For a daemon that did not answer.
};

// Spreads the owner's questions to the advice service over all daemons, since the
// service serves each host's calls one after the other.
class advice_dispatcher {
 public:
  using on_advice = std::function<void(const step_ref&, const std::vector<std::string>& asked,
                                       bool answered, const std::vector<ticket>&)>;

  advice_dispatcher(peer_port& link, advice_call_queue& local_calls, const clock& time,
                    event_log& events, daemon_id self, on_advice deliver,
                    const dispatcher_options& options = {});

  // False if every daemon has enough to do; the wish may be made again later.
  bool ask(const advice_query& wish);
  // The daemon is there and can be asked.
  void on_hello(const std::string& daemon, const peer_address& from);
  void answered(const advice_answer_message& answer);
  void tick();
  // How many daemons are there to be asked.
  std::size_t daemons() const;

 private:
  struct peer {
    peer_address address;
    instant last_received{0};
    millis outstanding{0};  // Expected duration of all that it was asked and did not answer.
    instant avoid_until{0};
  };
  struct pending_query {
    advice_query wish;
    std::string peer;
    millis expected;
    instant give_up;
  };

  bool is_available(const std::string& id, const peer& p) const;
  peer* least_busy(millis expected, std::string& name);
  void settle(std::int64_t number, bool answered, const std::vector<ticket>& tickets);

  peer_port& link;
  advice_call_queue& local_calls;
  const clock& time;
  event_log& events;
  const daemon_id self;
  const on_advice deliver;
  const dispatcher_options options;
  std::map<std::string, peer> peers;
  std::map<std::int64_t, pending_query> open;
  std::int64_t next_number = first_request_number();
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
