#ifndef DP_SCHED_H
#define DP_SCHED_H

#include "protocol.h"
#include "state.h"

/*
 * The scheduler of a cell. It performs no I/O and reads no clock: the caller passes in events
 * with the current time and takes the resulting actions from sched_next. The coordinator, the
 * property tests and the policy benchmark run the same code.
 *
 * Times are monotonic, in nanoseconds. Jobs, workers and organisations are referred to by
 * index.
 *
 * A hold is one guaranteed shape of an organisation (a number of accelerators and the adjacency
 * that they must have) with the placement reserved for it, if there is one; it is not a job
 * that is held back. A borrower is a job that can be stopped and is not charged to any hold. It
 * may belong to any organisation, and its accelerators may or may not be guaranteed to
 * somebody.
 */

typedef uint32_t job_ref;
#define JOB_REF_NONE UINT32_MAX

#define SCHED_MEMBERS_MAX 64

/* The coordinator uses SCHED_POLICY_FULL; the others are baselines for the benchmark. */
enum sched_policy {
	SCHED_POLICY_FULL,
	SCHED_POLICY_FIFO,
	SCHED_POLICY_BACKFILL
};

/*
 * Amounts of the resources of a worker; memory_mb is in MiB. slots is the number of members
 * that the worker can run at the same time; each member needs one.
 */
struct sched_res {
	int32_t accelerators;
	int32_t slots;
	int32_t cores;
	int64_t memory_mb;
};

struct sched_worker_spec {
	const char *name;
	const char *rack;
	struct sched_res capacity;
};

/* SCHED_JOB_CLAIMING: waits for borrowers to stop; SCHED_JOB_PLACING: members are starting. */
enum sched_job_state {
	SCHED_JOB_QUEUED,
	SCHED_JOB_CLAIMING,
	SCHED_JOB_PLACING,
	SCHED_JOB_RUNNING,
	SCHED_JOB_STOPPING,
	SCHED_JOB_ENDED
};

/* Reason why a job is being stopped. */
enum sched_stop_reason {
	SCHED_STOP_NONE,
	SCHED_STOP_PREEMPTED,
	SCHED_STOP_CANCELLED,
	SCHED_STOP_MEMBER_LOST,
	SCHED_STOP_RESERVE_FAILED /* not used */
};

/* Reason why a job is waiting or was placed. */
enum sched_reason {
	SCHED_REASON_NEW,
	SCHED_REASON_GUARANTEE,
	SCHED_REASON_CLAIM, /* borrowers are stopped for it, within or outside a guarantee */
	SCHED_REASON_FREE,
	SCHED_REASON_BACKFILL,
	SCHED_REASON_BLOCKED,
	SCHED_REASON_BEHIND,
	SCHED_REASON_QUOTA,
	SCHED_REASON_BACKOFF,
	SCHED_REASON_UNSTOPPABLE,
	/* No job is placed for now; see sched_set_settling. */
	SCHED_REASON_SETTLING,
	SCHED_REASON_PREEMPTED
};

/* The part of a job that runs on one worker. */
struct sched_member {
	uint32_t worker;
	uint32_t accelerators;
	struct sched_res need;
	/* Resources that cannot be reclaimed from the member. */
	struct sched_res committed;
	bool ended;
	enum member_end end;
};

/* The last scheduling decision on a job, reported by sched_explain. */
struct sched_decision {
	enum sched_reason why;
	int64_t at;
	/* Workers that could be used at all. */
	uint32_t considered;
	/* Most of the job's accelerators that one of them could take; 0 once it is placed. */
	uint32_t largest_fit;
	/* Not used; sched_explain computes the unused guarantee itself. */
	uint32_t own_left;
	/* Borrowers that are stopped for the job. */
	uint32_t victims;
	/* Jobs ahead in the queue. */
	uint32_t jobs_ahead;
	/* Time by which the job is expected to be placed; 0 if unknown. */
	int64_t expected_at;
};

struct sched_job {
	job_ref ref;
	char *id;
	uint32_t org;
	/* Priority of the job's class; the job comes later in the queue the higher it is. */
	uint32_t class_priority;
	bool urgent;
	char *kind;
	uint32_t accelerators;
	enum adjacency adjacency;
	uint32_t cores;
	uint32_t memory_mb;
	bool idempotent;
	bool checkpoint;
	/* Run time that the caller declared; 0 if none. */
	int64_t declared_run_time;
	int64_t deadline;
	int64_t submitted;
	/* The caller's own record of the job; the scheduler only stores the pointer. */
	void *owner;

	enum sched_job_state state;
	enum sched_stop_reason stop;
	bool cancel_wanted;
	uint32_t attempt;
	/* Attempt numbers up to this one are not used again. */
	uint32_t attempt_floor;
	uint32_t failures;
	uint32_t preemptions;
	/* The job is not placed before this time; set when it is retried. */
	int64_t not_before;
	/* Expected run time. */
	int64_t estimate;
	int64_t order_key;
	uint64_t sequence;
	int64_t queued_at;
	int64_t placed_at;
	int64_t started_at;
	int64_t claim_at;
	/* Run time whose results are saved in a checkpoint. */
	int64_t saved;
	/* Whether the accelerators count against guarantees of the organisation. */
	bool charged;
	GArray *charges;
	/*
	 * Whether an attempt that has ended may have started. If set, the end of the job is not
	 * reported as not_run. sched_adopt sets it for an idempotent job that is not in its
	 * first attempt.
	 */
	bool ran;
	/* Taken over from the agents by a new coordinator with some members missing. */
	bool partial;
	struct sched_member members[SCHED_MEMBERS_MAX];
	uint32_t members_len;
	uint32_t failed_on[4];
	uint32_t failed_on_len;
	struct sched_decision decision;
};

enum sched_action_kind {
	SCHED_ACTION_PLACE,
	SCHED_ACTION_STOP,
	SCHED_ACTION_END
};
/*
 * An action for the caller to carry out. stop is set for SCHED_ACTION_STOP and end for
 * SCHED_ACTION_END; SCHED_ACTION_PLACE uses neither.
 */
struct sched_action {
	enum sched_action_kind kind;
	job_ref job;
	uint32_t attempt;
	union {
		struct {
			enum stop_mode mode;
			enum sched_stop_reason why;
		} stop;
		struct {
			enum outcome outcome;
			enum error_kind error;
			bool not_run;
			uint32_t retry_after_s;
			char *detail;
		} end;
	};
};

/* Totals since the scheduler was created. */
struct sched_counts {
	uint64_t placed;
	uint64_t preempted;
	/* Jobs for which borrowers were stopped, within or outside of a guarantee. */
	uint64_t claims;
	/* Unused holds that plan_move_to_free moved; moves for other reasons do not count. */
	uint64_t holds_moved_to_free;
	/* Jobs that ended with not_run: rejected, or cancelled or expired before they ran. */
	uint64_t refused;
	uint64_t quarantined;
};

/* sched.c */
struct sched;
struct sched *sched_new(enum sched_policy policy, uint64_t seed);
void sched_free(struct sched *s);
void sched_set_config(struct sched *s, int64_t now, const struct doc *d, const char *cell);
uint32_t sched_worker_up(struct sched *s, int64_t now, const struct sched_worker_spec *spec);
void sched_worker_down(struct sched *s, int64_t now, uint32_t worker);
void sched_worker_drain(struct sched *s, uint32_t worker, bool draining);
void sched_worker_restrict(struct sched *s, uint32_t worker, bool restricted);
job_ref sched_submit(struct sched *s, int64_t now, const struct job_spec *spec, void *owner);
/* run_time is how long the job has been running. */
job_ref sched_adopt(struct sched *s, int64_t now, const struct job_spec *spec, void *owner,
	uint32_t attempt, const struct sched_member *members, uint32_t len, int64_t run_time);
void sched_cancel(struct sched *s, int64_t now, job_ref job);
void sched_started(struct sched *s, int64_t now, job_ref job, uint32_t attempt);
void sched_attempt_withdrawn(struct sched *s, int64_t now, job_ref job, uint32_t attempt);
void sched_member_ended(struct sched *s, int64_t now, job_ref job, uint32_t attempt,
	uint32_t member, enum member_end end, int64_t saved);
void sched_remove_job(struct sched *s, job_ref job);
void sched_run(struct sched *s, int64_t now);
bool sched_next(struct sched *s, struct sched_action *out);
void sched_action_clear(struct sched_action *a);
struct sched_job *sched_job(struct sched *s, job_ref job);
const struct sched_counts *sched_counts(const struct sched *s);
size_t sched_queued_count(const struct sched *s);
size_t sched_active_count(const struct sched *s);
/*
 * While settling is set, no job is placed: a new coordinator does not yet know which jobs run,
 * or the coordinator is about to stop.
 */
void sched_set_settling(struct sched *s, bool settling);

/* sched-view.c: read-only views for operators and tests. */
struct sched_org_view {
	const char *name;
	uint32_t guaranteed;
	uint32_t used_guaranteed;
	/* Accelerators of its jobs outside its guarantee, also those guaranteed to nobody. */
	uint32_t borrowed;
	/* Its unused guaranteed accelerators that borrowers use. */
	uint32_t lent;
	/* Guaranteed accelerators of the holds that are not placed. */
	uint32_t impossible;
	uint32_t queued;
};
struct sched_worker_view {
	const char *name;
	const char *rack;
	bool up;
	bool draining;
	bool quarantined;
	struct sched_res capacity;
	struct sched_res used;
	/* Guaranteed accelerators that their organisations do not use. */
	uint32_t promised;
	uint32_t jobs;
};
struct sched_free_view {
	uint32_t workers;
	uint32_t accelerators;
	uint32_t free;
	/*
	 * Most free accelerators on any one worker and in any one rack. Like free, they count
	 * only workers that are up and neither draining nor quarantined.
	 */
	uint32_t largest_worker;
	uint32_t largest_rack;
	/* Time since the submission of the queued job that was submitted first; 0 if none. */
	int64_t oldest;
	double fragmentation;
};
size_t sched_org_count(const struct sched *s);
void sched_org_view(const struct sched *s, uint32_t org, struct sched_org_view *out);
size_t sched_worker_count(const struct sched *s);
void sched_worker_view(const struct sched *s, uint32_t worker, struct sched_worker_view *out);
void sched_free_view(const struct sched *s, int64_t now, struct sched_free_view *out);
const char *sched_worker_name(const struct sched *s, uint32_t worker);
uint32_t sched_find_worker(const struct sched *s, const char *name);
const char *sched_org_name(const struct sched *s, uint32_t org);
json_t *sched_explain(struct sched *s, int64_t now, job_ref job);

/* sched-check.c: returns NULL, or the violated invariant as a text that the caller frees. */
char *sched_check(const struct sched *s);

#endif
