#!/bin/bash
# A worker is overloaded for a second and a half: it leaves one start unanswered, which it carries
# out 3 s later, and answers the starts that come meanwhile with 503. With TROUBLE=0 it is not.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
config "$dir/config.json" 1 '"key-a"'
deployment "$dir/config.json" 3 8
# Two long work items of 5 accelerators fill two workers so far that only the third has room for 8.
ask POST entry /proofs/00000000000000a1 key-a '{"spec":"60000 5","steps":[{"count":2,"cpu":1000,"gpu":5,"estimated_ms":60000}]}'
[ "$code" = 200 ] || cannot_run "the first job is not accepted"
sleep 2
[ "$(running_count)" = 2 ] || cannot_run "the first job does not run"
for i in 1 2 3; do
	dump | grep -oE '"running":\{[^}]*\}' | grep -q "\"w$i\"" || free=w$i
done
# A work item of 3 accelerators fits on each worker; the two others are the tighter fit. Fill them.
ask POST entry /proofs/00000000000000a2 key-a '{"spec":"6000 3","steps":[{"count":2,"cpu":1000,"gpu":3,"estimated_ms":6000}]}'
sleep 1
[ "$(running_count)" = 4 ] || cannot_run "the second job does not run"
[ "$TROUBLE" = 1 ] && platform "{\"cmd\":\"overload\",\"worker\":\"$free\",\"late_ms\":3000,\"ms\":1500}" >/dev/null
sleep 3.8
# The others get room again within a second and a half.
ask POST entry /proofs/00000000000000a3 key-a '{"spec":"10000 3","steps":[{"count":1,"cpu":1000,"gpu":3,"estimated_ms":10000}]}'
[ "$code" = 200 ] || cannot_run "the third job is not accepted"
sleep 8
grep -h 'ev=start-unsure\|ev=task-run.*a3\|ev=task-start.*a3' "$dir"/*.log >>"$record"
v=$(violations)
[ "$v" = '[]' ] || broken "$v"
[ "$(starts_of 00000000000000a3)" -gt 0 ] || cannot_run "the third job has not begun"
held "no work item ran twice"
