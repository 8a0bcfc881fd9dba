// Rules and lists that matter between routers, as `bankledge-control propose` takes them. What a map does not name is as each router's own
// settings have it; `engines: null` leaves the list to the control feed alone.
{
  routers: 3,
  importance: { lookup: 1, report: 7.5, 'price-load': 10 },
  over_importance: 0.1,
  further_share: 0.1,
  further_free: 10,
  further_window: 10000,
  probes: 2,
  cold_share: 0.31,
  cold_multiple: 4,
  warm_after: 15000,
  drain_grace: 1000,
  key_rest: 0,
  may_turn_away: ['lookup', 'report', 'price-load'],
  engines: null,
}
