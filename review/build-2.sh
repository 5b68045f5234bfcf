#!/bin/bash
# Builds the stand-ins of the second review's scripts (cases 6 to 10) into target/. The daemon itself
# is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2 ./review/platform/cases2
