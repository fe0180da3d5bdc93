#include "wl-private.h"

#include <math.h>

/*
 * Run time estimates. Callers' estimates can be far off, by an amount that differs by queue.
 * They are combined with the measured run times of the queue, each weighted by its inverse
 * variance.
 */

/* Used if there is neither an estimate nor a measured run. */
#define ESTIMATE_DEFAULT_MS 5000
/* Weight of the newest run in the variances; its least weight in the mean. */
#define RUN_TIME_WEIGHT 0.08
/*
 * Variances of natural logarithms, before any run: estimates are off by about a third
 * (sqrt(0.1) = ln 1.4), run times differ by a factor of three (sqrt(1.2) = ln 3).
 */
#define ESTIMATE_VARIANCE_PRIOR 0.1
#define RUN_TIME_VARIANCE_PRIOR 1.2
/* Replaces smaller variances, which are also of natural logarithms. */
#define VARIANCE_MIN 0.02
/* Shorter run times, dominated by message latency, are recorded as this. */
#define RUN_TIME_MIN (20 * NSEC_PER_MSEC)

/* Statistics of a queue, over natural logarithms of run times in milliseconds. */
struct wl_run_stats {
	char *queue;
	unsigned int runs;
	double mean_log_ms;
	double variance;
	double estimate_variance; /* mean squared error of callers' estimates */
};

static void run_stats_free(void *arg)
{
	struct wl_run_stats *stats = arg;

	free(stats->queue);
	free(stats);
}

/* Returns the statistics of a queue; creates them on first use. */
static struct wl_run_stats *run_stats_get(struct wl *w, const char *queue)
{
	struct wl_run_stats *stats;

	if (w->run_stats == NULL)
		w->run_stats =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_stats_free);
	stats = g_hash_table_lookup(w->run_stats, queue);
	if (stats != NULL)
		return stats;
	stats = xcalloc(1, sizeof(*stats));
	stats->queue = xstrdup(queue);
	stats->variance = RUN_TIME_VARIANCE_PRIOR;
	stats->estimate_variance = ESTIMATE_VARIANCE_PRIOR;
	g_hash_table_insert(w->run_stats, stats->queue, stats);
	return stats;
}

/* Records the run time of a completed run that did not resume from a checkpoint. */
void run_stats_record(struct wl_task *t, int64_t duration)
{
	const struct wl_step *s = t->unit->step;
	struct wl_run_stats *stats = run_stats_get(t->unit->job->wl, t->unit->job->spec.queue);
	double x = log((double)MAX(duration, RUN_TIME_MIN) / (double)NSEC_PER_MSEC);
	double weight;

	/* What it would have taken on a worker of average speed. */
	if (service_speeds(t->unit->job->wl, t->unit->job->service) != NULL)
		x += t->node->speed;
	stats->runs++;
	t->unit->job->wl->recorded_runs++;
	weight = MAX(RUN_TIME_WEIGHT, 1.0 / stats->runs);
	if (stats->runs > 1)
		stats->variance +=
			RUN_TIME_WEIGHT *
			((x - stats->mean_log_ms) * (x - stats->mean_log_ms) - stats->variance);
	stats->mean_log_ms += weight * (x - stats->mean_log_ms);
	if (s->estimate_ms > 0) {
		double e = log((double)s->estimate_ms) - x;

		stats->estimate_variance +=
			RUN_TIME_WEIGHT * (e * e - stats->estimate_variance);
	}
}

/* Combines the caller's estimate with the measured run times by inverse variance. */
static int64_t combine_estimates(const struct wl_job *j, const struct wl_step *s)
{
	const struct wl_run_stats *stats =
		j->wl->run_stats != NULL ? g_hash_table_lookup(j->wl->run_stats, j->spec.queue)
					 : NULL;
	double ms = s->estimate_ms > 0 ? s->estimate_ms : ESTIMATE_DEFAULT_MS;

	if (stats != NULL && stats->runs > 0) {
		double estimate_weight =
			s->estimate_ms > 0 ? 1.0 / MAX(stats->estimate_variance, VARIANCE_MIN)
					   : 0.0;
		double history_weight = 1.0 / MAX(stats->variance, VARIANCE_MIN);

		ms = exp((log(ms) * estimate_weight + stats->mean_log_ms * history_weight) /
			 (estimate_weight + history_weight));
	}
	return (int64_t)(ms * (double)NSEC_PER_MSEC);
}

/* Expected run time of a task of a step, in nanoseconds. */
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
