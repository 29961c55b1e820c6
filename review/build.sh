#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/standins .
