#ifndef DP_DAEMON_H
#define DP_DAEMON_H

#include "agent-core.h"
#include "coord.h"

/* settings.c */
extern const struct option_entry settings_table[];
extern const size_t settings_count;

/* process.c: what each role needs. */
struct process {
	struct loop *loop;
	struct options *options;
	struct keyring *keys;
	struct store *store;
	struct work_pool *pool;
	const char *zone;
	int64_t stop_limit;
};
bool process_init(struct process *p, struct options *o, GError **err);
void process_end_work(struct process *p);
void process_clear(struct process *p);
/* Signals to stop and, with reload, to read the settings again; -1 where there is no
 * descriptor. */
int process_open_signals(bool reload);

/* agent.c: the process beside an upstream; one of them coordinates the cell. */
struct agent;
struct agent *agent_new(struct process *p, GError **err);
void agent_stop(struct agent *a);
bool agent_idle(const struct agent *a);
/* What keeps a stopping agent from ending, for the log; freed by the caller. */
char *agent_busy_with(const struct agent *a);
void agent_free(struct agent *a);
const char *agent_http_addr(const struct agent *a);

/* entry.c: callers' and operators' HTTP. */
struct entry;
struct entry *entry_new(struct process *p, GError **err);
void entry_stop(struct entry *e);
bool entry_idle(const struct entry *e);
void entry_free(struct entry *e);
const char *entry_http_addr(const struct entry *e);

/* wl-process.c: the roles on the users' platform, which serve jobs of steps. */
enum wl_role {
	WL_ROLE_ENTRY,
	WL_ROLE_AGENT
};
int wl_process_run(enum wl_role role, const struct options *o);

#endif
