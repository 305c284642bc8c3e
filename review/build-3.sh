#!/bin/sh
# Builds the stand-ins of the third review; they need the standard library only.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/third review/9 review/10 review/11 review/12 review/13
