#!/bin/bash
# One worker of eight crashes three times within some seconds, each time back after 1.4 s. A job
# that only this worker can run is on it or is started on it meanwhile.
workers=8
for i in 1 2 3 4 5 6 7; do eval "worker_$i='labels=a,r1-1'"; done
worker_8="labels=b,r1-2"
config='{"version":1,"routes":[{"name":"proofs","host":"shop.example","prefix":"/proofs/","service":"proofing","priority":1,"max_attempts":4,"stretch_factor":3.0,"target_latency_ms":1000}],"services":[{"name":"proofing","enforces_capacity":false}],"limits":{},"tenants":[{"name":"shop","api_keys":["key-1"],"guaranteed":{"gpu":8}}]}'
. "$(dirname "$0")/../lib-3.sh"
start_all
submit 00000000000000a1 '{"spec":"work 4000","steps":[{"count":1,"cpu":13000,"task_memory_mb":26000,"gpu":8,"estimated_ms":4000,"requirements":"b"}]}'
await 00000000000000a1 running 5 || skip "the job does not start"
sleep 1
for _ in 1 2 3; do
	[ "$TROUBLE" = 1 ] || break
	crash worker_8
	sleep 1.4
	start_worker 8
	sleep 1.4
done
for _ in $(seq 150); do
	state 00000000000000a1
	[ "$state" = running ] || [ "$state" = queued ] || break
	sleep 0.2
done
failures=$(grep -c " end task=00000000000000a1.0.0.0 .* how=failed " "$record")
say "the job is $state; runs that ended failed: $failures"
[ "$state" = failed ] && [ "$failures" -lt 4 ] &&
	broken "LOST: the job is shown as failed, with $failures ends failed of max_attempts 4"
[ "$state" = completed ] || skip "the job is $state"
held "the job is $state"
