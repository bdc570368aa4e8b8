#!/usr/bin/env bash
# Builds the programs of all cases into target/review. It needs no network: they use
# the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for main in */main.go; do
	GOWORK=off GOFLAGS=-buildvcs=false go build -o "../target/review/case-${main%/main.go}" "./${main%/main.go}"
done
