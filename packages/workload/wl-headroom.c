#include "wl-private.h"

#include <math.h>

/*
 * Headroom: workers that are held back for urgent jobs. These arrive without notice, and
 * preempting other runs for them takes longer than they can wait. The workers take no new tasks
 * of other units, but continue the runs that they have. Units that are not urgent may use the
 * headroom too if they are late or close to missing their objective, or if they have waited for
 * HEADROOM_WAIT_MAX (wl-pass.c).
 */

/* Weight of the newest job in moving averages. */
#define MEAN_WEIGHT 0.1
/* Least size of the headroom, relative to the average urgent job. */
#define HEADROOM_FACTOR 1.5
/*
 * The headroom also covers the urgent jobs that arrive within this time, at the rate of the
 * last RATE_PERIOD: it takes about that long to free workers by preemption.
 */
#define HEADROOM_TIME NSEC_PER_SEC
#define RATE_PERIOD   (4 * NSEC_PER_SEC)
/* Largest share of the workers that is held back. */
#define HEADROOM_SHARE_MAX 0.4

/* Accelerators that urgent jobs request in a second, averaged over RATE_PERIOD. */
static double urgent_rate(const struct wl *w, int64_t now)
{
	return w->urgent_rate * exp(-(double)(now - w->urgent_rate_at) / RATE_PERIOD);
}

/* Takes a new value into a moving average. */
static void average(double *mean, double value)
{
	*mean = *mean == 0 ? value : *mean + MEAN_WEIGHT * (value - *mean);
}

/* Updates the average size and the rate of urgent jobs, by accelerators of the first step. */
void headroom_record_job(struct wl *w, const struct wl_job *j, int64_t now)
{
	double size = 0;

	if (j->priority != URGENT_PRIORITY || j->spec.steps_len == 0)
		return;
	size = (double)j->spec.steps[0].count * j->spec.steps[0].accelerators;
	w->urgent_rate = urgent_rate(w, now) + size * NSEC_PER_SEC / RATE_PERIOD;
	w->urgent_rate_at = now;
	average(&w->mean_urgent_size, size);
	average(&w->mean_urgent_ms, j->spec.steps[0].estimate_ms);
}

/* The worker with the most free accelerators, then cores, that is not yet headroom. */
static struct wl_node *worker_with_most_free(struct wl *w)
{
	struct wl_node *best = NULL;
	enum speed_class best_class = SPEED_SLOW;

	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];
		enum speed_class class;

		if (n->headroom || !n->linked || n->evacuated || n->draining || n->has_left ||
			n->instance_id == NULL || n->capacity.accelerators == 0)
			continue;
		class = n->speed_class;
		if (class == SPEED_SLOW)
			continue;
		if (best == NULL || class < best_class ||
			(class == best_class &&
				(n->free.accelerators > best->free.accelerators ||
					(n->free.accelerators == best->free.accelerators &&
						n->free.cores_m > best->free.cores_m)))) {
			best = n;
			best_class = class;
		}
	}
	return best;
}

/* Workers that may be headroom together; those of evacuated zones don't count. */
static unsigned int count_headroom_max(const struct wl *w)
{
	unsigned int count = 0;

	for (guint i = 0; i < w->nodes->len; i++)
		count += !((const struct wl_node *)w->nodes->pdata[i])->evacuated;
	return (unsigned int)(HEADROOM_SHARE_MAX * count);
}

/*
 * Selects workers as headroom, those with the most free accelerators first, until these add up
 * to what urgent jobs need soon or the workers to HEADROOM_SHARE_MAX. A worker without
 * free accelerators counts as one, so the selected workers may all be busy.
 */
void headroom_select(struct wl *w, int64_t now)
{
	double needed = MAX(w->mean_urgent_size * HEADROOM_FACTOR,
		urgent_rate(w, now) * HEADROOM_TIME / NSEC_PER_SEC);
	unsigned int workers_max = count_headroom_max(w);

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
