#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, besides the programs of the deploy file: their stand-ins and the control group.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin-2 ./review/standin-2
