#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../bin
for folder in [0-9]*/; do
	n=${folder%/}
	if [ "$n" -ge 6 ] && [ -f "$n/main.go" ]; then
		go build -o "../bin/review-$n" "./$n"
	fi
done
