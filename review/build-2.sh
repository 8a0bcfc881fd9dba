#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, besides the programs of the deploy file: their stand-ins and the control group.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -tags review -o review/bin/standin-2 ./review/standin-2
CGO_ENABLED=1 go build -o review/bin/control-2 ./cmd/bankledge-control
