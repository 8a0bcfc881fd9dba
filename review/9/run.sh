#!/bin/sh
# The control feed answers each call after 3 s; an engine that drains must not be sent statements.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
[ -x "$ROOT/review/bin/standin-2" ] || exit 2
exec "$ROOT/review/bin/standin-2" slow-feed "$here/record.txt"
