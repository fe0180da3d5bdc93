#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fragmentation is measured as in Weng et al., "Beware of Fragmentation: Scheduling
 * GPU-Sharing Workloads with Fragmentation Gradient Descent" (USENIX ATC 2023): the expected
 * number of free accelerators that a job drawn from the workload cannot use, divided by the
 * number of all accelerators of workers that are up. Jobs are weighted by the number of
 * accelerators that they request. The measure is extended from nodes to racks: a
 * shape with worker adjacency cannot use the free accelerators of a worker that has too few of
 * them, and a shape with rack adjacency cannot use those of a rack that has too few. Among the
 * possible placements, the one that increases this measure least is chosen.
 */

#define SHAPE_DEMAND_MAX 20000 /* accelerators; above this sum all counts are halved */

/* Weights, per accelerator, of the secondary terms in the score of a worker. */
#define FREE_WEIGHT 0.01  /* free accelerators: prefer workers that are nearly full */
#define HELD_WEIGHT 0.002 /* unused guarantees: prefer workers with few */

/* Returns whether a running job may be preempted. */
bool job_stoppable(const struct sched_job *j)
{
	return j->idempotent || j->checkpoint;
}

/* Returns the minimum of two amounts for each resource. */
static struct sched_res res_min(const struct sched_res *a, const struct sched_res *b)
{
	return (struct sched_res){
		.accelerators = MIN(a->accelerators, b->accelerators),
		.slots = MIN(a->slots, b->slots),
		.cores = MIN(a->cores, b->cores),
		.memory_mb = MIN(a->memory_mb, b->memory_mb),
	};
}

/*
 * Returns the largest number of accelerators, up to max, with which a member stays within its
 * proportional share of the worker's other resources.
 */
static uint32_t chargeable_count(
	const struct sched_worker *w, const struct sched_job *j, uint32_t max)
{
	for (uint32_t n = max; n > 0; n--) {
		struct sched_res need = res_need(j, n);

		if (share_covers(w, &need, n))
			return n;
	}
	return 0;
}

/* Returns whether the job would delay another one that has a reservation on the worker. */
static bool delays_reservation(
	const struct sched_worker *w, const struct sched_job *j, int64_t now)
{
	return w->reserved_for != JOB_REF_NONE && w->reserved_for != j->ref &&
	       now + j->estimate > w->reserved_job_start;
}

/* Returns the unused accelerators on a worker of one hold or, if NULL, of the organisation. */
static uint32_t unused_on(const struct sched *s, const struct sched_job *j, uint32_t worker,
	const struct sched_hold *hold)
{
	return hold != NULL ? hold_unused_on(hold, worker) : org_unused(s, j->org, worker);
}

/*
 * Returns how many of a job's accelerators a worker can take. The charged modes are limited to
 * the given hold, or to all holds of the job's organisation if hold is NULL. The modes after
 * preemption count the resources that borrowers use as free.
 */
uint32_t fit_count(const struct sched *s, const struct sched_job *j, uint32_t worker,
	enum fit_mode mode, const struct sched_hold *hold)
{
	const struct sched_worker *w = sched_worker_at(s, worker);
	struct sched_res available = worker_free(w);
	struct sched_res uncommitted;
	uint32_t unused;

	switch (mode) {
	case FIT_CHARGED_FREE:
		unused = MIN(unused_on(s, j, worker, hold), j->accelerators);
		return unused == 0 ? 0
				   : chargeable_count(
					     w, j, MIN(unused, res_fit_count(j, &available)));
	case FIT_CHARGED:
		unused = MIN(unused_on(s, j, worker, hold), j->accelerators);
		return unused == 0 ? 0 : chargeable_count(w, j, unused);
	case FIT_UNCOMMITTED:
		uncommitted = worker_uncommitted(w);
		available = res_min(&available, &uncommitted);
		return res_fit_count(j, &available);
	case FIT_FREE:
		return res_fit_count(j, &available);
	case FIT_UNCOMMITTED_AFTER_PREEMPTION:
		uncommitted = worker_uncommitted(w);
		return res_fit_count(j, &uncommitted);
	case FIT_FREE_AFTER_PREEMPTION:
		available = w->capacity;
		res_sub(&available, &w->committed);
		res_sub(&available, &w->pending);
		return res_fit_count(j, &available);
	}
	return 0;
}

/* Halves all counts when their sum gets large, so that older jobs lose weight. */
static void decay_shape_demand(struct sched *s, uint32_t sum)
{
	for (int a = 0; sum > SHAPE_DEMAND_MAX && a < 3; a++) {
		for (uint32_t n = 0; n <= JOB_ACCELERATORS_MAX; n++)
			s->shape_demand[a][n] /= 2;
	}
}

/*
 * Adds the accelerators that a job requests to the demand for its shape and updates, for each
 * adjacency and each n, the part of all demand that is for shapes of more than n accelerators.
 */
void fit_count_shape(struct sched *s, const struct sched_job *j)
{
	uint32_t sum = 0;

	if (j->accelerators == 0)
		return;
	s->shape_demand[j->adjacency][j->accelerators] += j->accelerators;
	for (int a = 0; a < 3; a++) {
		for (uint32_t n = 0; n <= JOB_ACCELERATORS_MAX; n++)
			sum += s->shape_demand[a][n];
	}
	for (int a = 0; a < 3; a++) {
		double above = 0;

		for (uint32_t n = JOB_ACCELERATORS_MAX + 1; n-- > 0;) {
			s->demand_above[a][n] = above / sum;
			above += s->shape_demand[a][n];
		}
	}
	decay_shape_demand(s, sum);
}

/*
 * Returns the part of all requested accelerators that was requested by jobs with an adjacency
 * and a size of more than n accelerators.
 */
static double demand_part_above(const struct sched *s, enum adjacency a, uint32_t n)
{
	return n > JOB_ACCELERATORS_MAX ? 0 : s->demand_above[a][n];
}

/* Returns the expected number of unusable accelerators among the free ones of a worker. */
static double worker_unusable(const struct sched *s, uint32_t free_count)
{
	return free_count * demand_part_above(s, ADJACENCY_WORKER, free_count);
}

/* Returns the expected number of unusable accelerators among the free ones of a rack. */
static double rack_unusable(const struct sched *s, uint32_t free_count)
{
	return free_count * demand_part_above(s, ADJACENCY_RACK, free_count);
}

/* Returns the number of physically free accelerators of a worker that is up. */
static uint32_t free_count(const struct sched_worker *w)
{
	struct sched_res r = worker_free(w);

	return w->up && r.accelerators > 0 ? (uint32_t)r.accelerators : 0;
}

/* Accelerators that each worker and rack can take of the job, and those free in each rack. */
struct search {
	uint32_t *capacity;
	uint32_t *rack_capacity;
	uint32_t *rack_free;
};

/* Returns by how much fragmentation grows when n accelerators of a worker are taken. */
static double fragmentation_growth(
	const struct sched *s, const struct search *f, const struct sched_worker *w, uint32_t n)
{
	uint32_t have = MIN(free_count(w), JOB_ACCELERATORS_MAX);
	uint32_t in_rack = f->rack_free[w->rack];
	double growth = worker_unusable(s, have - MIN(n, have)) - worker_unusable(s, have);

	return growth + rack_unusable(s, in_rack - MIN(n, in_rack)) - rack_unusable(s, in_rack);
}

/* Prepares a search; returns false if the workers together cannot take the job. */
static bool search_init(struct sched *s, int64_t now, const struct sched_job *j,
	enum fit_mode mode, const struct sched_hold *hold, struct search *f, struct fit *out)
{
	uint32_t total = 0;

	f->capacity = xcalloc(s->workers->len, sizeof(*f->capacity));
	f->rack_capacity = xcalloc(s->racks->len, sizeof(*f->rack_capacity));
	f->rack_free = xcalloc(s->racks->len, sizeof(*f->rack_free));
	for (uint32_t i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = sched_worker_at(s, i);

		if (!w->up)
			continue;
		f->rack_free[w->rack] += free_count(w);
		if (w->draining || !health_allows(w, j, now))
			continue;
		if (mode != FIT_CHARGED && mode != FIT_CHARGED_FREE &&
			delays_reservation(w, j, now))
			continue;
		f->capacity[i] = fit_count(s, j, i, mode, hold);
		f->rack_capacity[w->rack] += f->capacity[i];
		total += f->capacity[i];
		out->considered++;
		out->largest = MAX(out->largest, f->capacity[i]);
	}
	return total >= MAX(j->accelerators, 1);
}

static void search_clear(struct search *f)
{
	free(f->capacity);
	free(f->rack_capacity);
	free(f->rack_free);
}

/* Adds a member to a placement; returns false if it has the maximum number of members. */
static bool add_member(const struct sched_job *j, struct fit *out, uint32_t worker, uint32_t n)
{
	struct sched_member *m;

	if (out->len == SCHED_MEMBERS_MAX)
		return false;
	m = &out->members[out->len++];
	memset(m, 0, sizeof(*m));
	m->worker = worker;
	m->accelerators = n;
	m->need = res_need(j, n);
	return true;
}

/*
 * Returns the worker that takes n accelerators with the least growth of fragmentation, or the
 * first one under the baseline policies; -1 if there is none. rack -1 stands for all racks.
 */
static int best_worker(const struct sched *s, const struct search *f, const struct sched_job *j,
	int rack, uint32_t n, enum fit_mode mode)
{
	double best_score = 0;
	int best = -1;

	for (uint32_t i = 0; i < s->workers->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, i);
		double score;

		if (f->capacity[i] < MAX(n, 1) || (rack >= 0 && w->rack != (uint32_t)rack))
			continue;
		if (s->policy != SCHED_POLICY_FULL)
			return (int)i;
		score = fragmentation_growth(s, f, w, n) + FREE_WEIGHT * free_count(w);
		if (mode == FIT_FREE && !j->charged)
			score += HELD_WEIGHT * w->held;
		if (best < 0 || score < best_score) {
			best = (int)i;
			best_score = score;
		}
	}
	return best;
}

/*
 * Places n accelerators on several workers of a rack, or of all racks if it is -1. The workers
 * that can take most are filled first; the rest goes to the worker that suits it best.
 */
static bool place_on_several(const struct sched *s, struct search *f, const struct sched_job *j,
	int rack, uint32_t n, enum fit_mode mode, struct fit *out)
{
	while (n > 0) {
		int chosen = best_worker(s, f, j, rack, n, mode);
		uint32_t part = n;

		for (uint32_t i = 0; chosen < 0 && i < s->workers->len; i++) {
			const struct sched_worker *w = sched_worker_at(s, i);

			if ((rack >= 0 && w->rack != (uint32_t)rack) || f->capacity[i] == 0)
				continue;
			part = f->capacity[i];
			chosen = (int)i;
		}
		for (uint32_t i = 0; part < n && i < s->workers->len; i++) {
			const struct sched_worker *w = sched_worker_at(s, i);

			if ((rack < 0 || w->rack == (uint32_t)rack) && f->capacity[i] > part) {
				part = f->capacity[i];
				chosen = (int)i;
			}
		}
		if (chosen < 0 || !add_member(j, out, (uint32_t)chosen, part))
			return false;
		f->capacity[chosen] = 0;
		n -= part;
	}
	return true;
}

/* Returns the rack with the fewest free accelerators that can take the job, or -1. */
static int best_rack(const struct sched *s, const struct search *f, const struct sched_job *j)
{
	int best = -1;

	for (uint32_t r = 0; r < s->racks->len; r++) {
		if (f->rack_capacity[r] < j->accelerators)
			continue;
		if (s->policy != SCHED_POLICY_FULL)
			return (int)r;
		if (best < 0 || f->rack_free[r] < f->rack_free[best])
			best = (int)r;
	}
	return best;
}

/* Finds a placement for a job; returns whether there is one. */
bool fit_job(struct sched *s, int64_t now, const struct sched_job *j, enum fit_mode mode,
	const struct sched_hold *hold, struct fit *out)
{
	struct search f;
	bool ok = false;
	int worker;
	int rack;

	memset(out, 0, sizeof(*out));
	if (!search_init(s, now, j, mode, hold, &f, out)) {
		search_clear(&f);
		return false;
	}
	worker = best_worker(s, &f, j, -1, j->accelerators, mode);
	if (worker >= 0) {
		ok = add_member(j, out, (uint32_t)worker, j->accelerators);
	} else if (j->adjacency != ADJACENCY_WORKER && j->accelerators > 1) {
		rack = best_rack(s, &f, j);
		if (rack >= 0 || j->adjacency == ADJACENCY_ANY)
			ok = place_on_several(s, &f, j, rack, j->accelerators, mode, out);
	}
	search_clear(&f);
	return ok;
}

/*
 * Returns the fragmentation of the cell: the expected number of unusable free accelerators
 * divided by all accelerators of the workers that are up.
 */
double fit_fragmentation(const struct sched *s)
{
	uint32_t *rack_free = xcalloc(s->racks->len, sizeof(*rack_free));
	double unusable = 0;
	uint32_t capacity = 0;
	uint32_t free_total = 0;

	for (uint32_t i = 0; i < s->workers->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, i);

		if (!w->up)
			continue;
		capacity += (uint32_t)w->capacity.accelerators;
		free_total += free_count(w);
		rack_free[w->rack] += free_count(w);
		unusable += worker_unusable(s, free_count(w));
	}
	for (uint32_t r = 0; r < s->racks->len; r++)
		unusable += rack_unusable(s, rack_free[r]);
	unusable += free_total * demand_part_above(s, ADJACENCY_ANY, free_total);
	free(rack_free);
	return capacity > 0 ? unusable / capacity : 0;
}
