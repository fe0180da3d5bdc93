#!/bin/bash
# Two workers are replaced, one after the other. The store loses the answer of the write that the
# coordinator makes after each has left, and does these writes 4 s later. Some time later, without
# any disruption, the coordinating process is stopped by SIGTERM and started again, as planned.
# With TROUBLE=0 no answer is lost.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
config "$dir/config.json" 1 '"key-a"'
deployment "$dir/config.json" 6 8
sleep 1
lead=$(coordinator)
# Workers on machines other than the coordinator's.
others=()
for i in 1 2 3 4 5 6; do [ "agent-$i" != "$lead" ] && others+=("w$i"); done
first=${others[0]} second=${others[1]}
note "$lead coordinates; the workers $first and $second are replaced"
# lose_answer WORKER: the next transaction that writes or removes its machine's key is not answered.
lose_answer() {
	[ "$TROUBLE" = 1 ] &&
		platform "{\"cmd\":\"lose\",\"key\":\"dp/node/agent-${1#w}\",\"late_ms\":4000,\"count\":1}" >/dev/null
}
lose_answer "$first"
platform "{\"cmd\":\"leave\",\"worker\":\"$first\",\"down_ms\":2200}" >/dev/null
sleep 3
lose_answer "$second"
platform "{\"cmd\":\"leave\",\"worker\":\"$second\",\"down_ms\":2200}" >/dev/null
sleep 10
note "keys of nodes in the store: $(dump | grep -oE 'dp/node/[^"]*' | sort | tr '\n' ' ')"
# One work item of a long job on each worker, with 4 of 8 accelerators free beside it.
ask POST entry /proofs/00000000000000a1 key-a '{"spec":"6000 4","steps":[{"count":6,"cpu":1000,"gpu":4,"estimated_ms":6000,"anti_affinity":1}]}'
[ "$code" = 200 ] || cannot_run "the first job is not accepted"
sleep 1
ask POST entry /proofs/00000000000000a2 key-a '{"spec":"40000 4","steps":[{"count":6,"cpu":1000,"gpu":4,"estimated_ms":40000}]}'
[ "$code" = 200 ] || cannot_run "the second job is not accepted"
sleep 7
[ "$(running_count)" = 6 ] || cannot_run "the second job does not run on all workers"
lead=$(coordinator)
note "SIGTERM to $lead, which coordinates"
kill -TERM "${node_pid[$lead]}"
for i in $(seq 80); do kill -0 "${node_pid[$lead]}" 2>/dev/null || break; sleep 0.1; done
note "$lead has ended"
sleep 0.5
launch "$lead"
sleep 12
dump >>"$record"
grep -h 'ev=term-taken\|ev=task-start\|ev=task-stop' "$dir"/*.log >>"$record"
v=$(violations)
[ "$v" = '[]' ] || broken "$v"
held "no work item ran twice"
