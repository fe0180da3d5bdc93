# Starts an entry and two agents against a stand-in of the users' platform (a store and two
# workers); sourced by the tests of this folder.
set -u
cd "$(dirname "$0")/../.." || exit 1
bin=${BUILD:-build/release}
dir=$(mktemp -d)
# Use ports below those of the scenarios and of the system. Each concurrent run locks its own
# range of 80 ports.
for n in $(seq 0 59); do
	exec 9>"/tmp/damaskpath-platform-ports.$n"
	flock -n 9 && break
done
base=$((5000 + n * 80))
pids=()
# End what was started and still runs: the id of a process that has ended may be another's by now.
end_processes() {
	local p
	for p in "${pids[@]}"; do
		[ "$(awk '/^PPid/ { print $2 }' "/proc/$p/status" 2>/dev/null)" = $$ ] && kill -KILL "$p"
	done
}
trap 'end_processes; rm -rf "$dir"' EXIT
port() { echo "127.0.0.1:$((base + $1))"; }

# Print a node's zone; a script sets zone_NODE before it sources this file (z1).
zone_of() {
	local z="zone_${1//-/_}"
	echo "${!z:-z1}"
}
# Write a node's settings file: name, first internal port, further fields, port of the store (0).
# Before it sources this file a script may set more_bounds, further bounds, and limits, the value
# of the field of that name.
write_settings() {
	cat >"$dir/$1.json" <<END
{"node_name":"$1","ip":"127.0.0.1","zone":"$(zone_of "$1")","internal_port_range":[$((base + $2)),$((base + $2 + 3))],
"platform":{"address":"$(port "${4:-0}")","min_ttl_ms":1000},"bounds":{"max_hold_ms":6000,"grace_period_s":6${more_bounds:+,$more_bounds}},${limits:+"\"limits\":$limits,"}$3}
END
}
# Start damaskpathd in a role with a node's settings; its process id goes to pid_NODE.
launch() {
	DAMASKPATH_NODE_FILE="$dir/$2.json" "$bin/damaskpathd" "$1" >>"$dir/$2.log" 2>&1 &
	pids+=($!)
	eval "pid_${2//-/_}=$!"
}
# Call the entry: method, job id, body, key. Prints the status; the body goes to a file.
call() {
	curl -s -m 5 -o "$dir/body" -w '%{http_code}' -X "$1" -H 'Host: shop.example' \
		-H "Authorization: Token ${4:-good-key}" ${3:+-d "$3"} "http://$(port 1)/proofs/$2"
}
# Call the entry and print a label, the status and the body.
report_call() { echo "$1: $(call "$2" "$3" "${4:-}" "${5:-good-key}") $(cat "$dir/body")"; }
# Send a fault injection command to the platform stand-in.
control() { curl -s -m 5 -d "$1" "http://$(port 0)/control" >/dev/null; }
state() { call GET "$1" >/dev/null; grep -oE '"state":"[a-z]+"' "$dir/body" | cut -d'"' -f4; }
# Print how many tasks the workers have started so far.
count_starts() {
	curl -s -m 5 -d '{}' "http://$(port 0)/control" | grep -oE '"w[12]":[0-9]+' |
		cut -d: -f2 | awk '{ n += $1 } END { print n }'
}
# Print the violations of the scheduler's guarantees that the stand-in recorded.
report_violations() {
	echo "wrong: $(curl -s -m 5 -d '{}' "http://$(port 0)/control" | grep -oE '"wrong":\[[^]]*\]')"
}
# Wait until a job is in a state: job id, state, timeout in seconds.
await() {
	for _ in $(seq $(($3 * 10))); do
		[ "$(state "$1")" = "$2" ] && { echo "$1 $2"; return; }
		sleep 0.1
	done
	echo "$1 is $(state "$1"), expected $2"
	tail -n 40 "$dir"/*.log >&2
}

write_settings entry 40 "\"listen_addresses\":{\"frontend_addr\":\"$(port 1)\",\"ready\":\"$(port 2)\"}" 7
write_settings agent-1 50 "\"app\":\"$(port 3)\",\"listen_addresses\":{\"control\":\"$(port 4)\"}"
write_settings agent-2 60 "\"app\":\"$(port 5)\",\"listen_addresses\":{\"control\":\"$(port 6)\"}"
"$bin/standin-platform" "$(port 0)" regress/platform/config.json "door=$(port 7)" \
	"w1=$(port 3),$(port 4),$(zone_of agent-1)" "w2=$(port 5),$(port 6),$(zone_of agent-2)" >"$dir/platform.log" 2>&1 &
pids+=($!)
sleep 0.3
launch workload-entry entry
launch workload-agent agent-1
sleep 1
launch workload-agent agent-2
for _ in $(seq 50); do
	[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(port 2)/v1/readiness")" = 200 ] && break
	sleep 0.1
done
