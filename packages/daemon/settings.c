#include "daemon.h"

#define MS NSEC_PER_MSEC
#define S  NSEC_PER_SEC

/* All settings; each is also an environment variable DAMASKPATH_NAME. */
const struct option_entry settings_table[] = {
	{"log-level", OPTION_STRING, "info", 1, 0, NULL,
		"Least severe level that is logged: error, warning, info or debug"},
	{"name", OPTION_STRING, "", 0, 0, "entry,agent",
		"Name of this process; stays the same over a restart. Empty: its peer address"},
	{"zone", OPTION_STRING, "zone-1", 1, 0, NULL, "Availability zone of this process"},
	{"cell", OPTION_STRING, "cell-1", 1, 0, "agent,standalone",
		"Cell that the worker is in"},
	{"http", OPTION_STRING, "127.0.0.1:8080", 1, 0, "entry,standalone",
		"Address for callers and operators"},
	{"agent-http", OPTION_STRING, "127.0.0.1:8090", 1, 0, "agent,standalone",
		"Address for the upstream beside this agent"},
	{"peer", OPTION_STRING, "127.0.0.1:0", 1, 0, "agent,standalone",
		"Address for other processes of the system"},
	{"advertise", OPTION_STRING, "", 0, 0, "agent",
		"Address at which other processes reach ours. Empty: the bound one"},
	{"peer-keys", OPTION_STRING, "damaskpath-development", 1, 0, NULL,
		"Secret shared by all processes, or two with a comma between them during a "
		"change"},
	{"store", OPTION_STRING, "http://127.0.0.1:2379", 1, 0, "entry,agent",
		"Base URL of the key-value service"},
	{"store-timeout", OPTION_DURATION, "3s", 50 * MS, 60 * S, "entry,agent",
		"Longest wait for an answer of the store"},
	{"lease", OPTION_DURATION, "6s", 2 * S, 60 * S, "agent,standalone",
		"Lease of a coordinator on its cell"},
	{"http-threads", OPTION_NUMBER, "4", 1, 64, "entry,standalone",
		"Threads that serve HTTP"},
	{"connections-max", OPTION_NUMBER, "4096", 1, 100000, "entry,standalone",
		"Callers' connections at once"},
	{"connections-per-address", OPTION_NUMBER, "0", 0, 100000, "entry,standalone",
		"Connections at once from one address; 0 for no limit"},
	{"idle-timeout", OPTION_DURATION, "30s", 1 * S, 600 * S, "entry,standalone",
		"A caller that sends nothing for so long is cut"},
	{"body-max", OPTION_NUMBER, "1500000", 1024, 8000000, "entry,standalone",
		"Largest request body in bytes"},
	{"open-max", OPTION_NUMBER, "10000", 1, 1000000, "entry,standalone",
		"Requests that may wait for their answers at once"},
	{"answer-timeout", OPTION_DURATION, "10m", 1 * S, 86400 * S, "entry,standalone",
		"A caller that waits longer is told to ask later"},
	{"coordinator-timeout", OPTION_DURATION, "15s", 100 * MS, 600 * S, "entry,standalone",
		"Longest wait for a coordinator before a new job is refused"},
	{"stop-limit", OPTION_DURATION, "60s", 0, 86400 * S, NULL,
		"Longest time that a stop waits for what is in flight"},
	{"config", OPTION_STRING, "", 0, 0, "standalone",
		"Document to load at the start. Empty: none"},
};
const size_t settings_count = ARRAY_LEN(settings_table);
