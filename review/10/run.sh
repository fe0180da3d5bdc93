#!/bin/bash
# An agent gets a status report of another writer that can't be read. Then its worker drains.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2.sh"
deployment "$(configuration 1 '"key-1"')" 3
if [ "$TROUBLE" = 1 ]; then
	{
		printf '{"service":"proofing","state":"ready","address":"'
		yes '\u0000' | head -n 695000 | tr -d '\n'
		printf '"}'
	} >"$dir/odd"
	size=$(stat -c %s "$dir/odd")
	[ "$size" -le 4194304 ] || cannot_run "the report has $size bytes"
	{
		printf 'PUT /v1/instances/other HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n' \
			"${address[side-1]}:8526" "$size"
		cat "$dir/odd"
	} >"$dir/request"
	timeout 3 bash -c 'exec 3<>"/dev/tcp/$1/8526" && cat "$2" >&3 && head -n 1 <&3' - \
		"${address[side-1]}" "$dir/request" >"$dir/answer" 2>/dev/null
	note "another writer: PUT /v1/instances/other of $size bytes -> $(tr -d '\r' <"$dir/answer")"
else
	sleep 3
fi
note "w1 drains"
platform '{"leave":"w1"}'
sleep 5.5
agent=$(awk '{ print $14 / 100 " s of processor time" }' "/proc/${pid_of[side-1]}/stat")
note "the process of side-1 has used $agent"
acks=$(grep -c 'the report that w1 drains is answered with 200' "$record")
[ "$acks" -gt 0 ] && held "a report that w1 drains was answered within its 4 s"
broken "no report that w1 drains was answered in 4 s; its agent has used $agent"
