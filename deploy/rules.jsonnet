// Fleet-wide rules and lists, in the form that `bankledge-control propose` accepts. If a map has no entry for a name, each router applies
// its own settings to that name; internal/rules/rules.go lists the exceptions. `engines: null` means that the rules contain no engine list;
// routers then use the engines of the control feed.
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
