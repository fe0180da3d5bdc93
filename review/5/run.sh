#!/bin/bash
# The operator takes a key away while the entry's machine stands still for five seconds. A request
# with that key, which repeats the submission of an accepted job, is sent later than
# revoke_timeout_ms after the ack. With TROUBLE=0 the machine doesn't stand still.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
config "$dir/config-1.json" 1 '"key-a","key-b"'
config "$dir/config-2.json" 4 '"key-a"'
deployment "$dir/config-1.json" 2 8
job='{"spec":"1000 1","steps":[{"count":1,"cpu":1000,"gpu":1,"estimated_ms":1000}]}'
ask POST entry /proofs/00000000000000a1 key-b "$job"
[ "$code" = 200 ] || cannot_run "the job is not accepted"
sleep 2
platform "{\"cmd\":\"config\",\"file\":\"$dir/config-2.json\"}" >/dev/null
if [ "$TROUBLE" = 1 ]; then
	kill -STOP "${node_pid[entry]}"
	note "the entry's machine stands still"
fi
acked=$(dump | grep -oE '"config_ack_ms":[0-9]+' | cut -d: -f2)
# revoke_timeout_ms is 5000.
while [ $(($(date +%s%3N) - REVIEW_T0 - acked)) -le 5015 ]; do sleep 0.005; done
sent=$(($(date +%s%3N) - REVIEW_T0))
( # The machine goes on 50 ms after the request is sent.
	sleep 0.05
	[ "$TROUBLE" = 1 ] && kill -CONT "${node_pid[entry]}" && note "the entry's machine goes on"
) &
ask POST entry /proofs/00000000000000a1 key-b "$job"
repeated=$code
wait $!
ask POST entry /proofs/00000000000000a2 key-b "$job"
other=$code
note "the requests with the key were sent $((sent - acked)) ms and more after the ack that took it away"
[ $((sent - acked)) -gt 5000 ] || cannot_run "the request was sent too early"
[ "$repeated" = 200 ] && broken "CONFIG: a request sent $((sent - acked)) ms after its key was taken away is answered with 200"
[ "$other" = 200 ] && broken "CONFIG: a request of a new job is answered with 200"
[ "$repeated" = 000 ] && cannot_run "no answer"
held "the key is refused: $repeated, $other"
