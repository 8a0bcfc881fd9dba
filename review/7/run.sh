#!/bin/sh
# Some clients write large statements slowly; others send complete statements, each of which has to be answered.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
[ -x "$ROOT/review/bin/standin-2" ] || exit 2
exec "$ROOT/review/bin/standin-2" slow-writers "$here/record.txt"
