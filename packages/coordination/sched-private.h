#ifndef DP_SCHED_PRIVATE_H
#define DP_SCHED_PRIVATE_H

#include "sched.h"

#define SCHED_NONE	 UINT32_MAX
#define ESTIMATE_DEFAULT (60 * NSEC_PER_SEC)

/*
 * One guaranteed shape of an organisation with the place that is kept for it. The places of
 * all holds are disjoint, and each consists of what is free, used by its owner or held by
 * borrowers that can be stopped; so the set of places is the witness that all guarantees can
 * be met at once.
 */
struct sched_hold {
	uint32_t org;
	uint32_t accelerators;
	enum adjacency adjacency;
	bool placed;
	bool stale;
	int64_t impossible_since;
	GArray *pieces;
};

/* Accelerators of a hold on one worker, and how many of them jobs are charged. */
struct hold_piece {
	uint32_t worker;
	uint32_t accelerators;
	uint32_t used;
};

/* Accelerators of a job that count against a hold. */
struct sched_charge {
	struct sched_hold *hold;
	uint32_t worker;
	uint32_t accelerators;
};

struct sched_rack {
	char *name;
};

/*
 * firm: what members use or claim that cannot be taken back (charged to a guarantee, or not
 * stoppable). held: guaranteed accelerators that their owners do not use. Invariant per
 * resource: firm + share(held) <= capacity, and used <= capacity.
 */
struct sched_worker {
	char *name;
	uint32_t rack;
	bool up;
	bool draining;
	bool restricted;
	struct sched_res capacity;
	struct sched_res used;
	struct sched_res pending;
	struct sched_res firm;
	uint32_t held;
	uint32_t jobs;
	int64_t reserved_until;
	job_ref reserved_for;
	uint32_t bad_jobs;
	int64_t quarantine_until;
	int64_t quarantine_length;
	bool quarantined;
	bool probing;
};

struct sched_learned {
	double log_sum;
	double samples;
	double mean_s;
};

struct sched_org {
	char *name;
	bool present;
	uint32_t quota_accelerators;
	uint32_t quota_jobs;
	uint32_t guaranteed;
	uint32_t running_accelerators;
	uint32_t jobs;
	GArray *left;
	GTree *queue;
	GHashTable *class_queued;
};

struct sched {
	enum sched_policy policy;
	GRand *rand;
	int64_t grace;
	double weight;
	uint32_t queue_max;
	GHashTable *class_max;
	uint32_t declared_workers;
	uint32_t declared_per_rack;
	uint32_t declared_accelerators;
	bool settling;
	bool dirty;
	GPtrArray *workers;
	GPtrArray *racks;
	GPtrArray *orgs;
	GPtrArray *holds;
	GPtrArray *jobs;
	GArray *free_refs;
	GPtrArray *active;
	GTree *queue;
	GHashTable *learned;
	GQueue actions;
	uint64_t sequence;
	struct sched_counts counts;
	uint32_t shape_counts[3][JOB_ACCELERATORS_MAX + 1];
	double shape_above[3][JOB_ACCELERATORS_MAX + 1];
};

static inline struct sched_worker *sched_worker_at(const struct sched *s, uint32_t i)
{
	return s->workers->pdata[i];
}

static inline struct sched_org *sched_org_at(const struct sched *s, uint32_t i)
{
	return s->orgs->pdata[i];
}

/* sched-res.c */
void res_add(struct sched_res *a, const struct sched_res *b);
void res_sub(struct sched_res *a, const struct sched_res *b);
bool res_equal(const struct sched_res *a, const struct sched_res *b);
bool res_fits(const struct sched_res *need, const struct sched_res *room);
struct sched_res res_share(const struct sched_res *capacity, uint32_t accelerators);
struct sched_res res_need(const struct sched_job *j, uint32_t accelerators);
bool share_covers(const struct sched_worker *w, const struct sched_res *need, uint32_t n);
struct sched_res worker_free(const struct sched_worker *w);
struct sched_res worker_firm_room(const struct sched_worker *w);
uint32_t room_count(const struct sched_job *j, const struct sched_res *room);

/* sched-hold.c: the books of guaranteed shapes. */
uint32_t org_left(const struct sched *s, uint32_t org, uint32_t worker);
struct sched_hold *hold_new(uint32_t org, const struct doc_guarantee *g);
void hold_free(void *p);
struct hold_piece *hold_piece_at(const struct sched_hold *h, guint i);
uint32_t hold_left_on(const struct sched_hold *h, uint32_t worker);
uint32_t hold_left(const struct sched_hold *h);
bool hold_movable(const struct sched_hold *h);
bool hold_is_on(const struct sched_hold *h, uint32_t worker);
void hold_put(struct sched *s, struct sched_hold *h, const GArray *pieces);
void hold_lift(struct sched *s, struct sched_hold *h);
void hold_charge(struct sched *s, struct sched_job *j, struct sched_hold *first);
void hold_charge_all(struct sched *s, struct sched_job *j, struct sched_hold *h);
void hold_uncharge(struct sched *s, struct sched_job *j);
void firm_update(struct sched *s, struct sched_job *j);
void firm_clear(struct sched *s, struct sched_job *j);
void hold_drop_charges(struct sched *s, struct sched_hold *h);

/* sched-plan.c: places for guaranteed shapes. */
void plan_set_holds(struct sched *s, int64_t now, const struct doc *d);
void plan_drop_worker(struct sched *s, int64_t now, uint32_t worker);
void plan_place(struct sched *s, int64_t now);
bool plan_move_to_free(struct sched *s, struct sched_hold *h);
bool plan_take_around(struct sched *s, int64_t now, struct sched_job *j);
void plan_avoid_unfit(struct sched *s);
void plan_cover_running(struct sched *s);
void plan_lift_overfull(struct sched *s);

/* sched-fit.c: where a job fits. */
enum fit_mode {
	FIT_CHARGED_FREE,
	FIT_CHARGED,
	FIT_FIRM,
	FIT_BORROWED,
	FIT_FIRM_CLEARED,
	FIT_BORROWED_CLEARED
};
struct fit {
	struct sched_member members[SCHED_MEMBERS_MAX];
	uint32_t len;
	uint32_t considered;
	uint32_t largest;
};
bool job_stoppable(const struct sched_job *j);
uint32_t fit_room(const struct sched *s, const struct sched_job *j, uint32_t worker,
	enum fit_mode mode, const struct sched_hold *hold);
bool fit_job(struct sched *s, int64_t now, const struct sched_job *j, enum fit_mode mode,
	const struct sched_hold *hold, struct fit *out);
double fit_fragmentation(const struct sched *s);
void fit_count_shape(struct sched *s, const struct sched_job *j);

/* sched-claim.c */
bool claim_start(struct sched *s, int64_t now, struct sched_job *j);
bool claim_turn(struct sched *s, int64_t now, struct sched_job *j);
void claim_finish(struct sched *s, int64_t now);

/* sched-queue.c */
int queue_compare(const void *a, const void *b, void *arg);
int queue_compare_claims(const void *a, const void *b, void *arg);
void queue_add(struct sched *s, int64_t now, struct sched_job *j);
void queue_remove(struct sched *s, struct sched_job *j);
void queue_pass(struct sched *s, int64_t now);

/* sched-admit.c */
bool admit_job(struct sched *s, struct sched_job *j);
void admit_again(struct sched *s);

/* sched-learn.c */
int64_t learn_estimate(struct sched *s, const struct sched_job *j);
void learn_sample(struct sched *s, const struct sched_job *j, int64_t actual);
int64_t learn_expected_end(const struct sched_job *j, int64_t now);

/* sched-health.c */
bool health_allows(const struct sched_worker *w, const struct sched_job *j, int64_t now);
void health_failed(struct sched *s, int64_t now, struct sched_job *j, uint32_t worker);
void health_done(struct sched *s, uint32_t worker);
bool health_job_is_bad(const struct sched_job *j);

/* sched.c */
void sched_take(struct sched *s, struct sched_job *j, const struct fit *f, bool charged,
	struct sched_hold *hold, bool pending);
void sched_give_back(struct sched *s, struct sched_job *j);
void sched_begin(struct sched *s, int64_t now, struct sched_job *j);
void sched_order_stop(
	struct sched *s, struct sched_job *j, enum stop_mode mode, enum sched_stop_reason why);
void sched_end(struct sched *s, struct sched_job *j, enum outcome outcome,
	enum error_kind error, bool not_run, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

#endif
