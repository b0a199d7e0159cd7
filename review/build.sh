#!/bin/sh
# The stand-ins of the scripts are plain JavaScript without dependencies: this only checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in *.mjs */run.mjs; do
	node --check "$file"
done
