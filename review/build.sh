#!/usr/bin/env bash
# Builds the programs of the cases, their stand-ins among them, into review/bin. Needs Go alone.
set -euo pipefail
cd "$(dirname "$0")"
for n in 1 2 3; do
  if [ -f "$n/main.go" ]; then
    GOWORK=off GOFLAGS=-mod=mod go build -o "bin/case$n" "./$n"
  fi
done
