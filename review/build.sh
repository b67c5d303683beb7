#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/platform"
go build -buildvcs=false -o ../../target/standin .
