#pragma once

#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

// A request of domain `to` to the other domains to transfer part of their budget shares of a team's
// upper limit.
struct budget_request {
  team_id team;
  domain_id to;
  resources amount;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, to, amount);
  }
};

}  // namespace monsoonmux
