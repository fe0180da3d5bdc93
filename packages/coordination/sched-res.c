#include "sched-private.h"

/* Add b to a. */
void res_add(struct sched_res *a, const struct sched_res *b)
{
	a->accelerators += b->accelerators;
	a->slots += b->slots;
	a->cores += b->cores;
	a->memory_mb += b->memory_mb;
}

/* Take b from a. */
void res_sub(struct sched_res *a, const struct sched_res *b)
{
	a->accelerators -= b->accelerators;
	a->slots -= b->slots;
	a->cores -= b->cores;
	a->memory_mb -= b->memory_mb;
}

/* Whether two amounts are the same. */
bool res_equal(const struct sched_res *a, const struct sched_res *b)
{
	return a->accelerators == b->accelerators && a->slots == b->slots &&
	       a->cores == b->cores && a->memory_mb == b->memory_mb;
}

/* Whether each amount is covered. */
bool res_fits(const struct sched_res *need, const struct sched_res *room)
{
	return need->accelerators <= room->accelerators && need->slots <= room->slots &&
	       need->cores <= room->cores && need->memory_mb <= room->memory_mb;
}

/*
 * The part of a worker that goes with some of its accelerators: so many times the whole units
 * that each of them has. It is additive, so that books of parts add up.
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

/* Whether the share of n accelerators covers a need; where slots are few they do not count. */
bool share_covers(const struct sched_worker *w, const struct sched_res *need, uint32_t n)
{
	struct sched_res share = res_share(&w->capacity, n);

	if (w->capacity.slots < w->capacity.accelerators)
		share.slots = need->slots;
	return res_fits(need, &share);
}

/* What a member with some of a job's accelerators needs, rounded up. */
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

/* What nobody uses or is about to use. */
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

/* What may be taken for good: the capacity less firm use and unused guarantees. */
struct sched_res worker_firm_room(const struct sched_worker *w)
{
	struct sched_res r = {0};
	struct sched_res held;

	if (!w->up)
		return r;
	held = res_share(&w->capacity, w->held);
	r = w->capacity;
	res_sub(&r, &w->firm);
	res_sub(&r, &held);
	return r;
}

/* How many of a job's accelerators fit into room; for a job without any, 1 if it fits. */
uint32_t res_fit_count(const struct sched_job *j, const struct sched_res *room)
{
	uint32_t n;

	if (j->accelerators == 0) {
		struct sched_res need = res_need(j, 0);

		return res_fits(&need, room) ? 1 : 0;
	}
	n = room->accelerators > 0 ? MIN((uint32_t)room->accelerators, j->accelerators) : 0;
	while (n > 0) {
		struct sched_res need = res_need(j, n);

		if (res_fits(&need, room))
			return n;
		n--;
	}
	return 0;
}
