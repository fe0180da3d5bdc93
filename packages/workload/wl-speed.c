#include "wl-private.h"

#include <math.h>

/*
 * How fast workers are, relative to callers' estimates. wl-speed-class.c tells what follows
 * from it.
 *
 * The apparent speed of a run, its progress against the estimate, is that of its worker plus
 * the error of the estimate, which the tasks of a unit share; all are natural logarithms with
 * variances. The error is estimated from all runs of the unit, against what was known of their
 * workers before; what a run tells beyond it is its worker's. So runs of one unit on several
 * workers are compared with each other, and a run by itself tells little.
 */

/* Runs of a step before others are compared with them. */
#define STEP_RUNS_MIN 4
/* Runs of a worker before it can count as slow. */
#define WORKER_RUNS_MIN 2
/* Least weight of the newest run in a worker's average. */
#define RUN_WEIGHT 0.2
/* A worker is slow if its runs take longer than others by this natural logarithm. */
#define SLOW_LOG 0.08
/* Shorter runs consist of message latency. */
#define RUN_TIME_MIN (200 * NSEC_PER_MSEC)

/* Progress and time from which a run is observed first, and between two observations. */
#define OBSERVE_PERCENT_MIN 4
#define OBSERVE_TIME_MIN    (500 * NSEC_PER_MSEC)
#define OBSERVE_INTERVAL    NSEC_PER_SEC
/* Variance before any observation: workers differ by a factor of 1.6 (sqrt(0.25) = ln 1.65). */
#define SPEED_VARIANCE_PRIOR 0.25
/*
 * Most estimates are off by a third, a few by several times. Wider than the first (sqrt(0.2) =
 * ln 1.6), so that runs of one unit are compared rather than a run with its estimate.
 */
#define ERROR_VARIANCE_PRIOR 0.2
/* Tasks of a step differ by some 20 %, and percentages are whole numbers. */
#define OBSERVATION_VARIANCE 0.04
/* Largest logarithm of a speed that is taken from another process. */
#define SPEED_MAX 5.0
/* Weight of the newest apparent speed of a run in its average. */
#define REPEATED_WEIGHT 0.5
/* Workers that differ by less than this are about equally fast. */
#define SAME_SPEED 0.1
/* Growth of a variance in a second: a worker can turn slow for a while. */
#define SPEED_VARIANCE_GROWTH 0.004
/*
 * An apparent speed that differs by more than this (ln 8) is the fault of the estimate: the
 * fastest workers are 2.4 times as fast as others, and a slow period takes four fifths of it.
 */
#define SURPRISE_MAX 2.1
/* A gang whose members started further apart is observed from when all of them ran. */
#define START_SPREAD_MAX (100 * NSEC_PER_MSEC)

/* The variance of a worker's speed, which grows with time. */
double speed_variance(const struct wl_node *n, int64_t now)
{
	double age = (double)(now - n->speed_at) / NSEC_PER_SEC;

	if (n->speed_at == 0)
		return SPEED_VARIANCE_PRIOR;
	return MIN(
		n->speed_variance + MAX(age, 0) * SPEED_VARIANCE_GROWTH, SPEED_VARIANCE_PRIOR);
}

/* Whether the members of a gang exchange data, so that all progress like the slowest one. */
static bool progresses_together(const struct wl_unit *u)
{
	return u->step->gang && u->step->rack_local;
}

/*
 * What the other tasks of a unit tell of the progress of one. A worker's report lists up to
 * thousands of tasks of the same unit, so this is computed once for all of them.
 */
static const struct wl_unit_members *unit_members(const struct wl_task *t, int64_t now)
{
	struct wl_unit *u = t->unit;
	struct wl_unit_members *m = &u->members;

	if (m->at == now && m->seen_by == t->node)
		return m;
	*m = (struct wl_unit_members){
		.at = now, .seen_by = t->node, .slowest_other = INFINITY, .all_run = true};
	if (!u->step->gang && !u->step->rack_local)
		return m;
	for (uint32_t i = 0; i < u->step->count; i++) {
		const struct wl_task *other = &u->tasks[i];

		m->all_run &= other->phase == TASK_RUNNING;
		m->last_start = MAX(m->last_start, other->running_at);
		if (other->node == NULL || other->node == t->node)
			continue;
		m->spans_racks |= other->node->rack != t->node->rack;
		m->has_cold |= other->node->cold_until > now;
		m->slowest_other = MIN(m->slowest_other, other->node->speed);
	}
	return m;
}

/* Logarithm of how much longer a task takes because of its place. */
static double place_penalty(const struct wl_task *t, const struct wl_unit_members *m)
{
	const struct wl_unit *u = t->unit;
	bool remote = u->data_rack != NULL ? t->node->rack != u->data_rack
					   : u->step->rack_local && m->spans_racks;

	return remote ? log(MAX(u->job->wl->limits.remote_penalty, 1)) : 0;
}

/* The error of a unit's estimate, from all runs of it that were observed, and its variance. */
static double unit_error(const struct wl_unit *u, double *variance)
{
	double precision = u->error_weight + (u->estimate_off ? 0 : 1 / ERROR_VARIANCE_PRIOR);

	*variance = 1 / precision;
	return u->error_sum / precision;
}

/*
 * Takes an apparent speed of a run into account: in its unit's error, to which a run adds what
 * it tells beyond its worker's speed as that was known before.
 */
static void observe(struct wl_task *t, int64_t now, double x, const struct wl_unit_members *m)
{
	struct wl_node *n = t->node;
	struct wl_unit *u = t->unit;
	bool together = progresses_together(u);

	if (!t->observed) {
		t->apparent = x;
		t->prior_speed = together ? MIN(n->speed, m->slowest_other) : n->speed;
		t->prior_weight = 1 / (speed_variance(n, now) + OBSERVATION_VARIANCE);
		/* The members of such a gang all tell the same. */
		if (together && u->error_weight > 0)
			t->prior_weight = 0;
		if (u->error_weight == 0 && fabs(x - n->speed) > SURPRISE_MAX)
			u->estimate_off = true;
		u->error_weight += t->prior_weight;
		u->error_sum += t->prior_weight * (x - t->prior_speed);
	} else {
		x = t->apparent + REPEATED_WEIGHT * (x - t->apparent);
		u->error_sum += t->prior_weight * (x - t->apparent);
		t->apparent = x;
	}
	t->observed = true;
	n->speed_at = now;
}

/* What a run tells of its worker's speed; false if nothing. */
static bool run_speed(const struct wl_task *t, int64_t now, double *speed, double *variance)
{
	const struct wl_node *n = t->node;
	double error;

	if (!t->observed || t->unit->error_weight <= 0)
		return false;
	error = unit_error(t->unit, variance);
	*variance += OBSERVATION_VARIANCE;
	*speed = n->base_speed +
		 CLAMP(t->apparent - error - n->base_speed, -SURPRISE_MAX, SURPRISE_MAX);
	/* A gang that progresses together tells of its slowest member, and a least speed of
	 * all. */
	return !progresses_together(t->unit) || *speed >= n->base_speed ||
	       unit_members(t, now)->slowest_other >= n->base_speed - SAME_SPEED;
}

/* Combines a speed with another observation of it, by their variances. */
static void combine(double *speed, double *variance, double other, double other_variance)
{
	double gain = *variance / (*variance + other_variance);

	*speed = CLAMP(*speed + gain * (other - *speed), -SPEED_MAX, SPEED_MAX);
	*variance *= 1 - gain;
}

/* The variance of what was known before the present runs. */
static double base_variance(const struct wl_node *n, int64_t now)
{
	double age = (double)(now - n->base_at) / NSEC_PER_SEC;

	if (n->base_at == 0)
		return SPEED_VARIANCE_PRIOR;
	return MIN(
		n->base_variance + MAX(age, 0) * SPEED_VARIANCE_GROWTH, SPEED_VARIANCE_PRIOR);
}

/* Computes a worker's speed from what was known before its present runs, and from these. */
void speed_compute(struct wl_node *n, int64_t now)
{
	double speed = n->base_speed;
	double variance = base_variance(n, now);
	bool observed = false;
	const struct wl_task *t;

	if (n->speed_at == 0)
		return;
	TAILQ_FOREACH(t, &n->tasks, on_node) {
		double other;
		double other_variance;

		if (!run_speed(t, now, &other, &other_variance))
			continue;
		combine(&speed, &variance, other, other_variance);
		observed = true;
	}
	n->speed = speed;
	n->speed_variance = observed ? variance : n->base_variance;
}

/* Keeps what a run has told of its worker's speed, as the run ends. */
void speed_run_ended(struct wl_task *t, int64_t now)
{
	struct wl_node *n = t->node;
	double variance;
	double other;
	double other_variance;

	if (n == NULL || !run_speed(t, now, &other, &other_variance))
		return;
	variance = base_variance(n, now);
	combine(&n->base_speed, &variance, other, other_variance);
	n->base_variance = variance;
	n->base_at = now;
}

/* Begins a new time over which a run is observed. */
static void observe_from(struct wl_task *t, int64_t at, uint32_t percent)
{
	t->observed_at = at;
	t->observed_percent = percent;
}

/*
 * Whether the progress of a run since observed_at tells the speed of its worker. Otherwise the
 * observation begins anew: while a worker is cold, after a run has lost progress, and while a
 * gang waits for its last member.
 */
static bool is_observable(struct wl_task *t, int64_t now, const struct wl_unit_members *m)
{
	const struct wl_unit *u = t->unit;

	if (t->observed_at == 0 &&
		(!u->step->gang || m->last_start - t->base_at <= START_SPREAD_MAX))
		observe_from(t, t->base_at, t->base_percent);
	if (t->observed_at != 0 && t->percent >= t->observed_percent &&
		t->node->cold_until <= now && (!progresses_together(u) || !m->has_cold))
		return true;
	observe_from(t, now, t->percent);
	return false;
}

/* Learns from the progress that a worker has just reported of a run. */
void speed_observe(struct wl_task *t, int64_t now)
{
	const struct wl_step *s = t->unit->step;
	const struct wl_unit_members *m;
	double x;

	if (t->phase != TASK_RUNNING || s->long_running || s->filler || s->estimate_ms == 0 ||
		t->pace_percent < 100 || t->percent >= 100 || t->base_at == 0)
		return;
	m = unit_members(t, now);
	if ((s->gang && !m->all_run && t->observed_at == 0) || !is_observable(t, now, m))
		return;
	if (t->percent - t->observed_percent < OBSERVE_PERCENT_MIN ||
		now - t->observed_at < (t->observed ? OBSERVE_INTERVAL : OBSERVE_TIME_MIN))
		return;
	x = log((double)(t->percent - t->observed_percent) / 100 * s->estimate_ms *
		(double)NSEC_PER_MSEC / (double)(now - t->observed_at));
	observe(t, now, x + place_penalty(t, m), m);
	observe_from(t, now, t->percent);
}

/* Records the run time of a completed task that is not a gang member and ran from its start. */
void speed_record(struct wl_node *n, struct wl_unit *u, int64_t duration)
{
	double x;
	double weight;

	if (duration < RUN_TIME_MIN)
		return;
	x = log((double)duration);
	if (u->timed_runs >= STEP_RUNS_MIN) {
		n->timed_runs++;
		weight = MAX(RUN_WEIGHT, 1.0 / n->timed_runs);
		n->slowness += weight * (x - u->log_time_sum / u->timed_runs - n->slowness);
	}
	u->timed_runs++;
	u->log_time_sum += x;
}

bool node_is_slow(const struct wl_node *n)
{
	return n->timed_runs >= WORKER_RUNS_MIN && n->slowness > SLOW_LOG;
}

/* Takes over what an earlier coordinator knew of a worker, unless this one knows better. */
void speed_adopt(struct wl_node *n, int64_t now, const struct wl_speed *s)
{
	if (n->speed_at != 0 || s->variance_milli == 0 ||
		s->instance_hash != g_str_hash(n->instance_id))
		return;
	n->speed = CLAMP(s->milli / 1000.0, -SPEED_MAX, SPEED_MAX);
	n->speed_variance = s->variance_milli / 1000.0;
	n->speed_at = now;
	n->base_speed = n->speed;
	n->base_variance = n->speed_variance;
	n->base_at = now;
}

struct wl_speed wl_node_speed(const struct wl *w, int64_t now, const char *node)
{
	struct wl_node *n = node_find(w, node);

	if (n == NULL || n->speed_at == 0 || n->instance_id == NULL)
		return (struct wl_speed){0};
	speed_compute(n, now);
	return (struct wl_speed){.milli = (int64_t)(n->speed * 1000),
		.variance_milli = (uint32_t)MAX(speed_variance(n, now) * 1000, 1),
		.instance_hash = g_str_hash(n->instance_id)};
}

/* Forgets what is known of a worker. */
void speed_reset(struct wl_node *n)
{
	n->speed = 0;
	n->speed_variance = 0;
	n->speed_at = 0;
	n->base_speed = 0;
	n->base_variance = 0;
	n->base_at = 0;
	n->speed_class = SPEED_UNKNOWN;
	n->timed_runs = 0;
	n->slowness = 0;
}
