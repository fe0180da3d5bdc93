#ifndef DP_WL_PRIVATE_H
#define DP_WL_PRIVATE_H

#include "workload.h"

#include <stdlib.h>
#include <string.h>

/*
 * Priority of urgent jobs: a job is urgent if its queue has this priority. Only urgent jobs can
 * preempt other runs and count towards the guarantee of their organisation.
 */
#define URGENT_PRIORITY 0

/*
 * Time that a guaranteed start takes in addition to stopping other runs: two messages, one
 * store write and one retry of a message whose answer was lost.
 */
#define GUARANTEED_START_MARGIN (900 * NSEC_PER_MSEC)

/* Resources that a task requires or that a worker has. */
struct wl_resources {
	uint32_t cores_m;
	uint32_t memory_mb;
	uint32_t accelerators;
};
/*
 * Unallocated resources of a worker. They can be negative: if the capacity was reduced below
 * what the runs use; if an orphan of an unknown task, assumed to fill the worker, runs beside
 * others; and in wl_node.free, from which a pass also deducts what it withholds for units that
 * wait for runs to stop, before those runs have freed it.
 */
struct wl_available {
	int64_t cores_m;
	int64_t memory_mb;
	int64_t accelerators;
};

enum wl_task_phase {
	TASK_WAITING,
	/* Placed by an earlier coordinator on a node that has not reported yet. */
	TASK_UNCONFIRMED,
	/* Placed; the start order is sent once the placement is stored. */
	TASK_PLACED,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_DONE
};

/* Classes of workers by speed, see wl-speed-class.c. */
enum speed_class {
	SPEED_FAST,    /* meets the objectives of urgent queues */
	SPEED_UNKNOWN, /* not known, or workers are about equal */
	SPEED_SLOW
};
/* Speeds of a service's workers, which differ by more than its objectives allow. */
struct wl_speeds {
	double low;   /* of the slower workers */
	double sound; /* of the faster ones, by which objectives count */
	double least; /* that meets the objectives of urgent queues */
};

/* How a unit chooses workers by speed, if these are uneven. */
enum speed_choice {
	SPEED_FAST_ONLY,
	SPEED_NOT_SLOW,
	SPEED_FAST_FIRST,
	SPEED_SLOW_FIRST
};

struct wl_unit;
struct wl_node;

/* Workers that crashed when a task had just started; see wl-crash.c. */
struct wl_crashes {
	uint32_t count;	  /* since the last proven run */
	uint32_t attempt; /* last attempt that was counted */
	bool uncertain;	  /* one was perhaps not by its start: see count_crash */
	const struct wl_node *node;
};

/* The other tasks of a unit, seen from a task on one worker; see wl-speed.c. */
struct wl_unit_members {
	int64_t at; /* time of the report for which this was computed */
	const struct wl_node *seen_by;
	double slowest_other; /* least speed of the other workers */
	int64_t last_start;
	bool all_run;
	bool has_cold; /* one of the other workers is cold */
	bool spans_racks;
};

struct wl_task {
	struct wl_unit *unit;
	uint32_t index;
	enum wl_task_phase phase;
	/* Number of the last attempt; 0 before the first. */
	uint32_t attempt;
	uint32_t failures;
	uint32_t failed_attempt; /* last attempt that was counted in failures */
	struct wl_crashes crashes;
	char *checkpoint; /* NULL for none; see task_checkpoint */
	/* Whether one was refused, and the last attempt for which that was logged. */
	bool checkpoint_refused;
	uint32_t refused_attempt;
	/*
	 * Node of the current run, set until the run is known to have ended: while it is being
	 * stopped, and also after another attempt has completed the task.
	 */
	struct wl_node *node;
	/* TASK_UNCONFIRMED: the node whose report is awaited, in whose list the task is. */
	struct wl_node *unconfirmed_node;
	/* TASK_PLACED: the job version that contains the placement. */
	uint64_t placement_version;
	int64_t placed_at;
	int64_t running_at;
	int64_t stop_sent;
	int64_t waiting_since;
	/* Why the last run was given up, and its attempt; for the log. */
	const char *released_why;
	uint32_t released_attempt;
	uint64_t ordinal;     /* wl_start.ordinal of the last start */
	uint64_t seen_serial; /* number of the last report that listed the run */
	uint32_t percent;
	int64_t percent_at; /* when the worker last listed the run */
	/*
	 * wl_report.sent_ns of the last report that listed the run, and of the last one in
	 * which percent had changed. Times of the agent's clock: reports that are late or
	 * missing make no run look stalled.
	 */
	uint64_t listed_ns;
	uint64_t progress_ns;
	/* Since when the run has been listed, and whether for long enough; see wl-crash.c. */
	uint64_t proof_since_ns;
	bool proven;
	bool isolated; /* nothing starts beside the run until it is proven */
	/*
	 * Progress and time from which the progress rate is measured: 0 percent at running_at,
	 * or for a run resumed from a checkpoint, which does not start at 0 percent, those of
	 * the first report that lists it.
	 */
	uint32_t base_percent;
	int64_t base_at;
	/*
	 * Progress and time from which its worker's speed is observed next, 0 for not yet, and
	 * whether it has been observed; see wl-speed.c.
	 */
	uint32_t observed_percent;
	int64_t observed_at;
	bool observed;
	double apparent; /* logarithm of its speed against the estimate */
	/* What was known of its worker's speed when it was first observed, and its weight. */
	double prior_speed;
	double prior_weight;
	/* Speed limit of the run in percent; always 100, as the core sends no pace orders. */
	uint32_t pace_percent;
	/* wl_run.figure of the last report; not used by the core. */
	uint32_t measurement;
	/*
	 * The last worker on which the task failed or stalled, or that answered its start
	 * without running it. Its failure score counts as 1.0 higher for this task, so that
	 * other workers are preferred unless their own score is higher still.
	 */
	const struct wl_node *avoid_node;
	bool victim; /* selected by the preemption that is being planned */
	/* Of the present run; see wl-evacuate.c. */
	bool start_cancelled;	      /* as its worker's zone is evacuated */
	bool moving;		      /* being stopped, to be placed in another zone */
	TAILQ_ENTRY(wl_task) on_node; /* in wl_node.tasks or wl_node.unconfirmed */
};

/* One step of one occurrence of a job: the entity that is scheduled. */
struct wl_unit {
	struct wl_job *job;
	const struct wl_step *step;
	uint32_t occurrence;
	uint32_t step_index;
	struct wl_task *tasks;
	uint32_t done_count;	/* tasks that are done */
	uint32_t waiting_count; /* tasks that are waiting to be placed */
	uint32_t active_count;	/* tasks that are placed, starting or running */
	uint32_t running_count; /* tasks whose runs the worker has confirmed */
	/* Highest attempt number of any of its tasks. */
	uint32_t attempt;
	/* Gangs only: failed attempts of the whole gang, and the last one that was counted. */
	uint32_t failures;
	uint32_t failed_attempt;
	uint32_t crashed_tasks; /* tasks with crashes */
	/* Since when, and when last, crash_allows kept its tasks off workers; 0 for never. */
	int64_t excluded_since;
	int64_t excluded_at;
	int64_t hold_until; /* 0, or workers may be held for it until this time */
	int64_t ready_at;
	/*
	 * No waiting task of the unit is placed before this time. Each counted failure of one
	 * task (or of the gang) sets it, from the failures of that task, for all of them.
	 */
	int64_t retry_at;
	bool is_done;
	/* Most failures of one of its tasks, or of the gang. */
	uint32_t most_failures;
	/* The first worker on which a run failed at its start; see wl-probation.c. */
	const struct wl_node *quick_failure_node;
	/* Completed runs that were timed, and the sum of the logarithms of their times. */
	uint32_t timed_runs;
	double log_time_sum;
	/*
	 * Sum of the weights of its observed runs, and of the logarithms by which they were
	 * faster than estimated; see unit_error.
	 */
	double error_weight;
	double error_sum;
	bool estimate_off; /* the estimate tells nothing */
	struct wl_unit_members members;
	/* Gangs only: work lost by preempting it, and the time of the pass that computed it. */
	double lost_work;
	int64_t lost_work_at;
	bool victim; /* gangs only: see wl_task.victim */
	/* Interned names of the step's label and data rack; NULL for none. */
	char *label;
	char *data_rack;
};

struct wl_job {
	struct wl *wl;
	struct wl_spec spec;
	uint32_t state;
	bool begun; /* a task, or a whole gang, is known to have started */
	int64_t added_at;
	int64_t ended_ms;
	/*
	 * Units by occurrence, then by step. An occurrence is opened when it is due, or earlier
	 * if a worker or a stored mark names it, or later if too many others are open.
	 */
	struct wl_unit **occurrences;
	uint32_t occurrences_len;
	uint32_t occurrences_done; /* the first of them that are done */
	uint64_t version;
	uint64_t stored;	/* last version known to be stored */
	uint32_t first_attempt; /* see wl_progress.first_attempt; 1 if it isn't known */
	/* Some tasks have a newer checkpoint than the store. */
	bool checkpoints_unsaved;
	/* When a pass last requested that new checkpoints be stored. */
	int64_t checkpoints_at;
	size_t record_len;	       /* of the last progress that was encoded */
	uint32_t checkpoints_left_out; /* of that, as it was too large for the store */
	/*
	 * Settings of the queue, from the latest configuration that contains it. Until one has
	 * been read they are those of the job's record.
	 */
	struct wl_settings settings;
	bool settings_unsaved; /* the stored ones differ */
	uint32_t priority;
	uint32_t attempts_max;
	/*
	 * The job should complete within stretch times its estimated critical path, plus target
	 * (in nanoseconds).
	 */
	double stretch;
	int64_t target;
	char *service; /* interned */
	bool approval;
	struct wl_org_demand *demand;
	/* Cached run time estimates by step, valid while wl.recorded_runs is unchanged. */
	int64_t *estimates;
	unsigned int estimates_runs;
	TAILQ_ENTRY(wl_job) entry;
};

/* A job that was removed; workers may still list ended runs of it. */
struct wl_forgotten_job {
	char *id;
	uint32_t last_attempt;
};

/* What the unfinished urgent jobs of an organisation request, in accelerators. */
struct wl_org_demand {
	char *org;
	uint64_t urgent; /* counting the largest step of each job */
	uint64_t guaranteed;
	bool configured; /* the configuration has the organisation */
};

/* A run that a worker reports but that is not the current run of any task. */
struct wl_orphan {
	char *task;
	uint32_t attempt;
	struct wl_resources need; /* the whole worker if the task is unknown */
	int64_t stop_sent;
};

/* A finished run that is acknowledged once the job's version is stored. */
struct wl_pending_end {
	uint64_t number;
	struct wl_job *job;
	uint64_t version;
};

/*
 * A node (VM) and the worker process on it. There is one worker per node: the name is the
 * node's, the rest belongs to the worker.
 */
struct wl_node {
	struct wl *wl;
	char *name;
	/* wl_report.worker_instance; NULL if no worker is known or the last one is gone. */
	char *instance_id;
	/* Interned, so that equal names are equal pointers. */
	char *service;
	char *rack;
	char *zone; /* of the node; NULL if it is not known */
	GPtrArray *labels;
	struct wl_resources capacity;
	bool awaiting_report; /* may run tasks of an earlier coordinator; no report yet */
	bool linked;	      /* its agent is connected */
	/* Its agent has been disconnected or has connected anew since the last report. */
	bool agent_away;
	bool evacuated; /* its zone is, or may be: see wl-evacuate.c */
	bool draining;
	bool has_left; /* wl_report.left of the last report */
	int64_t drain_until;
	/*
	 * Time of the last report, or of the loss of the connection or wl_node_await_report if
	 * that was later.
	 */
	int64_t last_contact_at;
	int64_t last_report_at;
	int64_t blocked_until;
	/* When a run last failed at its start on the worker, 0 for none; see wl-probation.c. */
	int64_t probation_since;
	int64_t probation_pause_until;
	unsigned int probation_runs; /* failures at the start in a row, up to 4 */
	unsigned int unproven;	     /* runs that have just started, see wl-crash.c */
	unsigned int isolated;	     /* of these, runs beside which nothing may start */
	/* Held for a suspected task of this unit; the unit may be gone. */
	const struct wl_unit *held_for;
	int64_t held_until;
	unsigned int refusals; /* starts refused since the last one that was confirmed */
	/*
	 * The last report listed runs that should have made progress, and none had. May be the
	 * fault of another worker, if they are all members of gangs.
	 */
	bool no_progress;
	/* How much longer its runs take than others, see wl-speed.c. */
	double slowness;
	unsigned int timed_runs;
	/* Logarithm of its speed against the estimates, as of speed_at; 0 if not observed. */
	double speed;
	double speed_variance;
	int64_t speed_at;
	/* The same before the runs that it has at present, as of base_at. */
	double base_speed;
	double base_variance;
	int64_t base_at;
	enum speed_class speed_class; /* in this pass */
	int64_t cold_until;	      /* slow until then, as it has just started */
	double failure_score; /* failure score as of failure_score_at; decays over time */
	int64_t failure_score_at;
	uint64_t report_serial; /* number of reports received */
	/* Highest wl_ended.number of a finished run that was processed. */
	uint64_t last_end_processed;
	/* Highest wl_ended.number up to which the results of all finished runs are stored. */
	uint64_t last_end_stored;
	/* Highest number that wl_node_take_ends_to_ack has returned, to be acknowledged. */
	uint64_t last_end_acked;
	GArray *pending_ends;
	/* In wl.unacked_nodes: the node has pending ends. */
	bool unacked;
	GPtrArray *orphans;
	bool overbooked; /* its runs need more than the capacity that it last reported */
	struct wl_available free;	      /* unallocated; recomputed by each pass */
	struct wl_available free_after_stops; /* free, plus what is being stopped */
	bool usable;			      /* accepts new tasks in this pass */
	/* Tasks of the unit that is being placed, if the serial is that of wl.counts_serial. */
	uint32_t unit_tasks;
	uint64_t counts_serial;
	bool preempt_stale; /* what preemption on it would cost has to be computed anew */
	/*
	 * Held back for urgent jobs: takes no new tasks of units that may not use the headroom.
	 * Runs that it already has continue.
	 */
	bool headroom;
	/*
	 * Time from which resources are reserved for a waiting unit, 0 for none, and what the
	 * reservation leaves to others.
	 */
	int64_t reserved_from;
	struct wl_available unreserved;
	TAILQ_HEAD(, wl_task) tasks;
	TAILQ_HEAD(, wl_task) unconfirmed; /* tasks that it may be running */
};

/* The usable workers of a service in this pass, and what is allocated on them. */
struct wl_usage {
	const char *service; /* interned, owned by a node */
	struct wl_available capacity;
	struct wl_available used;
	unsigned int sound_workers; /* not on probation */
};

/* The nodes of a rack that have a worker. */
struct wl_rack {
	char *name; /* interned */
	GPtrArray *nodes;
};

/* The scheduler core of one coordinator term: jobs, nodes, configuration and statistics. */
struct wl {
	uint64_t term;
	struct wl_limits limits;
	struct wl_callbacks callbacks;
	const struct wl_config *config;
	GHashTable *jobs;
	TAILQ_HEAD(, wl_job) list;
	/* The last attempts of jobs that are forgotten, of struct wl_forgotten_job. */
	GQueue forgotten;
	GHashTable *forgotten_by_id;
	size_t checkpoint_bytes; /* of all tasks */
	GPtrArray *nodes;
	GHashTable *nodes_by_name;
	GPtrArray *unacked_nodes;
	/* Racks in the order of their first node; rebuilt by list_racks if stale. */
	GPtrArray *racks;
	bool racks_stale;
	GPtrArray *no_nodes; /* empty */
	GArray *usages;	     /* of each service, in this pass */
	/* Demand by organisation; the figures are recomputed if stale. */
	GHashTable *demands;
	bool demands_stale;
	uint64_t ordinal;
	/* Run time statistics by queue. */
	GHashTable *run_stats;
	unsigned int recorded_runs;
	/* Moving average of the accelerators that urgent jobs request. */
	double mean_urgent_size;
	/* The same of the estimated run time of their first step. */
	double mean_urgent_ms;
	/* Accelerators a second that urgent jobs requested, as of urgent_rate_at. */
	double urgent_rate;
	int64_t urgent_rate_at;
	/* Evacuated zones, as of when the request for them was sent; see wl-evacuate.c. */
	GArray *evacuations;
	int64_t evacuations_read_at; /* 0: they have not been read */
	bool starts_held;	     /* starts were not sent, as the zones were not known */
	/* Something changed since the last pass that may allow a task to start. */
	bool changed;
	int64_t pass_at;	     /* time of the present pass */
	unsigned int isolated_nodes; /* reserved for suspected tasks, see wl-crash.c */
	/* Times of the last crashes of workers, by their number in order. */
	int64_t crash_times[8];
	unsigned int crashes;
	GArray *pending_failures; /* jobs to be given up, see wl-crash.c */
	/* See worker_counts_reset. */
	uint64_t counts_serial;
	bool counted;
	/* Whether the unit that is being placed may use headroom workers. */
	bool may_use_headroom;
	/* Which workers the unit that is being placed prefers, or needs. */
	enum speed_choice speed_choice;
	/* What is known of each service's workers, see wl-speed-class.c. */
	GArray *speed_groups;
	int64_t classified_at;
};

/* wl-job.c */
struct wl_job *wl_find_job(const struct wl *w, const char *id);
struct wl_task *job_task(struct wl *w, const char *name, int64_t now);
char *task_name(const struct wl_task *t);
struct wl_resources task_need(const struct wl_step *s);
void job_update_settings(struct wl_job *j);
void job_open_due_occurrences(struct wl_job *j, int64_t now, int64_t wall);
void job_request_store(struct wl_job *j, enum wl_store_urgency urgency);
void job_finish(
	struct wl_job *j, int64_t now, int64_t wall, enum wl_state state, const char *why);
int64_t job_next_due(const struct wl_job *j);
bool unit_dependencies_met(const struct wl_unit *u);

/* wl-checkpoint.c */
const char *task_checkpoint(const struct wl_task *t);
bool checkpoint_save(struct wl_task *t, uint32_t attempt, const char *text);
void checkpoint_clear(struct wl_task *t);
void checkpoints_clear(struct wl_job *j);
struct bytes checkpoints_fit(struct wl_job *j, struct wl_progress *p);
int64_t checkpoint_store_interval(const struct wl_job *j);
char *checkpoint_label(const char *text);

/* wl-run.c */
void task_set_phase(struct wl_task *t, enum wl_task_phase phase);
void task_attach(struct wl_task *t, struct wl_node *n, uint32_t attempt);
void task_detach(struct wl_task *t, int64_t now, const char *why);
void task_stop(struct wl_task *t, int64_t now, const char *why, const char *beneficiary);
void task_cancel_start(struct wl_task *t, int64_t now);
void task_confirm_running(struct wl_task *t, int64_t now);
void job_begin(struct wl_job *j);
void wl_run_ended(
	struct wl *w, struct wl_node *n, int64_t now, int64_t wall, const struct wl_ended *e);
void unit_stop(struct wl_unit *u, int64_t now, const char *why, const char *beneficiary);
void job_stop_runs(struct wl_job *j, int64_t now, const char *why);
void job_send_starts(struct wl_job *j, int64_t now);
void task_clear_unconfirmed(struct wl_task *t);
uint32_t next_attempt(const struct wl *w, uint32_t last);

/* wl-name.c */
/* Replaces an interned name; NULL stands for none. */
void name_set(char **to, const char *from);
void name_free(void *name);

/* wl-node.c */
struct wl_node *node_find(const struct wl *w, const char *name);
struct wl_node *node_get_or_create(struct wl *w, const char *name);
void node_release_unsent(struct wl_node *n, int64_t now);
void node_drop_runs(struct wl_node *n, int64_t now, const char *why);
struct wl_available node_available(const struct wl_node *n);
bool node_usable(const struct wl_node *n, int64_t now);
double node_failure_score(const struct wl_node *n, int64_t now);
double node_unreliability(const struct wl_node *n, int64_t now);
void node_record_failure(struct wl_node *n, int64_t now);
void node_record_success(struct wl_node *n, int64_t started_at);

/* wl-evacuate.c */
GArray *evacuations_new(void);
bool evacuation_covers(const struct wl_node *n);
bool evacuation_view_current(const struct wl *w, int64_t now);
void evacuation_move_runs(struct wl *w, int64_t now, bool headroom_selected);

/* wl-place.c */
bool resources_fit(const struct wl_available *r, const struct wl_resources *n);
void resources_deduct(struct wl_available *r, const struct wl_resources *n);
void resources_add(struct wl_available *r, const struct wl_resources *n);
bool node_eligible(const struct wl_node *n, const struct wl_unit *u);
/* Which resources a placement may use: those free now, or also those being stopped. */
enum placement_view {
	VIEW_FREE,
	VIEW_AFTER_STOPS
};
/* A task and the worker chosen for it. */
struct placement {
	struct wl_task *task;
	struct wl_node *node;
};
uint32_t place_unit(struct wl *w, struct wl_unit *u, int64_t now, enum placement_view view,
	bool anywhere, GArray *out);
/*
 * Drops the numbers of a unit's tasks on each worker, before another unit or another plan. They
 * are counted once they are needed. A task that is planned after that has to be added.
 */
void worker_counts_reset(struct wl *w);
void worker_counts_add(struct wl_node *n);
const char *rack_in_use(const struct wl_unit *u);
bool node_is_cold(const struct wl_node *n, int64_t now);
bool below_worker_limit(const struct wl_unit *u, const struct wl_node *n, const GArray *plan);
/* The nodes of a rack, or all nodes if it is NULL. The name must be interned. */
const GPtrArray *rack_nodes(struct wl *w, const char *rack);
void placements_undo(GArray *plan, guint from, enum placement_view view);
/* The racks of all known workers; owned by the core. */
const GPtrArray *list_racks(struct wl *w);
void rack_free(void *arg);
bool preferred_rack_possible(struct wl *w, const struct wl_unit *u);
bool unit_prefers_rack(const struct wl_unit *u);
bool unit_may_spread(struct wl *w, const struct wl_unit *u, int64_t now);

/* wl-headroom.c */
void headroom_record_job(struct wl *w, const struct wl_job *j, int64_t now);
void headroom_select(struct wl *w, int64_t now);

/* wl-demand.c */
/* Returns the demand of an organisation, to be kept in wl_job.demand; it may be out of date. */
struct wl_org_demand *org_demand_get(struct wl *w, const char *org);
void org_demand_free(void *arg);
/* The demand of a job's organisation, up to date. */
const struct wl_org_demand *job_org_demand(struct wl *w, const struct wl_job *j);

/* wl-usage.c */
void usage_compute(struct wl *w);
void usage_add(struct wl *w, const struct wl_node *n, const struct wl_resources *need);
bool service_has_sound_worker(const struct wl *w, const char *service);
bool service_is_half_idle(const struct wl *w, const char *service);

/* wl-reserve.c */
/* How the end of a run is predicted. */
enum reservation_basis {
	RESERVE_BY_ESTIMATE,
	/* Runs without a known progress rate are assumed never to end. */
	RESERVE_BY_PROGRESS
};
bool reserve_resources(struct wl *w, struct wl_unit *u, int64_t now, bool anywhere,
	enum reservation_basis basis, int64_t until);

/* wl-probation.c */
void probation_record_failure(
	struct wl_node *n, struct wl_unit *u, int64_t now, int64_t started_at);
void probation_record_success(struct wl_node *n, int64_t started_at);
bool node_on_probation(const struct wl_node *n, int64_t now);
bool probation_applies(const struct wl_node *n, int64_t now);
bool probation_allows(const struct wl_node *n, const struct wl_unit *u, int64_t now);

/* wl-crash.c */
void crash_task_attached(struct wl_task *t);
void crash_task_detached(struct wl_task *t);
void crash_record_listed(struct wl_task *t, uint64_t requested_ns);
void crash_lose_worker(struct wl_node *n, int64_t now, const char *why, bool crashed);
void crash_restore(struct wl_task *t, const struct wl_mark *m);
void crash_give_up_jobs(struct wl *w, int64_t now, int64_t wall);
GArray *pending_failures_new(void);
bool crash_allows(
	const struct wl_node *n, const struct wl_task *t, const GArray *plan, int64_t now);
bool task_is_suspect(const struct wl_task *t);
void crash_hold(const struct wl_task *t, struct wl_node *n, int64_t now);
void crash_release(struct wl_unit *u);
bool node_is_isolated(const struct wl_node *n, int64_t now);

/* wl-speed.c */
void speed_record(struct wl_node *n, struct wl_unit *u, int64_t duration);
void speed_reset(struct wl_node *n);
bool node_is_slow(const struct wl_node *n);
void speed_adopt(struct wl_node *n, int64_t now, const struct wl_speed *s);
void speed_observe(struct wl_task *t, int64_t now);
double speed_variance(const struct wl_node *n, int64_t now);
void speed_compute(struct wl_node *n, int64_t now);
void speed_run_ended(struct wl_task *t, int64_t now);

/* wl-speed-class.c */
GArray *speed_groups_new(void);
void speed_groups_free(GArray *groups);
/* NULL if the workers are about equal, or not known. */
const struct wl_speeds *service_speeds(const struct wl *w, const char *service);
void speed_classify(struct wl *w, int64_t now);
int64_t speed_scale(const struct wl_node *n, int64_t estimate);
bool speed_allows(const struct wl_node *n);
int64_t speed_rank(const struct wl_node *n);
enum speed_choice speed_choose(const struct wl_unit *u, int64_t slack);
int64_t speed_scale_sound(const struct wl_job *j, int64_t estimate);

/* wl-estimate.c */
void run_stats_record(struct wl_task *t, int64_t duration);
int64_t step_estimate(struct wl_job *j, const struct wl_step *s);

/* wl-health.c */
bool task_has_progress_rate(const struct wl_task *t);
int64_t task_remaining(const struct wl_task *t, int64_t now);
void task_record_progress(struct wl_task *t, int64_t now, uint64_t sent_ns, uint32_t percent);
bool task_is_idle(const struct wl_task *t, uint64_t threshold_ns);
void health_check(struct wl *w, int64_t now);

/* wl-preempt.c */
bool preempt_for_urgent_unit(
	struct wl *w, struct wl_unit *u, int64_t now, bool within_guarantee, GArray *plan);
/* Whether a unit is urgent and its organisation's urgent jobs need no more than guaranteed. */
bool unit_within_guarantee(struct wl *w, const struct wl_unit *u);

#endif
