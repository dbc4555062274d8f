#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are Python files and need only the standard library.
cd "$(dirname "$0")/.." && python3 -m compileall -q review/common2 review/[4-8]
