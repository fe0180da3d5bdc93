#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/* The cell of an organisation's per-worker table. */
static uint32_t *table_cell(GArray *table, uint32_t worker)
{
	if (table->len <= worker)
		g_array_set_size(table, worker + 1);
	return &g_array_index(table, uint32_t, worker);
}

/* Accelerators that an organisation's holds keep on a worker. */
uint32_t *org_held(const struct sched *s, uint32_t org, uint32_t worker)
{
	return table_cell(sched_org_at(s, org)->held, worker);
}

/* Accelerators on a worker that the organisation's charged jobs use. */
uint32_t *org_charged(const struct sched *s, uint32_t org, uint32_t worker)
{
	return table_cell(sched_org_at(s, org)->charged, worker);
}

/* Guaranteed accelerators on a worker that the organisation does not use. */
uint32_t org_left(const struct sched *s, uint32_t org, uint32_t worker)
{
	return *org_held(s, org, worker) - *org_charged(s, org, worker);
}

/* Free a hold. */
void hold_free(void *p)
{
	struct sched_hold *h = p;

	g_array_unref(h->pieces);
	free(h);
}

/* Put a hold at its pieces. */
static void put_hold(struct sched *s, struct sched_hold *h)
{
	for (guint i = 0; i < h->pieces->len; i++) {
		struct pack_piece *p = &g_array_index(h->pieces, struct pack_piece, i);

		*org_held(s, h->org, p->worker) += p->accelerators;
		sched_worker_at(s, p->worker)->held += p->accelerators;
	}
	h->placed = true;
	h->impossible_since = 0;
}

/* Take a hold from its place. */
static void lift_hold(struct sched *s, struct sched_hold *h)
{
	if (!h->placed)
		return;
	for (guint i = 0; i < h->pieces->len; i++) {
		struct pack_piece *p = &g_array_index(h->pieces, struct pack_piece, i);

		*org_held(s, h->org, p->worker) -= p->accelerators;
		sched_worker_at(s, p->worker)->held -= p->accelerators;
	}
	g_array_set_size(h->pieces, 0);
	h->placed = false;
}

/* Whether no charged job needs the hold at its place. */
static bool is_movable(const struct sched *s, const struct sched_hold *h)
{
	if (!h->placed)
		return false;
	for (guint i = 0; i < h->pieces->len; i++) {
		const struct pack_piece *p = &g_array_index(h->pieces, struct pack_piece, i);

		if (org_left(s, h->org, p->worker) < p->accelerators)
			return false;
	}
	return true;
}

/* How many more accelerators of a worker can be kept for guarantees. */
static uint32_t hold_room(const struct sched_worker *w)
{
	int32_t n = w->capacity.accelerators - w->firm.accelerators - (int32_t)w->held;

	if (!w->up || w->draining || w->quarantined)
		return 0;
	for (; n > 0; n--) {
		struct sched_res need = res_share(&w->capacity, w->held + (uint32_t)n);

		res_add(&need, &w->firm);
		if (res_fits(&need, &w->capacity))
			return (uint32_t)n;
	}
	return 0;
}

/* The room for holds on all workers, for the packing routine. */
static GArray *hold_rooms(const struct sched *s)
{
	GArray *rooms =
		g_array_sized_new(FALSE, TRUE, sizeof(struct pack_worker), s->workers->len);

	for (uint32_t i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = sched_worker_at(s, i);
		struct pack_worker p = {.rack = w->rack, .free = hold_room(w)};

		g_array_append_val(rooms, p);
	}
	return rooms;
}

/* Find a place for one hold in the given rooms. */
static bool place_hold(struct sched *s, struct sched_hold *h, GArray *rooms)
{
	struct pack_shape shape = {h->accelerators, h->adjacency};

	if (!pack_one(&shape, 0, (struct pack_worker *)rooms->data, rooms->len, h->pieces))
		return false;
	put_hold(s, h);
	return true;
}

/* Number of holds without a place. */
static uint32_t count_unplaced(const struct sched *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->holds->len; i++)
		n += !((struct sched_hold *)s->holds->pdata[i])->placed;
	return n;
}

/* Copies of all pieces, to go back to. */
static GPtrArray *save_pieces(const struct sched *s)
{
	GPtrArray *saved = g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);

	for (guint i = 0; i < s->holds->len; i++) {
		const struct sched_hold *h = s->holds->pdata[i];
		GArray *copy = g_array_new(FALSE, TRUE, sizeof(struct pack_piece));

		if (h->placed)
			g_array_append_vals(copy, h->pieces->data, h->pieces->len);
		g_ptr_array_add(saved, copy);
	}
	return saved;
}

/* Lift each hold that can move and put all back in a better order. */
static void repack(struct sched *s)
{
	uint32_t before = count_unplaced(s);
	GPtrArray *saved = save_pieces(s);
	GPtrArray *lifted = g_ptr_array_new();
	GArray *rooms;

	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (h->placed && !is_movable(s, h))
			continue;
		lift_hold(s, h);
		g_ptr_array_add(lifted, h);
	}
	rooms = hold_rooms(s);
	for (guint i = 0; i < lifted->len; i++)
		place_hold(s, lifted->pdata[i], rooms);
	if (count_unplaced(s) > before) {
		for (guint i = 0; i < lifted->len; i++)
			lift_hold(s, lifted->pdata[i]);
		for (guint i = 0; i < s->holds->len; i++) {
			struct sched_hold *h = s->holds->pdata[i];
			GArray *old = saved->pdata[i];

			if (h->placed || old->len == 0)
				continue;
			g_array_append_vals(h->pieces, old->data, old->len);
			put_hold(s, h);
		}
	}
	g_array_unref(rooms);
	g_ptr_array_unref(lifted);
	g_ptr_array_unref(saved);
}

/* Find places for the holds that have none, moving others where that helps. */
void plan_place(struct sched *s, int64_t now)
{
	GArray *rooms;

	if (count_unplaced(s) == 0)
		return;
	rooms = hold_rooms(s);
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->placed)
			place_hold(s, h, rooms);
	}
	g_array_unref(rooms);
	if (count_unplaced(s) > 0)
		repack(s);
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->placed && h->impossible_since == 0)
			h->impossible_since = now;
	}
}

/* Take back the protection of charged jobs on a worker beyond what is held there. */
static void uncharge_excess(struct sched *s, uint32_t org, uint32_t worker)
{
	for (guint i = 0; i < s->active->len; i++) {
		struct sched_job *j = s->active->pdata[i];
		bool here = false;

		if (*org_charged(s, org, worker) <= *org_held(s, org, worker))
			return;
		for (uint32_t m = 0; m < j->members_len; m++)
			here = here || j->members[m].worker == worker;
		if (j->org != org || !j->charged || !here)
			continue;
		if (j->state == SCHED_JOB_CLAIMING) {
			sched_give_back(s, j);
			j->state = SCHED_JOB_QUEUED;
			queue_add(s, j->claim_at, j);
			i--;
			continue;
		}
		for (uint32_t m = 0; m < j->members_len; m++) {
			struct sched_member *mb = &j->members[m];

			if (mb->ended)
				continue;
			*org_charged(s, org, mb->worker) -= mb->accelerators;
			sched_worker_at(s, mb->worker)->held += mb->accelerators;
			if (job_stoppable(j))
				res_sub(&sched_worker_at(s, mb->worker)->firm, &mb->need);
		}
		j->charged = false;
	}
}

/* After holds were removed: no organisation is charged more than it holds anywhere. */
static void uncharge_all_excess(struct sched *s)
{
	for (uint32_t o = 0; o < s->orgs->len; o++) {
		for (uint32_t w = 0; w < s->workers->len; w++) {
			if (*org_charged(s, o, w) > *org_held(s, o, w))
				uncharge_excess(s, o, w);
		}
	}
}

/* Lift holds from workers where firm use and unused guarantees no longer fit together. */
void plan_lift_overfull(struct sched *s)
{
	for (uint32_t w = 0; w < s->workers->len; w++) {
		struct sched_worker *at = sched_worker_at(s, w);

		for (guint i = 0; i < s->holds->len; i++) {
			struct sched_hold *h = s->holds->pdata[i];
			struct sched_res room = worker_firm_room(at);
			struct sched_res none = {0};
			bool here = false;

			if (!at->up || res_fits(&none, &room))
				break;
			for (guint k = 0; k < h->pieces->len; k++)
				here = here ||
				       g_array_index(h->pieces, struct pack_piece, k).worker ==
					       w;
			if (here && is_movable(s, h))
				lift_hold(s, h);
		}
	}
}

/* Find a hold of the old document that serves a shape of the new one. */
static struct sched_hold *match_hold(
	struct sched *s, uint32_t org, const struct doc_guarantee *g)
{
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (h->stale && h->org == org && h->accelerators == g->accelerators &&
			h->adjacency == g->adjacency)
			return h;
	}
	return NULL;
}

/* Take over or add the holds for one guarantee. */
static void keep_holds(struct sched *s, uint32_t org, const struct doc_guarantee *g)
{
	for (uint32_t i = 0; i < g->count; i++) {
		struct sched_hold *h = match_hold(s, org, g);

		if (h == NULL) {
			h = xcalloc(1, sizeof(*h));
			h->org = org;
			h->accelerators = g->accelerators;
			h->adjacency = g->adjacency;
			h->pieces = g_array_new(FALSE, TRUE, sizeof(struct pack_piece));
			g_ptr_array_add(s->holds, h);
		}
		h->stale = false;
		sched_org_at(s, org)->guaranteed += g->accelerators;
	}
}

/* Make the holds those of a new document; places that are still right stay. */
void plan_set_holds(struct sched *s, int64_t now, const struct doc *d)
{
	const struct doc_org *o;
	const struct doc_guarantee *g;

	for (guint i = 0; i < s->holds->len; i++)
		((struct sched_hold *)s->holds->pdata[i])->stale = true;
	STAILQ_FOREACH(o, &d->orgs, entry)
	{
		for (uint32_t i = 0; i < s->orgs->len; i++) {
			if (strcmp(sched_org_at(s, i)->name, o->name) != 0)
				continue;
			sched_org_at(s, i)->guaranteed = 0;
			STAILQ_FOREACH(g, &o->guarantees, entry)
			keep_holds(s, i, g);
		}
	}
	for (guint i = s->holds->len; i-- > 0;) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->stale)
			continue;
		lift_hold(s, h);
		g_ptr_array_remove_index(s->holds, i);
	}
	uncharge_all_excess(s);
	plan_lift_overfull(s);
	plan_cover_running(s);
	plan_place(s, now);
}

/* A worker is gone: its holds need new places. */
void plan_drop_worker(struct sched *s, int64_t now, uint32_t worker)
{
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];
		bool here = false;

		for (guint k = 0; k < h->pieces->len; k++)
			here = here ||
			       g_array_index(h->pieces, struct pack_piece, k).worker == worker;
		if (here)
			lift_hold(s, h);
	}
	uncharge_all_excess(s);
	plan_lift_overfull(s);
	plan_place(s, now);
}

/* Free accelerators on the workers of a hold's place. */
static uint32_t free_at_hold(const struct sched *s, const struct sched_hold *h)
{
	uint32_t sum = 0;

	for (guint i = 0; i < h->pieces->len; i++) {
		const struct pack_piece *p = &g_array_index(h->pieces, struct pack_piece, i);
		struct sched_res room = worker_free(sched_worker_at(s, p->worker));

		sum += (uint32_t)CLAMP(room.accelerators, 0, (int32_t)p->accelerators);
	}
	return sum;
}

/* Room for a hold that is also free now. */
static GArray *free_rooms(const struct sched *s)
{
	GArray *rooms = hold_rooms(s);

	for (uint32_t i = 0; i < rooms->len; i++) {
		struct pack_worker *p = &g_array_index(rooms, struct pack_worker, i);
		struct sched_res room = worker_free(sched_worker_at(s, i));

		p->free = MIN(p->free, (uint32_t)MAX(room.accelerators, 0));
	}
	return rooms;
}

/*
 * Before borrowers are stopped for a job: move an unused hold of its organisation, into which
 * it fits, to where all is free. True where a hold was moved.
 */
bool plan_move_to_free(struct sched *s, const struct sched_job *j)
{
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];
		g_autoptr(GArray) old = NULL;
		g_autoptr(GArray) rooms = NULL;

		if (h->org != j->org || h->accelerators < j->accelerators ||
			!is_movable(s, h) || free_at_hold(s, h) == h->accelerators)
			continue;
		old = g_array_new(FALSE, TRUE, sizeof(struct pack_piece));
		g_array_append_vals(old, h->pieces->data, h->pieces->len);
		lift_hold(s, h);
		rooms = free_rooms(s);
		if (place_hold(s, h, rooms)) {
			s->counts.moved_holds++;
			return true;
		}
		g_array_append_vals(h->pieces, old->data, old->len);
		put_hold(s, h);
	}
	return false;
}

/* Whether a job's place would be a legal part of a hold. */
static bool hold_suits(
	const struct sched *s, const struct sched_hold *h, const struct sched_job *j)
{
	const struct sched_worker *first = sched_worker_at(s, j->members[0].worker);

	if (h->placed || h->org != j->org || h->accelerators < j->accelerators)
		return false;
	for (uint32_t i = 1; i < j->members_len; i++) {
		if (h->adjacency == ADJACENCY_WORKER)
			return false;
		if (h->adjacency == ADJACENCY_RACK &&
			sched_worker_at(s, j->members[i].worker)->rack != first->rack)
			return false;
	}
	return true;
}

/* Whether each member stays within the proportional share of its worker. */
static bool is_chargeable(const struct sched *s, const struct sched_job *j)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_worker *w = sched_worker_at(s, j->members[i].worker);
		struct sched_res share = res_share(&w->capacity, j->members[i].accelerators);

		if (!w->up || !res_fits(&j->members[i].need, &share))
			return false;
	}
	return j->accelerators > 0;
}

/* Place a hold around a running job and charge the job to it. */
static bool cover_job(struct sched *s, struct sched_hold *h, struct sched_job *j)
{
	const struct sched_worker *first = sched_worker_at(s, j->members[0].worker);
	struct pack_shape rest = {h->accelerators - j->accelerators, h->adjacency};
	bool firm = !job_stoppable(j);
	g_autoptr(GArray) rooms = NULL;
	bool ok;

	for (uint32_t i = 0; firm && i < j->members_len; i++)
		res_sub(&sched_worker_at(s, j->members[i].worker)->firm, &j->members[i].need);
	rooms = hold_rooms(s);
	ok = true;
	for (uint32_t i = 0; i < j->members_len; i++) {
		struct pack_worker *p =
			&g_array_index(rooms, struct pack_worker, j->members[i].worker);
		struct pack_piece piece = {.worker = j->members[i].worker,
			.accelerators = j->members[i].accelerators};

		ok = ok && p->free >= piece.accelerators;
		p->free -= MIN(p->free, piece.accelerators);
		g_array_append_val(h->pieces, piece);
	}
	for (uint32_t i = 0; i < rooms->len; i++) {
		struct pack_worker *p = &g_array_index(rooms, struct pack_worker, i);

		if ((h->adjacency == ADJACENCY_WORKER && i != j->members[0].worker) ||
			(h->adjacency == ADJACENCY_RACK && p->rack != first->rack))
			p->free = 0;
	}
	if (ok && rest.accelerators > 0)
		ok = pack_one(
			&rest, 0, (struct pack_worker *)rooms->data, rooms->len, h->pieces);
	for (uint32_t i = 0; (firm || ok) && i < j->members_len; i++)
		res_add(&sched_worker_at(s, j->members[i].worker)->firm, &j->members[i].need);
	if (!ok) {
		g_array_set_size(h->pieces, 0);
		return false;
	}
	put_hold(s, h);
	for (uint32_t i = 0; i < j->members_len; i++) {
		*org_charged(s, j->org, j->members[i].worker) += j->members[i].accelerators;
		sched_worker_at(s, j->members[i].worker)->held -= j->members[i].accelerators;
	}
	j->charged = true;
	return true;
}

/* Place holds around running jobs that no hold covers; those that cannot be stopped first. */
void plan_cover_running(struct sched *s)
{
	for (int round = 0; round < 2; round++) {
		for (guint i = 0; i < s->active->len; i++) {
			struct sched_job *j = s->active->pdata[i];

			if (j->charged || j->state != SCHED_JOB_RUNNING ||
				job_stoppable(j) != (round == 1) || !is_chargeable(s, j))
				continue;
			for (guint k = 0; k < s->holds->len && !j->charged; k++) {
				struct sched_hold *h = s->holds->pdata[k];

				if (hold_suits(s, h, j))
					cover_job(s, h, j);
			}
		}
	}
}
