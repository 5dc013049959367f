#!/usr/bin/env bash
# Builds what the scripts start besides the project's own build. The stand-ins are
# Python of the standard library, so that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
