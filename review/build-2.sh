#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -eu
cd "$(dirname "$0")/rig-2"
mkdir -p bin
GOTOOLCHAIN=local GOPROXY=off GOFLAGS= CGO_ENABLED=0 go build -o bin/rig-2 .
