#!/bin/sh
# Case 9: a process under load is replaced by another one; the two together hold more calls at the vault than it survives. With
# TROUBLE=0 nothing is replaced.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. record.txt has what was sent, answered and run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x bin/puffinsaddle ] || [ ! -x bin/review-2/case9 ]; then
	echo "not built: run the build of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec bin/review-2/case9 "$here"
