// Settings of one process of a control group with three members. Each process needs its own copy of this file with a different `id`.
local id = 1;
{
  id: id,
  dir: 'bankledge-control-' + id,
  members: {
    [std.toString(i)]: { peer: '127.0.0.1:710' + i, client: '127.0.0.1:720' + i }
    for i in [1, 2, 3]
  },
  term_ms: 2000,
  renew_ms: 400,
  answer_ms: 400,
  batch_ms: 50,
  pause_ms: 50,
  drift: 0.01,
  most_gone: 0.34,
}
