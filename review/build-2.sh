#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/second/platform"
go build -buildvcs=false -o ../../../target/review-standins .
