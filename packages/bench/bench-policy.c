#include "sched.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Discrete-event simulation of the scheduler: a seeded list of arrivals, a simulated clock and
 * simulated workers. Prints one line of metrics per run. There is no network, agent or store;
 * workers are modelled as fixed delays.
 */

#define SEC		   NSEC_PER_SEC
#define ARRIVAL_PERIOD	   (3600 * SEC)
#define SIMULATED_TIME_MAX (40 * 3600 * SEC)
#define START_DELAY	   (20 * NSEC_PER_MSEC)
#define STOP_DELAY	   (500 * NSEC_PER_MSEC)
#define FAIL_DELAY	   SEC
#define PASS_DELAY	   (20 * NSEC_PER_MSEC)
/* Length of the worker fault and of the rack outage. */
#define FAULT_DURATION (300 * SEC)
/* Waits this soon after a fault are not measured against the guarantees. */
#define RACK_RECOVERY	(60 * SEC)
#define WORKER_RECOVERY (700 * SEC)
/* Added to the grace time before a guaranteed wait counts as a miss. */
#define GUARANTEE_WAIT_MARGIN	(2 * SEC)
#define TICK_INTERVAL		SEC
#define SAMPLE_INTERVAL		(10 * SEC)
#define BURST_FRACTION		0.1
#define BURST_PERIOD_S		600
#define BURST_RATE_FACTOR	3.0
#define UNPLACEABLE_FRACTION	0.02
#define LARGE_ACCELERATORS	8
#define ALL_RACKS		UINT32_MAX
#define ACCELERATORS_PER_WORKER 8.0
#define URGENT_MAX		(94 * SEC / 10) /* unused */
#define SEEDS_MAX		32

/* A stream of similar jobs; load_share is its fraction of the offered work. */
struct stream {
	const char *org;
	const char *kind;
	const char *class_name;
	double load_share;
	double mean_run_s;
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
	double mean_scale; /* unused */
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

/* A job arrival and the state of that job in the simulation. */
struct arrival {
	char id[16];
	const struct stream *stream;
	uint32_t accelerators;
	int64_t at;
	int64_t run_time;
	int64_t declared_run_time;
	bool unplaceable;
	job_ref ref;
	bool submitted;
	bool running;
	uint32_t attempt;
	int64_t remaining;
	int64_t attempt_started;
	int64_t first_started;
	int64_t ended;
	bool guaranteed;
	bool done;
	int start_count;
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
	EVENT_WORKER_FAULT_BEGIN,
	EVENT_WORKER_FAULT_END,
	EVENT_CANCEL_WAITING
};

struct event {
	int64_t at;
	uint64_t order;
	enum event_kind kind;
	struct arrival *job;
	uint32_t attempt;
};

struct totals {
	double completion;    /* unused */
	double fragmentation; /* sum over the samples */
	uint32_t samples;
	/* Work of the jobs that completed within ARRIVAL_PERIOD, in accelerator-seconds. */
	double useful_work;
	/* Work that all workers that were up could do in that time, in accelerator-seconds. */
	double capacity;
	/*
	 * Waits from arrival to first start of the jobs that fitted their guarantee on arrival:
	 * the sum in seconds, and in ns the longest of an urgent job and the longest of any.
	 */
	double guaranteed_wait;
	uint32_t guaranteed_jobs;
	int64_t guaranteed_urgent_wait_max;
	int64_t guaranteed_wait_max;
	uint32_t guarantee_misses;
	uint32_t partial_gangs;
	uint32_t double_runs;
	/* Jobs reported as not run, with any outcome, that had started. */
	uint32_t false_not_run;
	/* Jobs that ended with OUTCOME_NOT_RUN, on submission or later. */
	uint32_t not_run;
};

struct bench {
	const struct deployment *deployment;
	struct sched *sched;
	struct doc *doc;
	GRand *rand; /* unused */
	GArray *heap;
	uint64_t order;
	int64_t now;
	bool pass_pending;
	struct arrival *jobs;
	size_t jobs_len;
	size_t unfinished;
	bool worker_faulty;
	/* Jobs that arrive before this, after a fault, don't count as guaranteed. */
	int64_t recovery_until;
	uint32_t racks_down;
	struct totals totals;
};

/* The metrics of one run; bound is a lower bound of mean_completion. */
struct run_result {
	double mean_completion;
	double p99_completion;
	double fragmentation;
	double urgent_wait_p99;
	double large_wait_p99;
	double large_wait_mean;
	double goodput;
	double bound;
	double guaranteed_wait;
	struct totals totals;
};

static bool event_before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

#define EVENT_AT(b, i) g_array_index((b)->heap, struct event, i)

/* Inserts an event into the heap. */
static void event_push(struct bench *b, int64_t at, enum event_kind kind, struct arrival *job,
	uint32_t attempt)
{
	struct event e = {at, b->order++, kind, job, attempt};
	guint i = b->heap->len;

	g_array_append_val(b->heap, e);
	while (i > 0 && event_before(&EVENT_AT(b, i), &EVENT_AT(b, (i - 1) / 2))) {
		struct event t = EVENT_AT(b, i);

		EVENT_AT(b, i) = EVENT_AT(b, (i - 1) / 2);
		EVENT_AT(b, (i - 1) / 2) = t;
		i = (i - 1) / 2;
	}
}

/* Removes the earliest event. */
static struct event event_pop(struct bench *b)
{
	struct event first = EVENT_AT(b, 0);
	guint i = 0;

	EVENT_AT(b, 0) = EVENT_AT(b, b->heap->len - 1);
	g_array_set_size(b->heap, b->heap->len - 1);
	for (;;) {
		guint least = i;
		struct event t;

		for (guint c = 2 * i + 1; c <= 2 * i + 2 && c < b->heap->len; c++) {
			if (event_before(&EVENT_AT(b, c), &EVENT_AT(b, least)))
				least = c;
		}
		if (least == i)
			return first;
		t = EVENT_AT(b, i);
		EVENT_AT(b, i) = EVENT_AT(b, least);
		EVENT_AT(b, least) = t;
		i = least;
	}
}

/* Mean number of accelerators of a job of the stream. */
static double mean_size(const struct stream *s)
{
	return (s->sizes[0] + s->sizes[1] + s->sizes[2] + s->sizes[3]) / 4.0;
}

/*
 * Draws a log-normal run time with the given mean: sigma is 0.9, and the sum of twelve uniform
 * variates less 6 approximates a standard normal one.
 */
static double draw_run_time(GRand *r, double mean)
{
	double u = 0;

	for (int i = 0; i < 12; i++)
		u += g_rand_double(r);
	return CLAMP(mean * exp(0.9 * (u - 6) - 0.405), mean / 20, mean * 10);
}

/* Draws the arrivals of one stream: a Poisson process with periodic bursts. */
static void draw_stream_arrivals(
	GArray *list, GRand *r, const struct deployment *d, const struct stream *s, double load)
{
	double capacity = d->workers * ACCELERATORS_PER_WORKER;
	double rate = load * capacity * s->load_share / (mean_size(s) * s->mean_run_s) /
		      (1 + BURST_FRACTION * (BURST_RATE_FACTOR - 1));
	double t = 0;

	while (t < (double)ARRIVAL_PERIOD / (double)SEC) {
		bool burst = fmod(t, BURST_PERIOD_S) < BURST_PERIOD_S * BURST_FRACTION;
		struct arrival a = {.stream = s};

		t += -log(1 - g_rand_double(r)) / (rate * (burst ? BURST_RATE_FACTOR : 1));
		a.at = (int64_t)(t * (double)SEC);
		a.run_time = (int64_t)(draw_run_time(r, s->mean_run_s) * (double)SEC);
		a.declared_run_time =
			(int64_t)((double)a.run_time * pow(10, g_rand_double_range(r, -1, 1)));
		a.accelerators = s->sizes[g_rand_int_range(r, 0, 4)];
		a.unplaceable = g_rand_double(r) < UNPLACEABLE_FRACTION;
		if (a.unplaceable)
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

/* Scales the run times so that the placeable jobs offer exactly the requested load. */
static void scale_to_load(GArray *list, const struct deployment *d, double load)
{
	double wanted = load * d->workers * ACCELERATORS_PER_WORKER * (double)ARRIVAL_PERIOD;
	double work = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct arrival *a = &g_array_index(list, struct arrival, i);

		if (!a->unplaceable)
			work += (double)a->run_time * a->accelerators;
	}
	for (guint i = 0; i < list->len; i++) {
		struct arrival *a = &g_array_index(list, struct arrival, i);

		a->run_time = (int64_t)((double)a->run_time * wanted / work);
		a->declared_run_time = (int64_t)((double)a->declared_run_time * wanted / work);
	}
}

/* Draws the arrivals of all streams; a seed gives the same list for every policy. */
static struct arrival *draw_arrivals(
	const struct deployment *d, double load, uint32_t seed, size_t *len)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct arrival));
	GRand *r = g_rand_new_with_seed(seed);

	for (size_t i = 0; i < ARRAY_LEN(d->streams) && d->streams[i].org != NULL; i++)
		draw_stream_arrivals(list, r, d, &d->streams[i], load);
	g_array_sort(list, compare_arrivals);
	scale_to_load(list, d, load);
	for (guint i = 0; i < list->len; i++) {
		struct arrival *a = &g_array_index(list, struct arrival, i);

		snprintf(a->id, sizeof(a->id), "j%u", i);
		a->remaining = a->run_time;
	}
	g_rand_free(r);
	*len = list->len;
	return (struct arrival *)g_array_free(list, FALSE);
}

/* Parses a configuration document; exits if it cannot be read. */
static struct doc *load_doc(const char *file)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct doc_section));
	char *text = NULL;
	struct doc *d;

	if (!g_file_get_contents(file, &text, NULL, NULL) ||
		!doc_split_sections(text, sections, &problems)) {
		fprintf(stderr, "bench-policy: cannot read %s\n", file);
		exit(1);
	}
	for (guint i = 0; i < sections->len; i++)
		g_array_append_vals(all, sections->pdata[i], 1);
	d = doc_parse_sections((struct doc_section *)all->data, all->len, &problems);
	g_array_unref(all);
	g_free(text);
	return d;
}

/* Schedules a scheduling pass after PASS_DELAY, unless one is pending. */
static void request_pass(struct bench *b)
{
	if (b->pass_pending)
		return;
	b->pass_pending = true;
	event_push(b, b->now + PASS_DELAY, EVENT_PASS, NULL, 0);
}

/* The job class of a stream, from the configuration. */
static const struct doc_class *class_of(const struct bench *b, const struct stream *s)
{
	return doc_find_class(b->doc, s->class_name);
}

struct demand {
	uint32_t accelerators;
	enum adjacency adjacency;
};

/* Whether each demand can be matched to a guaranteed shape of its own. */
static bool demands_fit_guarantees(
	const struct doc_org *o, const struct demand *open, size_t len)
{
	const struct doc_guarantee *g;
	uint32_t unmatched[64];
	struct pack_shape shapes[64];
	size_t n = 0;

	STAILQ_FOREACH(g, &o->guarantees, entry)
	{
		for (uint32_t i = 0; i < g->count && n < ARRAY_LEN(shapes); i++) {
			shapes[n] = (struct pack_shape){g->accelerators, g->adjacency};
			unmatched[n++] = 1;
		}
	}
	for (size_t i = 0; i < len; i++) {
		int best = -1;

		for (size_t k = 0; k < n; k++) {
			if (unmatched[k] == 0 ||
				shapes[k].accelerators < open[i].accelerators ||
				shapes[k].adjacency < open[i].adjacency)
				continue;
			if (best < 0 || shapes[k].accelerators < shapes[best].accelerators)
				best = (int)k;
		}
		if (best < 0)
			return false;
		unmatched[best] = 0;
	}
	return true;
}

/*
 * Whether a new job and all unfinished jobs of its organisation fit its guarantees. False
 * during and shortly after a fault, when waits are not measured against the guarantees.
 */
static bool is_guaranteed(struct bench *b, const struct arrival *a)
{
	const struct doc_org *o = doc_find_org(b->doc, a->stream->org);
	struct demand open[64];
	size_t n = 0;

	if (b->racks_down > 0 || b->worker_faulty || b->now < b->recovery_until)
		return false;
	for (size_t i = 0; i < b->jobs_len && n < ARRAY_LEN(open); i++) {
		const struct arrival *j = &b->jobs[i];

		if (j->at > a->at)
			break;
		if ((j == a || (j->submitted && j->ended == 0)) &&
			strcmp(j->stream->org, a->stream->org) == 0)
			open[n++] = (struct demand){j->accelerators, j->stream->adjacency};
	}
	return n < ARRAY_LEN(open) && demands_fit_guarantees(o, open, n);
}

/* Submits an arriving job. */
static void on_arrival(struct bench *b, struct arrival *a)
{
	const struct stream *s = a->stream;
	const struct doc_class *c = class_of(b, s);
	struct job_spec spec = {.id = a->id,
		.org = (char *)s->org,
		.kind = (char *)s->kind,
		.priority = c->priority,
		.urgent = c->urgent,
		.accelerators = a->accelerators,
		.adjacency = a->unplaceable ? ADJACENCY_WORKER : s->adjacency,
		.idempotent = s->idempotent,
		.checkpoint = s->checkpoint,
		.run_time_ms = MAX(a->declared_run_time / NSEC_PER_MSEC, 1)};

	a->guaranteed = !a->unplaceable && is_guaranteed(b, a);
	a->submitted = true;
	a->ref = sched_submit(b->sched, b->now, &spec, a);
	request_pass(b);
}

/* Whether a member of the job runs on the faulty worker, on which every run fails. */
static bool on_faulty_worker(const struct bench *b, const struct sched_job *j)
{
	for (uint32_t i = 0; b->worker_faulty && i < j->members_len; i++) {
		if (j->members[i].worker == 0)
			return true;
	}
	return false;
}

/* Starts all members of a job and schedules the end of the attempt. */
static void on_start(struct bench *b, struct arrival *a, uint32_t attempt)
{
	struct sched_job *j = sched_job(b->sched, a->ref);
	uint32_t sum = 0;

	if (!a->submitted || a->ended != 0 || a->attempt != attempt ||
		j->state != SCHED_JOB_PLACING)
		return;
	for (uint32_t i = 0; i < j->members_len; i++)
		sum += j->members[i].accelerators;
	if (sum != a->accelerators)
		b->totals.partial_gangs++;
	if (a->start_count > 0 && !a->stream->idempotent && !a->stream->checkpoint)
		b->totals.double_runs++;
	a->start_count++;
	a->running = true;
	a->members = j->members_len;
	a->attempt_started = b->now;
	if (a->first_started == 0)
		a->first_started = b->now;
	sched_started(b->sched, b->now, a->ref, attempt);
	if (on_faulty_worker(b, j))
		event_push(b, b->now + FAIL_DELAY, EVENT_FAIL, a, attempt);
	else
		event_push(b, b->now + a->remaining, EVENT_END, a, attempt);
}

/* Reports the same end for all members of a job. */
static void end_all_members(
	struct bench *b, struct arrival *a, uint32_t attempt, enum member_end end)
{
	a->running = false;
	for (uint32_t i = 0; i < a->members; i++)
		sched_member_ended(b->sched, b->now, a->ref, attempt, i, end,
			/* Run time that checkpoints preserve over all attempts. */
			a->run_time - a->remaining);
	request_pass(b);
}

/* Deducts the work done in this attempt if the job has checkpoints. */
static void save_progress(struct bench *b, struct arrival *a)
{
	if (a->stream->checkpoint)
		a->remaining = MAX(a->remaining - (b->now - a->attempt_started), NSEC_PER_MSEC);
}

/* Completes a stop that the scheduler requested. */
static void on_stopped(struct bench *b, struct arrival *a, uint32_t attempt)
{
	struct sched_job *j = sched_job(b->sched, a->ref);

	if (a->ended != 0 || a->attempt != attempt || j == NULL ||
		j->state != SCHED_JOB_STOPPING)
		return;
	if (a->running) {
		save_progress(b, a);
		end_all_members(b, a, attempt, MEMBER_END_STOPPED);
		return;
	}
	sched_attempt_withdrawn(b->sched, b->now, a->ref, attempt);
	request_pass(b);
}

/* Records the outcome of a job and removes it from the scheduler. */
static void on_job_end(struct bench *b, struct arrival *a, const struct sched_action *action)
{
	a->ended = b->now;
	a->done = action->end.outcome == OUTCOME_DONE;
	a->running = false;
	b->unfinished--;
	if (action->end.not_run && a->start_count > 0)
		b->totals.false_not_run++;
	if (action->end.outcome == OUTCOME_NOT_RUN)
		b->totals.not_run++;
	if (a->done && b->now <= ARRIVAL_PERIOD)
		b->totals.useful_work += (double)a->run_time / (double)SEC * a->accelerators;
	sched_remove_job(b->sched, a->ref);
}

/* Applies the pending actions of the scheduler. */
static void apply_actions(struct bench *b)
{
	struct sched_action action;

	while (sched_next(b->sched, &action)) {
		struct sched_job *j = sched_job(b->sched, action.job);
		struct arrival *a = j != NULL ? j->owner : NULL;

		if (a != NULL && action.kind == SCHED_ACTION_PLACE) {
			a->attempt = action.attempt;
			event_push(b, b->now + START_DELAY, EVENT_START, a, action.attempt);
		} else if (a != NULL && action.kind == SCHED_ACTION_STOP) {
			event_push(b, b->now + STOP_DELAY, EVENT_STOPPED, a, action.attempt);
		} else if (a != NULL) {
			on_job_end(b, a, &action);
		}
		sched_action_clear(&action);
	}
}

/* Marks the workers of a rack, or of ALL_RACKS, as up or down. */
static void set_workers_up(struct bench *b, uint32_t rack, bool up)
{
	for (uint32_t i = 0; i < b->deployment->workers; i++) {
		char name[16];
		char rack_name[16];
		struct sched_worker_spec spec = {name, rack_name,
			{.accelerators = 8,
				.slots = 8,
				.cores = b->deployment->cores,
				.memory_mb = 65536}};

		if (rack != ALL_RACKS && i / b->deployment->per_rack != rack)
			continue;
		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack_name, sizeof(rack_name), "r%u", i / b->deployment->per_rack);
		if (up)
			sched_worker_up(b->sched, b->now, &spec);
		else
			sched_worker_down(b->sched, b->now, i);
	}
}

/* Ends every job that has a member on the rack: a lost member ends its whole gang. */
static void lose_rack_members(struct bench *b, uint32_t rack)
{
	for (size_t i = 0; i < b->jobs_len; i++) {
		struct arrival *a = &b->jobs[i];
		struct sched_job *j =
			a->submitted && a->ended == 0 ? sched_job(b->sched, a->ref) : NULL;
		uint32_t attempt = a->attempt;

		if (j == NULL || j->members_len == 0 || j->state == SCHED_JOB_CLAIMING)
			continue;
		for (uint32_t m = 0; m < j->members_len; m++) {
			if (j->members[m].worker / b->deployment->per_rack != rack)
				continue;
			save_progress(b, a);
			a->members = j->members_len;
			end_all_members(b, a, attempt,
				a->running ? MEMBER_END_LOST : MEMBER_END_NEVER_STARTED);
			break;
		}
	}
}

/* Cancels a third of the jobs that have not started. */
static void cancel_waiting_jobs(struct bench *b)
{
	for (size_t i = 0; i < b->jobs_len; i++) {
		struct arrival *a = &b->jobs[i];

		if (a->submitted && a->ended == 0 && a->start_count == 0 && i % 3 == 0)
			sched_cancel(b->sched, b->now, a->ref);
	}
	request_pass(b);
}

/* Samples the fragmentation and the accelerators of the workers that are up. */
static void take_sample(struct bench *b)
{
	struct sched_free_view v;

	sched_free_view(b->sched, b->now, &v);
	b->totals.fragmentation += v.fragmentation;
	b->totals.capacity += v.accelerators * (double)SAMPLE_INTERVAL / (double)SEC;
	b->totals.samples++;
	if (b->now + SAMPLE_INTERVAL <= ARRIVAL_PERIOD)
		event_push(b, b->now + SAMPLE_INTERVAL, EVENT_SAMPLE, NULL, 0);
}

static void handle_event(struct bench *b, const struct event *e)
{
	switch (e->kind) {
	case EVENT_ARRIVE:
		on_arrival(b, e->job);
		break;
	case EVENT_START:
		on_start(b, e->job, e->attempt);
		break;
	case EVENT_END:
		if (e->job->running && e->job->attempt == e->attempt)
			end_all_members(b, e->job, e->attempt, MEMBER_END_DONE);
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
			request_pass(b);
		}
		break;
	case EVENT_STOPPED:
		on_stopped(b, e->job, e->attempt);
		break;
	case EVENT_PASS:
		b->pass_pending = false;
		sched_run(b->sched, b->now);
		break;
	case EVENT_TICK:
		sched_run(b->sched, b->now);
		if (b->unfinished > 0 && b->now < SIMULATED_TIME_MAX)
			event_push(b, b->now + TICK_INTERVAL, EVENT_TICK, NULL, 0);
		break;
	case EVENT_SAMPLE:
		take_sample(b);
		break;
	case EVENT_RACK_DOWN:
		b->racks_down++;
		set_workers_up(b, 1, false);
		lose_rack_members(b, 1);
		break;
	case EVENT_RACK_UP:
		b->racks_down--;
		b->recovery_until = b->now + RACK_RECOVERY;
		set_workers_up(b, 1, true);
		request_pass(b);
		break;
	case EVENT_WORKER_FAULT_BEGIN:
		b->worker_faulty = true;
		break;
	case EVENT_WORKER_FAULT_END:
		b->worker_faulty = false;
		b->recovery_until = b->now + WORKER_RECOVERY;
		break;
	case EVENT_CANCEL_WAITING:
		cancel_waiting_jobs(b);
		break;
	}
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Returns a quantile of the list, or 0 if it is empty. Sorts the list in place. */
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
 * Lower bound of the mean completion time under any schedule: the larger of the mean run time
 * and the mean completion time on a single machine with the whole capacity that serves the
 * shortest remaining processing time first (SRPT, which is optimal there).
 */
static double lower_bound(const struct bench *b)
{
	double capacity = b->deployment->workers * ACCELERATORS_PER_WORKER;
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
		runs += (double)b->jobs[k].run_time / (double)SEC;
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
			/* The small term makes the keys unique. */
			key[0] = (double)a->run_time / (double)SEC * a->accelerators +
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

/* Computes the metrics of a finished run. */
static struct run_result compute_result(struct bench *b)
{
	GArray *completion = g_array_new(FALSE, TRUE, sizeof(double));
	GArray *urgent = g_array_new(FALSE, TRUE, sizeof(double));
	GArray *large = g_array_new(FALSE, TRUE, sizeof(double));
	int64_t wait_max = b->doc->grace + GUARANTEE_WAIT_MARGIN;
	struct run_result r = {0};
	double sum = 0;
	double large_sum = 0;

	for (size_t i = 0; i < b->jobs_len; i++) {
		const struct arrival *a = &b->jobs[i];
		int64_t wait = (a->first_started != 0 ? a->first_started : a->ended) - a->at;
		double wait_s = (double)wait / (double)SEC;
		double completion_s = (double)(a->ended - a->at) / (double)SEC;

		if (a->first_started != 0 && class_of(b, a->stream)->urgent)
			g_array_append_val(urgent, wait_s);
		if (a->first_started != 0 && a->accelerators >= LARGE_ACCELERATORS) {
			g_array_append_val(large, wait_s);
			large_sum += wait_s;
		}
		if (a->guaranteed && a->first_started != 0) {
			b->totals.guaranteed_wait += wait_s;
			b->totals.guaranteed_jobs++;
			b->totals.guaranteed_wait_max =
				MAX(b->totals.guaranteed_wait_max, wait);
			if (wait > wait_max)
				b->totals.guarantee_misses++;
			if (class_of(b, a->stream)->urgent)
				b->totals.guaranteed_urgent_wait_max =
					MAX(b->totals.guaranteed_urgent_wait_max, wait);
		}
		if (!a->done)
			continue;
		sum += completion_s;
		g_array_append_val(completion, completion_s);
	}
	r.mean_completion = completion->len > 0 ? sum / completion->len : 0;
	r.large_wait_mean = large->len > 0 ? large_sum / large->len : 0;
	r.p99_completion = quantile(completion, 0.99);
	r.urgent_wait_p99 = quantile(urgent, 0.99);
	r.large_wait_p99 = quantile(large, 0.99);
	r.fragmentation =
		b->totals.samples > 0 ? b->totals.fragmentation / b->totals.samples : 0;
	r.goodput = b->totals.capacity > 0 ? b->totals.useful_work / b->totals.capacity : 0;
	r.bound = lower_bound(b);
	r.guaranteed_wait = b->totals.guaranteed_jobs > 0
				    ? b->totals.guaranteed_wait / b->totals.guaranteed_jobs
				    : 0;
	r.totals = b->totals;
	g_array_unref(completion);
	g_array_unref(urgent);
	g_array_unref(large);
	return r;
}

/* Simulates one list of arrivals under one policy. A negative weight is not applied. */
static struct run_result simulate(const struct deployment *d, double load, uint32_t seed,
	enum sched_policy policy, double weight)
{
	struct bench b = {.deployment = d};
	struct run_result r;

	b.doc = load_doc(d->file);
	if (weight >= 0)
		b.doc->weight_completion = weight;
	b.sched = sched_new(policy, seed);
	b.heap = g_array_new(FALSE, TRUE, sizeof(struct event));
	b.jobs = draw_arrivals(d, load, seed, &b.jobs_len);
	b.unfinished = b.jobs_len;
	sched_set_config(b.sched, 0, b.doc, d->cell);
	set_workers_up(&b, ALL_RACKS, true);
	for (size_t i = 0; i < b.jobs_len; i++)
		event_push(&b, b.jobs[i].at, EVENT_ARRIVE, &b.jobs[i], 0);
	event_push(&b, SEC, EVENT_TICK, NULL, 0);
	event_push(&b, SAMPLE_INTERVAL, EVENT_SAMPLE, NULL, 0);
	event_push(&b, ARRIVAL_PERIOD / 4, EVENT_WORKER_FAULT_BEGIN, NULL, 0);
	event_push(&b, ARRIVAL_PERIOD / 4 + FAULT_DURATION, EVENT_WORKER_FAULT_END, NULL, 0);
	event_push(&b, ARRIVAL_PERIOD / 2, EVENT_RACK_DOWN, NULL, 0);
	event_push(&b, ARRIVAL_PERIOD / 2 + FAULT_DURATION, EVENT_RACK_UP, NULL, 0);
	event_push(&b, ARRIVAL_PERIOD * 3 / 4, EVENT_CANCEL_WAITING, NULL, 0);
	while (b.heap->len > 0 && b.unfinished > 0) {
		struct event e = event_pop(&b);

		b.now = e.at;
		handle_event(&b, &e);
		apply_actions(&b);
	}
	r = compute_result(&b);
	sched_free(b.sched);
	doc_free(b.doc);
	g_array_unref(b.heap);
	g_free(b.jobs);
	return r;
}

static void print_result(const char *deployment, double load, uint32_t seed, const char *policy,
	const struct run_result *r)
{
	printf("policy deployment=%s load=%.1f seed=%u policy=%s mean_completion_s=%.2f "
	       "p99_completion_s=%.1f fragmentation=%.4f urgent_p99_wait_s=%.2f "
	       "large_p99_wait_s=%.1f reclaim_max_s=%.2f goodput=%.3f guarantee_misses=%u "
	       "partial_gangs=%u double_runs=%u false_refusals=%u bound_ratio=%.2f "
	       "within_wait_s=%.3f within_jobs=%u refused=%u\n",
		deployment, load, seed, policy, r->mean_completion, r->p99_completion,
		r->fragmentation, r->urgent_wait_p99, r->large_wait_p99,
		(double)r->totals.guaranteed_wait_max / (double)SEC, r->goodput,
		r->totals.guarantee_misses, r->totals.partial_gangs, r->totals.double_runs,
		r->totals.false_not_run, r->bound > 0 ? r->mean_completion / r->bound : 0,
		r->guaranteed_wait, r->totals.guaranteed_jobs, r->totals.not_run);
	fflush(stdout);
}

static double median(GArray *list)
{
	return quantile(list, 0.5);
}

/* Values that the summary line is computed from. */
struct summary {
	GArray *completion;
	GArray *fragmentation;
	GArray *large;
	GArray *bound;
	GArray *goodput;
	/* Mean wait of guaranteed jobs at load 1.5 relative to that at load 0.7. */
	GArray *guaranteed_wait_ratio;
	int64_t guaranteed_urgent_wait_max;
	uint32_t guarantee_misses;
	uint32_t violations;
};

/* Appends a / b, or 1 if b is not positive. */
static void append_ratio(GArray *list, double a, double b)
{
	double r = b > 0 ? a / b : 1;

	g_array_append_val(list, r);
}

/* Runs one deployment, load and seed under all policies and adds the ratios to the summary. */
static void compare_policies(
	const struct deployment *d, double load, uint32_t seed, struct summary *sum)
{
	struct run_result results[ARRAY_LEN(policies)];
	const struct run_result *full = &results[ARRAY_LEN(policies) - 1];

	for (size_t p = 0; p < ARRAY_LEN(policies); p++) {
		results[p] = simulate(d, load, seed, policies[p].policy, -1);
		print_result(d->name, load, seed, policies[p].name, &results[p]);
	}
	sum->guarantee_misses += full->totals.guarantee_misses;
	sum->violations += full->totals.partial_gangs + full->totals.double_runs +
			   full->totals.false_not_run;
	sum->guaranteed_urgent_wait_max =
		MAX(sum->guaranteed_urgent_wait_max, full->totals.guaranteed_urgent_wait_max);
	/* Load 0.9. */
	if (load > 0.85 && load < 0.95) {
		append_ratio(
			sum->completion, full->mean_completion, results[0].mean_completion);
		append_ratio(sum->fragmentation, full->fragmentation, results[0].fragmentation);
		append_ratio(sum->large, full->large_wait_p99, results[0].large_wait_p99);
		append_ratio(sum->bound, full->mean_completion, full->bound);
	}
	if (load > 1) {
		struct run_result low_load = simulate(d, 0.7, seed, SCHED_POLICY_FULL, -1);

		g_array_append_val(sum->goodput, full->goodput);
		append_ratio(sum->guaranteed_wait_ratio, full->guaranteed_wait,
			low_load.guaranteed_wait);
	}
}

/* Prints completion time and fragmentation for a range of completion weights. */
static void print_weight_curve(uint32_t seeds)
{
	for (double w = 0; w < 1.01; w += 0.125) {
		double completion = 0;
		double fragmentation = 0;

		for (uint32_t s = 1; s <= seeds; s++) {
			struct run_result r =
				simulate(&deployments[0], 0.9, s, SCHED_POLICY_FULL, w);

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
	const char *filter = argc > 2 ? argv[2] : NULL;
	struct summary sum = {0};
	GArray **lists[] = {&sum.completion, &sum.fragmentation, &sum.large, &sum.bound,
		&sum.goodput, &sum.guaranteed_wait_ratio};

	log_set_level(LOG_LEVEL_ERROR);
	for (size_t i = 0; i < ARRAY_LEN(lists); i++)
		*lists[i] = g_array_new(FALSE, TRUE, sizeof(double));
	if (argc > 1 && strcmp(argv[1], "curve") == 0) {
		print_weight_curve(argc > 2 ? (uint32_t)atoi(argv[2]) : 3);
		return 0;
	}
	for (size_t d = 0; d < ARRAY_LEN(deployments); d++) {
		if (filter != NULL && strcmp(filter, deployments[d].name) != 0)
			continue;
		for (size_t l = 0; l < ARRAY_LEN(loads); l++) {
			for (uint32_t s = 1; s <= MIN(seeds, (uint32_t)SEEDS_MAX); s++)
				compare_policies(&deployments[d], loads[l], s, &sum);
		}
	}
	printf("bench-policy completion_ratio=%.3f fragmentation_ratio=%.3f "
	       "large_wait_ratio=%.3f "
	       "bound_ratio=%.3f urgent_max_s=%.2f guarantee_misses=%u overload_goodput=%.3f "
	       "victim_wait_ratio=%.3f violations=%u\n",
		median(sum.completion), median(sum.fragmentation), median(sum.large),
		median(sum.bound), (double)sum.guaranteed_urgent_wait_max / (double)SEC,
		sum.guarantee_misses, median(sum.goodput), median(sum.guaranteed_wait_ratio),
		sum.violations);
	return 0;
}
