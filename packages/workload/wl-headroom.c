#include "wl-private.h"

/*
 * Some workers are left empty while the work that would take them can wait: urgent jobs come
 * unannounced, and making room for one by stopping others takes longer than it has. Work whose
 * own time runs short takes them all the same.
 */

/* Weight of the newest job in the mean size. */
#define MEAN_SIZE_WEIGHT 0.1
/* Headroom is for an urgent job half again as large as the mean. */
#define HEADROOM_FACTOR 1.5
/* At most this share of the workers is left empty. */
#define HEADROOM_SHARE_MAX 0.4

/* Learn the size of urgent jobs. */
void headroom_note_job(struct wl *w, const struct wl_job *j)
{
	double size = 0;

	if (j->priority != 0 || j->spec.steps_len == 0)
		return;
	size = (double)j->spec.steps[0].count * j->spec.steps[0].accelerators;
	w->mean_urgent_size =
		w->mean_urgent_size == 0
			? size
			: w->mean_urgent_size + MEAN_SIZE_WEIGHT * (size - w->mean_urgent_size);
}

/* The emptiest worker that is not chosen yet. */
static struct wl_node *least_used_worker(struct wl *w)
{
	struct wl_node *best = NULL;

	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (n->headroom || !n->linked || n->draining || n->left || n->life == NULL ||
			n->capacity.accelerators == 0)
			continue;
		if (best == NULL || n->free.accelerators > best->free.accelerators ||
			(n->free.accelerators == best->free.accelerators &&
				n->free.cores_m > best->free.cores_m))
			best = n;
	}
	return best;
}

/* Choose the workers to be left empty: enough for an urgent job of mean size. */
void headroom_select(struct wl *w)
{
	double needed = w->mean_urgent_size * HEADROOM_FACTOR;
	unsigned int workers_max = (unsigned int)(HEADROOM_SHARE_MAX * w->nodes->len);

	for (guint i = 0; i < w->nodes->len; i++)
		((struct wl_node *)w->nodes->pdata[i])->headroom = false;
	while (needed > 0 && workers_max-- > 0) {
		struct wl_node *n = least_used_worker(w);

		if (n == NULL)
			return;
		n->headroom = true;
		needed -= (double)MAX(n->free.accelerators, 1);
	}
}
