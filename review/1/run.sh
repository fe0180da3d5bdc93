#!/bin/bash
# A job of STEPS steps that run one after the other is handed in, then four ordinary jobs of one
# work item each. With TROUBLE=0 the same steps don't wait for one another ("after" is left out).
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
STEPS=${STEPS:-32}
config "$dir/config.json" 1 '"key-a"'
deployment "$dir/config.json" 3 8
long='{"spec":"60000 1","steps":[{"count":3,"cpu":1000,"gpu":1,"estimated_ms":60000,"anti_affinity":1}]}'
job='{"spec":"500 1","steps":[{"count":1,"cpu":1000,"gpu":1,"estimated_ms":500}]}'
ask POST entry /proofs/00000000000000a1 key-a "$long"
[ "$code" = 200 ] || cannot_run "the first job is not accepted"
ask POST entry /proofs/00000000000000a2 key-a "$job"
sleep 3
ask GET entry /proofs/00000000000000a2 key-a
[ "$body" = '{"state":"completed"}' ] || cannot_run "an ordinary job is not completed"
[ "$(running_count)" = 3 ] || cannot_run "the long job does not run"

steps=
for s in $(seq 0 $((STEPS - 1))); do
	after=
	[ "$s" -gt 0 ] && [ "$TROUBLE" = 1 ] && after=$((s - 1))
	steps+="${steps:+,}{\"count\":1,\"cpu\":1000,\"gpu\":1,\"estimated_ms\":200${after:+,\"after\":[$after]}}"
done
note "a job of $STEPS steps comes"
ask POST entry /proofs/00000000000000b1 key-a "{\"spec\":\"100 1\",\"steps\":[$steps]}"
[ "$code" = 200 ] || held "the job of $STEPS steps is not accepted: $code"
sleep 1
for i in 1 2 3 4; do
	ask POST entry "/proofs/00000000000000c$i" key-a "$job"
	accepted[$i]=$code
done
# finish_s is 14 s; then a look each 500 ms for 3 s.
sleep 14
idle=yes
for look in 1 2 3 4 5 6 7; do
	n=$(running_count)
	note "look $look: $n of at least 24 possible work items are running"
	[ "$n" -gt 12 ] && idle=no
	sleep 0.5
done
missing=0
for i in 1 2 3 4; do
	ask GET entry "/proofs/00000000000000c$i" key-a
	[ "${accepted[$i]}" = 200 ] && [ "$(starts_of "00000000000000c$i.")" = 0 ] && missing=$((missing + 1))
done
ask GET entry /proofs/00000000000000b1 key-a
note "starts of the job of $STEPS steps: $(starts_of 00000000000000b1.); ends by a lapsed lease: $(grep -c lapsed "$record")"
note "terms: $(grep -h 'ev=term-taken' "$dir"/*.log | grep -oE ' p=[^ ]+| term=[0-9]+' | tr '\n' ' ')"
for n in "${!node_pid[@]}"; do
	note "processor time of $n: $(awk '{print ($14 + $15) / 100 " s"}' "/proc/${node_pid[$n]}/stat" 2>/dev/null)"
done
[ "$missing" -gt 0 ] && [ "$idle" = yes ] &&
	broken "LOST: $missing of 4 accepted jobs have nothing running 14 to 17 s after the end of the traffic, with most accelerators free"
held "all accepted jobs have run"
