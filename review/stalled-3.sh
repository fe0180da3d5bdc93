#!/bin/bash
# Not a case, as no rule names it: a job of one hour, by a sound estimate, beside 144 work items of
# one second in the same queue. Is its run taken for stalled? Exits with 1 if so. Takes 60 s.
RECORD=${RECORD:-/dev/null}
workers=4
for i in $(seq "$workers"); do eval "worker_$i='labels=a,r1-1'"; done
config='{"version":1,"routes":[{"name":"proofs","host":"shop.example","prefix":"/proofs/","service":"proofing","priority":1,"max_attempts":4,"stretch_factor":3.0,"target_latency_ms":1000}],"services":[{"name":"proofing","enforces_capacity":false}],"limits":{},"tenants":[{"name":"shop","api_keys":["key-1"],"guaranteed":{"gpu":8}}]}'
. "$(dirname "$0")/lib-3.sh"
start_all
for i in 1 2 3 4 5 6 7 8 9 a b c; do
	submit "00000000000000c$i" '{"spec":"work 1000","steps":[{"count":12,"cpu":100,"task_memory_mb":10,"gpu":1,"estimated_ms":1000}]}'
	sleep 1
done
submit 00000000000000e1 '{"spec":"work 3600000","steps":[{"count":1,"cpu":100,"task_memory_mb":10,"gpu":1,"estimated_ms":3600000}]}'
sleep 40
stops=$(grep -h 'ev=task-stop task=00000000000000e1' "$dir"/*.log | grep -c 'why="the run is stalled"')
echo "stops of a sound run as stalled in 40 s: $stops"
[ "$stops" = 0 ]
