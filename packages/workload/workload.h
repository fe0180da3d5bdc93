#ifndef DP_WORKLOAD_H
#define DP_WORKLOAD_H

#include "base.h"
#include "protocol.h"

/*
 * Jobs of steps: what runs where. Nothing here does input or output or reads a clock; now is
 * monotonic nanoseconds and wall is nanoseconds since 1970.
 */

/* Limits of what a caller may hand in; more is refused as invalid. */
#define WL_ID_LEN	   16
#define WL_STEPS_MAX	   64
#define WL_TASKS_MAX	   20000 /* tasks of one occurrence */
#define WL_REPETITIONS_MAX 100000
#define WL_NAME_MAX	   128
#define WL_CHECKPOINT_MAX  64
#define WL_STEP_WHOLE	   UINT32_MAX /* index of a mark that stands for a whole gang */

struct wl_step_ref {
	uint32_t step;
};

/* What one step asks for, a task. */
struct wl_step {
	uint32_t count;
	uint32_t cores_m; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t estimate_ms;
	/* Earlier steps that must be done first. */
	struct wl_step_ref *after;
	uint32_t after_len;
	bool checkpoints;
	bool gang;
	/* Runs slower when spread over racks, by the deployment's remote penalty. */
	bool rack_local;
	bool long_running;
	/* Takes only the cores that other tasks leave unused; its cores are not reserved. */
	bool filler;
	bool copies;
	char *label;
	char *data_rack;
	char *image;
	uint32_t per_worker_max; /* 0: any number */
	uint32_t latency_max_ms; /* of a serving task; 0: none */
	uint32_t unavailable_max;
};

/* A job as it was accepted; never changes afterwards. */
struct wl_spec {
	char *id;
	char *queue;
	char *service;
	char *org;
	char *payload;
	struct wl_step *steps;
	uint32_t steps_len;
	uint32_t repetitions; /* 0: once, now */
	int64_t start_at_ms;
	int64_t interval_ms;
	int64_t accepted_ms; /* wall clock of the entry that accepted it */
};

enum wl_state {
	WL_QUEUED,
	WL_RUNNING,
	WL_COMPLETED,
	WL_FAILED,
	WL_CANCELLED
};
const char *wl_state_name(uint32_t s);
bool wl_state_ended(uint32_t s);

/* What is stored of one task, or of a whole gang. */
struct wl_mark {
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	bool done;
	uint32_t failures;
	/* The last attempt whose failure was counted. */
	uint32_t failed_attempt;
	char *checkpoint;
	/* Where the task may run, and as which attempt; stored before it is started there. */
	char *node;
	uint32_t attempt;
};

/* The stored progress of a job. */
struct wl_progress {
	uint32_t state;
	char *queue;
	char *org;
	int64_t ended_ms;
	struct wl_mark *marks;
	uint32_t marks_len;
};
extern const struct field_table wl_spec_fields;
extern const struct field_table wl_progress_fields;
bool wl_spec_check(const struct wl_spec *s, GError **err);

/* The parts of the configuration that placement needs; owned by the caller. */
struct wl_queue {
	char *name;
	char *host;
	char *prefix;
	char *service;
	uint32_t priority;
	uint32_t attempts_max;
	double stretch;
	int64_t target_ms;
	bool open; /* no key is asked for */
	/* Placement needs tickets of the approval service. */
	bool approval;
};
struct wl_org {
	char *name;
	GPtrArray *keys;
	uint32_t guaranteed;
};
struct wl_config {
	int64_t version;
	int64_t revision;
	GPtrArray *queues;
	GPtrArray *orgs;
	GHashTable *by_key;
	GHashTable *by_name;
};
struct wl_config *wl_config_new(void);
void wl_config_add_queue(struct wl_config *c, struct wl_queue *q);
void wl_config_add_org(struct wl_config *c, struct wl_org *o);
void wl_config_free(struct wl_config *c);
const struct wl_queue *wl_config_queue(const struct wl_config *c, const char *name);
const struct wl_queue *wl_config_route(
	const struct wl_config *c, const char *host, const char *path);
const struct wl_org *wl_config_key(const struct wl_config *c, const char *key);
const struct wl_org *wl_config_org(const struct wl_config *c, const char *name);

/* How a run ended, as the worker says. */
enum wl_end {
	WL_END_DONE,
	WL_END_FAILED,
	WL_END_STOPPED,
	WL_END_LAPSED,
	WL_END_BROKEN,
	WL_END_ALONE,
	WL_END_OTHER
};
const char *wl_end_name(uint32_t e);

/* What a worker answered to a start. */
enum wl_answer {
	WL_ANSWER_RUNNING,
	/* It will not run, now or later. */
	WL_ANSWER_REFUSED_OLD,
	WL_ANSWER_REFUSED_ROOM,
	WL_ANSWER_REFUSED_TICKET,
	WL_ANSWER_REFUSED_OTHER,
	/* The worker is unhealthy and did nothing. */
	WL_ANSWER_UNHEALTHY
};
const char *wl_answer_name(uint32_t a);

/* One run on a worker. */
struct wl_run {
	char *task;
	uint32_t attempt;
	char *checkpoint;
	uint32_t percent;
	uint32_t figure; /* latency in ms of a serving task, else cores_m in use */
};
/* One end that a worker lists until it is told that it has been stored. */
struct wl_ended {
	uint64_t number;
	char *task;
	uint32_t attempt;
	uint32_t how;
	char *checkpoint;
};
struct wl_text {
	char *text;
};

/* A worker as its agent sees it. */
struct wl_report {
	uint64_t term;
	char *node;
	/* Names one life of the worker: changes with each start of it. */
	char *life;
	char *service;
	char *rack;
	struct wl_text *labels;
	uint32_t labels_len;
	uint32_t cores_m;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool draining;
	uint32_t leaves_in_ms;
	bool left;
	/* Starts whose answers the agent had when it asked for these lists. */
	uint64_t covers;
	/* The agent's clock when it sent this; the answer brings it back. */
	uint64_t sent_ns;
	struct wl_run *runs;
	uint32_t runs_len;
	struct wl_ended *ends;
	uint32_t ends_len;
};

/* One start for a worker; the payload of the job goes once with all of them. */
struct wl_start {
	uint64_t ordinal;
	char *task;
	uint32_t attempt;
	char *checkpoint;
	char *ticket;
};
struct wl_start_order {
	uint64_t term;
	char *life;
	char *payload;
	struct wl_start *starts;
	uint32_t starts_len;
};
struct wl_stop_order {
	uint64_t term;
	char *life;
	char *task;
	uint32_t attempt;
	/* Of a start that was never answered: its number, to be answered once it is void. */
	uint64_t ordinal;
};
struct wl_pace_order {
	uint64_t term;
	char *life;
	char *task;
	uint32_t attempt;
	uint32_t percent;
};
struct wl_answer_note {
	uint64_t term;
	char *life;
	uint64_t ordinal;
	char *task;
	uint32_t attempt;
	uint32_t answer;
};
/* Coordinator to agent: alive; its term was confirmed by the store age_ms ago. */
struct wl_lead_beat {
	uint64_t term;
	uint32_t age_ms;
	bool stopping;
	/* sent_ns of the report that this answers; 0 for none. */
	uint64_t echo_ns;
	/* The last start that was ordered of anyone; what comes later on this link is higher.
	 */
	uint64_t ordinal;
};
struct wl_hello {
	char *node;
	char *zone;
	uint64_t term;
};
/* Ends of this life up to this number are stored. */
struct wl_stored {
	uint64_t term;
	char *life;
	uint64_t number;
};

/* Agent to coordinator: alive, though the worker may be silent. */
struct wl_ping {
	uint64_t term;
	uint64_t sent_ns;
};

/* Entry to agent: carry a call to the store, which does not serve the entry's VM. */
struct wl_store_call {
	uint64_t number;
	char *method;
	char *path;
	struct bytes body;
	uint32_t timeout_ms;
};
struct wl_store_reply {
	uint64_t number;
	uint32_t status; /* of HTTP; 0 where no answer came */
	struct bytes body;
};

enum wl_msg_kind {
	WL_MSG_HELLO = 64,
	WL_MSG_LEAD_BEAT,
	WL_MSG_REPORT,
	WL_MSG_ANSWER,
	WL_MSG_START,
	WL_MSG_STOP,
	WL_MSG_PACE,
	WL_MSG_STORED,
	WL_MSG_PING,
	WL_MSG_STORE_CALL,
	WL_MSG_STORE_REPLY,
	WL_MSG_END
};
struct wl_msg {
	enum wl_msg_kind kind;
	union {
		struct wl_hello hello;
		struct wl_lead_beat lead_beat;
		struct wl_report report;
		struct wl_answer_note answer;
		struct wl_start_order start;
		struct wl_stop_order stop;
		struct wl_pace_order pace;
		struct wl_stored stored;
		struct wl_ping ping;
		struct wl_store_call store_call;
		struct wl_store_reply store_reply;
	};
};
struct bytes wl_msg_encode(const struct wl_msg *m);
bool wl_msg_decode(struct wl_msg *m, const void *data, size_t len, GError **err);
void wl_msg_clear(struct wl_msg *m);

/* Bounds of the deployment, in nanoseconds unless the name says otherwise. */
struct wl_limits {
	int64_t stop_max;      /* a worker ends a stopped run within this */
	int64_t gang_wait;     /* a member alone for so long ends */
	double remote_penalty; /* work off its rack takes so many times as long */
	int64_t restore;       /* resuming from a checkpoint takes this */
	int64_t silence_max;   /* after this nothing runs on a worker out of reach */
	int64_t reclaim_max;   /* a guaranteed unit has started within this */
	int64_t retention;     /* an ended job is remembered for this */
};

/* What the core asks for. */
struct wl_out {
	void (*start)(void *arg, const char *node, const struct wl_start_order *o);
	void (*stop)(void *arg, const char *node, const struct wl_stop_order *o);
	void (*pace)(void *arg, const char *node, const struct wl_pace_order *o);
	/* The job's progress has to be stored; wl_job_stored follows. */
	void (*dirty)(void *arg, const char *id);
	void *arg;
};

struct wl;
struct wl *wl_new(uint64_t term, const struct wl_limits *limits, const struct wl_out *out);
void wl_free(struct wl *w);
void wl_set_config(struct wl *w, const struct wl_config *c);

/* Jobs. Nodes that may still run tasks of them must have been expected before. */
void wl_job_add(struct wl *w, int64_t now, int64_t wall, const struct wl_spec *spec,
	const struct wl_progress *p);
void wl_job_cancel(struct wl *w, int64_t now, int64_t wall, const char *id);
bool wl_job_has(const struct wl *w, const char *id);
/* The progress to be stored, and how far it goes. */
struct bytes wl_job_progress(struct wl *w, const char *id, uint64_t *version);
void wl_job_stored(struct wl *w, int64_t now, const char *id, uint64_t version);
/* Ids of ended jobs that need not be remembered any longer; the list is g_free'd strings. */
GPtrArray *wl_jobs_expired(struct wl *w, int64_t wall);
void wl_job_forget(struct wl *w, const char *id);

/* Workers. A node that may run tasks for an earlier coordinator is expected until it reports.
 */
void wl_node_expect(struct wl *w, int64_t now, const char *node);
void wl_node_report(struct wl *w, int64_t now, int64_t wall, const struct wl_report *r);
void wl_node_silent(struct wl *w, int64_t now, const char *node);
void wl_node_answer(struct wl *w, int64_t now, const struct wl_answer_note *a);
/* The number up to which the ends of the node's life are stored; life is not owned. */
bool wl_node_stored(struct wl *w, const char *node, const char **life, uint64_t *number);
/* The number of the last start that was ordered. */
uint64_t wl_ordinal(const struct wl *w);
size_t wl_node_count(const struct wl *w);
/* Names of nodes that need not be expected any more; g_free'd strings. */
GPtrArray *wl_nodes_gone(struct wl *w, int64_t now);

/* Whether something has happened since the last pass that may let work start. */
bool wl_wants_pass(const struct wl *w);
/* Decide. Returns the nanoseconds after which to ask again, where nothing else happens. */
int64_t wl_pass(struct wl *w, int64_t now, int64_t wall);

#endif
