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

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct freeing *x = a;
	const struct freeing *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

/* When a worker will have room for a need, and how much then; INT64_MAX for never. */
static int64_t room_at(
	const struct wl_node *n, const struct wl_need *need, int64_t now, struct wl_room *room)
{
	g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(struct freeing));
	const struct wl_task *t;

	*room = n->free;
	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct freeing f = {.at = now, .need = task_need(t->unit->step)};

		if (t->unit->step->long_running && t->phase == TASK_RUNNING)
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

/* The worker that has room for a task of the unit first and keeps none yet. */
static struct wl_node *first_node(struct wl *w, const struct wl_unit *u, int64_t now,
	const char *rack, const GPtrArray *taken, int64_t *at, struct wl_room *room)
{
	struct wl_need need = task_need(u->step);
	struct wl_node *best = NULL;

	*at = INT64_MAX;
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];
		struct wl_room r;
		int64_t when;

		if (!node_suits(n, u, now) || n->kept_from != 0 ||
			(rack != NULL && g_strcmp0(rack, n->rack) != 0) ||
			g_ptr_array_find((GPtrArray *)taken, n, NULL))
			continue;
		when = room_at(n, &need, now, &r);
		if (when < *at) {
			*at = when;
			*room = r;
			best = n;
		}
	}
	return best;
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

/* A place where room is kept. */
struct kept {
	struct wl_node *node;
	int64_t at;
	struct wl_room beside;
};

/* Find workers for all waiting tasks, in one rack where rack is not NULL; when the last has
 * room. */
static int64_t plan_keep(
	struct wl *w, struct wl_unit *u, int64_t now, const char *rack, GArray *out)
{
	g_autoptr(GPtrArray) taken = g_ptr_array_new();
	struct wl_need need = task_need(u->step);
	uint32_t left = u->waiting;
	int64_t last = now;

	g_array_set_size(out, 0);
	while (left > 0) {
		struct kept k;
		uint32_t here;

		k.node = first_node(w, u, now, rack, taken, &k.at, &k.beside);
		if (k.node == NULL || k.at == INT64_MAX)
			return INT64_MAX;
		here = fits_times(k.beside, &need, left);
		for (uint32_t i = 0; i < here; i++)
			room_take(&k.beside, &need);
		left -= here;
		last = MAX(last, k.at);
		g_ptr_array_add(taken, k.node);
		g_array_append_val(out, k);
	}
	return last;
}

/* Keep room for the waiting tasks of a unit where it comes first. */
void keep_room(struct wl *w, struct wl_unit *u, int64_t now, bool anywhere)
{
	g_autoptr(GArray) best = g_array_new(FALSE, FALSE, sizeof(struct kept));
	g_autoptr(GArray) trial = g_array_new(FALSE, FALSE, sizeof(struct kept));
	int64_t first = INT64_MAX;

	if (u->step->rack_local && u->step->data_rack == NULL && !anywhere) {
		for (guint i = 0; i < w->nodes->len; i++) {
			const struct wl_node *n = w->nodes->pdata[i];
			int64_t at = plan_keep(w, u, now, n->rack, trial);

			if (at < first) {
				GArray *swap = best;

				best = trial;
				trial = swap;
				first = at;
			}
		}
	} else {
		first = plan_keep(w, u, now, anywhere ? NULL : u->step->data_rack, best);
	}
	for (guint i = 0; first != INT64_MAX && i < best->len; i++) {
		const struct kept *k = &g_array_index(best, struct kept, i);

		/* A gang needs all of them at once. */
		k->node->kept_from = u->step->gang ? first : MAX(k->at, now + 1);
		k->node->beside_kept = k->beside;
	}
}
