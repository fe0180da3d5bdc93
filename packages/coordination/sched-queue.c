#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * The order of the queue: urgent classes first, then by a key that is fixed when the job
 * comes: its time of arrival plus a multiple of its expected work. Short jobs go first among
 * those of one age; as keys of later jobs only grow, none waits for ever.
 */

#define STRETCH_MAX	   10.0
#define PRIORITY_STEP	   (30 * NSEC_PER_SEC)
#define TRIES_MAX	   400
#define CLAIM_TRIES_MAX	   64
#define RESERVATIONS_MAX   3
#define TURNS_MAX	   8
#define LARGE_ACCELERATORS 8

/* Compare two queued jobs. */
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
 * Compare two jobs of one organisation for its guarantee: by arrival, so that a job for which
 * there was room when it came is not overtaken.
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

/* The key of a job in the order. */
static int64_t queue_key(const struct sched *s, const struct sched_job *j)
{
	double stretch = STRETCH_MAX * s->completion_weight;

	if (s->policy != SCHED_POLICY_FULL)
		return j->submitted;
	return j->submitted + (int64_t)(stretch * (double)j->estimate) +
	       (int64_t)j->class_priority * PRIORITY_STEP;
}

/* Put a job into the queue. */
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

/* Take a job out of the queue. */
void queue_remove(struct sched *s, struct sched_job *j)
{
	g_tree_remove(s->queue, j);
	g_tree_remove(sched_org_at(s, j->org)->queue, j);
}

/* Whether a job may be tried now; notes why not. */
static bool may_try(struct sched *s, int64_t now, struct sched_job *j)
{
	const struct sched_org *o = sched_org_at(s, j->org);

	if (j->not_before > now) {
		j->decision.why = SCHED_WHY_BACKOFF;
		j->decision.expected = j->not_before;
		return false;
	}
	if (o->quota_accelerators > 0 &&
		o->running_accelerators + j->accelerators > o->quota_accelerators) {
		j->decision.why = SCHED_WHY_QUOTA;
		return false;
	}
	return true;
}

/* Snapshot of the first jobs of a queue, as the pass changes the tree. */
static GPtrArray *list_jobs(GTree *queue, guint max)
{
	GPtrArray *list = g_ptr_array_new();
	GTreeNode *n = g_tree_node_first(queue);

	for (; n != NULL && list->len < max; n = g_tree_node_next(n))
		g_ptr_array_add(list, g_tree_node_key(n));
	return list;
}

/* Accelerators of its guarantees that an organisation does not use. */
static uint32_t left_total(const struct sched *s, uint32_t org)
{
	uint32_t sum = 0;

	for (uint32_t w = 0; w < s->workers->len; w++)
		sum += org_left(s, org, w);
	return sum;
}

/* Let one organisation claim what it is guaranteed. */
static void claim_org(struct sched *s, int64_t now, uint32_t org)
{
	uint32_t left = left_total(s, org);
	uint32_t smallest_failed = UINT32_MAX;
	GPtrArray *list;

	if (left == 0)
		return;
	list = list_jobs(sched_org_at(s, org)->queue, CLAIM_TRIES_MAX);
	for (guint i = 0; i < list->len && left > 0; i++) {
		struct sched_job *j = list->pdata[i];

		if (j->accelerators == 0 || j->accelerators > left ||
			(j->accelerators >= smallest_failed) || !may_try(s, now, j))
			continue;
		if (claim_start(s, now, j))
			left = left_total(s, org);
		else if (j->adjacency == ADJACENCY_ANY)
			smallest_failed = MIN(smallest_failed, j->accelerators);
	}
	g_ptr_array_unref(list);
}

/* What makes two jobs alike for placement; run times count by their order of magnitude. */
static uint64_t signature(const struct sched_job *j)
{
	uint64_t h = (uint64_t)j->accelerators * 64 + g_bit_storage((gulong)j->estimate);

	h = h * 4 + j->adjacency;
	h = h * 2 + job_stoppable(j);
	h = h * 1000003 + j->cores;
	return h * 1000003 + j->memory_mb;
}

/* An end of a running job, for reservations. */
struct ending {
	int64_t at;
	const struct sched_job *job;
};

static int compare_endings(const void *a, const void *b)
{
	const struct ending *x = a;
	const struct ending *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->job->sequence < y->job->sequence ? -1 : x->job->sequence > y->job->sequence;
}

/* Expected ends of all that runs, soonest first. */
static GArray *list_endings(const struct sched *s, int64_t now)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct ending));

	for (guint i = 0; i < s->active->len; i++) {
		const struct sched_job *j = s->active->pdata[i];
		struct ending e = {.at = learn_expected_end(j, now), .job = j};

		g_array_append_val(list, e);
	}
	g_array_sort(list, compare_endings);
	return list;
}

/* Whether a job would fit into rooms around a worker; fills which workers it would take. */
static bool rooms_suffice(const struct sched *s, const struct sched_job *j,
	const uint32_t *room, uint32_t at, GArray *workers)
{
	uint32_t rack = sched_worker_at(s, at)->rack;
	uint32_t sum = 0;

	g_array_set_size(workers, 0);
	if (room[at] >= j->accelerators) {
		g_array_append_val(workers, at);
		return true;
	}
	if (j->adjacency == ADJACENCY_WORKER)
		return false;
	for (uint32_t w = 0; w < s->workers->len && sum < j->accelerators; w++) {
		if (room[w] == 0 ||
			(j->adjacency == ADJACENCY_RACK && sched_worker_at(s, w)->rack != rack))
			continue;
		sum += room[w];
		g_array_append_val(workers, w);
	}
	return sum >= j->accelerators;
}

/*
 * Reserve a place for a blocked gang: go through the expected ends until it fits. Later jobs
 * may use the place only if they are expected to end before.
 */
static bool reserve_place(struct sched *s, struct sched_job *j, GArray *endings)
{
	uint32_t *room = xcalloc(s->workers->len, sizeof(*room));
	GArray *workers = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	enum fit_mode mode = job_stoppable(j) ? FIT_BORROWED : FIT_FIRM;
	bool found = false;
	int64_t when = 0;

	for (uint32_t w = 0; w < s->workers->len; w++) {
		const struct sched_worker *at = sched_worker_at(s, w);

		if (at->up && !at->draining && !at->quarantined &&
			at->reserved_for == JOB_REF_NONE)
			room[w] = fit_room(s, j, w, mode, NULL);
	}
	for (guint i = 0; !found && i < endings->len; i++) {
		const struct ending *e = &g_array_index(endings, struct ending, i);

		for (uint32_t m = 0; !found && m < e->job->members_len; m++) {
			uint32_t w = e->job->members[m].worker;
			const struct sched_worker *at = sched_worker_at(s, w);

			if (!at->up || at->draining || at->reserved_for != JOB_REF_NONE)
				continue;
			room[w] += e->job->members[m].accelerators;
			found = rooms_suffice(s, j, room, w, workers);
			when = e->at;
		}
	}
	for (guint i = 0; found && i < workers->len; i++) {
		struct sched_worker *w =
			sched_worker_at(s, g_array_index(workers, uint32_t, i));

		w->reserved_for = j->ref;
		w->reserved_until = when;
	}
	if (found)
		j->decision.expected = when;
	g_array_unref(workers);
	free(room);
	return found;
}

/* Forget the reservations of the pass before. */
static void clear_reservations(struct sched *s)
{
	for (uint32_t w = 0; w < s->workers->len; w++)
		sched_worker_at(s, w)->reserved_for = JOB_REF_NONE;
}

/* Try to start one job on capacity that nobody needs now. */
static bool try_start(struct sched *s, int64_t now, struct sched_job *j, bool behind)
{
	bool firm = s->policy == SCHED_POLICY_FULL && !job_stoppable(j);
	struct fit f;

	if (fit_job(s, now, j, firm ? FIT_FIRM : FIT_BORROWED, NULL, &f)) {
		j->decision = (struct sched_decision){
			.why = behind ? SCHED_WHY_BACKFILL : SCHED_WHY_FREE,
			.at = now,
			.considered = f.considered};
		sched_take(s, j, &f, false, NULL, false);
		sched_begin(s, now, j);
		return true;
	}
	if (firm && plan_take_around(s, now, j)) {
		j->decision = (struct sched_decision){.why = SCHED_WHY_FREE, .at = now};
		sched_begin(s, now, j);
		return true;
	}
	j->decision.why = firm ? SCHED_WHY_UNSTOPPABLE : SCHED_WHY_BLOCKED;
	j->decision.considered = f.considered;
	j->decision.largest_free = f.largest;
	return false;
}

/* Go through the queue in order and start what fits. */
static void start_in_order(struct sched *s, int64_t now)
{
	GPtrArray *list = list_jobs(s->queue, TRIES_MAX * 4);
	GHashTable *failed = g_hash_table_new_full(g_int64_hash, g_int64_equal, free, NULL);
	GArray *endings = NULL;
	uint32_t reservations = 0;
	uint32_t turns = 0;
	bool gang_blocked = false;
	uint32_t tries = 0;
	bool behind = false;

	for (guint i = 0; i < list->len && tries < TRIES_MAX; i++) {
		struct sched_job *j = list->pdata[i];
		uint64_t sig = signature(j);

		j->decision.before = i;
		if (!may_try(s, now, j))
			continue;
		if (g_hash_table_contains(failed, &sig)) {
			j->decision.why = SCHED_WHY_BEHIND;
			continue;
		}
		tries++;
		if (try_start(s, now, j, behind))
			continue;
		if (s->policy == SCHED_POLICY_FIFO)
			break;
		if (s->policy == SCHED_POLICY_FULL && turns < TURNS_MAX &&
			(j->urgent ||
				(!gang_blocked && j->accelerators >= LARGE_ACCELERATORS))) {
			turns++;
			gang_blocked |= !j->urgent;
			if (claim_turn(s, now, j))
				continue;
		}
		g_hash_table_add(failed, g_memdup2(&sig, sizeof(sig)));
		if (s->policy == SCHED_POLICY_FULL && reservations < RESERVATIONS_MAX &&
			j->accelerators >= LARGE_ACCELERATORS) {
			if (endings == NULL)
				endings = list_endings(s, now);
			reservations += reserve_place(s, j, endings);
		}
		behind = true;
	}
	if (endings != NULL)
		g_array_unref(endings);
	g_hash_table_destroy(failed);
	g_ptr_array_unref(list);
}

/* One pass over the queue. */
void queue_pass(struct sched *s, int64_t now)
{
	if (s->policy == SCHED_POLICY_FULL) {
		clear_reservations(s);
		plan_place(s, now);
		plan_avoid_unfit(s);
		claim_finish(s, now);
		for (uint32_t o = 0; o < s->orgs->len; o++)
			claim_org(s, now, o);
	}
	start_in_order(s, now);
}
