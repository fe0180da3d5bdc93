#include "wl-private.h"

#include <math.h>

/*
 * Callers' estimates may be far off, and by how much differs by queue. What runs of a queue
 * have really taken, and how wrong its estimates were, say how far to trust the next one.
 */

/* An estimate is missing and nothing is known: take a task to run for so long. */
#define ESTIMATE_DEFAULT_MS 5000
/* Weight of the newest run. */
#define RUN_TIME_WEIGHT 0.08
/* Before any run: estimates are right within a third, run times within a factor of three. */
#define ESTIMATE_VARIANCE_PRIOR 0.1
#define RUN_TIME_VARIANCE_PRIOR 1.2
#define VARIANCE_MIN		0.02
/* Runs shorter than this say more of messages than of work. */
#define RUN_TIME_MIN (20 * NSEC_PER_MSEC)

/* Natural logarithms of milliseconds, and their variances. */
struct wl_run_stats {
	char *queue;
	unsigned int runs;
	double mean_log_ms;
	double variance;
	double estimate_variance;
};

static void run_stats_free(void *arg)
{
	struct wl_run_stats *l = arg;

	free(l->queue);
	free(l);
}

/* What is known of a queue, made where it is new. */
static struct wl_run_stats *run_stats_get(struct wl *w, const char *queue)
{
	struct wl_run_stats *l;

	if (w->learned == NULL)
		w->learned =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_stats_free);
	l = g_hash_table_lookup(w->learned, queue);
	if (l != NULL)
		return l;
	l = xcalloc(1, sizeof(*l));
	l->queue = xstrdup(queue);
	l->variance = RUN_TIME_VARIANCE_PRIOR;
	l->estimate_variance = ESTIMATE_VARIANCE_PRIOR;
	g_hash_table_insert(w->learned, l->queue, l);
	return l;
}

/* A run was done that had begun from nothing. */
void learn_run(struct wl_task *t, int64_t duration)
{
	const struct wl_step *s = t->unit->step;
	struct wl_run_stats *l = run_stats_get(t->unit->job->wl, t->unit->job->spec.queue);
	double x = log((double)MAX(duration, RUN_TIME_MIN) / (double)NSEC_PER_MSEC);
	double weight;

	l->runs++;
	t->unit->job->wl->recorded_runs++;
	weight = MAX(RUN_TIME_WEIGHT, 1.0 / l->runs);
	if (l->runs > 1)
		l->variance += RUN_TIME_WEIGHT *
			       ((x - l->mean_log_ms) * (x - l->mean_log_ms) - l->variance);
	l->mean_log_ms += weight * (x - l->mean_log_ms);
	if (s->estimate_ms > 0) {
		double e = log((double)s->estimate_ms) - x;

		l->estimate_variance += RUN_TIME_WEIGHT * (e * e - l->estimate_variance);
	}
}

/* The estimate and the past, by their trust. */
static int64_t combine_estimates(const struct wl_job *j, const struct wl_step *s)
{
	const struct wl_run_stats *l =
		j->wl->learned != NULL ? g_hash_table_lookup(j->wl->learned, j->spec.queue)
				       : NULL;
	double ms = s->estimate_ms > 0 ? s->estimate_ms : ESTIMATE_DEFAULT_MS;

	if (l != NULL && l->runs > 0) {
		double estimate_weight = s->estimate_ms > 0
						 ? 1.0 / MAX(l->estimate_variance, VARIANCE_MIN)
						 : 0.0;
		double history_weight = 1.0 / MAX(l->variance, VARIANCE_MIN);

		ms = exp((log(ms) * estimate_weight + l->mean_log_ms * history_weight) /
			 (estimate_weight + history_weight));
	}
	return (int64_t)(ms * (double)NSEC_PER_MSEC);
}

/* Time that a run of a step is expected to take. */
int64_t step_estimate(struct wl_job *j, const struct wl_step *s)
{
	if (j->estimates == NULL)
		j->estimates = xcalloc(j->spec.steps_len, sizeof(*j->estimates));
	else if (j->estimates_runs == j->wl->recorded_runs)
		return j->estimates[s - j->spec.steps];
	for (uint32_t i = 0; i < j->spec.steps_len; i++)
		j->estimates[i] = combine_estimates(j, &j->spec.steps[i]);
	j->estimates_runs = j->wl->recorded_runs;
	return j->estimates[s - j->spec.steps];
}
