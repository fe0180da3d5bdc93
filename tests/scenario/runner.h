#ifndef DP_RUNNER_H
#define DP_RUNNER_H

#include "state.h"
#include "transport.h"

#include <pthread.h>
#include <sys/types.h>

#define SCENARIO_NAME_SIZE 64 /* bytes, including the terminating NUL */

/* A process of the system under test, or a stand-in for an external service. */
struct proc {
	char name[SCENARIO_NAME_SIZE];
	char **argv;
	pid_t pid;
	char *out; /* path of the file that receives standard output */
	char *log; /* path of the file that receives standard error */
	char *addr;
	/* Path for DAMASKPATH_NODE_FILE, the platform's settings file, or NULL. */
	char *node_file;
	bool killed;
	bool stopping;
	/* int64_t monotonic time of each SIGKILL, in ns. */
	GArray *kill_times;
};

/* An agent, its upstream, and the relay in front of the agent's peer address. */
struct worker {
	char name[SCENARIO_NAME_SIZE];
	struct proc *agent;
	struct proc *upstream;
	struct relay *relay;
};

/* A job that the scenario submitted. */
struct job {
	char name[SCENARIO_NAME_SIZE];
	char *body;
	char *key;
	char *entry_name;
	bool async;
	bool idempotent;
	uint32_t size;
	pthread_t thread;
	bool thread_started;
	/* Whether the submit call has returned, with a response or an error. Atomic. */
	bool call_returned;
	/* Whether the connection failed after the request may have been sent. */
	bool cut;
	int status;
	char *id;
	char *outcome;
	/* Name of the error that the job ended with, or NULL. */
	char *error_name;
	char *response;
	bool not_run;
};

/* Results of a scenario. All counters but runs count violations. */
struct scenario_counts {
	uint32_t runs;
	/* Jobs without an outcome. */
	uint32_t lost;
	/* Non-idempotent jobs that ran more than once. */
	uint32_t doubled;
	/* Gang attempts that ran in part for too long. */
	uint32_t partial;
	/* Jobs reported as not run that did run. */
	uint32_t false_not_run;
	/* Calls that lost their connection, unless the entry that the job names was killed. */
	uint32_t cut;
	/* Entries whose configuration number went back, and accepted edits that were lost. */
	uint32_t reverted;
	/* Failed commands and expectations. */
	uint32_t failed;
	/* Longest time from the latest fault to the end of a probe, in seconds. */
	double recovery_s;
};

struct scenario {
	const char *file;
	const char *bin;
	char *dir;
	int line;
	/* Monotonic time of the latest injected fault, in ns, or 0. */
	int64_t last_fault_at;
	struct proc *store;
	GPtrArray *procs;
	GPtrArray *workers;
	GPtrArray *jobs;
	/* Entry name to the last configuration number that it reported. */
	GHashTable *config_numbers;
	GRand *rand;
	struct scenario_counts counts;
	FILE *transcript;   /* unused */
	int expect_running; /* unused */
};

/* proc.c */
struct proc *proc_start(struct scenario *s, const char *name, char **argv);
struct proc *proc_start_with_node_file(
	struct scenario *s, const char *name, char **argv, const char *node_file);
void proc_restart(struct scenario *s, struct proc *p);
bool proc_signal(struct scenario *s, struct proc *p, int sig);
struct proc *proc_find(struct scenario *s, const char *name);
void proc_check_crashes(struct scenario *s);
int proc_reap(struct proc *p, int64_t timeout_ns);
void proc_free(void *p);
char *unused_addr(void);

/* relay.c: a TCP proxy that injects network faults. */
enum relay_mode {
	RELAY_OPEN,
	/* Keep connections open but forward nothing. */
	RELAY_HOLD,
	/* Close all connections, and new ones as soon as they are accepted. */
	RELAY_CUT,
	/* Forward requests but not responses. */
	RELAY_ONE_WAY,
	/* Delay each chunk of data. */
	RELAY_SLOW
};
struct relay *relay_new(const char *target, char **addr);
void relay_set(struct relay *r, enum relay_mode mode);
/* Close all open connections and discard the data that they have not forwarded. */
void relay_reset(struct relay *r);
void relay_free(struct relay *r);

/* client.c */
void client_submit(struct scenario *s, struct job *j);
json_t *client_get(struct scenario *s, const char *entry, const char *path, int *status);
int client_put(const char *entry, const char *path, const char *text, json_t **answer);
void client_poll(struct scenario *s, struct job *j);

/* audit.c: checks what the upstreams ran. */
void audit_check_runs(struct scenario *s);
uint32_t audit_count_starts(struct scenario *s, const struct job *j);

/* runner.c */
int64_t now_ns(void);
void fail(struct scenario *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
const char *any_entry_addr(struct scenario *s);

#endif
