#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/* Returns the entry for a worker in an organisation's table of unused guarantees. */
static uint32_t *unused_entry(const struct sched *s, uint32_t org, uint32_t worker)
{
	GArray *table = sched_org_at(s, org)->unused_guarantee;

	if (table->len <= worker)
		g_array_set_size(table, worker + 1);
	return &g_array_index(table, uint32_t, worker);
}

/* Returns the guaranteed accelerators on a worker that their organisation does not use. */
uint32_t org_unused(const struct sched *s, uint32_t org, uint32_t worker)
{
	return *unused_entry(s, org, worker);
}

/* Returns a new hold that is not placed. */
struct sched_hold *hold_new(uint32_t org, const struct doc_guarantee *g)
{
	struct sched_hold *h = xcalloc(1, sizeof(*h));

	h->org = org;
	h->accelerators = g->accelerators;
	h->adjacency = g->adjacency;
	h->pieces = g_array_new(FALSE, TRUE, sizeof(struct hold_piece));
	return h;
}

void hold_free(void *p)
{
	struct sched_hold *h = p;

	g_array_unref(h->pieces);
	free(h);
}

struct hold_piece *hold_piece_at(const struct sched_hold *h, guint i)
{
	return &g_array_index(h->pieces, struct hold_piece, i);
}

/* Returns the piece of a hold on a worker, or NULL. */
static struct hold_piece *piece_on(const struct sched_hold *h, uint32_t worker)
{
	for (guint i = 0; i < h->pieces->len; i++) {
		if (hold_piece_at(h, i)->worker == worker)
			return hold_piece_at(h, i);
	}
	return NULL;
}

/* Returns the accelerators of a hold on a worker that are not charged to jobs. */
uint32_t hold_unused_on(const struct sched_hold *h, uint32_t worker)
{
	const struct hold_piece *p = piece_on(h, worker);

	return p != NULL ? p->accelerators - p->used : 0;
}

/* Returns the accelerators of a hold that are not charged to jobs; 0 if it is not placed. */
uint32_t hold_unused(const struct sched_hold *h)
{
	uint32_t sum = 0;

	for (guint i = 0; i < h->pieces->len; i++)
		sum += hold_piece_at(h, i)->accelerators - hold_piece_at(h, i)->used;
	return sum;
}

/* Returns whether a hold is placed and no job is charged to it, so that it can be moved. */
bool hold_movable(const struct sched_hold *h)
{
	return h->placed && hold_unused(h) == h->accelerators;
}

/* Returns whether a hold has a piece on a worker. */
bool hold_is_on(const struct sched_hold *h, uint32_t worker)
{
	return piece_on(h, worker) != NULL;
}

/* Adds to the unused guarantees on a worker, for the organisation and for the worker. */
static void add_unused(struct sched *s, uint32_t org, uint32_t worker, uint32_t n)
{
	*unused_entry(s, org, worker) += n;
	sched_worker_at(s, worker)->held += n;
}

static void sub_unused(struct sched *s, uint32_t org, uint32_t worker, uint32_t n)
{
	*unused_entry(s, org, worker) -= n;
	sched_worker_at(s, worker)->held -= n;
}

/* Places a hold according to a packing result; merges the pieces on the same worker. */
void hold_place(struct sched *s, struct sched_hold *h, const GArray *pieces)
{
	g_array_set_size(h->pieces, 0);
	for (guint i = 0; i < pieces->len; i++) {
		const struct pack_allocation *p =
			&g_array_index(pieces, struct pack_allocation, i);
		struct hold_piece *existing = piece_on(h, p->worker);
		struct hold_piece added = {p->worker, p->accelerators, 0};

		if (existing != NULL)
			existing->accelerators += p->accelerators;
		else
			g_array_append_val(h->pieces, added);
		add_unused(s, h->org, p->worker, p->accelerators);
	}
	h->placed = true;
	h->unplaced_since = 0;
}

/* Removes the placement of a hold and all charges to it. */
void hold_unplace(struct sched *s, struct sched_hold *h)
{
	hold_drop_charges(s, h);
	for (guint i = 0; i < h->pieces->len; i++)
		sub_unused(s, h->org, hold_piece_at(h, i)->worker,
			hold_piece_at(h, i)->accelerators);
	g_array_set_size(h->pieces, 0);
	h->placed = false;
}

/* Charges up to n accelerators of a job to a hold on a worker; returns how many. */
static uint32_t charge_up_to(
	struct sched *s, struct sched_job *j, struct sched_hold *h, uint32_t worker, uint32_t n)
{
	struct hold_piece *p = h->placed && h->org == j->org ? piece_on(h, worker) : NULL;
	uint32_t count = p != NULL ? MIN(n, p->accelerators - p->used) : 0;
	struct sched_charge c = {h, worker, count};

	if (count == 0)
		return 0;
	p->used += count;
	sub_unused(s, h->org, worker, count);
	g_array_append_val(j->charges, c);
	return count;
}

/* Returns how many accelerators of a member are charged to holds. */
static uint32_t charged_accelerators(const struct sched_job *j, const struct sched_member *m)
{
	uint32_t n = 0;

	for (guint i = 0; j->charges != NULL && i < j->charges->len; i++) {
		const struct sched_charge *c =
			&g_array_index(j->charges, struct sched_charge, i);

		n += c->worker == m->worker ? c->accelerators : 0;
	}
	return n;
}

/* Subtracts a job from the committed resources of its workers. */
void committed_clear(struct sched *s, struct sched_job *j)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		struct sched_member *m = &j->members[i];

		res_sub(&sched_worker_at(s, m->worker)->committed, &m->committed);
		memset(&m->committed, 0, sizeof(m->committed));
	}
}

/*
 * Updates the committed resources of a job and its workers. A charged member counts with at
 * least the share of its charged accelerators, so that this share is available to the hold when
 * the job has ended.
 */
void committed_update(struct sched *s, struct sched_job *j)
{
	committed_clear(s, j);
	for (uint32_t i = 0; (j->charged || !job_stoppable(j)) && i < j->members_len; i++) {
		struct sched_member *m = &j->members[i];
		struct sched_worker *w = sched_worker_at(s, m->worker);
		struct sched_res share = res_share(&w->capacity, charged_accelerators(j, m));

		m->committed = m->need;
		m->committed.slots = MAX(m->committed.slots, share.slots);
		m->committed.cores = MAX(m->committed.cores, share.cores);
		m->committed.memory_mb = MAX(m->committed.memory_mb, share.memory_mb);
		res_add(&w->committed, &m->committed);
	}
}

/*
 * Charges accelerators of a job to a hold that was placed entirely on accelerators that the job
 * occupies.
 */
void hold_charge_pieces(struct sched *s, struct sched_job *j, struct sched_hold *h)
{
	if (j->charges == NULL)
		j->charges = g_array_new(FALSE, TRUE, sizeof(struct sched_charge));
	for (guint i = 0; i < h->pieces->len; i++) {
		const struct hold_piece *p = hold_piece_at(h, i);

		charge_up_to(s, j, h, p->worker, p->accelerators);
	}
	j->charged = true;
	committed_update(s, j);
}

/*
 * Returns the hold of a job's organisation with the fewest unused accelerators among those that
 * have unused accelerators on a worker, or NULL.
 */
static struct sched_hold *smallest_hold_on(
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
 * Charges the members of a job to holds of its organisation: to the given one first, then to
 * the smallest ones, so that large shapes remain available. The caller must have checked that
 * the holds suffice.
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
				n -= charge_up_to(s, j, h, worker, n);
			h = n > 0 ? smallest_hold_on(s, j, worker) : NULL;
			if (n > 0 && h == NULL)
				abort();
		}
	}
	j->charged = true;
	committed_update(s, j);
}

/* Makes the accelerators of a charge unused again in its hold. */
static void revert_charge(struct sched *s, const struct sched_charge *c)
{
	struct hold_piece *p = piece_on(c->hold, c->worker);

	p->used -= c->accelerators;
	add_unused(s, c->hold->org, c->worker, c->accelerators);
}

/* Removes all charges of a job. */
void hold_uncharge(struct sched *s, struct sched_job *j)
{
	for (guint i = 0; j->charges != NULL && i < j->charges->len; i++)
		revert_charge(s, &g_array_index(j->charges, struct sched_charge, i));
	if (j->charges != NULL)
		g_array_set_size(j->charges, 0);
	j->charged = false;
}

/* Removes the charges of a job to a hold; returns whether there were any. */
static bool drop_job_charges(struct sched *s, struct sched_job *j, const struct sched_hold *h)
{
	bool dropped = false;

	for (guint i = j->charges != NULL ? j->charges->len : 0; i-- > 0;) {
		const struct sched_charge *c =
			&g_array_index(j->charges, struct sched_charge, i);

		if (c->hold != h)
			continue;
		revert_charge(s, c);
		g_array_remove_index_fast(j->charges, i);
		dropped = true;
	}
	return dropped;
}

/*
 * Removes all charges to a hold. A job that was waiting for borrowers to stop is queued again,
 * as of the time when it began to wait.
 * A job without any remaining charge becomes a borrower and can be preempted if it is
 * stoppable.
 */
void hold_drop_charges(struct sched *s, struct sched_hold *h)
{
	g_autoptr(GPtrArray) jobs = g_ptr_array_new();

	for (guint i = 0; i < s->active->len; i++) {
		if (drop_job_charges(s, s->active->pdata[i], h))
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
