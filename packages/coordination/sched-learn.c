#include "sched-private.h"

#include <math.h>
#include <stdlib.h>

/*
 * Declared run times are wrong by a factor of up to ten in either direction. For each
 * organisation and kind of job, estimates are corrected by the mean logarithm of the ratio of
 * actual to declared run time. One additional sample with a ratio of 1 (logarithm 0) and a
 * limit on each ratio keep single samples from dominating, while a few are enough to improve
 * the estimates.
 */

#define RATIO_MAX     20.0
#define SAMPLES_MAX   50.0 /* older samples lose weight beyond this number */
#define ESTIMATE_MIN  (NSEC_PER_SEC / 10)
#define OVERDUE_RATIO 0.5 /* of the time that an overdue job has run */

/* Returns the statistics of a job's organisation and kind; NULL if none and not created. */
static struct sched_run_time_stats *find_stats(
	struct sched *s, const struct sched_job *j, bool create)
{
	g_autofree char *key =
		g_strdup_printf("%s/%s", sched_org_at(s, j->org)->name, j->kind ? j->kind : "");
	struct sched_run_time_stats *stats = g_hash_table_lookup(s->run_time_stats, key);

	if (stats == NULL && create) {
		stats = xcalloc(1, sizeof(*stats));
		g_hash_table_insert(s->run_time_stats, g_strdup(key), stats);
	}
	return stats;
}

/* Returns the expected run time of a job. */
int64_t learn_estimate(struct sched *s, const struct sched_job *j)
{
	const struct sched_run_time_stats *stats = find_stats(s, j, false);
	double seconds;

	if (j->declared_run_time <= 0)
		return stats != NULL && stats->samples >= 1
			       ? MAX((int64_t)(stats->mean_s * (double)NSEC_PER_SEC),
					 ESTIMATE_MIN)
			       : ESTIMATE_DEFAULT;
	seconds = (double)j->declared_run_time / (double)NSEC_PER_SEC;
	if (stats != NULL)
		seconds *= exp(stats->log_sum / (stats->samples + 1));
	return MAX((int64_t)(seconds * (double)NSEC_PER_SEC), ESTIMATE_MIN);
}

/* Adds the run time of a job that succeeded to the statistics. */
void learn_run_time(struct sched *s, const struct sched_job *j, int64_t actual)
{
	struct sched_run_time_stats *stats = find_stats(s, j, true);
	double seconds = (double)MAX(actual, 1) / (double)NSEC_PER_SEC;
	double ratio = j->declared_run_time > 0
			       ? (double)MAX(actual, 1) / (double)j->declared_run_time
			       : 1;

	if (stats->samples >= SAMPLES_MAX) {
		stats->log_sum *= (SAMPLES_MAX - 1) / stats->samples;
		stats->samples = SAMPLES_MAX - 1;
	}
	stats->log_sum += log(CLAMP(ratio, 1 / RATIO_MAX, RATIO_MAX));
	stats->samples += 1;
	stats->mean_s += (seconds - stats->mean_s) / stats->samples;
}

/*
 * Returns the expected end of a running job. An overdue job is expected to run for another half
 * of the time that it has run.
 */
int64_t learn_expected_end(const struct sched_job *j, int64_t now)
{
	int64_t began = j->started_at > 0 ? j->started_at : now;
	int64_t end = began + MAX(j->estimate - j->saved, ESTIMATE_MIN);

	if (end > now)
		return end;
	return now + (int64_t)((double)(now - began) * OVERDUE_RATIO) + ESTIMATE_MIN;
}
