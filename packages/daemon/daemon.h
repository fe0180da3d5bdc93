#ifndef DP_DAEMON_H
#define DP_DAEMON_H

#include "agent-core.h"
#include "coord.h"

/* settings.c */
extern const struct option_entry settings_table[];
extern const size_t settings_count;

/* process.c: resources that the agent and the entry of one process share. */
struct process {
	struct loop *loop;
	struct options *options;
	struct keyring *keys;
	struct store *store;
	struct work_pool *pool;
	const char *zone;
	int64_t stop_limit_ns;
};
bool process_init(struct process *p, struct options *o, GError **err);
void process_stop_pool(struct process *p);
void process_clear(struct process *p);
/* Returns a signalfd for SIGTERM, SIGINT and, if reload is set, SIGHUP; -1 on failure. */
int process_open_signalfd(bool reload);

/* agent.c: runs next to an upstream; one agent of each cell is its coordinator. */
struct agent;
struct agent *agent_new(struct process *p, GError **err);
void agent_stop(struct agent *a);
bool agent_idle(const struct agent *a);
/* Describes what delays the stop, as key=value pairs for the log; the caller frees it. */
char *agent_describe_pending(const struct agent *a);
void agent_refuse(struct agent *a);
void agent_free(struct agent *a);
const char *agent_http_addr(const struct agent *a);

/* entry.c: the HTTP API for callers and operators. */
struct entry;
struct entry *entry_new(struct process *p, GError **err);
void entry_stop(struct entry *e);
bool entry_idle(const struct entry *e);
void entry_refuse(struct entry *e);
void entry_free(struct entry *e);
const char *entry_http_addr(const struct entry *e);

/*
 * wl-process.c: the roles workload-entry and workload-agent. They serve jobs made of steps,
 * which run on the users' platform: an external system with its own metadata store and workers.
 */
enum wl_role {
	WL_ROLE_ENTRY,
	WL_ROLE_AGENT
};
G_NORETURN void wl_process_run(enum wl_role role, const struct options *o);

#endif
