#ifndef DP_RUNNER_H
#define DP_RUNNER_H

#include "state.h"
#include "transport.h"

#include <pthread.h>
#include <sys/types.h>

#define NAMES_MAX 64

/* A process of the system under test, or a stand-in. */
struct proc {
	char name[NAMES_MAX];
	char **argv;
	pid_t pid;
	char *out;
	char *log;
	char *addr;
	/* Settings file of the users' platform, or NULL. */
	char *node_file;
	bool killed;
	bool stopping;
	GArray *kills;
};

/* A worker is an agent with its upstream, and a relay before the agent's peer address. */
struct worker {
	char name[NAMES_MAX];
	struct proc *agent;
	struct proc *upstream;
	struct relay *relay;
};

/* A job that the scenario submitted. */
struct job {
	char name[NAMES_MAX];
	char *body;
	char *key;
	char *entry_name;
	bool async;
	bool idempotent;
	uint32_t size;
	pthread_t thread;
	bool started;
	bool answered;
	bool cut;
	int status;
	char *id;
	char *outcome;
	char *kind;
	char *text;
	bool not_run;
};

/* What a scenario counts. */
struct tally {
	uint32_t runs;
	uint32_t lost;
	uint32_t doubled;
	uint32_t partial;
	uint32_t false_not_run;
	uint32_t cut;
	uint32_t reverted;
	uint32_t failed;
	double recovery_s;
};

struct scenario {
	const char *file;
	const char *bin;
	char *dir;
	int line;
	int64_t last_fault;
	struct proc *store;
	GPtrArray *procs;
	GPtrArray *workers;
	GPtrArray *jobs;
	GHashTable *numbers;
	GRand *rand;
	struct tally t;
	FILE *transcript;
	int expect_running;
};

/* proc.c */
struct proc *proc_start(struct scenario *s, const char *name, char **argv);
struct proc *proc_start_node(
	struct scenario *s, const char *name, char **argv, const char *node_file);
void proc_restart(struct scenario *s, struct proc *p);
bool proc_signal(struct scenario *s, struct proc *p, int sig);
struct proc *proc_find(struct scenario *s, const char *name);
void proc_watch(struct scenario *s);
int proc_reap(struct proc *p, int64_t limit);
void proc_free(void *p);
char *free_addr(void);

/* relay.c: forwards connections; can cut, hold or let through. */
enum relay_mode {
	RELAY_OPEN,
	RELAY_HOLD,
	RELAY_CUT,
	/* What callers send arrives, answers do not. */
	RELAY_ONE_WAY,
	RELAY_SLOW
};
struct relay *relay_new(const char *target, char **addr);
void relay_set(struct relay *r, enum relay_mode mode);
/* Close all connections that are open now, with what they hold. */
void relay_reset(struct relay *r);
void relay_free(struct relay *r);

/* client.c */
void client_submit(struct scenario *s, struct job *j);
json_t *client_get(struct scenario *s, const char *entry, const char *path, int *status);
int client_put(const char *entry, const char *path, const char *text, json_t **answer);
void client_poll(struct scenario *s, struct job *j);

/* audit.c: counting what the upstreams ran. */
void audit_runs(struct scenario *s);
uint32_t audit_begun(struct scenario *s, const struct job *j);

/* runner.c */
int64_t now_ns(void);
void fail(struct scenario *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
const char *any_entry(struct scenario *s);

#endif
