#ifndef DP_WL_PRIVATE_H
#define DP_WL_PRIVATE_H

#include "workload.h"

#include <stdlib.h>
#include <string.h>

/*
 * What a guaranteed start takes besides stopping others: two messages, a write, and one more
 * try of a message whose answer is lost.
 */
#define RECLAIM_MARGIN (900 * NSEC_PER_MSEC)

/* What a task takes of a worker. */
struct wl_need {
	uint32_t cores_m;
	uint32_t memory_mb;
	uint32_t accelerators;
};
/* Room may be negative where a worker has shrunk. */
struct wl_room {
	int64_t cores_m;
	int64_t memory_mb;
	int64_t accelerators;
};

enum wl_phase {
	TASK_WAITING,
	/* An earlier coordinator placed it on a node that has not reported yet. */
	TASK_HELD,
	/* Placed; the order goes out once the place is stored. */
	TASK_PLACED,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_DONE
};

struct wl_unit;
struct wl_node;

struct wl_task {
	struct wl_unit *unit;
	uint32_t index;
	enum wl_phase phase;
	/* The number of the last attempt; 0 before the first. */
	uint32_t attempt;
	uint32_t failures;
	uint32_t failed_attempt;
	char checkpoint[WL_CHECKPOINT_MAX + 1];
	/* Where the run is, also while it is being stopped; done tasks may still hold room. */
	struct wl_node *node;
	/* Of a held task: the node that has to report first. */
	const struct wl_node *held_by;
	/* Of a placed task: the version of its job that says where. */
	uint64_t placed_version;
	int64_t placed_at;
	int64_t running_at;
	int64_t stop_sent;
	int64_t waiting_since;
	uint64_t ordinal;
	uint64_t seen;
	uint32_t percent;
	int64_t percent_at;  /* when the worker last listed the run */
	int64_t progress_at; /* when percent last changed */
	/* Progress that the run began with, and when: a resumed run does not begin with none.
	 */
	uint32_t base_percent;
	int64_t base_at;
	uint32_t pace;
	uint32_t figure;
	/* The worker that failed or refused it last is taken only when no other fits. */
	const struct wl_node *avoid;
	TAILQ_ENTRY(wl_task) on_node;
};

/* One step of one occurrence. */
struct wl_unit {
	struct wl_job *job;
	const struct wl_step *step;
	uint32_t occurrence;
	uint32_t step_index;
	struct wl_task *tasks;
	uint32_t done;
	uint32_t waiting;
	/* Of a gang: its attempt, its failures and the checkpoint that all members share. */
	uint32_t attempt;
	uint32_t failures;
	uint32_t failed_attempt;
	int64_t ready_at;
	int64_t retry_at;
	bool is_done;
};

struct wl_job {
	struct wl *wl;
	struct wl_spec spec;
	uint32_t state;
	int64_t added_at;
	int64_t ended_ms;
	/* Occurrences that are open; units are occurrence-major. */
	struct wl_unit **occurrences;
	uint32_t occurrences_len;
	uint32_t occurrences_done;
	uint64_t version;
	uint64_t stored;
	/* Newer checkpoints of runs are known than the store has, and when it was told last. */
	bool checkpoints_due;
	int64_t checkpoints_at;
	/* Terms of the queue, as the newest configuration that has it says. */
	uint32_t priority;
	uint32_t attempts_max;
	double stretch;
	int64_t target;
	const char *service;
	bool approval;
	/* Expected run times by step, as of how much had been learned. */
	int64_t *estimates;
	unsigned int estimates_of;
	TAILQ_ENTRY(wl_job) entry;
};

/* A run that is listed by a worker and is not the current run of a task. */
struct wl_ghost {
	char *task;
	uint32_t attempt;
	struct wl_need need;
	int64_t stop_sent;
};

/* An end whose effect is stored once the job's version is. */
struct wl_end_note {
	uint64_t number;
	struct wl_job *job;
	uint64_t version;
};

struct wl_node {
	struct wl *wl;
	char *name;
	char *life;
	char *service;
	char *rack;
	GPtrArray *labels;
	struct wl_need capacity;
	bool expected; /* may hold tasks of an earlier coordinator; has not reported */
	bool linked;
	bool draining;
	bool left;
	int64_t drain_until;
	int64_t silent_at;
	int64_t blocked_until;
	double strikes;
	int64_t strikes_at;
	uint64_t serial;
	uint64_t ends_seen;
	uint64_t ends_stored;
	uint64_t ends_told;
	GArray *end_notes;
	GPtrArray *ghosts;
	struct wl_room free; /* recomputed by each pass */
	struct wl_room soon; /* free, and what is being stopped */
	bool usable;	     /* new tasks may go there, as of this pass */
	/* Left empty for urgent work that may come. */
	bool headroom;
	/* From then on room is kept for a unit that waits; 0 for none. What is left beside it.
	 */
	int64_t kept_from;
	struct wl_room beside_kept;
	TAILQ_HEAD(, wl_task) tasks;
};

struct wl {
	uint64_t term;
	struct wl_limits limits;
	struct wl_out out;
	const struct wl_config *config;
	GHashTable *jobs;
	TAILQ_HEAD(, wl_job) list;
	GPtrArray *nodes;
	uint64_t ordinal;
	/* Run times by queue. */
	GHashTable *learned;
	unsigned int learned_runs;
	/* Accelerators that an urgent job asks for, a moving mean. */
	double urgent_size;
	/* Room, work or workers have come since the last pass. */
	bool changed;
	/* The unit that is being placed may take the headroom. */
	bool may_use_headroom;
};

/* wl-job.c */
struct wl_job *wl_find_job(const struct wl *w, const char *id);
struct wl_task *job_task(struct wl *w, const char *name, int64_t now);
char *task_name(const struct wl_task *t);
struct wl_need task_need(const struct wl_step *s);
void job_refresh(struct wl_job *j);
void job_open_due(struct wl_job *j, int64_t now, int64_t wall);
void job_dirty(struct wl_job *j);
void job_finish(
	struct wl_job *j, int64_t now, int64_t wall, enum wl_state state, const char *why);
int64_t job_next_due(const struct wl_job *j);
bool unit_turn(const struct wl_unit *u);

/* wl-run.c: the life of a run. */
void task_attach(struct wl_task *t, struct wl_node *n, uint32_t attempt);
void task_detach(struct wl_task *t, int64_t now);
void task_stop(struct wl_task *t, int64_t now, const char *why, const char *for_whom);
void task_void(struct wl_task *t, int64_t now);
void task_run(struct wl_task *t, int64_t now);
void wl_run_ended(
	struct wl *w, struct wl_node *n, int64_t now, int64_t wall, const struct wl_ended *e);
void unit_stop(struct wl_unit *u, int64_t now, const char *why, const char *for_whom);
void job_stop_runs(struct wl_job *j, int64_t now, const char *why);
void job_send_starts(struct wl_job *j, int64_t now);
void task_release(struct wl_task *t, int64_t now);
void job_release_held(struct wl_job *j, const struct wl_node *n, int64_t now);
uint32_t next_attempt(const struct wl *w, uint32_t last);

/* wl-node.c */
struct wl_node *node_find(const struct wl *w, const char *name);
void node_lose_tasks(struct wl_node *n, int64_t now, const char *why);
bool node_usable(const struct wl_node *n, int64_t now);
double node_strikes(const struct wl_node *n, int64_t now);
void node_strike(struct wl_node *n, int64_t now);
void node_clear_strikes(struct wl_node *n);

/* wl-place.c */
bool room_fits(const struct wl_room *r, const struct wl_need *n);
void room_take(struct wl_room *r, const struct wl_need *n);
void room_give(struct wl_room *r, const struct wl_need *n);
bool node_suits(const struct wl_node *n, const struct wl_unit *u);
/* Which room a plan counts on. */
enum plan_room {
	PLAN_FREE,
	PLAN_SOON
};
struct plan {
	struct wl_task *task;
	struct wl_node *node;
};
uint32_t place_unit(struct wl *w, struct wl_unit *u, int64_t now, enum plan_room room,
	bool anywhere, GArray *out);
bool spread_allows(const struct wl_unit *u, const struct wl_node *n, const GArray *plan);
void plan_undo(GArray *plan, guint from, enum plan_room which);
GPtrArray *racks_of(const struct wl *w);
bool rack_feasible(const struct wl *w, const struct wl_unit *u);
bool unit_is_local(const struct wl_unit *u);
bool unit_may_spread(const struct wl *w, const struct wl_unit *u, int64_t now);

/* wl-headroom.c */
void headroom_note_job(struct wl *w, const struct wl_job *j);
void headroom_choose(struct wl *w);

/* wl-keep.c */
enum keep_trust {
	KEEP_ESTIMATES,
	/* Runs that have not shown any progress count as never ending. */
	KEEP_PROGRESS
};
bool keep_room(struct wl *w, struct wl_unit *u, int64_t now, bool anywhere,
	enum keep_trust trust, int64_t until);

/* wl-learn.c */
void learn_run(struct wl_task *t, int64_t took);
int64_t step_estimate(struct wl_job *j, const struct wl_step *s);

/* wl-health.c */
bool task_shows_progress(const struct wl_task *t);
int64_t task_remaining(const struct wl_task *t, int64_t now);
void task_progress(struct wl_task *t, int64_t now, uint32_t percent);
void health_check(struct wl *w, int64_t now);

/* wl-reclaim.c */
bool reclaim_for(struct wl *w, struct wl_unit *u, int64_t now, bool entitled, GArray *plan);
bool unit_entitled(const struct wl *w, const struct wl_unit *u);

#endif
