// A router's control file is written from this by `bankledge-control router deploy/control.jsonnet`. The spans have to be those of the group.
{
  addresses: ['127.0.0.1:7201', '127.0.0.1:7202', '127.0.0.1:7203'],
  lineage: '',  // the only one to follow; empty: the first that is heard of
  term_ms: 2000,
  renew_ms: 400,
  answer_ms: 400,
  batch_ms: 50,
  pause_ms: 50,
  drift: 0.01,
  most_gone: 0.34,
}
