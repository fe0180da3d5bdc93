#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/* How many more accelerators of a worker can be kept for guarantees. */
static uint32_t hold_room(const struct sched_worker *w)
{
	int32_t n = w->capacity.accelerators - w->committed.accelerators - (int32_t)w->held;

	if (!w->up || w->draining || w->quarantined)
		return 0;
	for (; n > 0; n--) {
		struct sched_res need = res_share(&w->capacity, w->held + (uint32_t)n);

		res_add(&need, &w->committed);
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

/* Find a place for a shape in the given rooms and put a hold there, with what it has already.
 */
static bool place_rest(
	struct sched *s, struct sched_hold *h, uint32_t rest, GArray *rooms, GArray *pieces)
{
	struct pack_shape shape = {rest, h->adjacency};

	if (rest > 0 &&
		!pack_one(&shape, 0, (struct pack_worker *)rooms->data, rooms->len, pieces))
		return false;
	hold_place(s, h, pieces);
	return true;
}

/* Find a place for a whole hold. */
static bool place_hold(struct sched *s, struct sched_hold *h, GArray *rooms)
{
	g_autoptr(GArray) pieces = g_array_new(FALSE, TRUE, sizeof(struct pack_piece));

	return place_rest(s, h, h->accelerators, rooms, pieces);
}

/* Number of holds without a place. */
static uint32_t count_unplaced(const struct sched *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->holds->len; i++)
		n += !((struct sched_hold *)s->holds->pdata[i])->placed;
	return n;
}

/* The place of a hold, to go back to. */
static GArray *save_place(const struct sched_hold *h)
{
	GArray *saved = g_array_new(FALSE, TRUE, sizeof(struct pack_piece));

	for (guint i = 0; i < h->pieces->len; i++) {
		const struct hold_piece *p = hold_piece_at(h, i);
		struct pack_piece copy = {0, p->worker, p->accelerators};

		g_array_append_val(saved, copy);
	}
	return saved;
}

/* Tight adjacency first, then the large; as the packing routine has it. */
static int compare_holds(const void *a, const void *b)
{
	const struct sched_hold *x = *(struct sched_hold *const *)a;
	const struct sched_hold *y = *(struct sched_hold *const *)b;

	if (x->adjacency != y->adjacency)
		return x->adjacency > y->adjacency ? -1 : 1;
	if (x->accelerators != y->accelerators)
		return x->accelerators > y->accelerators ? -1 : 1;
	return x->org < y->org ? -1 : x->org > y->org;
}

/* Holds that were lifted together, with the places to go back to. */
struct lifted {
	GPtrArray *holds;
	GPtrArray *places;
};

/* Lift all holds that nobody uses. */
static struct lifted lift_unused(struct sched *s)
{
	struct lifted l = {g_ptr_array_new(),
		g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref)};

	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->placed || hold_movable(h))
			g_ptr_array_add(l.holds, h);
	}
	g_ptr_array_sort(l.holds, compare_holds);
	for (guint i = 0; i < l.holds->len; i++) {
		g_ptr_array_add(l.places, save_place(l.holds->pdata[i]));
		hold_unplace(s, l.holds->pdata[i]);
	}
	return l;
}

/* Find new places for lifted holds. */
static void place_lifted(struct sched *s, const struct lifted *l)
{
	g_autoptr(GArray) rooms = hold_rooms(s);

	for (guint i = 0; i < l->holds->len; i++) {
		struct sched_hold *h = l->holds->pdata[i];

		if (!h->placed)
			place_hold(s, h, rooms);
	}
}

/* Put lifted holds back where they were. */
static void restore_lifted(struct sched *s, const struct lifted *l)
{
	for (guint i = 0; i < l->holds->len; i++)
		hold_unplace(s, l->holds->pdata[i]);
	for (guint i = 0; i < l->holds->len; i++) {
		GArray *old = l->places->pdata[i];

		if (old->len > 0)
			hold_place(s, l->holds->pdata[i], old);
	}
}

static void lifted_clear(struct lifted *l)
{
	g_ptr_array_unref(l->holds);
	g_ptr_array_unref(l->places);
}

/* Put all unused holds to places in a better order, if more of them find one. */
static void repack(struct sched *s)
{
	uint32_t before = count_unplaced(s);
	struct lifted l = lift_unused(s);

	place_lifted(s, &l);
	if (count_unplaced(s) > before)
		restore_lifted(s, &l);
	lifted_clear(&l);
}

static void cover_by_any(struct sched *s, struct sched_job *j);

/*
 * Enter a job that cannot be stopped where unused holds are in its way, if these find other
 * places; one of its own organisation's may come to lie around it. False, and nothing changed,
 * where they do not.
 */
bool plan_start_moving_holds(struct sched *s, int64_t now, struct sched_job *j)
{
	uint32_t before = count_unplaced(s);
	struct lifted l = lift_unused(s);
	struct fit f;
	bool ok = fit_job(s, now, j, FIT_COMMITTED, NULL, &f);

	if (ok)
		sched_assign(s, j, &f, false, NULL, false);
	if (ok) {
		cover_by_any(s, j);
		place_lifted(s, &l);
	}
	if (ok && count_unplaced(s) > before) {
		sched_release(s, j);
		ok = false;
	}
	if (!ok)
		restore_lifted(s, &l);
	lifted_clear(&l);
	return ok;
}

/* Find places for the holds that have none, moving others where that helps. */
void plan_place_holds(struct sched *s, int64_t now)
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

/* Whether firm use and unused guarantees no longer fit together on a worker. */
static bool is_overfull(const struct sched_worker *w)
{
	struct sched_res room = worker_uncommitted(w);
	struct sched_res none = {0};

	return w->up && !res_fits(&none, &room);
}

/*
 * Lift holds from workers where firm use and unused guarantees no longer fit together: those
 * that nobody uses first, then the others.
 */
void plan_unplace_overcommitted(struct sched *s)
{
	for (uint32_t w = 0; w < s->workers->len; w++) {
		for (guint i = 0; i < 2 * s->holds->len; i++) {
			struct sched_hold *h = s->holds->pdata[i % s->holds->len];
			bool any = i >= s->holds->len;

			if (!is_overfull(sched_worker_at(s, w)))
				break;
			if (hold_is_on(h, w) && (any || hold_movable(h)))
				hold_unplace(s, h);
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
			h = hold_new(org, g);
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
	for (uint32_t i = 0; i < s->orgs->len; i++) {
		o = doc_find_org(d, sched_org_at(s, i)->name);
		sched_org_at(s, i)->guaranteed = 0;
		if (o == NULL)
			continue;
		STAILQ_FOREACH(g, &o->guarantees, entry)
		keep_holds(s, i, g);
	}
	for (guint i = s->holds->len; i-- > 0;) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->stale)
			continue;
		hold_unplace(s, h);
		g_ptr_array_remove_index(s->holds, i);
	}
	plan_charge_running(s);
	plan_place_holds(s, now);
}

/* Whether a hold keeps accelerators where its owner could not use them now. */
static bool is_misplaced(const struct sched *s, const struct sched_hold *h)
{
	for (guint i = 0; i < h->pieces->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, hold_piece_at(h, i)->worker);

		if (w->draining || w->quarantined || w->restricted)
			return true;
	}
	return false;
}

/* Move the unused holds away from workers that take no work, where there is room elsewhere. */
void plan_move_from_unavailable(struct sched *s)
{
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];
		g_autoptr(GArray) old = NULL;
		g_autoptr(GArray) rooms = NULL;

		if (!hold_movable(h) || !is_misplaced(s, h))
			continue;
		old = save_place(h);
		hold_unplace(s, h);
		rooms = hold_rooms(s);
		if (!place_hold(s, h, rooms))
			hold_place(s, h, old);
	}
}

/* A worker is gone: its holds need new places. */
void plan_worker_down(struct sched *s, int64_t now, uint32_t worker)
{
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (hold_is_on(h, worker))
			hold_unplace(s, h);
	}
	plan_charge_running(s);
	plan_place_holds(s, now);
}

/* Move an unused hold to where all is free; false, and nothing changed, where that is nowhere.
 */
bool plan_move_to_free(struct sched *s, struct sched_hold *h)
{
	g_autoptr(GArray) old = save_place(h);
	g_autoptr(GArray) rooms = NULL;

	hold_unplace(s, h);
	rooms = free_rooms(s);
	if (place_hold(s, h, rooms)) {
		s->counts.moved_holds++;
		return true;
	}
	hold_place(s, h, old);
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

		if (!w->up || !share_covers(w, &j->members[i].need, j->members[i].accelerators))
			return false;
	}
	return j->accelerators > 0 && j->members_len > 0;
}

/* Take a job's members out of the rooms as the first pieces; false where they do not fit. */
static bool take_members(const struct sched_job *j, GArray *rooms, GArray *pieces)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_member *m = &j->members[i];
		struct pack_worker *p = &g_array_index(rooms, struct pack_worker, m->worker);
		struct pack_piece piece = {0, m->worker, m->accelerators};

		if (p->free < m->accelerators)
			return false;
		p->free -= m->accelerators;
		g_array_append_val(pieces, piece);
	}
	return true;
}

/* Leave only the rooms that are close enough to a job's first member. */
static void keep_near(
	const struct sched *s, const struct sched_hold *h, uint32_t worker, GArray *rooms)
{
	uint32_t rack = sched_worker_at(s, worker)->rack;

	for (uint32_t i = 0; i < rooms->len; i++) {
		struct pack_worker *p = &g_array_index(rooms, struct pack_worker, i);

		if ((h->adjacency == ADJACENCY_WORKER && i != worker) ||
			(h->adjacency == ADJACENCY_RACK && p->rack != rack))
			p->free = 0;
	}
}

/* Place a hold around a running job and charge the job to it. */
static bool cover_job(struct sched *s, struct sched_hold *h, struct sched_job *j)
{
	g_autoptr(GArray) pieces = g_array_new(FALSE, TRUE, sizeof(struct pack_piece));
	g_autoptr(GArray) rooms = NULL;
	bool ok;

	committed_clear(s, j);
	rooms = hold_rooms(s);
	ok = take_members(j, rooms, pieces);
	if (ok)
		keep_near(s, h, j->members[0].worker, rooms);
	ok = ok && place_rest(s, h, h->accelerators - j->accelerators, rooms, pieces);
	if (ok)
		hold_charge(s, j, h);
	else
		committed_update(s, j);
	return ok;
}

/* Accelerators of a member that no hold covers yet. */
static uint32_t uncovered(const struct sched_job *j, const struct sched_member *m)
{
	uint32_t n = m->accelerators;

	for (guint i = 0; j->charges != NULL && i < j->charges->len; i++) {
		const struct sched_charge *c =
			&g_array_index(j->charges, struct sched_charge, i);

		n -= c->worker == m->worker ? c->accelerators : 0;
	}
	return n;
}

/* Place a hold that is smaller than a job inside it. */
static bool cover_part(struct sched *s, struct sched_hold *h, struct sched_job *j)
{
	g_autoptr(GArray) rooms = g_array_new(FALSE, TRUE, sizeof(struct pack_worker));
	g_autoptr(GArray) pieces = g_array_new(FALSE, TRUE, sizeof(struct pack_piece));
	struct pack_shape shape = {h->accelerators, h->adjacency};

	for (uint32_t i = 0; i < j->members_len; i++) {
		struct pack_worker p = {.rack = sched_worker_at(s, j->members[i].worker)->rack,
			.free = uncovered(j, &j->members[i])};

		g_array_append_val(rooms, p);
	}
	if (h->placed || h->org != j->org ||
		!pack_one(&shape, 0, (struct pack_worker *)rooms->data, rooms->len, pieces))
		return false;
	for (guint i = 0; i < pieces->len; i++) {
		struct pack_piece *p = &g_array_index(pieces, struct pack_piece, i);

		p->worker = j->members[p->worker].worker;
	}
	hold_place(s, h, pieces);
	hold_charge_all(s, j, h);
	return true;
}

/* Place the first hold that suits around a job, or else smaller ones inside it. */
static void cover_by_any(struct sched *s, struct sched_job *j)
{
	if (!is_chargeable(s, j))
		return;
	for (guint k = 0; k < s->holds->len; k++) {
		struct sched_hold *h = s->holds->pdata[k];

		if (hold_suits(s, h, j) && cover_job(s, h, j))
			return;
	}
	for (guint k = 0; !job_stoppable(j) && k < s->holds->len; k++)
		cover_part(s, s->holds->pdata[k], j);
}

/* Place holds around running jobs that no hold covers; those that cannot be stopped first. */
void plan_charge_running(struct sched *s)
{
	if (count_unplaced(s) == 0)
		return;
	for (int round = 0; round < 2; round++) {
		for (guint i = 0; i < s->active->len; i++) {
			struct sched_job *j = s->active->pdata[i];

			if (!j->charged && j->state == SCHED_JOB_RUNNING &&
				job_stoppable(j) == (round == 1))
				cover_by_any(s, j);
		}
	}
}
