#!/bin/bash
# Two tenants hand in a job each, on a queue of their own, and happen to choose the same id.
workers=3
for i in $(seq "$workers"); do eval "worker_$i='labels=a,r1-1'"; done
config='{"version":1,"routes":[{"name":"proofs","host":"shop.example","prefix":"/proofs/","service":"proofing","priority":1,"max_attempts":4,"stretch_factor":3.0,"target_latency_ms":1000},{"name":"plates","host":"press.example","prefix":"/plates/","service":"proofing","priority":1,"max_attempts":4,"stretch_factor":3.0,"target_latency_ms":1000}],"services":[{"name":"proofing","enforces_capacity":false}],"limits":{},"tenants":[{"name":"shop","api_keys":["key-1"],"guaranteed":{"gpu":8}},{"name":"press","api_keys":["key-2"],"guaranteed":{"gpu":8}}]}'
. "$(dirname "$0")/../lib-3.sh"
start_all
first=00000000000000a1
second=$first
[ "$TROUBLE" = 1 ] || second=00000000000000a2
submit "$first" '{"spec":"work 2000 of the shop","steps":[{"count":1,"cpu":1000,"task_memory_mb":1000,"gpu":1,"estimated_ms":2000}]}'
host=press.example
call POST "$second" '{"spec":"work 2000 of the press","steps":[{"count":2,"cpu":1000,"task_memory_mb":1000,"gpu":1,"estimated_ms":2000}]}' plates key-2
accepted=$status
# A 2xx says that the job was accepted and is stored; 429 or 503 that it was not and never runs.
[ "$accepted" = 200 ] || held "the second job was refused with $accepted"
# From visible_ms (3 s) after the ack on, a GET may not be answered with 410.
for _ in $(seq 12); do
	sleep 1
	state "$second" plates key-2
	[ "$state" = completed ] && break
done
runs=$(grep -cE " start task=$second\.0\.0\.1 " "$record")
say "the second job: accepted with $accepted, last answer $status $body, starts of its second work item $runs"
[ "$status" = 410 ] && [ "$runs" = 0 ] &&
	broken "LOST: the second tenant's job was accepted with 200; 12 s later it is answered with 410 and has never run"
[ "$state" = completed ] || skip "the second job is answered with $status $body"
held "the second job is completed"
