#include "wl-private.h"

#include <math.h>

/*
 * Which workers a unit gets where workers differ in speed.
 *
 * Load that this answers: a part of the workers is twice as fast as the others, and urgent
 * gangs meet their objective on fast workers only. A gang ends with its slowest member, so one
 * slow worker makes it late, and the fast ones that it holds are lost to other gangs. Urgent
 * units wait for fast workers while they can still meet their objective there, and preempt for
 * them; other units prefer the slow ones while they meet theirs on those.
 */

/* A worker whose variance was larger when it was last observed counts as unknown. */
#define KNOWN_VARIANCE_MAX 0.12
/* Workers that have to be known before they are told apart. */
#define KNOWN_WORKERS_MIN 8
/* Objectives count the speed at this quantile of a service's known workers. */
#define SOUND_QUANTILE 0.8
#define LOW_QUANTILE   0.2
/*
 * Least share of the known workers that are slow by SLOW_MARGIN standard deviations. A few that
 * are slow for a while leave enough others, and are avoided by their failures and stalls.
 */
#define SLOW_SHARE_MIN 0.2
#define SLOW_MARGIN    0.5
/* Shortest time between two classifications. */
#define CLASSIFY_INTERVAL (500 * NSEC_PER_MSEC)
/* Probability from which a worker counts as fast, and up to which as slow. */
#define FAST_PROBABILITY 0.65
#define SLOW_PROBABILITY 0.35

GAUGE(workers_fast, "damaskpath_workers_fast",
	"Workers that are fast enough for urgent queues; 0 if workers are about equal.");
GAUGE(workers_slow, "damaskpath_workers_slow",
	"Workers that are too slow for urgent queues; 0 if workers are about equal.");

/* The speed of a known worker, also with SLOW_MARGIN added to it. */
struct known_speed {
	double speed;
	double upper;
};

/* The known workers of a service, and what follows from their speeds. */
struct speed_group {
	char *service; /* interned */
	GArray *known; /* of struct known_speed */
	struct wl_speeds speeds;
	bool uneven;
	bool logged_uneven; /* as in the last log line */
};

static void group_clear(void *arg)
{
	struct speed_group *g = arg;

	name_free(g->service);
	g_array_unref(g->known);
}

GArray *speed_groups_new(void)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct speed_group));

	g_array_set_clear_func(a, group_clear);
	return a;
}

void speed_groups_free(GArray *groups)
{
	g_array_unref(groups);
	counter_set(&workers_fast, 0);
	counter_set(&workers_slow, 0);
}

static struct speed_group *group_find(const struct wl *w, const char *service)
{
	for (guint i = 0; i < w->speed_groups->len; i++) {
		struct speed_group *g = &g_array_index(w->speed_groups, struct speed_group, i);

		if (g->service == service)
			return g;
	}
	return NULL;
}

const struct wl_speeds *service_speeds(const struct wl *w, const char *service)
{
	const struct speed_group *g = group_find(w, service);

	return g != NULL && g->uneven ? &g->speeds : NULL;
}

static gint compare_speeds(gconstpointer pa, gconstpointer pb)
{
	double a = ((const struct known_speed *)pa)->speed;
	double b = ((const struct known_speed *)pb)->speed;

	return a < b ? -1 : a > b;
}

/*
 * How many times as long as on a sound worker a run may take for the strictest objective of a
 * service's urgent queues; 0 if it has none.
 */
static double urgent_tolerance(const struct wl *w, const char *service, double sound)
{
	double chain_ms = w->mean_urgent_ms * exp(-sound);
	double least = 0;

	for (guint i = 0; i < w->config->queues->len; i++) {
		const struct wl_queue *q = w->config->queues->pdata[i];
		double tolerance = q->stretch;

		if (q->priority != URGENT_PRIORITY || q->stretch <= 0 ||
			g_strcmp0(q->service, service) != 0)
			continue;
		if (chain_ms > 0)
			tolerance += (double)q->target_ms / chain_ms;
		if (least == 0 || tolerance < least)
			least = tolerance;
	}
	return least;
}

/* The speed at a quantile of the known workers, which are in order. */
static double quantile(const struct speed_group *g, double q)
{
	return g_array_index(g->known, struct known_speed, (guint)(q * g->known->len)).speed;
}

/* Decides whether the workers of a service are told apart. */
static void group_classify(const struct wl *w, struct speed_group *g)
{
	struct wl_speeds *s = &g->speeds;
	double tolerance;
	unsigned int slow = 0;

	g->uneven = false;
	if (g->known->len < KNOWN_WORKERS_MIN)
		return;
	g_array_sort(g->known, compare_speeds);
	s->low = quantile(g, LOW_QUANTILE);
	s->sound = quantile(g, SOUND_QUANTILE);
	tolerance = urgent_tolerance(w, g->service, s->sound);
	if (tolerance <= 1)
		return;
	s->least = s->sound - log(tolerance);
	for (guint i = 0; i < g->known->len; i++)
		slow += g_array_index(g->known, struct known_speed, i).upper < s->least;
	g->uneven = s->low < s->least && slow >= SLOW_SHARE_MIN * g->known->len;
	/* A worker whose speed is not known exactly belongs to the group that is nearer. */
	s->least = MAX(s->least, (s->low + s->sound) / 2);
}

/* The group of a service; creates it on first use. */
static struct speed_group *group_get(struct wl *w, const char *service)
{
	struct speed_group *g = group_find(w, service);
	struct speed_group fresh = {.known = NULL};

	if (g != NULL)
		return g;
	fresh.known = g_array_new(FALSE, FALSE, sizeof(struct known_speed));
	name_set(&fresh.service, service);
	g_array_append_val(w->speed_groups, fresh);
	return group_find(w, service);
}

/* Logs when the workers of a service begin or cease to be told apart. */
static void group_log(struct speed_group *g)
{
	if (g->uneven == g->logged_uneven)
		return;
	g->logged_uneven = g->uneven;
	event_log(EV_WORKER_SPEEDS,
		"service=%s known=%u low=%.3f sound=%.3f least=%.3f uneven=%d", g->service,
		g->known->len, g->speeds.low, g->speeds.sound, g->speeds.least, g->uneven);
}

/*
 * Computes for each service the sound speed, and whether its workers differ by so much that the
 * slower ones are too slow for an urgent queue's objective. Where they don't, nothing depends
 * on speeds.
 */
static void groups_compute(struct wl *w)
{
	for (guint i = 0; i < w->speed_groups->len; i++)
		g_array_set_size(
			g_array_index(w->speed_groups, struct speed_group, i).known, 0);
	for (guint i = 0; i < w->nodes->len; i++) {
		const struct wl_node *n = w->nodes->pdata[i];
		struct known_speed known = {.speed = n->speed,
			.upper = n->speed + SLOW_MARGIN * sqrt(n->speed_variance)};

		if (!n->linked || n->instance_id == NULL || n->service == NULL ||
			n->speed_at == 0 || n->speed_variance > KNOWN_VARIANCE_MAX)
			continue;
		g_array_append_val(group_get(w, n->service)->known, known);
	}
	for (guint i = w->speed_groups->len; i > 0; i--) {
		struct speed_group *g =
			&g_array_index(w->speed_groups, struct speed_group, i - 1);

		group_classify(w, g);
		group_log(g);
		if (g->known->len == 0 && !g->uneven)
			g_array_remove_index(w->speed_groups, i - 1);
	}
}

/* Class of a worker's speed, for the objectives of urgent queues. */
static enum speed_class classify(const struct wl_node *n, int64_t now)
{
	const struct wl_speeds *s = service_speeds(n->wl, n->service);
	double sd;
	double probability;

	if (s == NULL)
		return SPEED_UNKNOWN;
	sd = sqrt(speed_variance(n, now));
	probability = 0.5 * erfc((s->least - n->speed) / (sd * M_SQRT2));
	if (probability >= FAST_PROBABILITY)
		return SPEED_FAST;
	return probability <= SLOW_PROBABILITY ? SPEED_SLOW : SPEED_UNKNOWN;
}

/* Computes the speed class of each worker; it holds for the present pass. */
void speed_classify(struct wl *w, int64_t now)
{
	unsigned int counts[SPEED_SLOW + 1] = {0};

	if (w->classified_at == 0 || now - w->classified_at >= CLASSIFY_INTERVAL) {
		w->classified_at = now;
		for (guint i = 0; i < w->nodes->len; i++)
			speed_compute(w->nodes->pdata[i], now);
		groups_compute(w);
	}
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		n->speed_class = classify(n, now);
		if (n->linked && n->instance_id != NULL)
			counts[n->speed_class]++;
	}
	counter_set(&workers_fast, counts[SPEED_FAST]);
	counter_set(&workers_slow, counts[SPEED_SLOW]);
}

/* How long a task takes at a speed, at most the longest estimate that a caller can give. */
static int64_t scale(int64_t estimate, double speed)
{
	return (int64_t)MIN((double)estimate * exp(-speed), (double)UINT32_MAX * NSEC_PER_MSEC);
}

/* How long a task with an estimate takes on a worker. */
int64_t speed_scale(const struct wl_node *n, int64_t estimate)
{
	return service_speeds(n->wl, n->service) != NULL ? scale(estimate, n->speed) : estimate;
}

/* How long a task of a job takes on a worker of the sound speed. */
int64_t speed_scale_sound(const struct wl_job *j, int64_t estimate)
{
	const struct wl_speeds *s = service_speeds(j->wl, j->service);

	return s != NULL ? scale(estimate, s->sound) : estimate;
}

/* Whether the unit that is being placed may use a worker, by its speed. */
bool speed_allows(const struct wl_node *n)
{
	switch (n->wl->speed_choice) {
	case SPEED_FAST_ONLY:
		return n->speed_class == SPEED_FAST;
	case SPEED_NOT_SLOW:
		return n->speed_class != SPEED_SLOW;
	case SPEED_FAST_FIRST:
	case SPEED_SLOW_FIRST:
		break;
	}
	return true;
}

/* How little a worker's speed suits the unit that is being placed; 0 is best. */
int64_t speed_rank(const struct wl_node *n)
{
	int64_t class = n->speed_class;

	return n->wl->speed_choice == SPEED_SLOW_FIRST ? SPEED_SLOW - class : class;
}

/*
 * Which workers a unit takes first. An urgent one that is placed by this can't have fast
 * workers for all of its tasks: it is late whatever it gets, and leaves them to others. Other
 * units take slow workers, unless they would be late there; slack is the time until they have
 * to start on a worker of the sound speed.
 */
enum speed_choice speed_choose(const struct wl_unit *u, int64_t slack)
{
	const struct wl_speeds *s = service_speeds(u->job->wl, u->job->service);
	double longer;

	if (s == NULL || u->job->priority == URGENT_PRIORITY)
		return SPEED_SLOW_FIRST;
	longer = (double)step_estimate(u->job, u->step) * (exp(-s->low) - exp(-s->sound));
	return (double)slack < longer ? SPEED_FAST_FIRST : SPEED_SLOW_FIRST;
}
