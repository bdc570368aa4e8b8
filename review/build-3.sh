#!/bin/sh
# Builds the programs of the cases of the third review into target/review-third/. The deploy file's
# build must have run, so that the modules it needs are on the machine.
set -eu
cd "$(dirname "$0")/.."
out="$PWD/target/review-third"
mkdir -p "$out"
cd review/third
for main in */main.go; do
	folder="$(dirname "$main")"
	GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o "$out/$folder" "./$folder"
done
