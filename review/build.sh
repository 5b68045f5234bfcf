#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start; the build of deploy/system.toml makes the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/platform/standin
