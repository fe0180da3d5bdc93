#include "sched-private.h"

/* Adds b to a. */
void res_add(struct sched_res *a, const struct sched_res *b)
{
	a->accelerators += b->accelerators;
	a->slots += b->slots;
	a->cores += b->cores;
	a->memory_mb += b->memory_mb;
}

/* Subtracts b from a. */
void res_sub(struct sched_res *a, const struct sched_res *b)
{
	a->accelerators -= b->accelerators;
	a->slots -= b->slots;
	a->cores -= b->cores;
	a->memory_mb -= b->memory_mb;
}

/* Returns whether two amounts are equal. */
bool res_equal(const struct sched_res *a, const struct sched_res *b)
{
	return a->accelerators == b->accelerators && a->slots == b->slots &&
	       a->cores == b->cores && a->memory_mb == b->memory_mb;
}

/* Returns whether what is available covers the need for every resource. */
bool res_fits(const struct sched_res *need, const struct sched_res *available)
{
	return need->accelerators <= available->accelerators &&
	       need->slots <= available->slots && need->cores <= available->cores &&
	       need->memory_mb <= available->memory_mb;
}

/*
 * Returns the share of a worker's resources that belongs to some of its accelerators. The share
 * of one accelerator is rounded down to whole units and multiplied, so that the shares of parts
 * add up to the share of the whole.
 */
struct sched_res res_share(const struct sched_res *capacity, uint32_t accelerators)
{
	int32_t n = (int32_t)accelerators;
	int32_t all = capacity->accelerators;
	struct sched_res r = {.accelerators = n};

	if (all <= 0)
		return r;
	r.slots = capacity->slots / all * n;
	r.cores = capacity->cores / all * n;
	r.memory_mb = capacity->memory_mb / all * n;
	return r;
}

/*
 * Returns whether the share of n accelerators of a worker covers a need. Slots are ignored on a
 * worker that has fewer slots than accelerators, where the share would have none.
 */
bool share_covers(const struct sched_worker *w, const struct sched_res *need, uint32_t n)
{
	struct sched_res share = res_share(&w->capacity, n);

	if (w->capacity.slots < w->capacity.accelerators)
		share.slots = need->slots;
	return res_fits(need, &share);
}

/* Returns what a member with some of a job's accelerators needs, rounded up. */
struct sched_res res_need(const struct sched_job *j, uint32_t accelerators)
{
	int64_t all = j->accelerators > 0 ? j->accelerators : 1;
	int64_t n = j->accelerators > 0 ? accelerators : 1;

	return (struct sched_res){
		.accelerators = (int32_t)accelerators,
		.slots = 1,
		.cores = (int32_t)((j->cores * n + all - 1) / all),
		.memory_mb = (j->memory_mb * n + all - 1) / all,
	};
}

/* Returns what is neither in use nor pending on a worker; nothing if it is down. */
struct sched_res worker_free(const struct sched_worker *w)
{
	struct sched_res r = {0};

	if (!w->up)
		return r;
	r = w->capacity;
	res_sub(&r, &w->used);
	res_sub(&r, &w->pending);
	return r;
}

/*
 * Returns what can be allocated to jobs that cannot be stopped: the capacity of a worker less
 * what cannot be reclaimed and the share of unused guarantees; nothing if it is down.
 */
struct sched_res worker_uncommitted(const struct sched_worker *w)
{
	struct sched_res r = {0};
	struct sched_res held;

	if (!w->up)
		return r;
	held = res_share(&w->capacity, w->held);
	r = w->capacity;
	res_sub(&r, &w->committed);
	res_sub(&r, &held);
	return r;
}

/*
 * Returns how many of a job's accelerators fit into the available resources with what else they
 * need. For a job without accelerators, returns 1 if it fits and else 0.
 */
uint32_t res_fit_count(const struct sched_job *j, const struct sched_res *available)
{
	uint32_t n;

	if (j->accelerators == 0) {
		struct sched_res need = res_need(j, 0);

		return res_fits(&need, available) ? 1 : 0;
	}
	n = available->accelerators > 0
		    ? MIN((uint32_t)available->accelerators, j->accelerators)
		    : 0;
	while (n > 0) {
		struct sched_res need = res_need(j, n);

		if (res_fits(&need, available))
			return n;
		n--;
	}
	return 0;
}
