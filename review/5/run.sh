#!/bin/bash
# One of ten workers is unhealthy for six seconds and answers starts with 503; the others are full.
# Six jobs wait. A requester asks for the queue's "pending". With TROUBLE=0 the worker is healthy.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
config "$dir/config.json" 1 '"key-a"'
deployment "$dir/config.json" 10 8
ask POST entry /proofs/00000000000000a1 key-a '{"spec":"60000 8","steps":[{"count":9,"cpu":1000,"gpu":8,"estimated_ms":60000}]}'
sleep 3
[ "$(running_count)" = 9 ] || cannot_run "the long job does not run"
for i in 1 2 3 4 5 6 7 8 9 10; do
	dump | grep -oE '"running":\{[^}]*\}' | grep -q "\"w$i\"" || idle=w$i
done
[ "$TROUBLE" = 1 ] && platform "{\"cmd\":\"unhealthy\",\"worker\":\"$idle\",\"on\":true}" >/dev/null
for i in 1 2 3 4 5 6; do
	ask POST entry "/proofs/00000000000000c$i" key-a '{"spec":"20000 1","steps":[{"count":1,"cpu":1000,"gpu":1,"estimated_ms":20000}]}'
	[ "$code" = 200 ] || cannot_run "a job is not accepted"
done
# visible_ms + 2 s
sleep 5.1
ask GET entry /proofs/ key-a
pending=$(echo "$body" | grep -oE '[0-9]+')
begun=$(starts_of 00000000000000c)
platform "{\"cmd\":\"unhealthy\",\"worker\":\"$idle\",\"on\":false}" >/dev/null
note "of 6 jobs accepted more than 5 s before, $begun have begun; pending: $pending"
[ "$code" = 200 ] || cannot_run "no answer"
[ $((2 * pending)) -lt $((6 - begun)) ] &&
	broken "MIXED: $pending pending, though $((6 - begun)) jobs accepted more than 5 s before haven't begun"
held "$pending pending of $((6 - begun))"
