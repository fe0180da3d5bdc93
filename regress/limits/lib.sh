# Clients that exceed the limits, against the processes of regress/platform/lib.sh; sourced by the
# tests of this folder. The processes get lowered limits, and one that a client load was applied
# to is started anew for the next, as its highest memory (VmHWM) is that of its whole life.
. "$(dirname "$0")/../platform/lib.sh"

memory_mb=64
descriptors=500
# Files of its own that a process may open, as in platform/pf-settings.c.
descriptors_reserved=200
# Only the processes that are started anew get them: platform/lib.sh has started the others.
limits="{\"memory_mb\":$memory_mb,\"file_descriptors\":$descriptors}"

# Start a process anew with the lowered limits: role, node, port of its metrics.
restart_limited() {
	local pid=pid_${2//-/_}
	kill -KILL "${!pid}"
	wait "${!pid}" 2>/dev/null
	case $2 in
	entry) write_settings entry 40 "\"listen_addresses\":{\"frontend_addr\":\"$(port 1)\",\"ready\":\"$(port 2)\"}" 7 ;;
	agent-1) write_settings agent-1 50 "\"app\":\"$(port 3)\",\"listen_addresses\":{\"control\":\"$(port 4)\"}" ;;
	esac
	DAMASKPATH_NODE_FILE="$dir/$2.json" "$bin/damaskpathd" "$1" --metrics-port="$((base + $3))" \
		>>"$dir/$2.log" 2>&1 &
	pids+=($!)
	eval "$pid=$!"
	for _ in $(seq 50); do
		[ "$(status "$(port "$3")" GET /)" = 200 ] && break
		sleep 0.1
	done
}
# Print the status of a request: address, method, path, further arguments of curl.
status() {
	local at=$1 method=$2 path=$3
	shift 3
	curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' \
		-H 'Authorization: Token good-key' -X "$method" "$@" "http://$at$path"
}
# The status of an ordinary request to each listener.
ask_callers() { status "$(port 1)" GET /proofs/00000000000000d9; }
ask_readiness() { status "$(port 2)" GET /v1/readiness; }
ask_metrics() { status "$(port 20)" GET /; }
# An incomplete report is refused, which the listener answers all the same.
ask_reports() { status "$(port 4)" PUT /v1/instances/w9 -d '{}'; }

# Print whether a number is within a bound: label, number, bound, unit. The number itself is
# printed only if it isn't, as it differs from run to run.
within() {
	[ -n "${FIGURES:-}" ] && echo "$1 $2 of $3 $4" >&2
	[ -n "$2" ] && [ "$2" -le "$3" ] && echo "  $1: within the bound" || echo "  $1: $2 $4, over $3"
}
# Apply a client load to a process and print what holds: variable of the process, the question
# whose answer is expected, then the arguments of limit-client.
crowd() {
	local pid=${!1} ask=$2 sent
	shift 2
	echo "$3:"
	coproc CROWD { exec "$bin/limit-client" "$@"; }
	local crowd_pid=$CROWD_PID
	pids+=("$crowd_pid")
	read -r -t 30 sent <&"${CROWD[0]}" || echo "  the load was not sent"
	within descriptors "$(ls "/proc/$pid/fd" | wc -l)" $((descriptors - descriptors_reserved)) files
	echo "  during: $($ask)"
	eval "exec ${CROWD[1]}>&-"
	wait "$crowd_pid" 2>/dev/null
	sleep 0.3
	echo "  after: $($ask)"
	if kill -0 "$pid" 2>/dev/null; then echo '  alive'; else echo '  ended'; fi
	within memory "$(awk '/VmHWM/ { print $2 }' "/proc/$pid/status" 2>/dev/null)" $((memory_mb * 1000)) kB
}
