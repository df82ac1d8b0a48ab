#!/bin/sh
# Builds the stand-ins of the review: they need only the standard library of
# Python 3.11, so compiling them is all.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
