#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fragmentation is measured as in Weng et al., "Beware of Fragmentation: Scheduling
 * GPU-Sharing Workloads with Fragmentation Gradient Descent" (USENIX ATC 2023): the expected
 * share of free accelerators that a job drawn from the workload cannot use; jobs are weighed by
 * the accelerators that they ask for. We extend it from nodes to racks: a shape within a worker
 * finds a worker's free accelerators useless where they are too few, a shape within a rack
 * those of a rack. A placement is chosen by the least growth of this measure.
 */

#define SHAPES_KEPT 20000

/* Whether a running job may be stopped for the benefit of another. */
bool job_stoppable(const struct sched_job *j)
{
	return j->idempotent || j->checkpoint;
}

/* The smaller of two amounts, per resource. */
static struct sched_res res_min(const struct sched_res *a, const struct sched_res *b)
{
	return (struct sched_res){
		.accelerators = MIN(a->accelerators, b->accelerators),
		.slots = MIN(a->slots, b->slots),
		.cores = MIN(a->cores, b->cores),
		.memory_mb = MIN(a->memory_mb, b->memory_mb),
	};
}

/* The most accelerators, up to max, whose needs stay within the proportional share. */
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

/* Whether an earlier job has a reservation here that this one would delay. */
static bool delays_reservation(
	const struct sched_worker *w, const struct sched_job *j, int64_t now)
{
	return w->reserved_for != JOB_REF_NONE && w->reserved_for != j->ref &&
	       now + j->estimate > w->reserved_until;
}

/* What is left on a worker of one hold, or of all of the organisation's. */
static uint32_t left_on(const struct sched *s, const struct sched_job *j, uint32_t worker,
	const struct sched_hold *hold)
{
	return hold != NULL ? hold_left_on(hold, worker) : org_left(s, j->org, worker);
}

/*
 * How many of a job's accelerators a worker can take, in one of the modes; the charged modes
 * look at one hold, or at all of the organisation's where hold is NULL. The cleared modes
 * count what borrowers use as free.
 */
uint32_t fit_room(const struct sched *s, const struct sched_job *j, uint32_t worker,
	enum fit_mode mode, const struct sched_hold *hold)
{
	const struct sched_worker *w = sched_worker_at(s, worker);
	struct sched_res room = worker_free(w);
	struct sched_res firm;
	uint32_t left;

	switch (mode) {
	case FIT_CHARGED_FREE:
		left = MIN(left_on(s, j, worker, hold), j->accelerators);
		return left == 0 ? 0
				 : chargeable_count(w, j, MIN(left, res_fit_count(j, &room)));
	case FIT_CHARGED:
		left = MIN(left_on(s, j, worker, hold), j->accelerators);
		return left == 0 ? 0 : chargeable_count(w, j, left);
	case FIT_FIRM:
		firm = worker_firm_room(w);
		room = res_min(&room, &firm);
		return res_fit_count(j, &room);
	case FIT_BORROWED:
		return res_fit_count(j, &room);
	case FIT_FIRM_CLEARED:
		firm = worker_firm_room(w);
		return res_fit_count(j, &firm);
	case FIT_BORROWED_CLEARED:
		room = w->capacity;
		res_sub(&room, &w->firm);
		res_sub(&room, &w->pending);
		return res_fit_count(j, &room);
	}
	return 0;
}

/* Halve all counts once they are many, so that older jobs fade. */
static void fade_shapes(struct sched *s, uint32_t sum)
{
	for (int a = 0; sum > SHAPES_KEPT && a < 3; a++) {
		for (uint32_t n = 0; n <= JOB_ACCELERATORS_MAX; n++)
			s->shape_demand[a][n] /= 2;
	}
}

/*
 * Count the accelerators that a job asks for under its shape, and work out for each adjacency
 * and n which part of all the demand is for shapes of more than n.
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
	fade_shapes(s, sum);
}

/* The part of the demand with an adjacency that needs more than n accelerators. */
static double part_above(const struct sched *s, enum adjacency a, uint32_t n)
{
	return n > JOB_ACCELERATORS_MAX ? 0 : s->demand_above[a][n];
}

/* Useless accelerators among the free ones of a worker, then of a rack. */
static double worker_waste(const struct sched *s, uint32_t free_count)
{
	return free_count * part_above(s, ADJACENCY_WORKER, free_count);
}

static double rack_waste(const struct sched *s, uint32_t free_count)
{
	return free_count * part_above(s, ADJACENCY_RACK, free_count);
}

/* Physically free accelerators of a worker. */
static uint32_t free_count(const struct sched_worker *w)
{
	struct sched_res r = worker_free(w);

	return w->up && r.accelerators > 0 ? (uint32_t)r.accelerators : 0;
}

/* What a search works with. */
struct search {
	uint32_t *room;
	uint32_t *rack_room;
	uint32_t *rack_free;
};

/* The growth of the measure when n accelerators of a worker are taken. */
static double waste_growth(
	const struct sched *s, const struct search *f, const struct sched_worker *w, uint32_t n)
{
	uint32_t have = MIN(free_count(w), JOB_ACCELERATORS_MAX);
	uint32_t in_rack = f->rack_free[w->rack];
	double growth = worker_waste(s, have - MIN(n, have)) - worker_waste(s, have);

	return growth + rack_waste(s, in_rack - MIN(n, in_rack)) - rack_waste(s, in_rack);
}

/* Prepare a search; false where the job cannot fit at all. */
static bool search_init(struct sched *s, int64_t now, const struct sched_job *j,
	enum fit_mode mode, const struct sched_hold *hold, struct search *f, struct fit *out)
{
	uint32_t total = 0;

	f->room = xcalloc(s->workers->len, sizeof(*f->room));
	f->rack_room = xcalloc(s->racks->len, sizeof(*f->rack_room));
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
		f->room[i] = fit_room(s, j, i, mode, hold);
		f->rack_room[w->rack] += f->room[i];
		total += f->room[i];
		out->considered++;
		out->largest = MAX(out->largest, f->room[i]);
	}
	return total >= MAX(j->accelerators, 1);
}

static void search_clear(struct search *f)
{
	free(f->room);
	free(f->rack_room);
	free(f->rack_free);
}

/* Add a member. */
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

/* The best worker that takes n accelerators, or in the baselines the first. */
static int best_worker(const struct sched *s, const struct search *f, const struct sched_job *j,
	int rack, uint32_t n, enum fit_mode mode)
{
	double best_score = 0;
	int best = -1;

	for (uint32_t i = 0; i < s->workers->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, i);
		double score;

		if (f->room[i] < MAX(n, 1) || (rack >= 0 && w->rack != (uint32_t)rack))
			continue;
		if (s->policy != SCHED_POLICY_FULL)
			return (int)i;
		score = waste_growth(s, f, w, n) + 0.01 * free_count(w);
		if (mode == FIT_BORROWED && !j->charged)
			score += 0.002 * w->held;
		if (best < 0 || score < best_score) {
			best = (int)i;
			best_score = score;
		}
	}
	return best;
}

/* Take n accelerators within a rack (-1: anywhere): the roomiest workers, the last tightly. */
static bool spread(const struct sched *s, struct search *f, const struct sched_job *j, int rack,
	uint32_t n, enum fit_mode mode, struct fit *out)
{
	while (n > 0) {
		int one = best_worker(s, f, j, rack, n, mode);
		uint32_t part = n;

		for (uint32_t i = 0; one < 0 && i < s->workers->len; i++) {
			const struct sched_worker *w = sched_worker_at(s, i);

			if ((rack >= 0 && w->rack != (uint32_t)rack) || f->room[i] == 0)
				continue;
			part = f->room[i];
			one = (int)i;
		}
		for (uint32_t i = 0; part < n && i < s->workers->len; i++) {
			const struct sched_worker *w = sched_worker_at(s, i);

			if ((rack < 0 || w->rack == (uint32_t)rack) && f->room[i] > part) {
				part = f->room[i];
				one = (int)i;
			}
		}
		if (one < 0 || !add_member(j, out, (uint32_t)one, part))
			return false;
		f->room[one] = 0;
		n -= part;
	}
	return true;
}

/* The rack with the least room that still takes the job; -1 for none. */
static int best_rack(const struct sched *s, const struct search *f, const struct sched_job *j)
{
	int best = -1;

	for (uint32_t r = 0; r < s->racks->len; r++) {
		if (f->rack_room[r] < j->accelerators)
			continue;
		if (s->policy != SCHED_POLICY_FULL)
			return (int)r;
		if (best < 0 || f->rack_free[r] < f->rack_free[best])
			best = (int)r;
	}
	return best;
}

/* Find a place for a job. */
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
			ok = spread(s, &f, j, rack, j->accelerators, mode, out);
	}
	search_clear(&f);
	return ok;
}

/* The measure for the whole cell: useless free accelerators by all accelerators. */
double fit_fragmentation(const struct sched *s)
{
	uint32_t *rack_free = xcalloc(s->racks->len, sizeof(*rack_free));
	double waste = 0;
	uint32_t all = 0;
	uint32_t total = 0;

	for (uint32_t i = 0; i < s->workers->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, i);

		if (!w->up)
			continue;
		all += (uint32_t)w->capacity.accelerators;
		total += free_count(w);
		rack_free[w->rack] += free_count(w);
		waste += worker_waste(s, free_count(w));
	}
	for (uint32_t r = 0; r < s->racks->len; r++)
		waste += rack_waste(s, rack_free[r]);
	waste += total * part_above(s, ADJACENCY_ANY, total);
	free(rack_free);
	return all > 0 ? waste / all : 0;
}
