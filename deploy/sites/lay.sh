#!/bin/sh
# Lays the files that a play needs beside the sites of this folder, from the kit that is given outside the repository.
set -eu
kit=${1:?usage: lay.sh KIT}
here=$(cd "$(dirname "$0")" && pwd)
for f in real.json wire.json unlock.txt; do
	cp "$kit/sites/$f" "$here/$f"
done
