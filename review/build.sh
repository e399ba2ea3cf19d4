#!/usr/bin/env bash
# Builds the stand-ins of the cases. The relay itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/rig
