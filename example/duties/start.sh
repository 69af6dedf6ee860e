#!/bin/sh
# Starts three order servers, each with a replica of the store, and a toy uwsgi server that executes their requests. Ctrl-C ends
# all of them.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p bin
go build -o bin/ ./cmd/puffinsaddle ./example/toy
rm -rf bin/example
pids=
trap 'kill $pids 2>/dev/null; wait' EXIT
trap 'exit 0' INT TERM
bin/toy &
pids=$!
for i in 1 2 3; do
	RELAY_CONFIG=example/config.json RELAY_NAME=n$i RELAY_LISTEN=127.0.0.1:505$i RELAY_OPERATOR=127.0.0.1:900$i \
		PUFFINSADDLE_OPERATOR=example/duties/n$i.yaml bin/puffinsaddle >bin/n$i.log 2>&1 &
	pids="$pids $!"
done
echo "logs: bin/n1.log, n2, n3; figures: curl -s http://127.0.0.1:9001/-/metrics"
echo "see them, held some seconds from now: bin/puffinsaddle duty list --operator example/duties/n1.yaml"
echo "and the copies: bin/puffinsaddle store status --operator example/duties/n1.yaml"
wait
