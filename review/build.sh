#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
