#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain modules beside this file: there is nothing to compile. Checks that the runtime accepts them.
set -euo pipefail
cd "$(dirname "$0")"
for module in third-*.mjs 1[1-5]/case.mjs; do
	node --check "$module"
done
