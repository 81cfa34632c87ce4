#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, which start the project's programs as the
# build of deploy/system.toml leaves them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/standin2
