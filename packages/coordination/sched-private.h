#ifndef DP_SCHED_PRIVATE_H
#define DP_SCHED_PRIVATE_H

#include "sched.h"

#define SCHED_WORKER_NONE UINT32_MAX
/* Expected run time of a job that declares none and whose kind has no samples. */
#define ESTIMATE_DEFAULT (60 * NSEC_PER_SEC)

/*
 * A guaranteed shape of an organisation and the placement reserved for it. A shape is a number
 * of accelerators together with the adjacency that they must have. The placements of all holds
 * are disjoint, and each consists of accelerators that are free, used by the organisation that
 * the guarantee belongs to (its owner) or used by preemptible borrowers. Together the
 * placements thus prove that all guarantees can be met at the same time. A borrower is a job
 * that can be stopped and is not charged to any hold, whatever accelerators it uses. stale
 * marks holds that a new configuration has not yet confirmed.
 */
struct sched_hold {
	uint32_t org;
	uint32_t accelerators;
	enum adjacency adjacency;
	bool placed;
	bool stale;
	/* When placing it first failed since it was last placed; 0 while placed. Not read. */
	int64_t unplaced_since;
	GArray *pieces;
};

/* The part of a hold on one worker; used counts its accelerators that charged jobs occupy. */
struct hold_piece {
	uint32_t worker;
	uint32_t accelerators;
	uint32_t used;
};

/*
 * Accelerators of a job that are charged to a hold on one worker: the job occupies as many
 * accelerators of the hold there, which then no longer count as unused.
 */
struct sched_charge {
	struct sched_hold *hold;
	uint32_t worker;
	uint32_t accelerators;
};

/* Not used; a rack is only a name, see racks in struct sched. */
struct sched_rack {
	char *name;
};

/*
 * A worker. Two invariants hold for each resource: used does not exceed the capacity, and
 * neither does committed plus what belongs to the accelerators of held. To each accelerator of
 * a worker belongs an equal part of its slots, cores and memory (res_share).
 */
struct sched_worker {
	char *name;
	uint32_t rack;
	bool up;
	bool draining;
	/* Only idempotent jobs may be placed here. */
	bool restricted;
	struct sched_res capacity;
	struct sched_res used;
	/* Needs of the jobs that wait for borrowers to stop. */
	struct sched_res pending;
	/*
	 * Used or pending resources that cannot be reclaimed, because they are charged to a
	 * guarantee or the job cannot be stopped.
	 */
	struct sched_res committed;
	/* Guaranteed accelerators that the organisations they belong to do not use. */
	uint32_t held;
	uint32_t jobs;
	/*
	 * The blocked large job that the worker is reserved for, or JOB_REF_NONE, and when this
	 * job is expected to start. Outside of guarantees the worker takes only jobs that are
	 * expected to end before that time. Each scheduling pass clears the reservations and
	 * makes them anew.
	 */
	int64_t reserved_job_start;
	job_ref reserved_for;
	/* Jobs that failed here since the last success, without those found faulty. */
	uint32_t consecutive_failed_jobs;
	int64_t quarantine_until;
	int64_t quarantine_length;
	bool quarantined;
	/* A quarantined worker runs a trial job. */
	bool probing;
};

/*
 * Run times of the jobs of one organisation and kind: the sum of log(actual run time / declared
 * run time), the number of samples, and the mean run time in seconds. Above a limit, the number
 * of samples and the sum are scaled down before each new sample, so that old samples lose
 * weight; hence the number is a double.
 */
struct sched_run_time_stats {
	double log_sum;
	double samples;
	double mean_s;
};

struct sched_org {
	char *name;
	/* Whether the current configuration has the organisation; set, but not read. */
	bool configured;
	uint32_t quota_accelerators;
	uint32_t quota_jobs;
	uint32_t guaranteed;
	/* Accelerators of all jobs with members, including those still claiming. */
	uint32_t allocated_accelerators;
	/* Jobs that have not ended. */
	uint32_t jobs;
	/* Guaranteed accelerators on each worker that the organisation does not use. */
	GArray *unused_guarantee;
	/* Queued jobs, urgent ones first, then in the order of arrival. */
	GTree *queue;
	/* Number of jobs that have not ended, by class priority. */
	GHashTable *class_jobs;
};

/*
 * The scheduler. queue_max limits the jobs of each organisation that have not ended, running
 * ones included, and class_queue_max those of each class in an organisation, by class priority.
 * active lists the jobs that have members. shape_demand sums up the accelerators that jobs
 * asked for, by adjacency and job size; demand_above[a][n] is the part of all these
 * accelerators that jobs with adjacency a and a size of more than n asked for.
 */
struct sched {
	enum sched_policy policy;
	GRand *rand;
	/* Time that a preempted job gets to stop, in nanoseconds. */
	int64_t grace;
	/* Weight of the expected run time in the order of the queue: 0 (none) to 1. */
	double completion_weight;
	uint32_t queue_max;
	GHashTable *class_queue_max;
	uint32_t declared_workers;
	uint32_t declared_workers_per_rack;
	uint32_t declared_accelerators;
	/* No job is placed; see sched_set_settling. */
	bool settling;
	/* Set when a scheduling pass may place more than the last one; not read. */
	bool dirty;
	GPtrArray *workers;
	/* Names of racks. */
	GPtrArray *racks;
	GPtrArray *orgs;
	GPtrArray *holds;
	GPtrArray *jobs;
	GArray *free_refs;
	GPtrArray *active;
	GTree *queue;
	GHashTable *run_time_stats;
	GQueue actions;
	uint64_t sequence;
	struct sched_counts counts;
	uint32_t shape_demand[3][JOB_ACCELERATORS_MAX + 1];
	double demand_above[3][JOB_ACCELERATORS_MAX + 1];
};

static inline struct sched_worker *sched_worker_at(const struct sched *s, uint32_t i)
{
	return s->workers->pdata[i];
}

static inline struct sched_org *sched_org_at(const struct sched *s, uint32_t i)
{
	return s->orgs->pdata[i];
}

/* sched-res.c: resource arithmetic. */
void res_add(struct sched_res *a, const struct sched_res *b);
void res_sub(struct sched_res *a, const struct sched_res *b);
bool res_equal(const struct sched_res *a, const struct sched_res *b);
bool res_fits(const struct sched_res *need, const struct sched_res *available);
struct sched_res res_share(const struct sched_res *capacity, uint32_t accelerators);
struct sched_res res_need(const struct sched_job *j, uint32_t accelerators);
bool share_covers(const struct sched_worker *w, const struct sched_res *need, uint32_t n);
struct sched_res worker_free(const struct sched_worker *w);
struct sched_res worker_uncommitted(const struct sched_worker *w);
uint32_t res_fit_count(const struct sched_job *j, const struct sched_res *available);

/* sched-hold.c: accounting of guaranteed shapes and of the jobs charged to them. */
uint32_t org_unused(const struct sched *s, uint32_t org, uint32_t worker);
struct sched_hold *hold_new(uint32_t org, const struct doc_guarantee *g);
void hold_free(void *p);
struct hold_piece *hold_piece_at(const struct sched_hold *h, guint i);
uint32_t hold_unused_on(const struct sched_hold *h, uint32_t worker);
uint32_t hold_unused(const struct sched_hold *h);
bool hold_movable(const struct sched_hold *h);
bool hold_is_on(const struct sched_hold *h, uint32_t worker);
void hold_place(struct sched *s, struct sched_hold *h, const GArray *pieces);
void hold_unplace(struct sched *s, struct sched_hold *h);
void hold_charge(struct sched *s, struct sched_job *j, struct sched_hold *first);
void hold_charge_pieces(struct sched *s, struct sched_job *j, struct sched_hold *h);
void hold_uncharge(struct sched *s, struct sched_job *j);
void committed_update(struct sched *s, struct sched_job *j);
void committed_clear(struct sched *s, struct sched_job *j);
void hold_drop_charges(struct sched *s, struct sched_hold *h);

/* sched-plan.c: placement of guaranteed shapes. */
void plan_set_holds(struct sched *s, int64_t now, const struct doc *d);
void plan_worker_down(struct sched *s, int64_t now, uint32_t worker);
void plan_place_holds(struct sched *s, int64_t now);
bool plan_move_to_free(struct sched *s, struct sched_hold *h);
bool plan_assign_moving_holds(struct sched *s, int64_t now, struct sched_job *j);
void plan_move_from_unavailable(struct sched *s);
void plan_place_around_running(struct sched *s);
void plan_unplace_overcommitted(struct sched *s);

/*
 * sched-fit.c: placement of jobs. The modes tell which resources of a worker count as
 * available.
 */
enum fit_mode {
	/* Unused guarantees of the job's organisation that are physically free. */
	FIT_CHARGED_FREE,
	/* Unused guarantees of the job's organisation, even if borrowers use them. */
	FIT_CHARGED,
	/* Free resources not needed for any guarantee; for jobs that cannot be stopped. */
	FIT_UNCOMMITTED,
	/*
	 * All free resources, including unused guarantees of other organisations; for jobs that
	 * can be stopped, and for all jobs under the baseline policies.
	 */
	FIT_FREE,
	/* Like the previous two, with borrowers counted as stopped. */
	FIT_UNCOMMITTED_AFTER_PREEMPTION,
	FIT_FREE_AFTER_PREEMPTION
};
/*
 * A placement, the number of workers considered and the most accelerators of the job that one
 * of them could take.
 */
struct fit {
	struct sched_member members[SCHED_MEMBERS_MAX];
	uint32_t len;
	uint32_t considered;
	uint32_t largest;
};
bool job_stoppable(const struct sched_job *j);
uint32_t fit_count(const struct sched *s, const struct sched_job *j, uint32_t worker,
	enum fit_mode mode, const struct sched_hold *hold);
bool fit_job(struct sched *s, int64_t now, const struct sched_job *j, enum fit_mode mode,
	const struct sched_hold *hold, struct fit *out);
double fit_fragmentation(const struct sched *s);
void fit_count_shape(struct sched *s, const struct sched_job *j);

/*
 * sched-claim.c: placement of jobs by preempting borrowers, within the guarantee of the job's
 * organisation (claim_start) or outside it (claim_outside_guarantee).
 */
bool claim_start(struct sched *s, int64_t now, struct sched_job *j);
bool claim_outside_guarantee(struct sched *s, int64_t now, struct sched_job *j);
void claim_finish(struct sched *s, int64_t now);

/* sched-queue.c: order of the queue and the scheduling pass. */
int queue_compare(const void *a, const void *b, void *arg);
int queue_compare_arrival(const void *a, const void *b, void *arg);
void queue_add(struct sched *s, int64_t now, struct sched_job *j);
void queue_remove(struct sched *s, struct sched_job *j);
void queue_pass(struct sched *s, int64_t now);

/* sched-admit.c: admission control. */
bool admit_job(struct sched *s, struct sched_job *j);
void admit_recheck_queued(struct sched *s);

/* sched-learn.c: run time estimates. */
int64_t learn_estimate(struct sched *s, const struct sched_job *j);
void learn_run_time(struct sched *s, const struct sched_job *j, int64_t actual);
int64_t learn_expected_end(const struct sched_job *j, int64_t now);

/* sched-health.c: quarantine of failing workers. */
bool health_allows(const struct sched_worker *w, const struct sched_job *j, int64_t now);
void health_failed(struct sched *s, int64_t now, struct sched_job *j, uint32_t worker);
void health_succeeded(struct sched *s, uint32_t worker);
bool health_job_at_fault(const struct sched_job *j);

/* sched.c */
void sched_assign(struct sched *s, struct sched_job *j, const struct fit *f, bool charged,
	struct sched_hold *hold, bool pending);
void sched_release(struct sched *s, struct sched_job *j);
void sched_begin_attempt(struct sched *s, int64_t now, struct sched_job *j);
void sched_stop_job(
	struct sched *s, struct sched_job *j, enum stop_mode mode, enum sched_stop_reason why);
void sched_end(struct sched *s, struct sched_job *j, enum outcome outcome,
	enum error_kind error, bool not_run, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

#endif
