#!/bin/sh
# Builds, into review/bin, what the cases start beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -o review/bin/ ./cmd/bankledge-control
go build -tags review -o review/bin/standin ./review/standin
