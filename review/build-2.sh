#!/bin/sh
# Builds the stand-ins of the cases of the second review that are scripts. Run it at the root of the
# repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-2
