#!/bin/sh
# Builds the stand-ins of the cases: one program without dependencies, outside the project's
# module and workspace.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/standin .
