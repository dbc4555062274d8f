#!/bin/sh
# Builds the stand-ins of the cases: Python from the standard library alone, which is compiled here.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .
