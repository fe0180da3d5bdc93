#include "wl-private.h"

/*
 * Room for units that find none: on each worker that will have room for a task of theirs
 * first, later units may only take what they give back by then, or what is left beside it.
 * Without this, large tasks starve behind small ones on workers that never become empty.
 */

/* A run that will end, and what that frees. */
struct pending_release {
	int64_t at;
	struct wl_need need;
};

/* Order by the time that is the first field of both structs here. */
static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* When a worker will have room for a need, and how much then; INT64_MAX for never. */
static int64_t available_at(const struct wl_node *n, const struct wl_need *need, int64_t now,
	enum reservation_basis basis, struct wl_available *room)
{
	g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(struct pending_release));
	const struct wl_task *t;

	*room = n->free;
	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct pending_release f = {.at = now, .need = task_need(t->unit->step)};

		if (t->unit->step->long_running && t->phase == TASK_RUNNING)
			continue;
		if (basis == RESERVE_BY_PROGRESS && t->phase != TASK_STOPPING &&
			t->phase != TASK_DONE && !task_has_progress_rate(t))
			continue;
		if (t->phase == TASK_PLACED || t->phase == TASK_STARTING)
			f.at = now + step_estimate(t->unit->job, t->unit->step);
		else if (t->phase == TASK_RUNNING)
			f.at = now + task_remaining(t, now);
		g_array_append_val(ends, f);
	}
	if (resources_fit(room, need))
		return now;
	g_array_sort(ends, compare_times);
	for (guint i = 0; i < ends->len; i++) {
		const struct pending_release *f =
			&g_array_index(ends, struct pending_release, i);

		resources_add(room, &f->need);
		if (resources_fit(room, need))
			return f->at;
	}
	return INT64_MAX;
}

/* How many tasks of a need fit into a room. */
static uint32_t count_fitting(
	struct wl_available room, const struct wl_need *need, uint32_t most)
{
	uint32_t n = 0;

	while (n < most && resources_fit(&room, need)) {
		resources_deduct(&room, need);
		n++;
	}
	return n;
}

/* A place where room may be kept. */
struct reservation {
	int64_t at;
	struct wl_node *node;
	struct wl_available remainder;
};

/* The workers that will have room for a task of the unit and keep none yet, the first ones
 * first. */
static GArray *reservation_candidates(
	struct wl *w, const struct wl_unit *u, int64_t now, enum reservation_basis basis)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct reservation));
	struct wl_need need = task_need(u->step);

	for (guint i = 0; i < w->nodes->len; i++) {
		struct reservation k = {.node = w->nodes->pdata[i]};

		if (!node_eligible(k.node, u) || k.node->reserved_from != 0)
			continue;
		k.at = available_at(k.node, &need, now, basis, &k.remainder);
		if (k.at != INT64_MAX)
			g_array_append_val(out, k);
	}
	g_array_sort(out, compare_times);
	return out;
}

/*
 * Choose places for all waiting tasks, in one rack where rack is not NULL; returns when the
 * last one has room.
 */
static int64_t plan_reservations(const struct wl_unit *u, int64_t now, const GArray *candidates,
	const char *rack, GArray *out)
{
	struct wl_need need = task_need(u->step);
	uint32_t remaining = u->waiting;
	int64_t last = now;

	g_array_set_size(out, 0);
	for (guint i = 0; i < candidates->len && remaining > 0; i++) {
		struct reservation k = g_array_index(candidates, struct reservation, i);
		uint32_t fitting;

		if (rack != NULL && g_strcmp0(rack, k.node->rack) != 0)
			continue;
		fitting = count_fitting(k.remainder, &need, remaining);
		for (uint32_t n = 0; n < fitting; n++)
			resources_deduct(&k.remainder, &need);
		remaining -= fitting;
		last = MAX(last, k.at);
		g_array_append_val(out, k);
	}
	return remaining > 0 ? INT64_MAX : last;
}

/* Find where room for all waiting tasks comes first; returns when, INT64_MAX for never. */
static int64_t plan_earliest(struct wl *w, const struct wl_unit *u, int64_t now, bool anywhere,
	enum reservation_basis basis, GArray *best)
{
	g_autoptr(GArray) trial = g_array_new(FALSE, FALSE, sizeof(struct reservation));
	g_autoptr(GArray) candidates = reservation_candidates(w, u, now, basis);
	g_autoptr(GPtrArray) racks = NULL;
	int64_t earliest = INT64_MAX;

	if (!u->step->rack_local || u->step->data_rack != NULL || anywhere)
		return plan_reservations(
			u, now, candidates, anywhere ? NULL : u->step->data_rack, best);
	racks = list_racks(w);
	for (guint i = 0; i < racks->len; i++) {
		int64_t at = plan_reservations(u, now, candidates, racks->pdata[i], trial);

		if (at >= earliest)
			continue;
		earliest = at;
		g_array_set_size(best, 0);
		g_array_append_vals(best, trial->data, trial->len);
	}
	return earliest;
}

/*
 * Keep room for the waiting tasks of a unit where it comes first, if that is not after until;
 * false, with nothing kept, where it is.
 */
bool reserve_resources(struct wl *w, struct wl_unit *u, int64_t now, bool anywhere,
	enum reservation_basis basis, int64_t until)
{
	g_autoptr(GArray) best = g_array_new(FALSE, FALSE, sizeof(struct reservation));
	int64_t earliest = plan_earliest(w, u, now, anywhere, basis, best);

	if (earliest == INT64_MAX || earliest > until)
		return false;
	for (guint i = 0; i < best->len; i++) {
		const struct reservation *k = &g_array_index(best, struct reservation, i);

		/* A gang needs all of them at once. */
		k->node->reserved_from = u->step->gang ? earliest : MAX(k->at, now + 1);
		k->node->unreserved = k->remainder;
	}
	return true;
}
