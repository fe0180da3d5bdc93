#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * An organisation claims its guarantee: the job takes the place at once (its firm use is
 * entered, so nobody else can), the borrowers there are told to stop, and the job begins when
 * they are gone. The wait is bounded by the grace time of a stop.
 */

#define RESTART_COST	(2 * NSEC_PER_SEC)
#define SLICE		(60 * NSEC_PER_SEC)
#define LOSS_PART	0.1
#define URGENT_PATIENCE (2 * NSEC_PER_SEC)
#define URGENT_LOSS_MAX 60.0 /* accelerator-seconds */

struct victim {
	struct sched_job *job;
	double cost;
	struct sched_res here;
};

/* What a job uses on a worker. */
static struct sched_res used_on(const struct sched_job *j, uint32_t worker)
{
	struct sched_res sum = {0};

	for (uint32_t i = 0; i < j->members_len; i++) {
		if (j->members[i].worker == worker)
			res_add(&sum, &j->members[i].need);
	}
	return sum;
}

/* Work that stopping a job loses, in accelerator-seconds. */
static double work_lost(const struct sched_job *j, int64_t now)
{
	int64_t ran = j->started_at > 0 ? now - j->started_at : 0;
	int64_t lost = j->checkpoint ? RESTART_COST : ran + RESTART_COST;

	return (double)lost / (double)NSEC_PER_SEC * MAX(j->accelerators, 1);
}

static int compare_victims(const void *a, const void *b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->job->sequence < y->job->sequence ? 1 : -1;
}

/* Whether a job on a worker may be taken as a victim, or is going already. */
static bool is_borrower(const struct sched_job *j)
{
	return !j->charged && job_stoppable(j) && j->state != SCHED_JOB_CLAIMING;
}

/*
 * Whether a job that waits may take the place of a borrower outside any guarantee: an urgent
 * one of any that is not; a gang of one that is behind it in the order, and went by while it
 * was blocked. What can go on from a checkpoint has a slice first.
 */
static bool may_displace(const struct sched_job *j, const struct sched_job *v, int64_t now)
{
	if (v->state == SCHED_JOB_STOPPING)
		return true;
	if (v->state != SCHED_JOB_RUNNING || v->urgent || v->started_at == 0)
		return false;
	if (j->urgent)
		return true;
	return !v->checkpoint || now - v->started_at >= SLICE;
}

/* Borrowers of a worker, cheapest per freed accelerator first. */
static GArray *list_victims(
	const struct sched *s, int64_t now, uint32_t worker, const struct sched_job *turn)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct victim));

	for (guint i = 0; i < s->active->len; i++) {
		struct sched_job *j = s->active->pdata[i];
		struct victim v = {.job = j};

		if (!is_borrower(j) || (turn != NULL && !may_displace(turn, j, now)))
			continue;
		v.here = used_on(j, worker);
		if (v.here.slots == 0)
			continue;
		v.cost = work_lost(j, now) / MAX(v.here.accelerators, 1);
		if (j->state == SCHED_JOB_STOPPING)
			v.cost = -1;
		g_array_append_val(list, v);
	}
	g_array_sort(list, compare_victims);
	return list;
}

/* Whether a set has a job. */
static bool has_job(const GPtrArray *set, const struct sched_job *j)
{
	for (guint i = 0; i < set->len; i++) {
		if (set->pdata[i] == j)
			return true;
	}
	return false;
}

/* Choose victims so that need fits on a worker; false where that cannot be. */
static bool choose_victims(const struct sched *s, int64_t now, uint32_t worker,
	const struct sched_res *need, const struct sched_job *turn, GPtrArray *victims,
	double *cost)
{
	struct sched_res room = worker_free(sched_worker_at(s, worker));
	GArray *list = list_victims(s, now, worker, turn);

	for (guint i = 0; i < list->len; i++) {
		const struct victim *v = &g_array_index(list, struct victim, i);

		if (has_job(victims, v->job))
			res_add(&room, &v->here);
	}
	for (guint i = 0; i < list->len && !res_fits(need, &room); i++) {
		const struct victim *v = &g_array_index(list, struct victim, i);

		if (has_job(victims, v->job))
			continue;
		res_add(&room, &v->here);
		g_ptr_array_add(victims, v->job);
		if (v->cost >= 0)
			*cost += work_lost(v->job, now);
	}
	g_array_unref(list);
	return res_fits(need, &room);
}

/* A place for a claim with what it costs to clear it; hold NULL: over several holds. */
struct claim {
	struct fit fit;
	enum fit_mode mode;
	struct sched_hold *hold;
	GPtrArray *victims;
	double cost;
};

/* Take n accelerators on a worker into a claim. */
static bool claim_part(const struct sched *s, int64_t now, const struct sched_job *j,
	struct claim *c, uint32_t worker, uint32_t n)
{
	struct sched_member *m;

	if (c->fit.len == SCHED_MEMBERS_MAX)
		return false;
	m = &c->fit.members[c->fit.len++];
	memset(m, 0, sizeof(*m));
	m->worker = worker;
	m->accelerators = n;
	m->need = res_need(j, n);
	return choose_victims(s, now, worker, &m->need, c->mode == FIT_CHARGED ? NULL : j,
		c->victims, &c->cost);
}

/* Room within the guarantee on the workers of a rack, -1 for all. */
static uint32_t claim_room(const struct sched *s, int64_t now, const struct sched_job *j,
	const struct claim *c, uint32_t w, int rack)
{
	const struct sched_worker *at = sched_worker_at(s, w);

	if (!at->up || at->draining || (rack >= 0 && at->rack != (uint32_t)rack) ||
		!health_allows(at, j, now))
		return 0;
	return fit_count(s, j, w, c->mode, c->hold);
}

/* Try to place a claim over the workers of a rack: most room first, the last part tightly. */
static bool claim_spread(const struct sched *s, int64_t now, const struct sched_job *j,
	int rack, struct claim *c)
{
	uint8_t *taken = xcalloc(s->workers->len, 1);
	uint32_t n = j->accelerators;
	bool ok = true;

	while (ok && n > 0) {
		uint32_t best_room = 0;
		int best = -1;

		for (uint32_t w = 0; w < s->workers->len; w++) {
			uint32_t room = taken[w] ? 0 : claim_room(s, now, j, c, w, rack);
			bool better =
				best < 0 || (best_room < n ? room > best_room
							   : room >= n && room < best_room);

			if (room > 0 && better) {
				best = (int)w;
				best_room = room;
			}
		}
		if (best < 0) {
			ok = false;
			break;
		}
		taken[best] = 1;
		ok = claim_part(s, now, j, c, (uint32_t)best, MIN(n, best_room));
		n -= MIN(n, best_room);
	}
	free(taken);
	return ok;
}

/* Keep the cheaper of two claims in best; c is emptied. */
static void keep_cheaper(struct claim *best, bool *have, struct claim *c, bool ok)
{
	if (ok && (!*have || c->cost < best->cost)) {
		GPtrArray *old = best->victims;

		*best = *c;
		c->victims = old;
		*have = true;
	}
	g_ptr_array_set_size(c->victims, 0);
	c->cost = 0;
	c->fit.len = 0;
}

/* Find the cheapest place inside a hold, or over all holds where c->hold is NULL. */
static void find_in(struct sched *s, int64_t now, const struct sched_job *j, struct claim *c,
	struct claim *best, bool *have)
{
	bool found = false;

	for (uint32_t w = 0; w < s->workers->len; w++) {
		if (claim_room(s, now, j, c, w, -1) < MAX(j->accelerators, 1u))
			continue;
		found = true;
		keep_cheaper(best, have, c, claim_part(s, now, j, c, w, j->accelerators));
	}
	if (found || j->accelerators < 2)
		return;
	for (uint32_t r = 0; j->adjacency != ADJACENCY_WORKER && r < s->racks->len; r++)
		keep_cheaper(best, have, c, claim_spread(s, now, j, (int)r, c));
	if (!*have && j->adjacency == ADJACENCY_ANY)
		keep_cheaper(best, have, c, claim_spread(s, now, j, -1, c));
}

/* Begin a job where all is free. */
static void start_at(struct sched *s, int64_t now, struct sched_job *j, const struct fit *f,
	bool charged, struct sched_hold *hold)
{
	j->decision = (struct sched_decision){
		.why = charged ? SCHED_REASON_GUARANTEE : SCHED_REASON_FREE,
		.at = now,
		.considered = f->considered};
	sched_assign(s, j, f, charged, hold, false);
	sched_begin_attempt(s, now, j);
}

/* Start a job inside a hold where all is free, moving the hold there if nobody uses it. */
static bool start_in(struct sched *s, int64_t now, struct sched_job *j, struct sched_hold *h)
{
	struct fit f;

	if (!fit_job(s, now, j, FIT_CHARGED_FREE, h, &f) &&
		!(h != NULL && hold_movable(h) && plan_move_to_free(s, h) &&
			fit_job(s, now, j, FIT_CHARGED_FREE, h, &f)))
		return false;
	start_at(s, now, j, &f, true, h);
	return true;
}

/* Start a job outside its guarantee where that costs nobody anything. */
static bool start_beside(struct sched *s, int64_t now, struct sched_job *j)
{
	struct fit f;

	if (!fit_job(s, now, j, job_stoppable(j) ? FIT_BORROWED : FIT_COMMITTED, NULL, &f))
		return false;
	start_at(s, now, j, &f, false, NULL);
	return true;
}

/* Take a place from borrowers: they are told to stop, and the job waits for them. */
static void start_claim(
	struct sched *s, int64_t now, struct sched_job *j, const struct claim *c)
{
	j->decision = (struct sched_decision){.why = SCHED_REASON_CLAIM,
		.at = now,
		.victims = c->victims->len,
		.expected_at = now + s->grace};
	queue_remove(s, j);
	sched_assign(s, j, &c->fit, c->mode == FIT_CHARGED, c->hold, true);
	j->state = SCHED_JOB_CLAIMING;
	j->claim_at = now;
	s->counts.claims++;
	for (guint i = 0; i < c->victims->len; i++) {
		struct sched_job *v = c->victims->pdata[i];

		if (v->state != SCHED_JOB_STOPPING)
			sched_stop_job(s, v, v->checkpoint ? STOP_CHECKPOINT : STOP_NOW,
				SCHED_STOP_PREEMPTED);
	}
}

/* The least unused first, then the widest adjacency. */
static int compare_holds(const void *a, const void *b)
{
	const struct sched_hold *x = *(struct sched_hold *const *)a;
	const struct sched_hold *y = *(struct sched_hold *const *)b;

	if (hold_unused(x) != hold_unused(y))
		return hold_unused(x) < hold_unused(y) ? -1 : 1;
	return x->adjacency < y->adjacency ? -1 : x->adjacency > y->adjacency;
}

/* The organisation's holds with room for a job, the smallest first. */
static GPtrArray *list_holds(const struct sched *s, const struct sched_job *j)
{
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (h->org == j->org && h->placed && hold_unused(h) >= j->accelerators)
			g_ptr_array_add(list, h);
	}
	g_ptr_array_sort(list, compare_holds);
	return list;
}

/* The end of the run of holds that are as good as the one at from. */
static guint run_end(const GPtrArray *list, guint from)
{
	guint to = from + 1;

	while (to < list->len && compare_holds(&list->pdata[from], &list->pdata[to]) == 0)
		to++;
	return to;
}

/* Finish a search: use the place that was found, if there is one. */
static bool use_claim(
	struct sched *s, int64_t now, struct sched_job *j, const struct claim *best, bool have)
{
	if (!have)
		return false;
	if (!start_beside(s, now, j))
		start_claim(s, now, j, best);
	return true;
}

/* Try the smallest holds that take the job whole; larger shapes stay whole for later. */
static bool claim_in_holds(
	struct sched *s, int64_t now, struct sched_job *j, struct claim *best)
{
	g_autoptr(GPtrArray) list = list_holds(s, j);
	struct claim c = {.mode = FIT_CHARGED, .victims = g_ptr_array_new()};
	bool started = false;

	for (guint from = 0, to; !started && from < list->len; from = to) {
		bool have = false;

		to = run_end(list, from);
		for (guint i = from; !started && i < to; i++)
			started = start_in(s, now, j, list->pdata[i]);
		for (guint i = from; !started && i < to; i++) {
			c.hold = list->pdata[i];
			find_in(s, now, j, &c, best, &have);
		}
		started = started || use_claim(s, now, j, best, have);
	}
	g_ptr_array_unref(c.victims);
	return started;
}

/* Try all holds together, for a job that is larger than what any one has left. */
static bool claim_over_holds(
	struct sched *s, int64_t now, struct sched_job *j, struct claim *best)
{
	struct claim c = {.mode = FIT_CHARGED, .victims = g_ptr_array_new()};
	bool have = false;
	bool started = start_in(s, now, j, NULL);

	if (!started)
		find_in(s, now, j, &c, best, &have);
	g_ptr_array_unref(c.victims);
	return started || use_claim(s, now, j, best, have);
}

/*
 * Start a job by its organisation's guarantee: on free capacity if there is any, else by
 * stopping borrowers. False where the guarantee has no room for it.
 */
bool claim_start(struct sched *s, int64_t now, struct sched_job *j)
{
	struct claim best = {.victims = g_ptr_array_new()};
	bool started = claim_in_holds(s, now, j, &best) || claim_over_holds(s, now, j, &best);

	g_ptr_array_unref(best.victims);
	return started;
}

/*
 * Start a gang that has waited for a slice in the place of borrowers that had theirs. Gangs
 * that outnumber the places so take turns instead of waiting for the longest to end.
 */
bool claim_time_slice(struct sched *s, int64_t now, struct sched_job *j)
{
	struct claim best = {.victims = g_ptr_array_new()};
	struct claim c = {.mode = job_stoppable(j) ? FIT_BORROWED_AFTER_PREEMPTION
						   : FIT_COMMITTED_AFTER_PREEMPTION,
		.victims = g_ptr_array_new()};
	double worth = (double)j->estimate / (double)NSEC_PER_SEC * j->accelerators;
	double loss_max = j->urgent ? URGENT_LOSS_MAX : LOSS_PART * worth;
	bool have = false;

	if (now - j->queued_at >= (j->urgent ? URGENT_PATIENCE : SLICE))
		find_in(s, now, j, &c, &best, &have);
	have = have && best.cost <= loss_max;
	if (have)
		start_claim(s, now, j, &best);
	g_ptr_array_unref(c.victims);
	g_ptr_array_unref(best.victims);
	return have;
}

/* Whether all that a claim needs is free. */
static bool is_cleared(const struct sched *s, const struct sched_job *j)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_worker *w = sched_worker_at(s, j->members[i].worker);
		struct sched_res room = w->capacity;

		res_sub(&room, &w->used);
		if (!w->up || !res_fits(&j->members[i].need, &room))
			return false;
	}
	return true;
}

/* Begin the claims whose place has become free. */
void claim_finish(struct sched *s, int64_t now)
{
	for (guint i = 0; i < s->active->len; i++) {
		struct sched_job *j = s->active->pdata[i];

		if (j->state != SCHED_JOB_CLAIMING || !is_cleared(s, j))
			continue;
		for (uint32_t m = 0; m < j->members_len; m++) {
			struct sched_worker *w = sched_worker_at(s, j->members[m].worker);

			res_sub(&w->pending, &j->members[m].need);
			res_add(&w->used, &j->members[m].need);
		}
		sched_begin_attempt(s, now, j);
	}
}
