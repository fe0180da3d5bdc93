#include "sched-private.h"

#include <math.h>
#include <stdlib.h>

/*
 * Declared run times are off by up to tenfold either way. Per organisation and kind we keep
 * the mean logarithm of actual by declared, drawn towards 0 by one imagined sample, each
 * sample clamped, so that few samples help and no single one rules.
 */

#define SAMPLE_CLAMP   20.0
#define SAMPLES_KEPT   50.0
#define ESTIMATE_MIN   (NSEC_PER_SEC / 10)
#define OVERDUE_FACTOR 0.5

/* The record of an organisation and kind. */
static struct sched_run_time_stats *find_learned(
	struct sched *s, const struct sched_job *j, bool make)
{
	g_autofree char *key =
		g_strdup_printf("%s/%s", sched_org_at(s, j->org)->name, j->kind ? j->kind : "");
	struct sched_run_time_stats *l = g_hash_table_lookup(s->run_time_stats, key);

	if (l == NULL && make) {
		l = xcalloc(1, sizeof(*l));
		g_hash_table_insert(s->run_time_stats, g_strdup(key), l);
	}
	return l;
}

/* How long a job is expected to run. */
int64_t learn_estimate(struct sched *s, const struct sched_job *j)
{
	const struct sched_run_time_stats *l = find_learned(s, j, false);
	double seconds;

	if (j->declared_run_time <= 0)
		return l != NULL && l->samples >= 1
			       ? MAX((int64_t)(l->mean_s * (double)NSEC_PER_SEC), ESTIMATE_MIN)
			       : ESTIMATE_DEFAULT;
	seconds = (double)j->declared_run_time / (double)NSEC_PER_SEC;
	if (l != NULL)
		seconds *= exp(l->log_sum / (l->samples + 1));
	return MAX((int64_t)(seconds * (double)NSEC_PER_SEC), ESTIMATE_MIN);
}

/* Learn from a job that ran to its end. */
void learn_run_time(struct sched *s, const struct sched_job *j, int64_t actual)
{
	struct sched_run_time_stats *l = find_learned(s, j, true);
	double seconds = (double)MAX(actual, 1) / (double)NSEC_PER_SEC;
	double ratio = j->declared_run_time > 0
			       ? (double)MAX(actual, 1) / (double)j->declared_run_time
			       : 1;

	if (l->samples >= SAMPLES_KEPT) {
		l->log_sum *= (SAMPLES_KEPT - 1) / l->samples;
		l->samples = SAMPLES_KEPT - 1;
	}
	l->log_sum += log(CLAMP(ratio, 1 / SAMPLE_CLAMP, SAMPLE_CLAMP));
	l->samples += 1;
	l->mean_s += (seconds - l->mean_s) / l->samples;
}

/* When a running job is expected to end; one that is overdue is given half of its age more. */
int64_t learn_expected_end(const struct sched_job *j, int64_t now)
{
	int64_t began = j->started_at > 0 ? j->started_at : now;
	int64_t end = began + MAX(j->estimate - j->saved, ESTIMATE_MIN);

	if (end > now)
		return end;
	return now + (int64_t)((double)(now - began) * OVERDUE_FACTOR) + ESTIMATE_MIN;
}
