#include "sched.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Drives the decision core with a seeded list of arrivals, a fake clock and fake workers, and
 * prints what came of it; one row per run. There is no network, no agent and no store here:
 * what the workers do is a delay.
 */

#define SEC	   NSEC_PER_SEC
#define HORIZON	   (3600 * SEC)
#define DRAIN_MAX  (40 * 3600 * SEC)
#define START_TIME (20 * NSEC_PER_MSEC)
#define STOP_TIME  (500 * NSEC_PER_MSEC)
#define FAIL_TIME  SEC
#define PASS_DELAY (20 * NSEC_PER_MSEC)
#define TICK	   SEC
#define SAMPLE	   (10 * SEC)
#define BURST_PART 0.1
#define BURST_RATE 3.0
#define NEVER_PART 0.02
#define LARGE	   8
#define URGENT_MAX (94 * SEC / 10)
#define SEEDS_MAX  32

/* One stream of jobs of a deployment; part is its part of the work offered. */
struct stream {
	const char *org;
	const char *kind;
	const char *class_name;
	double part;
	double mean_s;
	uint32_t sizes[4];
	enum adjacency adjacency;
	bool idempotent;
	bool checkpoint;
};

struct deployment {
	const char *name;
	const char *file;
	const char *cell;
	uint32_t workers;
	uint32_t per_rack;
	int cores;
	double mean_scale;
	struct stream streams[8];
};

static const struct deployment deployments[] = {
	{"phewa", "examples/phewa.yaml", "phewa-1", 11, 3, 32, 1,
		{{"shop-counters", "preview", "preview", 0.10, 4, {1, 1, 1, 2},
			 ADJACENCY_WORKER, true, false},
			{"website", "preview", "preview", 0.08, 4, {1, 1, 1, 1},
				ADJACENCY_WORKER, true, false},
			{"resellers", "proof", "proof", 0.10, 20, {1, 2, 2, 2},
				ADJACENCY_WORKER, false, false},
			{"website", "proof", "proof", 0.12, 20, {1, 2, 4, 4}, ADJACENCY_WORKER,
				true, false},
			{"plate-room", "preflight", "preflight", 0.45, 300, {8, 8, 16, 24},
				ADJACENCY_RACK, true, true},
			{"resellers", "batch", "preflight", 0.15, 200, {8, 8, 8, 16},
				ADJACENCY_RACK, true, true}}},
	{"caroni", "examples/caroni.yaml", "caroni-1", 11, 3, 128, 1,
		{{"crews", "confirm", "confirmation", 0.08, 3, {1, 1, 1, 1}, ADJACENCY_WORKER,
			 false, false},
			{"call-centre", "confirm", "confirmation", 0.07, 3, {1, 1, 1, 1},
				ADJACENCY_WORKER, false, false},
			{"web-form", "quote", "quote", 0.15, 6, {1, 1, 1, 2}, ADJACENCY_WORKER,
				true, false},
			{"call-centre", "quote", "quote", 0.10, 6, {1, 1, 2, 2},
				ADJACENCY_WORKER, true, false},
			{"planning", "route", "route-plan", 0.60, 400, {8, 8, 16, 24},
				ADJACENCY_RACK, true, true}}},
	{"large", "examples/large-cell.yaml", "large-1", 100, 3, 64, 1,
		{{"alpha", "serve", "urgent", 0.10, 5, {1, 1, 2, 2}, ADJACENCY_WORKER, true,
			 false},
			{"beta", "serve", "urgent", 0.10, 5, {1, 1, 2, 4}, ADJACENCY_WORKER,
				false, false},
			{"gamma", "train", "batch", 0.40, 600, {8, 16, 24, 24}, ADJACENCY_RACK,
				true, true},
			{"delta", "train", "batch", 0.25, 600, {16, 32, 64, 64}, ADJACENCY_ANY,
				true, true},
			{"gamma", "tune", "normal", 0.15, 60, {1, 2, 4, 8}, ADJACENCY_WORKER,
				true, false}}},
};

static const struct {
	const char *name;
	enum sched_policy policy;
} policies[] = {
	{"fifo-first-fit", SCHED_POLICY_FIFO},
	{"backfill-first-fit", SCHED_POLICY_BACKFILL},
	{"damaskpath", SCHED_POLICY_FULL},
};

/* One job of the list, and what became of it. */
struct arrival {
	char id[16];
	const struct stream *stream;
	uint32_t accelerators;
	int64_t at;
	int64_t run;
	int64_t declared;
	bool never;
	job_ref ref;
	bool known;
	bool running;
	uint32_t attempt;
	int64_t left;
	int64_t began;
	int64_t started;
	int64_t ended;
	bool within;
	bool done;
	int begun;
	uint32_t members;
};

enum event_kind {
	EVENT_ARRIVE,
	EVENT_START,
	EVENT_END,
	EVENT_STOPPED,
	EVENT_FAIL,
	EVENT_PASS,
	EVENT_TICK,
	EVENT_SAMPLE,
	EVENT_RACK_DOWN,
	EVENT_RACK_UP,
	EVENT_BAD_BEGIN,
	EVENT_BAD_END,
	EVENT_CANCEL_WAVE
};

struct event {
	int64_t at;
	uint64_t order;
	enum event_kind kind;
	struct arrival *job;
	uint32_t attempt;
};

struct totals {
	double completion;
	double fragmentation;
	uint32_t samples;
	double useful;
	double available;
	double within_wait;
	uint32_t within_jobs;
	int64_t urgent_max;
	int64_t reclaim_max;
	uint32_t misses;
	uint32_t partial;
	uint32_t doubled;
	uint32_t false_refusals;
	uint32_t refused;
};

struct bench {
	const struct deployment *d;
	struct sched *sched;
	struct doc *doc;
	GRand *rand;
	GArray *heap;
	uint64_t order;
	int64_t now;
	bool pass_due;
	struct arrival *jobs;
	size_t jobs_len;
	size_t open;
	bool bad_worker;
	int64_t disturbed_until;
	uint32_t down;
	struct totals t;
};

/* The figures of one run. */
struct row {
	double mean_completion;
	double p99_completion;
	double fragmentation;
	double urgent_p99;
	double large_p99;
	double large_mean;
	double goodput;
	double bound;
	double within_wait;
	struct totals t;
};

static bool before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

#define HEAP(b, i) g_array_index((b)->heap, struct event, i)

/* Add an event. */
static void push(struct bench *b, int64_t at, enum event_kind kind, struct arrival *job,
	uint32_t attempt)
{
	struct event e = {at, b->order++, kind, job, attempt};
	guint i = b->heap->len;

	g_array_append_val(b->heap, e);
	while (i > 0 && before(&HEAP(b, i), &HEAP(b, (i - 1) / 2))) {
		struct event t = HEAP(b, i);

		HEAP(b, i) = HEAP(b, (i - 1) / 2);
		HEAP(b, (i - 1) / 2) = t;
		i = (i - 1) / 2;
	}
}

/* Take the first event. */
static struct event pop(struct bench *b)
{
	struct event first = HEAP(b, 0);
	guint i = 0;

	HEAP(b, 0) = HEAP(b, b->heap->len - 1);
	g_array_set_size(b->heap, b->heap->len - 1);
	for (;;) {
		guint least = i;
		struct event t;

		for (guint c = 2 * i + 1; c <= 2 * i + 2 && c < b->heap->len; c++) {
			if (before(&HEAP(b, c), &HEAP(b, least)))
				least = c;
		}
		if (least == i)
			return first;
		t = HEAP(b, i);
		HEAP(b, i) = HEAP(b, least);
		HEAP(b, least) = t;
		i = least;
	}
}

/* Mean of the sizes of a stream. */
static double mean_size(const struct stream *s)
{
	return (s->sizes[0] + s->sizes[1] + s->sizes[2] + s->sizes[3]) / 4.0;
}

/* A run time with a heavy tail and the given mean. */
static double draw_run(GRand *r, double mean)
{
	double u = 0;

	for (int i = 0; i < 12; i++)
		u += g_rand_double(r);
	return CLAMP(mean * exp(0.9 * (u - 6) - 0.405), mean / 20, mean * 10);
}

/* Arrivals of one stream, with bursts. */
static void draw_stream(
	GArray *list, GRand *r, const struct deployment *d, const struct stream *s, double load)
{
	double capacity = d->workers * 8.0;
	double rate = load * capacity * s->part / (mean_size(s) * s->mean_s) /
		      (1 + BURST_PART * (BURST_RATE - 1));
	double t = 0;

	while (t < (double)HORIZON / (double)SEC) {
		bool burst = fmod(t, 600) < 600 * BURST_PART;
		struct arrival a = {.stream = s};

		t += -log(1 - g_rand_double(r)) / (rate * (burst ? BURST_RATE : 1));
		a.at = (int64_t)(t * (double)SEC);
		a.run = (int64_t)(draw_run(r, s->mean_s) * (double)SEC);
		a.declared = (int64_t)((double)a.run * pow(10, g_rand_double_range(r, -1, 1)));
		a.accelerators = s->sizes[g_rand_int_range(r, 0, 4)];
		a.never = g_rand_double(r) < NEVER_PART;
		if (a.never)
			a.accelerators = JOB_ACCELERATORS_MAX;
		g_array_append_val(list, a);
	}
}

static int compare_arrivals(const void *a, const void *b)
{
	const struct arrival *x = a;
	const struct arrival *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

/* Scale the run times so that the runnable jobs offer exactly the load asked for. */
static void scale_work(GArray *list, const struct deployment *d, double load)
{
	double wanted = load * d->workers * 8.0 * (double)HORIZON;
	double work = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct arrival *a = &g_array_index(list, struct arrival, i);

		if (!a->never)
			work += (double)a->run * a->accelerators;
	}
	for (guint i = 0; i < list->len; i++) {
		struct arrival *a = &g_array_index(list, struct arrival, i);

		a->run = (int64_t)((double)a->run * wanted / work);
		a->declared = (int64_t)((double)a->declared * wanted / work);
	}
}

/* The whole list; the same for every policy. */
static struct arrival *draw_arrivals(
	const struct deployment *d, double load, uint32_t seed, size_t *len)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct arrival));
	GRand *r = g_rand_new_with_seed(seed);

	for (size_t i = 0; i < ARRAY_LEN(d->streams) && d->streams[i].org != NULL; i++)
		draw_stream(list, r, d, &d->streams[i], load);
	g_array_sort(list, compare_arrivals);
	scale_work(list, d, load);
	for (guint i = 0; i < list->len; i++) {
		struct arrival *a = &g_array_index(list, struct arrival, i);

		snprintf(a->id, sizeof(a->id), "j%u", i);
		a->left = a->run;
	}
	g_rand_free(r);
	*len = list->len;
	return (struct arrival *)g_array_free(list, FALSE);
}

/* Read a document. */
static struct doc *load_doc(const char *file)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct doc_section));
	char *text = NULL;
	struct doc *d;

	if (!g_file_get_contents(file, &text, NULL, NULL) ||
		!doc_split_sections(text, sections, &problems)) {
		fprintf(stderr, "bench-policy: %s cannot be read\n", file);
		exit(1);
	}
	for (guint i = 0; i < sections->len; i++)
		g_array_append_vals(all, sections->pdata[i], 1);
	d = doc_parse_sections((struct doc_section *)all->data, all->len, &problems);
	g_array_unref(all);
	g_free(text);
	return d;
}

/* Ask for a pass soon. */
static void want_pass(struct bench *b)
{
	if (b->pass_due)
		return;
	b->pass_due = true;
	push(b, b->now + PASS_DELAY, EVENT_PASS, NULL, 0);
}

/* The document's entry of a stream's class. */
static const struct doc_class *class_of(const struct bench *b, const struct stream *s)
{
	return doc_find_class(b->doc, s->class_name);
}

struct demand {
	uint32_t accelerators;
	enum adjacency adjacency;
};

/* Whether demands can be matched, one each, to the guaranteed shapes of an organisation. */
static bool within_guarantee(const struct doc_org *o, const struct demand *open, size_t len)
{
	const struct doc_guarantee *g;
	uint32_t left[64];
	struct pack_shape shapes[64];
	size_t n = 0;

	STAILQ_FOREACH(g, &o->guarantees, entry)
	{
		for (uint32_t i = 0; i < g->count && n < ARRAY_LEN(shapes); i++) {
			shapes[n] = (struct pack_shape){g->accelerators, g->adjacency};
			left[n++] = 1;
		}
	}
	for (size_t i = 0; i < len; i++) {
		int best = -1;

		for (size_t k = 0; k < n; k++) {
			if (left[k] == 0 || shapes[k].accelerators < open[i].accelerators ||
				shapes[k].adjacency < open[i].adjacency)
				continue;
			if (best < 0 || shapes[k].accelerators < shapes[best].accelerators)
				best = (int)k;
		}
		if (best < 0)
			return false;
		left[best] = 0;
	}
	return true;
}

/* Whether a new job fits, as a shape, beside all open jobs of its organisation. */
static bool is_within(struct bench *b, const struct arrival *a)
{
	const struct doc_org *o = doc_find_org(b->doc, a->stream->org);
	struct demand open[64];
	size_t n = 0;

	if (b->down > 0 || b->bad_worker || b->now < b->disturbed_until)
		return false;
	for (size_t i = 0; i < b->jobs_len && n < ARRAY_LEN(open); i++) {
		const struct arrival *j = &b->jobs[i];

		if (j->at > a->at)
			break;
		if ((j == a || (j->known && j->ended == 0)) &&
			strcmp(j->stream->org, a->stream->org) == 0)
			open[n++] = (struct demand){j->accelerators, j->stream->adjacency};
	}
	return n < ARRAY_LEN(open) && within_guarantee(o, open, n);
}

/* A job comes. */
static void arrive(struct bench *b, struct arrival *a)
{
	const struct stream *s = a->stream;
	const struct doc_class *c = class_of(b, s);
	struct job_spec spec = {.id = a->id,
		.org = (char *)s->org,
		.kind = (char *)s->kind,
		.priority = c->priority,
		.urgent = c->urgent,
		.accelerators = a->accelerators,
		.adjacency = a->never ? ADJACENCY_WORKER : s->adjacency,
		.idempotent = s->idempotent,
		.checkpoint = s->checkpoint,
		.run_time_ms = MAX(a->declared / NSEC_PER_MSEC, 1)};

	a->within = !a->never && is_within(b, a);
	a->known = true;
	a->ref = sched_submit(b->sched, b->now, &spec, a);
	want_pass(b);
}

/* Whether a member of a job is on the worker that fails everything. */
static bool on_bad_worker(const struct bench *b, const struct sched_job *j)
{
	for (uint32_t i = 0; b->bad_worker && i < j->members_len; i++) {
		if (j->members[i].worker == 0)
			return true;
	}
	return false;
}

/* A job starts on all its members. */
static void start(struct bench *b, struct arrival *a, uint32_t attempt)
{
	struct sched_job *j = sched_job(b->sched, a->ref);
	uint32_t sum = 0;

	if (!a->known || a->ended != 0 || a->attempt != attempt ||
		j->state != SCHED_JOB_PLACING)
		return;
	for (uint32_t i = 0; i < j->members_len; i++)
		sum += j->members[i].accelerators;
	if (sum != a->accelerators)
		b->t.partial++;
	if (a->begun > 0 && !a->stream->idempotent && !a->stream->checkpoint)
		b->t.doubled++;
	a->begun++;
	a->running = true;
	a->members = j->members_len;
	a->began = b->now;
	if (a->started == 0)
		a->started = b->now;
	sched_started(b->sched, b->now, a->ref, attempt);
	if (on_bad_worker(b, j))
		push(b, b->now + FAIL_TIME, EVENT_FAIL, a, attempt);
	else
		push(b, b->now + a->left, EVENT_END, a, attempt);
}

/* All open members of a job end in one way. */
static void end_members(
	struct bench *b, struct arrival *a, uint32_t attempt, enum member_end end)
{
	a->running = false;
	for (uint32_t i = 0; i < a->members; i++)
		sched_member_ended(b->sched, b->now, a->ref, attempt, i, end, a->run - a->left);
	want_pass(b);
}

/* Note what a stop leaves of a job's work. */
static void keep_progress(struct bench *b, struct arrival *a)
{
	if (a->stream->checkpoint)
		a->left = MAX(a->left - (b->now - a->began), NSEC_PER_MSEC);
}

/* A job was stopped. */
static void stopped(struct bench *b, struct arrival *a, uint32_t attempt)
{
	struct sched_job *j = sched_job(b->sched, a->ref);

	if (a->ended != 0 || a->attempt != attempt || j == NULL ||
		j->state != SCHED_JOB_STOPPING)
		return;
	if (a->running) {
		keep_progress(b, a);
		end_members(b, a, attempt, MEMBER_END_STOPPED);
		return;
	}
	sched_reserve_failed(b->sched, b->now, a->ref, attempt);
	want_pass(b);
}

/* Note the end of a job. */
static void on_end(struct bench *b, struct arrival *a, const struct sched_action *act)
{
	a->ended = b->now;
	a->done = act->end.outcome == OUTCOME_DONE;
	a->running = false;
	b->open--;
	if (act->end.not_run && a->begun > 0)
		b->t.false_refusals++;
	if (act->end.outcome == OUTCOME_NOT_RUN)
		b->t.refused++;
	if (a->done && b->now <= HORIZON)
		b->t.useful += (double)a->run / (double)SEC * a->accelerators;
	sched_remove_job(b->sched, a->ref);
}

/* Carry out what the core decided. */
static void carry_out(struct bench *b)
{
	struct sched_action act;

	while (sched_next(b->sched, &act)) {
		struct sched_job *j = sched_job(b->sched, act.job);
		struct arrival *a = j != NULL ? j->owner : NULL;

		if (a != NULL && act.kind == SCHED_ACTION_PLACE) {
			a->attempt = act.attempt;
			push(b, b->now + START_TIME, EVENT_START, a, act.attempt);
		} else if (a != NULL && act.kind == SCHED_ACTION_STOP) {
			push(b, b->now + STOP_TIME, EVENT_STOPPED, a, act.attempt);
		} else if (a != NULL) {
			on_end(b, a, &act);
		}
		sched_action_clear(&act);
	}
}

/* Enter the workers of a rack, or take them away. */
static void set_rack(struct bench *b, uint32_t rack, bool up)
{
	for (uint32_t i = 0; i < b->d->workers; i++) {
		char name[16];
		char rack_name[16];
		struct sched_worker_spec spec = {name, rack_name, {8, 8, b->d->cores, 65536}};

		if (rack != UINT32_MAX && i / b->d->per_rack != rack)
			continue;
		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack_name, sizeof(rack_name), "r%u", i / b->d->per_rack);
		if (up)
			sched_worker_up(b->sched, b->now, &spec);
		else
			sched_worker_down(b->sched, b->now, i);
	}
}

/* The members of all jobs on a rack are lost; the others of their gangs are stopped. */
static void lose_members(struct bench *b, uint32_t rack)
{
	for (size_t i = 0; i < b->jobs_len; i++) {
		struct arrival *a = &b->jobs[i];
		struct sched_job *j =
			a->known && a->ended == 0 ? sched_job(b->sched, a->ref) : NULL;
		uint32_t attempt = a->attempt;

		if (j == NULL || j->members_len == 0 || j->state == SCHED_JOB_CLAIMING)
			continue;
		for (uint32_t m = 0; m < j->members_len; m++) {
			if (j->members[m].worker / b->d->per_rack != rack)
				continue;
			keep_progress(b, a);
			a->members = j->members_len;
			end_members(b, a, attempt,
				a->running ? MEMBER_END_LOST : MEMBER_END_NEVER_STARTED);
			break;
		}
	}
}

/* Cancel a third of the jobs that wait. */
static void cancel_wave(struct bench *b)
{
	for (size_t i = 0; i < b->jobs_len; i++) {
		struct arrival *a = &b->jobs[i];

		if (a->known && a->ended == 0 && a->begun == 0 && i % 3 == 0)
			sched_cancel(b->sched, b->now, a->ref);
	}
	want_pass(b);
}

/* Sample the measure of fragmentation, and the capacity that there is. */
static void sample(struct bench *b)
{
	struct sched_free_view v;

	sched_free_view(b->sched, b->now, &v);
	b->t.fragmentation += v.fragmentation;
	b->t.available += v.accelerators * (double)SAMPLE / (double)SEC;
	b->t.samples++;
	if (b->now + SAMPLE <= HORIZON)
		push(b, b->now + SAMPLE, EVENT_SAMPLE, NULL, 0);
}

/* Handle one event. */
static void handle(struct bench *b, const struct event *e)
{
	switch (e->kind) {
	case EVENT_ARRIVE:
		arrive(b, e->job);
		break;
	case EVENT_START:
		start(b, e->job, e->attempt);
		break;
	case EVENT_END:
		if (e->job->running && e->job->attempt == e->attempt)
			end_members(b, e->job, e->attempt, MEMBER_END_DONE);
		break;
	case EVENT_FAIL:
		if (e->job->running && e->job->attempt == e->attempt) {
			struct sched_job *j = sched_job(b->sched, e->job->ref);

			for (uint32_t i = 0; i < e->job->members; i++)
				sched_member_ended(b->sched, b->now, e->job->ref, e->attempt, i,
					j->members[i].worker == 0 ? MEMBER_END_FAILED
								  : MEMBER_END_STOPPED,
					0);
			e->job->running = false;
			want_pass(b);
		}
		break;
	case EVENT_STOPPED:
		stopped(b, e->job, e->attempt);
		break;
	case EVENT_PASS:
		b->pass_due = false;
		sched_run(b->sched, b->now);
		break;
	case EVENT_TICK:
		sched_run(b->sched, b->now);
		if (b->open > 0 && b->now < DRAIN_MAX)
			push(b, b->now + TICK, EVENT_TICK, NULL, 0);
		break;
	case EVENT_SAMPLE:
		sample(b);
		break;
	case EVENT_RACK_DOWN:
		b->down++;
		set_rack(b, 1, false);
		lose_members(b, 1);
		break;
	case EVENT_RACK_UP:
		b->down--;
		b->disturbed_until = b->now + 60 * SEC;
		set_rack(b, 1, true);
		want_pass(b);
		break;
	case EVENT_BAD_BEGIN:
		b->bad_worker = true;
		break;
	case EVENT_BAD_END:
		b->bad_worker = false;
		b->disturbed_until = b->now + 700 * SEC;
		break;
	case EVENT_CANCEL_WAVE:
		cancel_wave(b);
		break;
	}
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* A quantile of a list, which is sorted on the way; 0 for an empty one. */
static double quantile(GArray *list, double q)
{
	guint i = (guint)(q * list->len);

	g_array_sort(list, compare_doubles);
	return list->len > 0 ? g_array_index(list, double, MIN(i, list->len - 1)) : 0;
}

struct work_left {
	double work;
	double at;
};

/*
 * A bound that no schedule can beat: each job takes at least its run time, and all jobs
 * together at least as long on average as on one machine of the whole capacity that always
 * serves the least remaining work (SRPT is optimal there).
 */
static double lower_bound(const struct bench *b)
{
	double capacity = b->d->workers * 8.0;
	GTree *queue = g_tree_new_full(
		(GCompareDataFunc)(void (*)(void))compare_doubles, NULL, g_free, NULL);
	double now = 0;
	double sum = 0;
	double runs = 0;
	size_t n = 0;
	size_t i = 0;

	for (size_t k = 0; k < b->jobs_len; k++) {
		if (!b->jobs[k].done)
			continue;
		runs += (double)b->jobs[k].run / (double)SEC;
		n++;
	}
	while (i < b->jobs_len || g_tree_nnodes(queue) > 0) {
		GTreeNode *first = g_tree_node_first(queue);
		double next = i < b->jobs_len ? (double)b->jobs[i].at / (double)SEC : INFINITY;

		if (first == NULL || next <= now) {
			const struct arrival *a = &b->jobs[i++];
			double *key;

			now = MAX(now, next);
			if (!a->done)
				continue;
			key = g_new(double, 2);
			key[0] = (double)a->run / (double)SEC * a->accelerators +
				 1e-9 * (double)i;
			key[1] = next;
			g_tree_insert(queue, key, key);
			continue;
		}
		double *key = g_tree_node_key(first);
		double work = key[0];
		double arrived = key[1];
		double ends = now + work / capacity;

		if (ends <= next) {
			now = ends;
			sum += now - arrived;
			g_tree_remove(queue, key);
		} else {
			double *rest = g_new(double, 2);

			rest[0] = work - (next - now) * capacity;
			rest[1] = arrived;
			g_tree_remove(queue, key);
			g_tree_insert(queue, rest, rest);
			now = next;
		}
	}
	g_tree_destroy(queue);
	return n > 0 ? MAX(sum, runs) / (double)n : 0;
}

/* Work out the figures. */
static struct row figures(struct bench *b)
{
	GArray *completion = g_array_new(FALSE, TRUE, sizeof(double));
	GArray *urgent = g_array_new(FALSE, TRUE, sizeof(double));
	GArray *large = g_array_new(FALSE, TRUE, sizeof(double));
	int64_t allowed = b->doc->grace + 2 * SEC;
	struct row r = {0};
	double sum = 0;
	double large_sum = 0;

	for (size_t i = 0; i < b->jobs_len; i++) {
		const struct arrival *a = &b->jobs[i];
		int64_t wait = (a->started != 0 ? a->started : a->ended) - a->at;
		double wait_s = (double)wait / (double)SEC;
		double whole = (double)(a->ended - a->at) / (double)SEC;

		if (a->started != 0 && class_of(b, a->stream)->urgent)
			g_array_append_val(urgent, wait_s);
		if (a->started != 0 && a->accelerators >= LARGE) {
			g_array_append_val(large, wait_s);
			large_sum += wait_s;
		}
		if (a->within && a->started != 0) {
			b->t.within_wait += wait_s;
			b->t.within_jobs++;
			b->t.reclaim_max = MAX(b->t.reclaim_max, wait);
			if (wait > allowed)
				b->t.misses++;
			if (class_of(b, a->stream)->urgent)
				b->t.urgent_max = MAX(b->t.urgent_max, wait);
		}
		if (!a->done)
			continue;
		sum += whole;
		g_array_append_val(completion, whole);
	}
	r.mean_completion = completion->len > 0 ? sum / completion->len : 0;
	r.large_mean = large->len > 0 ? large_sum / large->len : 0;
	r.p99_completion = quantile(completion, 0.99);
	r.urgent_p99 = quantile(urgent, 0.99);
	r.large_p99 = quantile(large, 0.99);
	r.fragmentation = b->t.samples > 0 ? b->t.fragmentation / b->t.samples : 0;
	r.goodput = b->t.available > 0 ? b->t.useful / b->t.available : 0;
	r.bound = lower_bound(b);
	r.within_wait = b->t.within_jobs > 0 ? b->t.within_wait / b->t.within_jobs : 0;
	r.t = b->t;
	g_array_unref(completion);
	g_array_unref(urgent);
	g_array_unref(large);
	return r;
}

/* Run one list of arrivals under one policy. */
static struct row run(const struct deployment *d, double load, uint32_t seed,
	enum sched_policy policy, double weight)
{
	struct bench b = {.d = d};
	struct row r;

	b.doc = load_doc(d->file);
	if (weight >= 0)
		b.doc->weight_completion = weight;
	b.sched = sched_new(policy, seed);
	b.heap = g_array_new(FALSE, TRUE, sizeof(struct event));
	b.jobs = draw_arrivals(d, load, seed, &b.jobs_len);
	b.open = b.jobs_len;
	sched_set_doc(b.sched, 0, b.doc, d->cell);
	set_rack(&b, UINT32_MAX, true);
	for (size_t i = 0; i < b.jobs_len; i++)
		push(&b, b.jobs[i].at, EVENT_ARRIVE, &b.jobs[i], 0);
	push(&b, SEC, EVENT_TICK, NULL, 0);
	push(&b, SAMPLE, EVENT_SAMPLE, NULL, 0);
	push(&b, HORIZON / 4, EVENT_BAD_BEGIN, NULL, 0);
	push(&b, HORIZON / 4 + 300 * SEC, EVENT_BAD_END, NULL, 0);
	push(&b, HORIZON / 2, EVENT_RACK_DOWN, NULL, 0);
	push(&b, HORIZON / 2 + 300 * SEC, EVENT_RACK_UP, NULL, 0);
	push(&b, HORIZON * 3 / 4, EVENT_CANCEL_WAVE, NULL, 0);
	while (b.heap->len > 0 && b.open > 0) {
		struct event e = pop(&b);

		b.now = e.at;
		handle(&b, &e);
		carry_out(&b);
	}
	r = figures(&b);
	sched_free(b.sched);
	doc_free(b.doc);
	g_array_unref(b.heap);
	g_free(b.jobs);
	return r;
}

/* Print one run. */
static void print_row(const char *deployment, double load, uint32_t seed, const char *policy,
	const struct row *r)
{
	printf("policy deployment=%s load=%.1f seed=%u policy=%s mean_completion_s=%.2f "
	       "p99_completion_s=%.1f fragmentation=%.4f urgent_p99_wait_s=%.2f "
	       "large_p99_wait_s=%.1f reclaim_max_s=%.2f goodput=%.3f guarantee_misses=%u "
	       "partial_gangs=%u double_runs=%u false_refusals=%u bound_ratio=%.2f "
	       "within_wait_s=%.3f within_jobs=%u refused=%u\n",
		deployment, load, seed, policy, r->mean_completion, r->p99_completion,
		r->fragmentation, r->urgent_p99, r->large_p99,
		(double)r->t.reclaim_max / (double)SEC, r->goodput, r->t.misses, r->t.partial,
		r->t.doubled, r->t.false_refusals,
		r->bound > 0 ? r->mean_completion / r->bound : 0, r->within_wait,
		r->t.within_jobs, r->t.refused);
	fflush(stdout);
}

/* Median of a list. */
static double median(GArray *list)
{
	return quantile(list, 0.5);
}

/* What the last line is made of. */
struct summary {
	GArray *completion;
	GArray *fragmentation;
	GArray *large;
	GArray *bound;
	GArray *goodput;
	GArray *victim;
	int64_t urgent_max;
	uint32_t misses;
	uint32_t violations;
};

/* Add a ratio. */
static void add_ratio(GArray *list, double a, double b)
{
	double r = b > 0 ? a / b : 1;

	g_array_append_val(list, r);
}

/* Run one deployment, load and seed under all policies. */
static void run_all(const struct deployment *d, double load, uint32_t seed, struct summary *sum)
{
	struct row rows[ARRAY_LEN(policies)];
	const struct row *ours = &rows[ARRAY_LEN(policies) - 1];

	for (size_t p = 0; p < ARRAY_LEN(policies); p++) {
		rows[p] = run(d, load, seed, policies[p].policy, -1);
		print_row(d->name, load, seed, policies[p].name, &rows[p]);
	}
	sum->misses += ours->t.misses;
	sum->violations += ours->t.partial + ours->t.doubled + ours->t.false_refusals;
	sum->urgent_max = MAX(sum->urgent_max, ours->t.urgent_max);
	if (load > 0.85 && load < 0.95) {
		add_ratio(sum->completion, ours->mean_completion, rows[0].mean_completion);
		add_ratio(sum->fragmentation, ours->fragmentation, rows[0].fragmentation);
		add_ratio(sum->large, ours->large_p99, rows[0].large_p99);
		add_ratio(sum->bound, ours->mean_completion, ours->bound);
	}
	if (load > 1) {
		struct row calm = run(d, 0.7, seed, SCHED_POLICY_FULL, -1);

		g_array_append_val(sum->goodput, ours->goodput);
		add_ratio(sum->victim, ours->within_wait, calm.within_wait);
	}
}

/* Print the curve of completion against fragmentation over the weight. */
static void print_curve(uint32_t seeds)
{
	for (double w = 0; w < 1.01; w += 0.125) {
		double completion = 0;
		double fragmentation = 0;

		for (uint32_t s = 1; s <= seeds; s++) {
			struct row r = run(&deployments[0], 0.9, s, SCHED_POLICY_FULL, w);

			completion += r.mean_completion / seeds;
			fragmentation += r.fragmentation / seeds;
		}
		printf("curve weight=%.3f mean_completion_s=%.2f fragmentation=%.4f\n", w,
			completion, fragmentation);
	}
}

/* usage: bench-policy [SEEDS [DEPLOYMENT]] | curve [SEEDS] */
int main(int argc, char **argv)
{
	static const double loads[] = {0.7, 0.9, 1.5};
	uint32_t seeds = argc > 1 ? (uint32_t)atoi(argv[1]) : 5;
	const char *only = argc > 2 ? argv[2] : NULL;
	struct summary sum = {0};
	GArray **lists[] = {&sum.completion, &sum.fragmentation, &sum.large, &sum.bound,
		&sum.goodput, &sum.victim};

	log_set_level(LOG_LEVEL_ERROR);
	for (size_t i = 0; i < ARRAY_LEN(lists); i++)
		*lists[i] = g_array_new(FALSE, TRUE, sizeof(double));
	if (argc > 1 && strcmp(argv[1], "curve") == 0) {
		print_curve(argc > 2 ? (uint32_t)atoi(argv[2]) : 3);
		return 0;
	}
	for (size_t d = 0; d < ARRAY_LEN(deployments); d++) {
		if (only != NULL && strcmp(only, deployments[d].name) != 0)
			continue;
		for (size_t l = 0; l < ARRAY_LEN(loads); l++) {
			for (uint32_t s = 1; s <= MIN(seeds, (uint32_t)SEEDS_MAX); s++)
				run_all(&deployments[d], loads[l], s, &sum);
		}
	}
	printf("bench-policy completion_ratio=%.3f fragmentation_ratio=%.3f "
	       "large_wait_ratio=%.3f "
	       "bound_ratio=%.3f urgent_max_s=%.2f guarantee_misses=%u overload_goodput=%.3f "
	       "victim_wait_ratio=%.3f violations=%u\n",
		median(sum.completion), median(sum.fragmentation), median(sum.large),
		median(sum.bound), (double)sum.urgent_max / (double)SEC, sum.misses,
		median(sum.goodput), median(sum.victim), sum.violations);
	return 0;
}
