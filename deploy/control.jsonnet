// Template of a router's control file. `bankledge-control router deploy/control.jsonnet` validates it and prints the control file. The
// durations must equal those of the control group (deploy/group.jsonnet).
{
  addresses: ['127.0.0.1:7201', '127.0.0.1:7202', '127.0.0.1:7203'],
  lineage: '',  // lineage to follow; empty: the first one that the router receives
  term_ms: 2000,
  renew_ms: 400,
  answer_ms: 400,
  batch_ms: 50,
  pause_ms: 50,
  drift: 0.01,
  most_gone: 0.34,
}
