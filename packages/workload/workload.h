#ifndef DP_WORKLOAD_H
#define DP_WORKLOAD_H

#include "base.h"
#include "protocol.h"

/*
 * Scheduler core: decides which task of which job runs on which worker. The core performs no
 * I/O and reads no clock. Callers pass the time: now is in monotonic nanoseconds, wall is in
 * nanoseconds since the Unix epoch.
 */

/* Limits on a submitted job; a job that violates them is rejected as invalid. */
#define WL_ID_LEN	   16 /* exact length of a job id, in hexadecimal digits */
#define WL_STEPS_MAX	   64
#define WL_TASKS_MAX	   20000 /* tasks per occurrence */
#define WL_REPETITIONS_MAX 100000
#define WL_NAME_MAX	   128 /* bytes of a label, data rack or image */

/* wl_mark.index of a mark for the whole unit: a gang, or any unit that is done. */
#define WL_INDEX_GANG UINT32_MAX

/* Index of a step in wl_spec.steps. */
struct wl_step_ref {
	uint32_t step;
};

/* A step: a number of identical tasks. Resources and estimate are per task. */
struct wl_step {
	uint32_t count;
	uint32_t cores_m; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t estimate_ms;
	/* Steps that must complete before this one starts; all have a lower index. */
	struct wl_step_ref *after;
	uint32_t after_len;
	bool checkpoints;
	bool gang;
	/* Should run within one rack: otherwise run times grow by the factor remote_penalty. */
	bool rack_local;
	bool long_running;
	/* Runs only on cores that other tasks leave idle; no cores are reserved for it. */
	bool filler;
	bool copies; /* "speculative" of the submitted job; not used by the core */
	char *label;
	char *data_rack;
	char *image;
	uint32_t per_worker_max; /* 0: no limit */
	uint32_t latency_max_ms; /* latency objective; 0: none; not used by the core */
	/*
	 * If not 0, runs of the step are never preempted, and are moved out of an evacuated
	 * zone only while at most so many of its tasks don't run.
	 */
	uint32_t unavailable_max;
};

/*
 * The settings of its queue that a job keeps while the configuration lacks the queue. See
 * wl_queue for their meaning.
 */
struct wl_settings {
	uint32_t priority;
	uint32_t attempts_max;	/* 0: the settings are not known */
	uint32_t stretch_milli; /* thousandths of wl_queue.stretch */
	int64_t target_ms;
	bool approval;
};

/*
 * Whose a job is. Callers choose ids, and different callers may choose the same: an id names a
 * job only together with its owner.
 */
struct wl_owner {
	char *org; /* NULL: accepted, or asked for, on an open queue without an API key */
	char *queue;
	/* wl_queue_address of the queue, as it may get another name; NULL if not known. */
	char *address;
};
extern const struct field_table wl_owner_fields;
bool wl_owner_same(const struct wl_owner *a, const struct wl_owner *b);

/* A job as submitted; immutable once accepted. */
struct wl_spec {
	char *id;
	char *queue;
	/* Used if the queue has been removed, see wl_queue.service. */
	char *service;
	char *org;
	char *payload;
	struct wl_step *steps;
	uint32_t steps_len;
	uint32_t repetitions; /* 0: run once, immediately */
	int64_t start_at_ms;
	int64_t interval_ms;
	int64_t accepted_ms;	     /* wall clock of the entry process that accepted it */
	struct wl_settings settings; /* as accepted; not in jobs of earlier versions */
	char *address;		     /* see wl_owner; not in jobs of earlier versions */
};

enum wl_state {
	WL_QUEUED,  /* no task is known to have started, though some may be placed */
	WL_RUNNING, /* in records of earlier versions also if tasks are only placed */
	WL_COMPLETED,
	WL_FAILED,
	WL_CANCELLED
};
const char *wl_state_name(uint32_t s);
bool wl_state_ended(uint32_t s);

/* Stored state of one task, or of a whole unit if index is WL_INDEX_GANG. */
struct wl_mark {
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	bool done;
	uint32_t failures;
	/* Last attempt that was counted in failures. */
	uint32_t failed_attempt;
	char *checkpoint;
	/* Node and attempt of the current run; stored before the start order is sent. */
	char *node;
	uint32_t attempt;
	/* Workers that crashed when it had just started, and the last attempt counted. */
	uint32_t crashes;
	uint32_t crashed_attempt;
	bool crash_uncertain; /* one of them was perhaps not by the task */
};

/* Stored progress of a job. */
struct wl_progress {
	uint32_t state;
	char *queue;
	char *org;
	int64_t ended_ms;
	struct wl_mark *marks;
	uint32_t marks_len;
	/* As last known; not known in new records and in those of earlier versions. */
	struct wl_settings settings;
	char *address; /* see wl_owner; not in records of earlier versions */
	/*
	 * The job's attempts have at least this number: lower ones are of an earlier job with
	 * the same id. 0: none was placed yet, or an earlier version placed them.
	 */
	uint32_t first_attempt;
};
extern const struct field_table wl_spec_fields;
extern const struct field_table wl_progress_fields;
bool wl_spec_check(const struct wl_spec *s, GError **err);
bool wl_id_valid(const char *id);
/* The owner of a job; the strings stay the job's. */
struct wl_owner wl_spec_owner(const struct wl_spec *s);
struct wl_owner wl_progress_owner(const struct wl_progress *p);
/* Whether two submissions under one id are the same one, sent again. */
bool wl_spec_same(const struct wl_spec *a, const struct wl_spec *b);

/* A queue: routing, priority and objectives of the jobs submitted to it. */
struct wl_queue {
	char *name;
	char *host;
	char *prefix;
	/* Name that a worker offers; tasks run only on workers that report the same one. */
	char *service;
	uint32_t priority; /* lower is scheduled first; jobs of priority 0 are urgent */
	uint32_t attempts_max;
	/*
	 * Objective: a job completes within stretch times its critical path (the estimated time
	 * of its longest chain of dependent steps) plus target_ms, counted from wl_job_add or,
	 * if it repeats, from when a step is ready.
	 */
	double stretch;
	int64_t target_ms;
	bool open; /* accepts requests without an API key */
	/* Starts require a ticket from the approval service. */
	bool approval;
};
void wl_queue_settings(const struct wl_queue *q, struct wl_settings *out);
char *wl_queue_address(const struct wl_queue *q);
/* An organisation with its API keys. */
struct wl_org {
	char *name;
	GPtrArray *keys;
	uint32_t guaranteed; /* accelerators guaranteed to its urgent jobs */
};
/* The configuration that the scheduler core uses; owned by the caller. */
struct wl_config {
	int64_t version;  /* as written in the document */
	int64_t revision; /* of the document in the store */
	GPtrArray *queues;
	GPtrArray *orgs;
	GHashTable *orgs_by_key;
	GHashTable *queues_by_name;
	GHashTable *orgs_by_name;
};
struct wl_config *wl_config_new(void);
void wl_config_add_queue(struct wl_config *c, struct wl_queue *q);
void wl_config_add_org(struct wl_config *c, struct wl_org *o);
void wl_config_free(struct wl_config *c);
const struct wl_queue *wl_config_queue(const struct wl_config *c, const char *name);
const struct wl_queue *wl_config_route(
	const struct wl_config *c, const char *host, const char *path);
const struct wl_org *wl_config_org_by_key(const struct wl_config *c, const char *key);
const struct wl_org *wl_config_org(const struct wl_config *c, const char *name);

/* How a run ended, as reported by the worker. */
enum wl_end {
	WL_END_DONE,
	WL_END_FAILED,
	WL_END_STOPPED,
	/* The run's lease expired. */
	WL_END_LAPSED,
	/* Reported by the worker as "broken"; the core handles it like WL_END_OTHER. */
	WL_END_BROKEN,
	/* A gang member that did not find its peers within gang_wait. */
	WL_END_ALONE,
	WL_END_OTHER
};
const char *wl_end_name(uint32_t e);

/* A worker's answer to a start order. */
enum wl_answer {
	WL_ANSWER_RUNNING,
	/*
	 * REFUSED_*: the worker has not started this attempt and never will; the task is placed
	 * again with a new attempt.
	 */
	WL_ANSWER_REFUSED_STALE_ATTEMPT,  /* the attempt is stale */
	WL_ANSWER_REFUSED_NO_CAPACITY,	  /* no capacity */
	WL_ANSWER_REFUSED_INVALID_TICKET, /* the approval ticket is invalid */
	WL_ANSWER_REFUSED_OTHER,
	/* The worker is unhealthy and did not try. */
	WL_ANSWER_UNHEALTHY
};
const char *wl_answer_name(uint32_t a);

/* A run that a worker reports as active. */
struct wl_run {
	char *task;
	uint32_t attempt;
	char *checkpoint;
	uint32_t percent;
	/* Measured latency in ms of a task with latency_max_ms; otherwise cores_m in use. */
	uint32_t figure;
};
/* A finished run; the worker repeats it until a wl_stored message covers its number. */
struct wl_ended {
	uint64_t number;
	char *task;
	uint32_t attempt;
	uint32_t how;
	char *checkpoint;
};
/* A string as a list element of a message. */
struct wl_text {
	char *text;
};

/*
 * How fast a worker is: thousandths of the natural logarithm of its speed against callers'
 * estimates. The agent keeps it for the next coordinator.
 */
struct wl_speed {
	int64_t milli;
	uint32_t variance_milli; /* 0: the speed is not known */
	/* Hash of the worker instance's id, so that a later instance isn't taken for it. */
	uint32_t instance_hash;
};
/* Agent to coordinator: state of a worker and full lists of its runs and finished runs. */
struct wl_report {
	uint64_t term;
	char *node;
	/* Instance id of the worker process; changes each time it starts. */
	char *worker_instance;
	char *service;
	char *rack;
	struct wl_text *labels;
	uint32_t labels_len;
	uint32_t cores_m;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool draining;
	uint32_t leaves_in_ms;
	/* The worker's last heartbeat announced that it leaves; it has no runs any more. */
	bool left;
	/*
	 * The lists below reflect every start with an ordinal up to this one. A run whose start
	 * has a higher ordinal may be missing from them although it runs.
	 */
	uint64_t covers;
	/* The agent's clock at sending; returned in wl_lead_beat.echo_ns. */
	uint64_t sent_ns;
	struct wl_run *runs;
	uint32_t runs_len;
	struct wl_ended *ends;
	uint32_t ends_len;
	/* Rows of the worker's lists could not be read: what isn't listed may be running. */
	bool partial;
	struct wl_speed speed; /* as the last coordinator told it */
	uint32_t cold_ms; /* the worker has just started, and is slow for this much longer */
};

/* Start of one task; wl_start_order carries the payload that all its starts share. */
struct wl_start {
	uint64_t ordinal;
	char *task;
	uint32_t attempt;
	char *checkpoint;
	char *ticket;
};
/* Coordinator to agent: start tasks of one job. */
struct wl_start_order {
	uint64_t term;
	char *worker_instance;
	char *payload;
	struct wl_start *starts;
	uint32_t starts_len;
};
/* Coordinator to agent: stop a run. */
struct wl_stop_order {
	uint64_t term;
	char *worker_instance;
	char *task;
	uint32_t attempt;
	/*
	 * Ordinal of an unanswered start, else 0. The agent stops that attempt at the worker,
	 * which refuses it from then on. If lists requested after that don't show the run, the
	 * agent answers the start with WL_ANSWER_REFUSED_OTHER.
	 */
	uint64_t ordinal;
};
/* Coordinator to agent: limit the speed of a run to percent. */
struct wl_pace_order {
	uint64_t term;
	char *worker_instance;
	char *task;
	uint32_t attempt;
	uint32_t percent;
};
/* Agent to coordinator: the worker's answer to a start. */
struct wl_answer_note {
	uint64_t term;
	char *worker_instance;
	uint64_t ordinal;
	char *task;
	uint32_t attempt;
	uint32_t answer;
};
/* Coordinator to agent: heartbeat. The store confirmed the coordinator's term age_ms ago. */
struct wl_lead_beat {
	uint64_t term;
	uint32_t age_ms;
	bool stopping; /* the coordinator's process is shutting down */
	/* sent_ns of the report or ping being answered; 0 for none. */
	uint64_t echo_ns;
	/* Last ordinal given to a start for any agent; starts sent later have higher ones. */
	uint64_t ordinal;
	struct wl_speed speed;
};
/* Agent to coordinator: first message on a link. */
struct wl_hello {
	char *node;
	char *zone;
	uint64_t term; /* last coordinator term that the agent has seen */
};
/* Coordinator to agent: finished runs of this worker instance up to number are stored. */
struct wl_stored {
	uint64_t term;
	char *worker_instance;
	uint64_t number;
};

/* Agent to coordinator: the agent is alive, even if its worker does not respond. */
struct wl_ping {
	uint64_t term;
	uint64_t sent_ns;
};

/*
 * From an entry process (one that accepts callers' HTTP requests on its VM) to the process of
 * the coordinator: forward a request to the store. Used while the store fails for the entry
 * process's own VM.
 */
struct wl_store_call {
	uint64_t number;
	char *method;
	char *path;
	struct bytes body;
	uint32_t timeout_ms;
};
struct wl_store_reply {
	uint64_t number;
	uint32_t status; /* HTTP status; 0 if there was no response */
	struct bytes body;
};

/*
 * From an entry process to the process of the coordinator: the entry has stored this key of the
 * inbox. The coordinator reads it if its watch does not tell of it.
 */
struct wl_inbox_note {
	char *key;
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
	WL_MSG_INBOX_NOTE,
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
		struct wl_inbox_note inbox_note;
	};
};
struct bytes wl_msg_encode(const struct wl_msg *m);
bool wl_msg_decode(struct wl_msg *m, const void *data, size_t len, GError **err);
void wl_msg_clear(struct wl_msg *m);

/*
 * Time limits of the deployment, and the run time that a resume and work outside its rack cost;
 * times are in nanoseconds.
 */
struct wl_limits {
	int64_t stop_max;      /* a worker ends a run within this after a stop order */
	int64_t gang_wait;     /* a gang member without its peers ends after this */
	double remote_penalty; /* run time factor for work outside its rack */
	int64_t restore;       /* time to resume from a checkpoint */
	int64_t silence_max;   /* no run survives on an unreachable worker after this */
	int64_t reclaim_max; /* a unit within its guarantee starts within this, by preemption */
	int64_t retention;   /* how long a job is kept after it ended */
	size_t record_max;   /* bytes of a job's progress that the store takes; 0: any number */
	/* No task starts in an evacuated zone later than this; 0: zones aren't evacuated. */
	int64_t evacuation_max;
	size_t checkpoints_max; /* bytes of all checkpoints in memory; 0: any number */
};

/* Whether anything waits for a change to be stored. */
enum wl_store_urgency {
	WL_STORE_NOW,  /* starts, dependent steps or the job's caller */
	WL_STORE_SOON, /* nothing: the change may be stored together with later ones */
	WL_STORE_LATER /* nothing but what callers are told, which may be a second old */
};

/* Callbacks through which the core sends orders and requests storage. */
struct wl_callbacks {
	void (*start)(void *arg, const char *node, const struct wl_start_order *o);
	void (*stop)(void *arg, const char *node, const struct wl_stop_order *o);
	void (*pace)(void *arg, const char *node, const struct wl_pace_order *o);
	/* The node's ended runs up to a number are stored: the worker may forget them. */
	void (*stored)(void *arg, const char *node, const struct wl_stored *s);
	/* The job's progress must be stored; the caller then calls wl_job_stored. */
	void (*dirty)(void *arg, const char *id, enum wl_store_urgency urgency);
	void *arg;
};

struct wl;
struct wl *wl_new(
	uint64_t term, const struct wl_limits *limits, const struct wl_callbacks *out);
void wl_free(struct wl *w);
void wl_set_config(struct wl *w, const struct wl_config *c);

/*
 * Jobs. Before a stored job is added, wl_node_await_report must have been called for each node
 * that may still run tasks of it.
 */
void wl_job_add(struct wl *w, int64_t now, int64_t wall, const struct wl_spec *spec,
	const struct wl_progress *p);
void wl_job_cancel(struct wl *w, int64_t now, int64_t wall, const char *id);
bool wl_job_has(const struct wl *w, const char *id);
/* The owner of a job, which must be known; the strings stay the job's. */
struct wl_owner wl_job_owner(const struct wl *w, const char *id);
/* Whether a job is known and has not ended. */
bool wl_job_is_open(const struct wl *w, const char *id);
/*
 * Gives up a job whose progress is larger than what the store takes, also without the
 * checkpoints of its tasks: nothing of it could be stored any more.
 */
void wl_job_fail_oversized(struct wl *w, int64_t now, int64_t wall, const char *id);
/*
 * Encodes the progress to store; version identifies it for wl_job_stored. The checkpoints of
 * tasks are left out where it would be larger than what the store takes.
 */
struct bytes wl_job_progress(struct wl *w, const char *id, uint64_t *version);
void wl_job_stored(struct wl *w, int64_t now, const char *id, uint64_t version);
/* Ids of ended jobs that can be removed after their retention; the array frees its strings. */
GPtrArray *wl_jobs_expired(struct wl *w, int64_t wall);
void wl_job_forget(struct wl *w, const char *id);

/*
 * Nodes. A node is a VM with one worker process; struct wl_node stands for both.
 *
 * wl_node_await_report registers a node that may still run tasks started by an earlier
 * coordinator.
 */
void wl_node_await_report(struct wl *w, int64_t now, const char *node);
void wl_node_report(struct wl *w, int64_t now, int64_t wall, const struct wl_report *r);
void wl_node_unreachable(struct wl *w, int64_t now, const char *node);
void wl_node_answer(struct wl *w, int64_t now, const struct wl_answer_note *a);
/* Calls wl_callbacks.stored for each node of which more finished runs are stored than before.
 */
void wl_ack_stored_ends(struct wl *w);
/*
 * A node's agent has connected anew. What was sent on its last connection may be lost, so the
 * number of its stored runs is sent again.
 */
void wl_node_connected(struct wl *w, const char *node);
/* The availability zone of a node, from its agent; it may not have reported yet. */
void wl_node_set_zone(struct wl *w, int64_t now, const char *node, const char *zone);
/* How fast a node's worker is, for its agent to keep. */
struct wl_speed wl_node_speed(const struct wl *w, int64_t now, const char *node);
/* An evacuated zone, and the revision of the key that tells so. */
struct wl_zone {
	const char *name;
	int64_t revision;
};
/* All evacuated zones, as the answer to a request that was sent at read_at names them. */
void wl_set_evacuated(struct wl *w, int64_t now, int64_t read_at, const struct wl_zone *zones,
	uint32_t zones_len);
/* How many tasks of ready units wait, and how many are placed on workers. */
struct wl_totals {
	unsigned int waiting_tasks;
	unsigned int placed_tasks;
};
void wl_totals(const struct wl *w, struct wl_totals *out);
/* Ordinal of the last start, wl_start.ordinal. */
uint64_t wl_last_ordinal(const struct wl *w);
size_t wl_node_count(const struct wl *w);
/* Names of nodes on which nothing can be running any more; the array frees its strings. */
GPtrArray *wl_nodes_expired(struct wl *w, int64_t now);

/* Whether anything has changed since the last pass that may allow a task to start. */
bool wl_pass_needed(const struct wl *w);
/* Runs a scheduling pass; returns the nanoseconds until the next one is due at the latest. */
int64_t wl_pass(struct wl *w, int64_t now, int64_t wall);

#endif
