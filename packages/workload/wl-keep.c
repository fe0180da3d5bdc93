#include "wl-private.h"

/*
 * Room for units that find none: on each worker that will have room for a task of theirs
 * first, later units may only take what they give back by then, or what is left beside it.
 * Without this, large tasks starve behind small ones on workers that never become empty.
 */

/* A run that will end, and what that frees. */
struct freeing {
	int64_t at;
	struct wl_need need;
};

/* Order by the time that is the first field of both structs here. */
static gint by_time(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* When a worker will have room for a need, and how much then; INT64_MAX for never. */
static int64_t room_at(const struct wl_node *n, const struct wl_need *need, int64_t now,
	enum keep_trust trust, struct wl_room *room)
{
	g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(struct freeing));
	const struct wl_task *t;

	*room = n->free;
	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct freeing f = {.at = now, .need = task_need(t->unit->step)};

		if (t->unit->step->long_running && t->phase == TASK_RUNNING)
			continue;
		if (trust == KEEP_PROGRESS && t->phase != TASK_STOPPING &&
			t->phase != TASK_DONE && !task_shows_progress(t))
			continue;
		if (t->phase == TASK_PLACED || t->phase == TASK_STARTING)
			f.at = now + step_estimate(t->unit->job, t->unit->step);
		else if (t->phase == TASK_RUNNING)
			f.at = now + task_remaining(t, now);
		g_array_append_val(ends, f);
	}
	if (room_fits(room, need))
		return now;
	g_array_sort(ends, by_time);
	for (guint i = 0; i < ends->len; i++) {
		const struct freeing *f = &g_array_index(ends, struct freeing, i);

		room_give(room, &f->need);
		if (room_fits(room, need))
			return f->at;
	}
	return INT64_MAX;
}

/* How many tasks of a need fit into a room. */
static uint32_t fits_times(struct wl_room room, const struct wl_need *need, uint32_t most)
{
	uint32_t n = 0;

	while (n < most && room_fits(&room, need)) {
		room_take(&room, need);
		n++;
	}
	return n;
}

/* A place where room may be kept. */
struct kept {
	int64_t at;
	struct wl_node *node;
	struct wl_room beside;
};

/* The workers that will have room for a task of the unit and keep none yet, the first ones
 * first. */
static GArray *places_in_time(
	struct wl *w, const struct wl_unit *u, int64_t now, enum keep_trust trust)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct kept));
	struct wl_need need = task_need(u->step);

	for (guint i = 0; i < w->nodes->len; i++) {
		struct kept k = {.node = w->nodes->pdata[i]};

		if (!node_suits(k.node, u) || k.node->kept_from != 0)
			continue;
		k.at = room_at(k.node, &need, now, trust, &k.beside);
		if (k.at != INT64_MAX)
			g_array_append_val(out, k);
	}
	g_array_sort(out, by_time);
	return out;
}

/*
 * Choose places for all waiting tasks, in one rack where rack is not NULL; returns when the
 * last one has room.
 */
static int64_t plan_keep(const struct wl_unit *u, int64_t now, const GArray *places,
	const char *rack, GArray *out)
{
	struct wl_need need = task_need(u->step);
	uint32_t left = u->waiting;
	int64_t last = now;

	g_array_set_size(out, 0);
	for (guint i = 0; i < places->len && left > 0; i++) {
		struct kept k = g_array_index(places, struct kept, i);
		uint32_t here;

		if (rack != NULL && g_strcmp0(rack, k.node->rack) != 0)
			continue;
		here = fits_times(k.beside, &need, left);
		for (uint32_t n = 0; n < here; n++)
			room_take(&k.beside, &need);
		left -= here;
		last = MAX(last, k.at);
		g_array_append_val(out, k);
	}
	return left > 0 ? INT64_MAX : last;
}

/* Find where room for all waiting tasks comes first; returns when, INT64_MAX for never. */
static int64_t plan_first(struct wl *w, const struct wl_unit *u, int64_t now, bool anywhere,
	enum keep_trust trust, GArray *best)
{
	g_autoptr(GArray) trial = g_array_new(FALSE, FALSE, sizeof(struct kept));
	g_autoptr(GArray) places = places_in_time(w, u, now, trust);
	g_autoptr(GPtrArray) racks = NULL;
	int64_t first = INT64_MAX;

	if (!u->step->rack_local || u->step->data_rack != NULL || anywhere)
		return plan_keep(u, now, places, anywhere ? NULL : u->step->data_rack, best);
	racks = racks_of(w);
	for (guint i = 0; i < racks->len; i++) {
		int64_t at = plan_keep(u, now, places, racks->pdata[i], trial);

		if (at >= first)
			continue;
		first = at;
		g_array_set_size(best, 0);
		g_array_append_vals(best, trial->data, trial->len);
	}
	return first;
}

/*
 * Keep room for the waiting tasks of a unit where it comes first, if that is not after until;
 * false, with nothing kept, where it is.
 */
bool keep_room(struct wl *w, struct wl_unit *u, int64_t now, bool anywhere,
	enum keep_trust trust, int64_t until)
{
	g_autoptr(GArray) best = g_array_new(FALSE, FALSE, sizeof(struct kept));
	int64_t first = plan_first(w, u, now, anywhere, trust, best);

	if (first == INT64_MAX || first > until)
		return false;
	for (guint i = 0; i < best->len; i++) {
		const struct kept *k = &g_array_index(best, struct kept, i);

		/* A gang needs all of them at once. */
		k->node->kept_from = u->step->gang ? first : MAX(k->at, now + 1);
		k->node->beside_kept = k->beside;
	}
	return true;
}
