#include "wl-private.h"

#include <math.h>

/*
 * Callers' estimates may be far off, and by how much differs by queue. What runs of a queue
 * have really taken, and how wrong its estimates were, say how far to trust the next one.
 */

/* An estimate is missing and nothing is known: take a task to run for so long. */
#define ESTIMATE_DEFAULT_MS 5000
/* Weight of the newest run. */
#define RUN_WEIGHT 0.08
/* Before any run: estimates are right within a third, run times within a factor of three. */
#define ERROR_PRIOR  0.1
#define SPREAD_PRIOR 1.2
#define VARIANCE_MIN 0.02
/* Runs shorter than this say more of messages than of work. */
#define RUN_MIN (20 * NSEC_PER_MSEC)

/* Natural logarithms of milliseconds, and their variances. */
struct wl_learned {
	char *queue;
	unsigned int runs;
	double mean;
	double spread;
	double error;
};

static void learned_free(void *arg)
{
	struct wl_learned *l = arg;

	free(l->queue);
	free(l);
}

/* What is known of a queue, made where it is new. */
static struct wl_learned *learned_get(struct wl *w, const char *queue)
{
	struct wl_learned *l;

	if (w->learned == NULL)
		w->learned = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, learned_free);
	l = g_hash_table_lookup(w->learned, queue);
	if (l != NULL)
		return l;
	l = xcalloc(1, sizeof(*l));
	l->queue = xstrdup(queue);
	l->spread = SPREAD_PRIOR;
	l->error = ERROR_PRIOR;
	g_hash_table_insert(w->learned, l->queue, l);
	return l;
}

/* A run was done that had begun from nothing. */
void learn_run(struct wl_task *t, int64_t took)
{
	const struct wl_step *s = t->unit->step;
	struct wl_learned *l = learned_get(t->unit->job->wl, t->unit->job->spec.queue);
	double x = log((double)MAX(took, RUN_MIN) / (double)NSEC_PER_MSEC);
	double weight;

	l->runs++;
	t->unit->job->wl->learned_runs++;
	weight = MAX(RUN_WEIGHT, 1.0 / l->runs);
	if (l->runs > 1)
		l->spread += RUN_WEIGHT * ((x - l->mean) * (x - l->mean) - l->spread);
	l->mean += weight * (x - l->mean);
	if (s->estimate_ms > 0) {
		double e = log((double)s->estimate_ms) - x;

		l->error += RUN_WEIGHT * (e * e - l->error);
	}
}

/* The estimate and the past, by their trust. */
static int64_t compute_estimate(const struct wl_job *j, const struct wl_step *s)
{
	const struct wl_learned *l =
		j->wl->learned != NULL ? g_hash_table_lookup(j->wl->learned, j->spec.queue)
				       : NULL;
	double ms = s->estimate_ms > 0 ? s->estimate_ms : ESTIMATE_DEFAULT_MS;

	if (l != NULL && l->runs > 0) {
		double of_estimate =
			s->estimate_ms > 0 ? 1.0 / MAX(l->error, VARIANCE_MIN) : 0.0;
		double of_past = 1.0 / MAX(l->spread, VARIANCE_MIN);

		ms = exp((log(ms) * of_estimate + l->mean * of_past) / (of_estimate + of_past));
	}
	return (int64_t)(ms * (double)NSEC_PER_MSEC);
}

/* Time that a run of a step is expected to take. */
int64_t step_estimate(struct wl_job *j, const struct wl_step *s)
{
	if (j->estimates == NULL)
		j->estimates = xcalloc(j->spec.steps_len, sizeof(*j->estimates));
	else if (j->estimates_of == j->wl->learned_runs)
		return j->estimates[s - j->spec.steps];
	for (uint32_t i = 0; i < j->spec.steps_len; i++)
		j->estimates[i] = compute_estimate(j, &j->spec.steps[i]);
	j->estimates_of = j->wl->learned_runs;
	return j->estimates[s - j->spec.steps];
}
