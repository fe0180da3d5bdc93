#!/bin/bash
# A worker with a job that saves its progress is emptied. The job is started again on another
# worker: with the checkpoint that its run ended with, or not?
workers=2
worker_1="checkpoint_len=96 labels=a,r1-1"
worker_2="checkpoint_len=96 labels=a,r1-2"
config='{"version":1,"routes":[{"name":"proofs","host":"shop.example","prefix":"/proofs/","service":"proofing","priority":1,"max_attempts":4,"stretch_factor":3.0,"target_latency_ms":1000}],"services":[{"name":"proofing","enforces_capacity":false}],"limits":{},"tenants":[{"name":"shop","api_keys":["key-1"],"guaranteed":{"gpu":8}}]}'
. "$(dirname "$0")/../lib-3.sh"
start_all
task=00000000000000a1.0.0.0
submit 00000000000000a1 '{"spec":"work 15000 saves","steps":[{"count":1,"cpu":13000,"task_memory_mb":26000,"gpu":8,"estimated_ms":15000,"checkpointing":true}]}'
await 00000000000000a1 running 5 || skip "the job does not start"
sleep 5
on=$(runs_on "$task")
[ -n "$on" ] || skip "no worker runs the job"
[ "$TROUBLE" = 1 ] && drain "$on"
await 00000000000000a1 completed 60
done_state=$state
if grep -q " start task=$task .* known=0 " "$record"; then
	broken "UNASKED: the job was started with a checkpoint that no run of it has saved"
fi
[ "$done_state" = completed ] || skip "the job is $done_state"
held "each start carried a checkpoint of the job or none"
