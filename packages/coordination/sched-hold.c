#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/* The cell of an organisation's table of unused guaranteed accelerators per worker. */
static uint32_t *left_cell(const struct sched *s, uint32_t org, uint32_t worker)
{
	GArray *table = sched_org_at(s, org)->unused_guarantee;

	if (table->len <= worker)
		g_array_set_size(table, worker + 1);
	return &g_array_index(table, uint32_t, worker);
}

/* Guaranteed accelerators on a worker that the organisation does not use. */
uint32_t org_unused(const struct sched *s, uint32_t org, uint32_t worker)
{
	return *left_cell(s, org, worker);
}

/* A hold without a place. */
struct sched_hold *hold_new(uint32_t org, const struct doc_guarantee *g)
{
	struct sched_hold *h = xcalloc(1, sizeof(*h));

	h->org = org;
	h->accelerators = g->accelerators;
	h->adjacency = g->adjacency;
	h->pieces = g_array_new(FALSE, TRUE, sizeof(struct hold_piece));
	return h;
}

/* Free a hold. */
void hold_free(void *p)
{
	struct sched_hold *h = p;

	g_array_unref(h->pieces);
	free(h);
}

/* A piece of a hold by index. */
struct hold_piece *hold_piece_at(const struct sched_hold *h, guint i)
{
	return &g_array_index(h->pieces, struct hold_piece, i);
}

/* The piece of a hold on a worker; NULL for none. */
static struct hold_piece *piece_on(const struct sched_hold *h, uint32_t worker)
{
	for (guint i = 0; i < h->pieces->len; i++) {
		if (hold_piece_at(h, i)->worker == worker)
			return hold_piece_at(h, i);
	}
	return NULL;
}

/* Unused accelerators of a hold on a worker. */
uint32_t hold_unused_on(const struct sched_hold *h, uint32_t worker)
{
	const struct hold_piece *p = piece_on(h, worker);

	return p != NULL ? p->accelerators - p->used : 0;
}

/* Unused accelerators of a hold that has a place. */
uint32_t hold_unused(const struct sched_hold *h)
{
	uint32_t sum = 0;

	for (guint i = 0; i < h->pieces->len; i++)
		sum += hold_piece_at(h, i)->accelerators - hold_piece_at(h, i)->used;
	return sum;
}

/* Whether a hold has a place that nobody uses. */
bool hold_movable(const struct sched_hold *h)
{
	return h->placed && hold_unused(h) == h->accelerators;
}

/* Whether a hold keeps accelerators on a worker. */
bool hold_is_on(const struct sched_hold *h, uint32_t worker)
{
	return piece_on(h, worker) != NULL;
}

/* Change what is unused on a worker, in all books. */
static void add_left(struct sched *s, uint32_t org, uint32_t worker, uint32_t n)
{
	*left_cell(s, org, worker) += n;
	sched_worker_at(s, worker)->held += n;
}

static void sub_left(struct sched *s, uint32_t org, uint32_t worker, uint32_t n)
{
	*left_cell(s, org, worker) -= n;
	sched_worker_at(s, worker)->held -= n;
}

/* Put a hold where it was packed; pieces on one worker become one. */
void hold_place(struct sched *s, struct sched_hold *h, const GArray *pieces)
{
	g_array_set_size(h->pieces, 0);
	for (guint i = 0; i < pieces->len; i++) {
		const struct pack_piece *p = &g_array_index(pieces, struct pack_piece, i);
		struct hold_piece *have = piece_on(h, p->worker);
		struct hold_piece fresh = {p->worker, p->accelerators, 0};

		if (have != NULL)
			have->accelerators += p->accelerators;
		else
			g_array_append_val(h->pieces, fresh);
		add_left(s, h->org, p->worker, p->accelerators);
	}
	h->placed = true;
	h->impossible_since = 0;
}

/* Take a hold from its place; what was charged to it is no longer. */
void hold_unplace(struct sched *s, struct sched_hold *h)
{
	hold_drop_charges(s, h);
	for (guint i = 0; i < h->pieces->len; i++)
		sub_left(s, h->org, hold_piece_at(h, i)->worker,
			hold_piece_at(h, i)->accelerators);
	g_array_set_size(h->pieces, 0);
	h->placed = false;
}

/* Charge some accelerators of a job to a hold; returns how many. */
static uint32_t charge_some(
	struct sched *s, struct sched_job *j, struct sched_hold *h, uint32_t worker, uint32_t n)
{
	struct hold_piece *p = h->placed && h->org == j->org ? piece_on(h, worker) : NULL;
	uint32_t part = p != NULL ? MIN(n, p->accelerators - p->used) : 0;
	struct sched_charge c = {h, worker, part};

	if (part == 0)
		return 0;
	p->used += part;
	sub_left(s, h->org, worker, part);
	g_array_append_val(j->charges, c);
	return part;
}

/* Accelerators of a member that are charged. */
static uint32_t charged_part(const struct sched_job *j, const struct sched_member *m)
{
	uint32_t n = 0;

	for (guint i = 0; j->charges != NULL && i < j->charges->len; i++) {
		const struct sched_charge *c =
			&g_array_index(j->charges, struct sched_charge, i);

		n += c->worker == m->worker ? c->accelerators : 0;
	}
	return n;
}

/* Take a job's firm use out of the books. */
void committed_clear(struct sched *s, struct sched_job *j)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		struct sched_member *m = &j->members[i];

		res_sub(&sched_worker_at(s, m->worker)->committed, &m->committed);
		memset(&m->committed, 0, sizeof(m->committed));
	}
}

/*
 * Enter a job's firm use anew. A charged member counts with the whole share of what it is
 * charged, so that the share is there again when the hold is unused.
 */
void committed_update(struct sched *s, struct sched_job *j)
{
	committed_clear(s, j);
	for (uint32_t i = 0; (j->charged || !job_stoppable(j)) && i < j->members_len; i++) {
		struct sched_member *m = &j->members[i];
		struct sched_worker *w = sched_worker_at(s, m->worker);
		struct sched_res share = res_share(&w->capacity, charged_part(j, m));

		m->committed = m->need;
		m->committed.slots = MAX(m->committed.slots, share.slots);
		m->committed.cores = MAX(m->committed.cores, share.cores);
		m->committed.memory_mb = MAX(m->committed.memory_mb, share.memory_mb);
		res_add(&w->committed, &m->committed);
	}
}

/* Charge all of a hold to a job that covers it. */
void hold_charge_all(struct sched *s, struct sched_job *j, struct sched_hold *h)
{
	if (j->charges == NULL)
		j->charges = g_array_new(FALSE, TRUE, sizeof(struct sched_charge));
	for (guint i = 0; i < h->pieces->len; i++) {
		const struct hold_piece *p = hold_piece_at(h, i);

		charge_some(s, j, h, p->worker, p->accelerators);
	}
	j->charged = true;
	committed_update(s, j);
}

/* The hold of a job's organisation on a worker with the least unused; NULL for none. */
static struct sched_hold *smallest_on(
	const struct sched *s, const struct sched_job *j, uint32_t worker)
{
	struct sched_hold *best = NULL;

	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (h->org == j->org && hold_unused_on(h, worker) > 0 &&
			(best == NULL || hold_unused(h) < hold_unused(best)))
			best = h;
	}
	return best;
}

/*
 * Charge a job's members to its organisation's holds: to the given one first, then to the
 * smallest, so that large shapes stay whole. The room must have been checked.
 */
void hold_charge(struct sched *s, struct sched_job *j, struct sched_hold *first)
{
	if (j->charges == NULL)
		j->charges = g_array_new(FALSE, TRUE, sizeof(struct sched_charge));
	for (uint32_t i = 0; i < j->members_len; i++) {
		uint32_t worker = j->members[i].worker;
		uint32_t n = j->members[i].accelerators;
		struct sched_hold *h = first;

		while (n > 0) {
			if (h != NULL)
				n -= charge_some(s, j, h, worker, n);
			h = n > 0 ? smallest_on(s, j, worker) : NULL;
			if (n > 0 && h == NULL)
				abort();
		}
	}
	j->charged = true;
	committed_update(s, j);
}

/* Give one charge back. */
static void return_charge(struct sched *s, const struct sched_charge *c)
{
	struct hold_piece *p = piece_on(c->hold, c->worker);

	p->used -= c->accelerators;
	add_left(s, c->hold->org, c->worker, c->accelerators);
}

/* Give back all that a job is charged. */
void hold_uncharge(struct sched *s, struct sched_job *j)
{
	for (guint i = 0; j->charges != NULL && i < j->charges->len; i++)
		return_charge(s, &g_array_index(j->charges, struct sched_charge, i));
	if (j->charges != NULL)
		g_array_set_size(j->charges, 0);
	j->charged = false;
}

/* Drop a job's charges to one hold; true where there were any. */
static bool drop_charges_of(struct sched *s, struct sched_job *j, const struct sched_hold *h)
{
	bool any = false;

	for (guint i = j->charges != NULL ? j->charges->len : 0; i-- > 0;) {
		const struct sched_charge *c =
			&g_array_index(j->charges, struct sched_charge, i);

		if (c->hold != h)
			continue;
		return_charge(s, c);
		g_array_remove_index_fast(j->charges, i);
		any = true;
	}
	return any;
}

/*
 * Drop all charges to a hold. A job that is left without any is protected no longer; one that
 * was waiting for its place goes back into the queue.
 */
void hold_drop_charges(struct sched *s, struct sched_hold *h)
{
	g_autoptr(GPtrArray) jobs = g_ptr_array_new();

	for (guint i = 0; i < s->active->len; i++) {
		if (drop_charges_of(s, s->active->pdata[i], h))
			g_ptr_array_add(jobs, s->active->pdata[i]);
	}
	for (guint i = 0; i < jobs->len; i++) {
		struct sched_job *j = jobs->pdata[i];

		if (j->state == SCHED_JOB_CLAIMING) {
			sched_release(s, j);
			queue_add(s, j->claim_at, j);
			continue;
		}
		j->charged = j->charges->len > 0;
		committed_update(s, j);
	}
}
