#!/bin/sh
# Builds the programs of the second review into target/review-2/, with the standard library and
# the modules that the deploy file's build has used.
set -e
cd "$(dirname "$0")/second"
mkdir -p ../../target/review-2
for program in */main.go; do
	name=$(dirname "$program")
	GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o "../../target/review-2/case-$name" "./$name"
done
