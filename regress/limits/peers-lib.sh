# Starts the stand-in platform, an entry and two agents with lowered limits, and holds a crowd of
# connections to the internal port of the coordinating agent; sourced by the tests run-peers-*.
memory_mb=64
descriptors=600
# Descriptors of which the limits reserve 200 for files.
files_max=$((descriptors - 200))
limits="{\"memory_mb\":$memory_mb,\"file_descriptors\":$descriptors}"
# The agents meet the limit of descriptors itself, not only that of their settings.
ulimit -Sn $descriptors
. "$(dirname "$0")/../platform/lib.sh"

most_files=0
sample_files() {
	local files=("/proc/$pid_agent_1/fd/"*)
	[ ${#files[@]} -gt "$most_files" ] && most_files=${#files[@]}
}
# Start a crowd, and wait until it has sent what it can: mode, connections.
crowd_start() {
	echo "# $1: $2 connections"
	(ulimit -Sn 4096 && exec "$bin/peer-limit-client" "$(port 50)" "$1" "$2") >"$dir/crowd" &
	crowd=$!
	pids+=($crowd)
	for _ in $(seq 100); do
		sample_files
		grep -q ready "$dir/crowd" && return
		sleep 0.1
	done
}
crowd_end() {
	kill -KILL $crowd
	wait $crowd 2>/dev/null
}
# One request of an ordinary caller: job id. Refusals are repeated for a while.
ordinary_job() {
	local body='{"spec":"100","steps":[{"count":2,"gpu":8}]}'
	for _ in $(seq 20); do
		sample_files
		[ "$(call POST "$1" "$body")" = 202 ] && break
		sleep 0.5
	done
	await "$1" completed 20
	sample_files
}
# Print whether the coordinating agent lives, within the memory and descriptors of its settings.
report_agent() {
	local peak_kb
	peak_kb=$(awk '/^VmHWM/ { print $2 }' "/proc/$pid_agent_1/status" 2>/dev/null)
	if [ -z "$peak_kb" ]; then
		echo 'agent: ended'
		tail -n 5 "$dir/agent-1.log" >&2
		return
	fi
	echo 'agent: alive'
	[ "$peak_kb" -lt $((memory_mb * 1000)) ] && echo 'memory: within the limit' ||
		echo "memory: $((peak_kb / 1000)) MB"
	[ "$most_files" -le $files_max ] && echo 'descriptors: within the limit' ||
		echo "descriptors: $most_files"
	echo "peak_kb=$peak_kb files=$most_files" >&2
}
# One crowd, an ordinary job while it is there, and one afterwards: mode, connections, job ids.
crowd_test() {
	crowd_start "$1" "$2"
	ordinary_job "$3"
	report_agent
	crowd_end
	ordinary_job "$4"
	report_agent
}
