#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Index for a shape that is packed alone: pack_one only writes it into the allocations, where
 * it is not read here.
 */
#define SHAPE_INDEX_UNUSED 0

/* Returns how many more accelerators of a worker can be reserved for holds. */
static uint32_t holdable_accelerators(const struct sched_worker *w)
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

/* Returns the accelerators that holds can use on each worker, as input for pack_one. */
static GArray *list_holdable(const struct sched *s)
{
	GArray *capacities =
		g_array_sized_new(FALSE, TRUE, sizeof(struct pack_worker), s->workers->len);

	for (uint32_t i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = sched_worker_at(s, i);
		struct pack_worker p = {.rack = w->rack, .free = holdable_accelerators(w)};

		g_array_append_val(capacities, p);
	}
	return capacities;
}

/* Like list_holdable, but counts only accelerators that no job uses. */
static GArray *list_holdable_free(const struct sched *s)
{
	GArray *capacities = list_holdable(s);

	for (uint32_t i = 0; i < capacities->len; i++) {
		struct pack_worker *p = &g_array_index(capacities, struct pack_worker, i);
		struct sched_res available = worker_free(sched_worker_at(s, i));

		p->free = MIN(p->free, (uint32_t)MAX(available.accelerators, 0));
	}
	return capacities;
}

/*
 * Packs the remaining accelerators of a hold into the given capacities and places the hold
 * there. pieces lists the accelerators of the hold that are assigned to workers already.
 */
static bool pack_remaining(struct sched *s, struct sched_hold *h, uint32_t remaining,
	GArray *capacities, GArray *pieces)
{
	struct pack_shape shape = {remaining, h->adjacency};

	if (remaining > 0 &&
		!pack_one(&shape, SHAPE_INDEX_UNUSED, (struct pack_worker *)capacities->data,
			capacities->len, pieces))
		return false;
	hold_place(s, h, pieces);
	return true;
}

/* Packs a whole hold into the given capacities and places it there. */
static bool pack_hold(struct sched *s, struct sched_hold *h, GArray *capacities)
{
	g_autoptr(GArray) pieces = g_array_new(FALSE, TRUE, sizeof(struct pack_allocation));

	return pack_remaining(s, h, h->accelerators, capacities, pieces);
}

/* Returns the number of holds that are not placed. */
static uint32_t count_unplaced(const struct sched *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->holds->len; i++)
		n += !((struct sched_hold *)s->holds->pdata[i])->placed;
	return n;
}

/* Returns a copy of the placement of a hold, to restore it later. */
static GArray *copy_pieces(const struct sched_hold *h)
{
	GArray *saved = g_array_new(FALSE, TRUE, sizeof(struct pack_allocation));

	for (guint i = 0; i < h->pieces->len; i++) {
		const struct hold_piece *p = hold_piece_at(h, i);
		struct pack_allocation piece = {SHAPE_INDEX_UNUSED, p->worker, p->accelerators};

		g_array_append_val(saved, piece);
	}
	return saved;
}

/*
 * Orders holds by adjacency, narrowest first, then by size, largest first. This is the order
 * that the packing routine uses.
 */
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

/* Holds and their placements before they were unplaced. */
struct unplaced_holds {
	GPtrArray *holds;
	GPtrArray *pieces;
};

/* Unplaces all holds that no job is charged to. */
static struct unplaced_holds unplace_unused(struct sched *s)
{
	struct unplaced_holds unplaced = {g_ptr_array_new(),
		g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref)};

	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->placed || hold_movable(h))
			g_ptr_array_add(unplaced.holds, h);
	}
	g_ptr_array_sort(unplaced.holds, compare_holds);
	for (guint i = 0; i < unplaced.holds->len; i++) {
		g_ptr_array_add(unplaced.pieces, copy_pieces(unplaced.holds->pdata[i]));
		hold_unplace(s, unplaced.holds->pdata[i]);
	}
	return unplaced;
}

/* Places holds anew, as far as they fit. */
static void pack_unplaced(struct sched *s, const struct unplaced_holds *unplaced)
{
	g_autoptr(GArray) capacities = list_holdable(s);

	for (guint i = 0; i < unplaced->holds->len; i++) {
		struct sched_hold *h = unplaced->holds->pdata[i];

		if (!h->placed)
			pack_hold(s, h, capacities);
	}
}

/* Restores the previous placements of holds. */
static void restore_holds(struct sched *s, const struct unplaced_holds *unplaced)
{
	for (guint i = 0; i < unplaced->holds->len; i++)
		hold_unplace(s, unplaced->holds->pdata[i]);
	for (guint i = 0; i < unplaced->holds->len; i++) {
		GArray *saved = unplaced->pieces->pdata[i];

		if (saved->len > 0)
			hold_place(s, unplaced->holds->pdata[i], saved);
	}
}

static void unplaced_holds_clear(struct unplaced_holds *unplaced)
{
	g_ptr_array_unref(unplaced->holds);
	g_ptr_array_unref(unplaced->pieces);
}

/* Places all unused holds anew; restores the old placements if that places fewer of them. */
static void repack(struct sched *s)
{
	uint32_t before = count_unplaced(s);
	struct unplaced_holds unplaced = unplace_unused(s);

	pack_unplaced(s, &unplaced);
	if (count_unplaced(s) > before)
		restore_holds(s, &unplaced);
	unplaced_holds_clear(&unplaced);
}

static void charge_to_any(struct sched *s, struct sched_job *j);

/*
 * Assigns a job that cannot be stopped to workers that unused holds occupy, and places these
 * holds anew; the caller starts the job. A hold of the job's own organisation may be placed
 * around the job, that is, on the accelerators of the job and, if it is larger, on others.
 * Returns false and changes nothing if more holds than before would be left without a
 * placement.
 */
bool plan_assign_moving_holds(struct sched *s, int64_t now, struct sched_job *j)
{
	uint32_t before = count_unplaced(s);
	struct unplaced_holds unplaced = unplace_unused(s);
	struct fit f;
	bool ok = fit_job(s, now, j, FIT_UNCOMMITTED, NULL, &f);

	if (ok)
		sched_assign(s, j, &f, false, NULL, false);
	if (ok) {
		charge_to_any(s, j);
		pack_unplaced(s, &unplaced);
	}
	if (ok && count_unplaced(s) > before) {
		sched_release(s, j);
		ok = false;
	}
	if (!ok)
		restore_holds(s, &unplaced);
	unplaced_holds_clear(&unplaced);
	return ok;
}

/* Places the holds that are not placed, moving unused ones if necessary. */
void plan_place_holds(struct sched *s, int64_t now)
{
	GArray *capacities;

	if (count_unplaced(s) == 0)
		return;
	capacities = list_holdable(s);
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->placed)
			pack_hold(s, h, capacities);
	}
	g_array_unref(capacities);
	if (count_unplaced(s) > 0)
		repack(s);
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->placed && h->unplaced_since == 0)
			h->unplaced_since = now;
	}
}

/* Returns whether committed resources and unused guarantees exceed a worker's capacity. */
static bool is_overcommitted(const struct sched_worker *w)
{
	struct sched_res available = worker_uncommitted(w);
	struct sched_res none = {0};

	return w->up && !res_fits(&none, &available);
}

/*
 * Unplaces holds on overcommitted workers until these workers are not overcommitted any more:
 * unused holds first, then the others.
 */
void plan_unplace_overcommitted(struct sched *s)
{
	for (uint32_t w = 0; w < s->workers->len; w++) {
		for (guint i = 0; i < 2 * s->holds->len; i++) {
			struct sched_hold *h = s->holds->pdata[i % s->holds->len];
			bool any = i >= s->holds->len;

			if (!is_overcommitted(sched_worker_at(s, w)))
				break;
			if (hold_is_on(h, w) && (any || hold_movable(h)))
				hold_unplace(s, h);
		}
	}
}

/* Returns a hold of the old configuration that equals a shape of the new one, or NULL. */
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

/* Keeps or adds the holds for one guarantee. */
static void update_holds(struct sched *s, uint32_t org, const struct doc_guarantee *g)
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

/* Replaces the holds by those of a new configuration; unchanged holds keep their placement. */
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
		update_holds(s, i, g);
	}
	for (guint i = s->holds->len; i-- > 0;) {
		struct sched_hold *h = s->holds->pdata[i];

		if (!h->stale)
			continue;
		hold_unplace(s, h);
		g_ptr_array_remove_index(s->holds, i);
	}
	plan_place_around_running(s);
	plan_place_holds(s, now);
}

/* Returns whether a hold is on a worker where its owner may not be able to start a job. */
static bool is_on_unavailable(const struct sched *s, const struct sched_hold *h)
{
	for (guint i = 0; i < h->pieces->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, hold_piece_at(h, i)->worker);

		if (w->draining || w->quarantined || w->restricted)
			return true;
	}
	return false;
}

/* Moves unused holds away from workers that accept no or only some jobs, if possible. */
void plan_move_from_unavailable(struct sched *s)
{
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];
		g_autoptr(GArray) saved = NULL;
		g_autoptr(GArray) capacities = NULL;

		if (!hold_movable(h) || !is_on_unavailable(s, h))
			continue;
		saved = copy_pieces(h);
		hold_unplace(s, h);
		capacities = list_holdable(s);
		if (!pack_hold(s, h, capacities))
			hold_place(s, h, saved);
	}
}

/* Places the holds of a lost worker on other workers. */
void plan_worker_down(struct sched *s, int64_t now, uint32_t worker)
{
	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (hold_is_on(h, worker))
			hold_unplace(s, h);
	}
	plan_place_around_running(s);
	plan_place_holds(s, now);
}

/* Moves an unused hold to free accelerators; returns false if it does not fit and stays. */
bool plan_move_to_free(struct sched *s, struct sched_hold *h)
{
	g_autoptr(GArray) saved = copy_pieces(h);
	g_autoptr(GArray) capacities = NULL;

	hold_unplace(s, h);
	capacities = list_holdable_free(s);
	if (pack_hold(s, h, capacities)) {
		s->counts.holds_moved_to_free++;
		return true;
	}
	hold_place(s, h, saved);
	return false;
}

/* Returns whether a hold is not placed and can be placed so that it includes a whole job. */
static bool can_include_job(
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

/* Returns whether each member stays within the proportional share of its worker. */
static bool is_chargeable(const struct sched *s, const struct sched_job *j)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_worker *w = sched_worker_at(s, j->members[i].worker);

		if (!w->up || !share_covers(w, &j->members[i].need, j->members[i].accelerators))
			return false;
	}
	return j->accelerators > 0 && j->members_len > 0;
}

/*
 * Adds the members of a job to pieces and subtracts them from the capacities; returns false if
 * they do not fit.
 */
static bool add_members(const struct sched_job *j, GArray *capacities, GArray *pieces)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_member *m = &j->members[i];
		struct pack_worker *p =
			&g_array_index(capacities, struct pack_worker, m->worker);
		struct pack_allocation piece = {SHAPE_INDEX_UNUSED, m->worker, m->accelerators};

		if (p->free < m->accelerators)
			return false;
		p->free -= m->accelerators;
		g_array_append_val(pieces, piece);
	}
	return true;
}

/*
 * Clears the capacities of workers that, by the hold's adjacency, cannot be in one hold with
 * the given worker.
 */
static void keep_adjacent(
	const struct sched *s, const struct sched_hold *h, uint32_t worker, GArray *capacities)
{
	uint32_t rack = sched_worker_at(s, worker)->rack;

	for (uint32_t i = 0; i < capacities->len; i++) {
		struct pack_worker *p = &g_array_index(capacities, struct pack_worker, i);

		if ((h->adjacency == ADJACENCY_WORKER && i != worker) ||
			(h->adjacency == ADJACENCY_RACK && p->rack != rack))
			p->free = 0;
	}
}

/*
 * Places a hold on the accelerators of a job and, if it is larger, on others, and charges the
 * job to it.
 */
static bool place_around_job(struct sched *s, struct sched_hold *h, struct sched_job *j)
{
	g_autoptr(GArray) pieces = g_array_new(FALSE, TRUE, sizeof(struct pack_allocation));
	g_autoptr(GArray) capacities = NULL;
	bool ok;

	committed_clear(s, j);
	capacities = list_holdable(s);
	ok = add_members(j, capacities, pieces);
	if (ok)
		keep_adjacent(s, h, j->members[0].worker, capacities);
	ok = ok && pack_remaining(s, h, h->accelerators - j->accelerators, capacities, pieces);
	if (ok)
		hold_charge(s, j, h);
	else
		committed_update(s, j);
	return ok;
}

/* Returns the accelerators of a member that are not charged to a hold. */
static uint32_t uncharged_accelerators(const struct sched_job *j, const struct sched_member *m)
{
	uint32_t n = m->accelerators;

	for (guint i = 0; j->charges != NULL && i < j->charges->len; i++) {
		const struct sched_charge *c =
			&g_array_index(j->charges, struct sched_charge, i);

		n -= c->worker == m->worker ? c->accelerators : 0;
	}
	return n;
}

/* Places a hold entirely on uncharged accelerators of a job and charges these to it. */
static bool place_inside_job(struct sched *s, struct sched_hold *h, struct sched_job *j)
{
	g_autoptr(GArray) capacities = g_array_new(FALSE, TRUE, sizeof(struct pack_worker));
	g_autoptr(GArray) pieces = g_array_new(FALSE, TRUE, sizeof(struct pack_allocation));
	struct pack_shape shape = {h->accelerators, h->adjacency};

	for (uint32_t i = 0; i < j->members_len; i++) {
		struct pack_worker p = {.rack = sched_worker_at(s, j->members[i].worker)->rack,
			.free = uncharged_accelerators(j, &j->members[i])};

		g_array_append_val(capacities, p);
	}
	if (h->placed || h->org != j->org ||
		!pack_one(&shape, SHAPE_INDEX_UNUSED, (struct pack_worker *)capacities->data,
			capacities->len, pieces))
		return false;
	for (guint i = 0; i < pieces->len; i++) {
		struct pack_allocation *p = &g_array_index(pieces, struct pack_allocation, i);

		p->worker = j->members[p->worker].worker;
	}
	hold_place(s, h, pieces);
	hold_charge_pieces(s, j, h);
	return true;
}

/*
 * Charges a job to a hold of its organisation that is not placed yet and that can include the
 * whole job, by placing the hold around the job. If there is none and the job cannot be
 * stopped, places smaller holds on accelerators of the job.
 */
static void charge_to_any(struct sched *s, struct sched_job *j)
{
	if (!is_chargeable(s, j))
		return;
	for (guint k = 0; k < s->holds->len; k++) {
		struct sched_hold *h = s->holds->pdata[k];

		if (can_include_job(s, h, j) && place_around_job(s, h, j))
			return;
	}
	for (guint k = 0; !job_stoppable(j) && k < s->holds->len; k++)
		place_inside_job(s, s->holds->pdata[k], j);
}

/*
 * Places the holds that are not placed around running jobs that are not charged to any hold,
 * starting with jobs that cannot be stopped.
 */
void plan_place_around_running(struct sched *s)
{
	if (count_unplaced(s) == 0)
		return;
	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < s->active->len; i++) {
			struct sched_job *j = s->active->pdata[i];

			if (!j->charged && j->state == SCHED_JOB_RUNNING &&
				job_stoppable(j) == (pass == 1))
				charge_to_any(s, j);
		}
	}
}
