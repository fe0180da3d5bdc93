#include "wl-private.h"

/*
 * Headroom: workers that are held back for urgent jobs. These arrive without notice, and
 * preempting other runs for them takes longer than they can wait. The workers take no new tasks
 * of other units, but continue the runs that they have. Units that are not urgent may use the
 * headroom too if they are late or close to missing their objective, or if they have waited for
 * HEADROOM_WAIT_MAX (wl-pass.c).
 */

/* Weight of the newest job in the moving average of job sizes. */
#define MEAN_SIZE_WEIGHT 0.1
/* Size of the headroom, relative to the average urgent job. */
#define HEADROOM_FACTOR 1.5
/* Largest share of the workers that is held back. */
#define HEADROOM_SHARE_MAX 0.4

/* Updates the average size of urgent jobs, in accelerators of the first step. */
void headroom_record_job(struct wl *w, const struct wl_job *j)
{
	double size = 0;

	if (j->priority != URGENT_PRIORITY || j->spec.steps_len == 0)
		return;
	size = (double)j->spec.steps[0].count * j->spec.steps[0].accelerators;
	w->mean_urgent_size =
		w->mean_urgent_size == 0
			? size
			: w->mean_urgent_size + MEAN_SIZE_WEIGHT * (size - w->mean_urgent_size);
}

/* The worker with the most free accelerators, then cores, that is not yet headroom. */
static struct wl_node *worker_with_most_free(struct wl *w)
{
	struct wl_node *best = NULL;

	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (n->headroom || !n->linked || n->draining || n->has_left ||
			n->instance_id == NULL || n->capacity.accelerators == 0)
			continue;
		if (best == NULL || n->free.accelerators > best->free.accelerators ||
			(n->free.accelerators == best->free.accelerators &&
				n->free.cores_m > best->free.cores_m))
			best = n;
	}
	return best;
}

/*
 * Selects workers as headroom, those with the most free accelerators first, until these add up
 * to HEADROOM_FACTOR average urgent jobs or the workers to HEADROOM_SHARE_MAX. A worker without
 * free accelerators counts as one, so the selected workers may all be busy.
 */
void headroom_select(struct wl *w)
{
	double needed = w->mean_urgent_size * HEADROOM_FACTOR;
	unsigned int workers_max = (unsigned int)(HEADROOM_SHARE_MAX * w->nodes->len);

	for (guint i = 0; i < w->nodes->len; i++)
		((struct wl_node *)w->nodes->pdata[i])->headroom = false;
	while (needed > 0 && workers_max-- > 0) {
		struct wl_node *n = worker_with_most_free(w);

		if (n == NULL)
			return;
		n->headroom = true;
		needed -= (double)MAX(n->free.accelerators, 1);
	}
}
