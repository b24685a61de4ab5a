#!/bin/sh
# Builds the stand-in that the scripts of cases 4 to 8 start. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/standin2 .
