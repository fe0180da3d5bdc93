#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * The queue is ordered by urgency and then by a key that is computed when a job is queued: its
 * arrival time plus a multiple of its expected run time and an offset for its class. Of jobs
 * that arrive together, short ones come first. As the keys of later arrivals grow with time, no
 * job is overtaken forever by jobs of the same urgency. Urgent jobs always come first, so a
 * steady stream of them can starve the others.
 */

/* Multiple of the expected run time that is added to the key at a completion weight of 1. */
#define STRETCH_MAX	   10.0
#define PRIORITY_STEP	   (30 * NSEC_PER_SEC) /* added to the key per class priority */
#define ATTEMPTS_MAX	   400		       /* jobs in a pass that are tried to be placed */
#define JOBS_VISITED_MAX   (ATTEMPTS_MAX * 4)  /* queued jobs looked at in a pass */
#define CLAIM_ATTEMPTS_MAX 64 /* queued jobs of an organisation looked at in a pass */
#define RESERVATIONS_MAX   3  /* in a pass */
#define PREEMPTIONS_MAX	   8  /* jobs in a pass that may try to preempt others */
#define LARGE_JOB	   8  /* accelerators */

/* Compares two queued jobs for the queue of the cell. */
int queue_compare(const void *a, const void *b, void *arg)
{
	const struct sched_job *x = a;
	const struct sched_job *y = b;

	(void)arg;
	if (x->urgent != y->urgent)
		return x->urgent ? -1 : 1;
	if (x->order_key != y->order_key)
		return x->order_key < y->order_key ? -1 : 1;
	if (x->sequence != y->sequence)
		return x->sequence < y->sequence ? -1 : 1;
	return 0;
}

/*
 * Compares two jobs of one organisation for the use of its guarantees: urgent ones first, then
 * by arrival, so that a job that fitted when it arrived is not overtaken by later ones.
 */
int queue_compare_arrival(const void *a, const void *b, void *arg)
{
	const struct sched_job *x = a;
	const struct sched_job *y = b;

	(void)arg;
	if (x->urgent != y->urgent)
		return x->urgent ? -1 : 1;
	if (x->submitted != y->submitted)
		return x->submitted < y->submitted ? -1 : 1;
	if (x->sequence != y->sequence)
		return x->sequence < y->sequence ? -1 : 1;
	return 0;
}

/* Returns the key by which a job is ordered in the queue. */
static int64_t queue_key(const struct sched *s, const struct sched_job *j)
{
	double stretch = STRETCH_MAX * s->completion_weight;

	if (s->policy != SCHED_POLICY_FULL)
		return j->submitted;
	return j->submitted + (int64_t)(stretch * (double)j->estimate) +
	       (int64_t)j->class_priority * PRIORITY_STEP;
}

/* Adds a job to the queue of the cell and to that of its organisation. */
void queue_add(struct sched *s, int64_t now, struct sched_job *j)
{
	j->state = SCHED_JOB_QUEUED;
	j->queued_at = now;
	j->estimate = learn_estimate(s, j);
	j->order_key = queue_key(s, j);
	g_tree_insert(s->queue, j, j);
	g_tree_insert(sched_org_at(s, j->org)->queue, j, j);
	s->dirty = true;
}

/* Removes a job from both queues. */
void queue_remove(struct sched *s, struct sched_job *j)
{
	g_tree_remove(s->queue, j);
	g_tree_remove(sched_org_at(s, j->org)->queue, j);
}

/* Returns whether a job may be placed now; if not, records the reason. */
static bool is_eligible(struct sched *s, int64_t now, struct sched_job *j)
{
	const struct sched_org *o = sched_org_at(s, j->org);

	if (j->not_before > now) {
		j->decision.why = SCHED_REASON_BACKOFF;
		j->decision.expected_at = j->not_before;
		return false;
	}
	if (o->quota_accelerators > 0 &&
		o->allocated_accelerators + j->accelerators > o->quota_accelerators) {
		j->decision.why = SCHED_REASON_QUOTA;
		return false;
	}
	return true;
}

/* Returns a copy of the first jobs of a queue, as the pass changes the tree. */
static GPtrArray *copy_queue(GTree *queue, guint max)
{
	GPtrArray *list = g_ptr_array_new();
	GTreeNode *n = g_tree_node_first(queue);

	for (; n != NULL && list->len < max; n = g_tree_node_next(n))
		g_ptr_array_add(list, g_tree_node_key(n));
	return list;
}

/* Returns the guaranteed accelerators that an organisation does not use. */
static uint32_t org_unused_total(const struct sched *s, uint32_t org)
{
	uint32_t sum = 0;

	for (uint32_t w = 0; w < s->workers->len; w++)
		sum += org_unused(s, org, w);
	return sum;
}

/* Starts queued jobs of an organisation within its unused guarantees. */
static void claim_guarantees(struct sched *s, int64_t now, uint32_t org)
{
	uint32_t unused = org_unused_total(s, org);
	/*
	 * Size of the smallest job with ADJACENCY_ANY that could not be started in this pass;
	 * jobs of at least this size are skipped.
	 */
	uint32_t smallest_failed = UINT32_MAX;
	GPtrArray *list;

	if (unused == 0)
		return;
	list = copy_queue(sched_org_at(s, org)->queue, CLAIM_ATTEMPTS_MAX);
	for (guint i = 0; i < list->len && unused > 0; i++) {
		struct sched_job *j = list->pdata[i];

		if (j->accelerators == 0 || j->accelerators > unused ||
			(j->accelerators >= smallest_failed) || !is_eligible(s, now, j))
			continue;
		if (claim_start(s, now, j))
			unused = org_unused_total(s, org);
		else if (j->adjacency == ADJACENCY_ANY)
			smallest_failed = MIN(smallest_failed, j->accelerators);
	}
	g_ptr_array_unref(list);
}

/*
 * Returns a hash that is equal for jobs with the same placement requirements. Of the expected
 * run time, in nanoseconds, only the number of bits counts, so times within a power of two are
 * equal.
 */
static uint64_t placement_hash(const struct sched_job *j)
{
	uint64_t h = (uint64_t)j->accelerators * 64 + g_bit_storage((gulong)j->estimate);

	h = h * 4 + j->adjacency;
	h = h * 2 + job_stoppable(j);
	h = h * 1000003 + j->cores;
	return h * 1000003 + j->memory_mb;
}

/* Expected end of a running job. */
struct expected_end {
	int64_t time;
	const struct sched_job *job;
};

static int compare_expected_ends(const void *a, const void *b)
{
	const struct expected_end *x = a;
	const struct expected_end *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return x->job->sequence < y->job->sequence ? -1 : x->job->sequence > y->job->sequence;
}

/* Returns the expected ends of all jobs that have resources, soonest first. */
static GArray *list_expected_ends(const struct sched *s, int64_t now)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct expected_end));

	for (guint i = 0; i < s->active->len; i++) {
		const struct sched_job *j = s->active->pdata[i];
		struct expected_end e = {.time = learn_expected_end(j, now), .job = j};

		g_array_append_val(list, e);
	}
	g_array_sort(list, compare_expected_ends);
	return list;
}

/*
 * Returns whether a job would fit on workers with the given capacities: on the worker with the
 * index candidate alone or, as far as the job's adjacency allows, on the workers of its rack or
 * of the cell. Fills in the workers that it would use.
 */
static bool capacities_suffice(const struct sched *s, const struct sched_job *j,
	const uint32_t *capacity, uint32_t candidate, GArray *workers)
{
	uint32_t rack = sched_worker_at(s, candidate)->rack;
	uint32_t sum = 0;

	g_array_set_size(workers, 0);
	if (capacity[candidate] >= j->accelerators) {
		g_array_append_val(workers, candidate);
		return true;
	}
	if (j->adjacency == ADJACENCY_WORKER)
		return false;
	for (uint32_t w = 0; w < s->workers->len && sum < j->accelerators; w++) {
		if (capacity[w] == 0 ||
			(j->adjacency == ADJACENCY_RACK && sched_worker_at(s, w)->rack != rack))
			continue;
		sum += capacity[w];
		g_array_append_val(workers, w);
	}
	return sum >= j->accelerators;
}

/*
 * Reserves workers for a blocked large job: adds up the accelerators that running jobs are
 * expected to release, in order of time, until the job fits. Other jobs are placed on these
 * workers only if they are expected to end before that time.
 */
static bool reserve_workers(struct sched *s, struct sched_job *j, GArray *ends)
{
	uint32_t *capacity = xcalloc(s->workers->len, sizeof(*capacity));
	GArray *workers = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	enum fit_mode mode = job_stoppable(j) ? FIT_FREE : FIT_UNCOMMITTED;
	bool found = false;
	int64_t when = 0;

	for (uint32_t w = 0; w < s->workers->len; w++) {
		const struct sched_worker *worker = sched_worker_at(s, w);

		if (worker->up && !worker->draining && !worker->quarantined &&
			worker->reserved_for == JOB_REF_NONE)
			capacity[w] = fit_count(s, j, w, mode, NULL);
	}
	for (guint i = 0; !found && i < ends->len; i++) {
		const struct expected_end *e = &g_array_index(ends, struct expected_end, i);

		for (uint32_t m = 0; !found && m < e->job->members_len; m++) {
			uint32_t w = e->job->members[m].worker;
			const struct sched_worker *worker = sched_worker_at(s, w);

			if (!worker->up || worker->draining ||
				worker->reserved_for != JOB_REF_NONE)
				continue;
			capacity[w] += e->job->members[m].accelerators;
			found = capacities_suffice(s, j, capacity, w, workers);
			when = e->time;
		}
	}
	for (guint i = 0; found && i < workers->len; i++) {
		struct sched_worker *w =
			sched_worker_at(s, g_array_index(workers, uint32_t, i));

		w->reserved_for = j->ref;
		w->reserved_job_start = when;
	}
	if (found)
		j->decision.expected_at = when;
	g_array_unref(workers);
	free(capacity);
	return found;
}

/* Clears the reservations of the previous pass. */
static void clear_reservations(struct sched *s)
{
	for (uint32_t w = 0; w < s->workers->len; w++)
		sched_worker_at(s, w)->reserved_for = JOB_REF_NONE;
}

/*
 * Tries to place a job without preempting others. A job that cannot be stopped may have unused
 * holds moved out of its way. backfill is set if a job ahead of it is blocked.
 */
static bool try_place(struct sched *s, int64_t now, struct sched_job *j, bool backfill)
{
	bool nonpreemptible = s->policy == SCHED_POLICY_FULL && !job_stoppable(j);
	struct fit f;

	if (fit_job(s, now, j, nonpreemptible ? FIT_UNCOMMITTED : FIT_FREE, NULL, &f)) {
		j->decision = (struct sched_decision){
			.why = backfill ? SCHED_REASON_BACKFILL : SCHED_REASON_FREE,
			.at = now,
			.considered = f.considered};
		sched_assign(s, j, &f, false, NULL, false);
		sched_begin_attempt(s, now, j);
		return true;
	}
	if (nonpreemptible && plan_assign_moving_holds(s, now, j)) {
		j->decision = (struct sched_decision){.why = SCHED_REASON_FREE, .at = now};
		sched_begin_attempt(s, now, j);
		return true;
	}
	j->decision.why = nonpreemptible ? SCHED_REASON_UNSTOPPABLE : SCHED_REASON_BLOCKED;
	j->decision.considered = f.considered;
	j->decision.largest_fit = f.largest;
	return false;
}

/*
 * Goes through the queue in order and places the jobs that fit. A job with the same
 * requirements as one that found no place in this pass (a blocked job) is skipped. Blocked jobs
 * that are urgent, and the first large one, may preempt others; blocked large jobs get
 * reservations. The FIFO policy stops at the first blocked job. ATTEMPTS_MAX limits the jobs
 * that are tried, JOBS_VISITED_MAX those that are tried or skipped.
 */
static void place_in_order(struct sched *s, int64_t now)
{
	GPtrArray *list = copy_queue(s->queue, JOBS_VISITED_MAX);
	GHashTable *blocked = g_hash_table_new_full(g_int64_hash, g_int64_equal, free, NULL);
	GArray *ends = NULL;
	uint32_t reservations = 0;
	uint32_t preemptions = 0;
	bool large_blocked = false;
	uint32_t attempts = 0;
	bool backfill = false;

	for (guint i = 0; i < list->len && attempts < ATTEMPTS_MAX; i++) {
		struct sched_job *j = list->pdata[i];
		uint64_t hash = placement_hash(j);

		j->decision.jobs_ahead = i;
		if (!is_eligible(s, now, j))
			continue;
		if (g_hash_table_contains(blocked, &hash)) {
			j->decision.why = SCHED_REASON_BEHIND;
			continue;
		}
		attempts++;
		if (try_place(s, now, j, backfill))
			continue;
		if (s->policy == SCHED_POLICY_FIFO)
			break;
		if (s->policy == SCHED_POLICY_FULL && preemptions < PREEMPTIONS_MAX &&
			(j->urgent || (!large_blocked && j->accelerators >= LARGE_JOB))) {
			preemptions++;
			large_blocked |= !j->urgent;
			if (claim_outside_guarantee(s, now, j))
				continue;
		}
		g_hash_table_add(blocked, g_memdup2(&hash, sizeof(hash)));
		if (s->policy == SCHED_POLICY_FULL && reservations < RESERVATIONS_MAX &&
			j->accelerators >= LARGE_JOB) {
			if (ends == NULL)
				ends = list_expected_ends(s, now);
			reservations += reserve_workers(s, j, ends);
		}
		backfill = true;
	}
	if (ends != NULL)
		g_array_unref(ends);
	g_hash_table_destroy(blocked);
	g_ptr_array_unref(list);
}

/*
 * Runs a scheduling pass: reservations are made anew, guarantees are served first, and then
 * the queue in its order.
 */
void queue_pass(struct sched *s, int64_t now)
{
	if (s->policy == SCHED_POLICY_FULL) {
		clear_reservations(s);
		plan_place_holds(s, now);
		plan_move_from_unavailable(s);
		claim_finish(s, now);
		for (uint32_t o = 0; o < s->orgs->len; o++)
			claim_guarantees(s, now, o);
	}
	place_in_order(s, now);
}
