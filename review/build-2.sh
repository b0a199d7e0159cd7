#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules of Node.js in review/second-*.mjs: nothing has to be built, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in second-*.mjs [6-9]/case.mjs 10/case.mjs; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
