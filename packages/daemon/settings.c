#include "daemon.h"

#define MS NSEC_PER_MSEC
#define S  NSEC_PER_SEC

/*
 * All settings. Each can also be set by an environment variable: DAMASKPATH_ followed by the
 * setting in upper case, with "_" for "-". The numbers are the minimum and maximum, see struct
 * option_entry; for a string, a minimum of 1 means that it must not be empty.
 */
const struct option_entry settings_table[] = {
	{"log-level", OPTION_STRING, "info", 1, 0, NULL,
		"Minimum severity of logged messages: error, warning, info or debug"},
	{"name", OPTION_STRING, "", 0, 0, "entry,agent",
		"Name of this process, stable across restarts. Empty: its peer address, for an "
		"entry its HTTP address"},
	{"zone", OPTION_STRING, "zone-1", 1, 0, NULL, "Availability zone of this process"},
	{"cell", OPTION_STRING, "cell-1", 1, 0, "agent,standalone",
		"Cell that this agent and its upstream's worker belong to"},
	{"http", OPTION_STRING, "127.0.0.1:8080", 1, 0, "entry,standalone",
		"Listen address for callers and operators"},
	{"agent-http", OPTION_STRING, "127.0.0.1:8090", 1, 0, "agent,standalone",
		"Listen address for the upstream next to this agent"},
	{"peer", OPTION_STRING, "127.0.0.1:0", 1, 0, "agent,standalone",
		"Listen address for other processes of the system"},
	{"advertise", OPTION_STRING, "", 0, 0, "agent",
		"Peer address announced to other processes. Empty: the bound address"},
	{"peer-keys", OPTION_STRING, "damaskpath-development", 1, 0, NULL,
		"Secret shared by all processes; two, separated by a comma, during a key "
		"rotation"},
	{"store", OPTION_STRING, "http://127.0.0.1:2379", 1, 0, "entry,agent",
		"Base URL of the key-value store"},
	{"store-timeout", OPTION_DURATION, "3s", 50 * MS, 60 * S, "entry,agent",
		"Maximum wait for a response of the store"},
	{"lease", OPTION_DURATION, "6s", 2 * S, 60 * S, "agent,standalone",
		"Time-to-live of a coordinator's lease on its cell"},
	{"http-threads", OPTION_NUMBER, "4", 1, 64, "entry,standalone",
		"Threads that serve HTTP"},
	{"connections-max", OPTION_NUMBER, "4096", 1, 100000, "entry,standalone",
		"Maximum number of caller connections"},
	{"connections-per-address", OPTION_NUMBER, "0", 0, 100000, "entry,standalone",
		"Maximum number of connections from one address; 0 for no limit"},
	{"idle-timeout", OPTION_DURATION, "30s", 1 * S, 600 * S, "entry,standalone",
		"Connections on which a caller sends nothing for this long are closed"},
	{"body-max", OPTION_NUMBER, "1500000", 1024, 8000000, "entry,standalone",
		"Maximum request body in bytes"},
	{"open-max", OPTION_NUMBER, "10000", 1, 1000000, "entry,standalone",
		"Maximum number of submissions that wait for a response"},
	{"answer-timeout", OPTION_DURATION, "10m", 1 * S, 86400 * S, "entry,standalone",
		"Maximum wait for a result; then the response is 202 if the job was accepted, "
		"otherwise an error"},
	{"coordinator-timeout", OPTION_DURATION, "15s", 100 * MS, 600 * S, "entry,standalone",
		"Maximum wait for a coordinator before a new job is rejected"},
	{"stop-limit", OPTION_DURATION, "60s", 0, 86400 * S, NULL,
		"Maximum time that a stop waits for work in flight"},
	{"metrics-port", OPTION_NUMBER, "0", 0, 65535, "workload-entry,workload-agent",
		"Port on the VM's address that serves metrics; 0 for none"},
	{"config", OPTION_STRING, "", 0, 0, "standalone",
		"Configuration document to load at startup. Empty: none"},
};
const size_t settings_count = ARRAY_LEN(settings_table);
