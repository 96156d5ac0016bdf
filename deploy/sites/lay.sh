#!/usr/bin/env bash
# Lays the kit's real.json, wire.json and unlock.txt beside the sites here, for a play: lay.sh KIT.
# They are the kit's and are not committed.
set -euo pipefail
kit="${1:?name the folder of the kit}"
here="$(cd "$(dirname "$0")" && pwd)"
for f in real.json wire.json unlock.txt; do
	install -m 644 "$kit/sites/$f" "$here/$f"
done
