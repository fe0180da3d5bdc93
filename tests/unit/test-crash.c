#include "unit.h"

#include "workload-fixture.h"

#include <stdlib.h>
#include <string.h>

/*
 * Tasks that crash the workers that start them, and tasks beside which a worker crashes for
 * another reason. Workers are simulated; one that crashes is back after 3 s.
 */

#define WORKERS_MAX 8
#define STEP	    (250 * MS)
#define DOWN_TIME   (3 * SEC)

struct cluster {
	struct fixture f;
	unsigned int workers;
	unsigned int life[WORKERS_MAX];
	int64_t down_until[WORKERS_MAX];
	guint handled;	/* starts of fixture.started that have been handled */
	GArray *runs;	/* of struct started */
	char deadly[8]; /* the last digit of the ids of jobs that crash their workers */
	bool draining[WORKERS_MAX];
	bool mute; /* deadly starts crash the worker before it answers */
	unsigned int crashes;
};

static unsigned int worker_index(const char *node)
{
	return (unsigned int)atoi(node + 1) - 1;
}

static void cluster_init(struct cluster *c, unsigned int workers, const char *deadly)
{
	memset(c, 0, sizeof(*c));
	fixture_init(&c->f);
	c->workers = workers;
	c->runs = g_array_new(FALSE, FALSE, sizeof(struct started));
	g_strlcpy(c->deadly, deadly, sizeof(c->deadly));
}

static void cluster_clear(struct cluster *c)
{
	g_array_unref(c->runs);
	fixture_clear(&c->f);
}

/* Ends all runs of a worker, which is down for a while. */
static void crash_worker(struct cluster *c, unsigned int w)
{
	for (guint i = c->runs->len; i > 0; i--) {
		if (worker_index(g_array_index(c->runs, struct started, i - 1).node) == w)
			g_array_remove_index(c->runs, i - 1);
	}
	c->life[w]++;
	c->down_until[w] = c->f.now + DOWN_TIME;
	c->crashes++;
}

/* Ends the runs that have been ordered to stop. */
static void handle_stops(struct cluster *c)
{
	for (guint k = 0; k < c->f.stopped->len; k++) {
		for (guint i = c->runs->len; i > 0; i--) {
			if (strcmp(g_array_index(c->runs, struct started, i - 1).task,
				    c->f.stopped->pdata[k]) == 0)
				g_array_remove_index(c->runs, i - 1);
		}
	}
	g_ptr_array_set_size(c->f.stopped, 0);
}

static void answer_start(struct cluster *c, const struct started *s)
{
	char instance[32];
	const struct wl_answer_note note = {.worker_instance = instance,
		.ordinal = s->ordinal,
		.task = (char *)s->task,
		.attempt = s->attempt,
		.answer = WL_ANSWER_RUNNING};

	snprintf(instance, sizeof(instance), "%s@%u", s->node, c->life[worker_index(s->node)]);
	wl_node_answer(c->f.wl, c->f.now, &note);
}

static bool is_deadly(const struct cluster *c, const char *task)
{
	return strchr(c->deadly, task[WL_ID_LEN - 1]) != NULL;
}

/* Workers carry out the starts that have been ordered. */
static void handle_starts(struct cluster *c)
{
	for (; c->handled < c->f.started->len; c->handled++) {
		struct started s = g_array_index(c->f.started, struct started, c->handled);

		if (c->down_until[worker_index(s.node)] > c->f.now)
			continue;
		if (!is_deadly(c, s.task) || !c->mute)
			answer_start(c, &s);
		if (is_deadly(c, s.task))
			crash_worker(c, worker_index(s.node));
		else
			g_array_append_val(c->runs, s);
	}
}

static void report(struct cluster *c, unsigned int w)
{
	struct wl_run runs[32];
	uint32_t runs_len = 0;
	char node[16];
	char instance[32];
	struct wl_report r = {.node = node,
		.worker_instance = instance,
		.service = (char *)"s",
		.rack = (char *)"r1",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8,
		.draining = c->draining[w],
		.leaves_in_ms = 2000,
		.covers = c->f.ordinal,
		.sent_ns = (uint64_t)c->f.now};

	snprintf(node, sizeof(node), "w%u", w + 1);
	snprintf(instance, sizeof(instance), "%s@%u", node, c->life[w]);
	for (guint i = 0; i < c->runs->len && runs_len < G_N_ELEMENTS(runs); i++) {
		struct started *s = &g_array_index(c->runs, struct started, i);

		if (worker_index(s->node) == w)
			runs[runs_len++] = (struct wl_run){.task = s->task,
				.attempt = s->attempt,
				.percent = (uint32_t)(c->f.now / STEP % 100)};
	}
	r.runs = runs;
	r.runs_len = runs_len;
	wl_node_report(c->f.wl, c->f.now, c->f.now, &r);
}

/* Lets time pass: workers report, passes are made and starts are carried out. */
static void cluster_run(struct cluster *c, int64_t duration)
{
	for (int64_t end = c->f.now + duration; c->f.now < end; c->f.now += STEP) {
		for (unsigned int w = 0; w < c->workers; w++) {
			if (c->down_until[w] <= c->f.now)
				report(c, w);
		}
		run_pass(&c->f);
		handle_stops(c);
		handle_starts(c);
	}
}

static unsigned int count_starts(const struct cluster *c, char last_digit)
{
	unsigned int count = 0;

	for (guint i = 0; i < c->f.started->len; i++)
		count += g_array_index(c->f.started, struct started, i).task[WL_ID_LEN - 1] ==
			 last_digit;
	return count;
}

/* The worker on which a job has a run, or "". */
static const char *running_on(const struct cluster *c, char last_digit)
{
	for (guint i = 0; i < c->runs->len; i++) {
		const struct started *s = &g_array_index(c->runs, struct started, i);

		if (s->task[WL_ID_LEN - 1] == last_digit)
			return s->node;
	}
	return "";
}

/* BUDGET: a task crashes each worker that starts it. Its job fails after the second. */
static void test_crashing_task_is_given_up(void)
{
	struct cluster c;

	cluster_init(&c, 3, "1");
	submit_job(&c.f, 1, "batch", 1, 1, 10000, false);
	cluster_run(&c, 60 * SEC);
	CU_ASSERT_EQUAL(count_starts(&c, '1'), 2);
	CU_ASSERT_FALSE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/*
 * Guards against a lasting job that is failed for crashes (LOST): it is started again each
 * time, and once its workers hold it runs. No other job is given up or loses its run meanwhile.
 */
static void test_lasting_task_is_not_given_up(void)
{
	struct wl_step step = {.count = 1, .accelerators = 1, .long_running = true};
	struct cluster c;
	unsigned int starts;

	cluster_init(&c, 4, "1");
	submit_job(&c.f, 2, "batch", 1, 1, 600000, false);
	cluster_run(&c, 5 * SEC);
	add_step_job(&c.f, &step, NULL);
	cluster_run(&c, 60 * SEC);
	starts = count_starts(&c, '1');
	CU_ASSERT_TRUE(starts > 5);
	CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, "0000000000000001"));
	CU_ASSERT_TRUE(count_starts(&c, '2') <= 2);
	CU_ASSERT_STRING_NOT_EQUAL(running_on(&c, '2'), "");
	c.deadly[0] = '\0';
	cluster_run(&c, 10 * SEC);
	CU_ASSERT_EQUAL(count_starts(&c, '1') - starts <= 1, true);
	CU_ASSERT_STRING_NOT_EQUAL(running_on(&c, '1'), "");
	cluster_clear(&c);
}

/* BUDGET: the worker crashes before it answers the start. */
static void test_unanswered_crashing_task_is_given_up(void)
{
	struct cluster c;

	cluster_init(&c, 3, "1");
	c.mute = true;
	submit_job(&c.f, 1, "batch", 1, 1, 10000, false);
	cluster_run(&c, 60 * SEC);
	CU_ASSERT_EQUAL(count_starts(&c, '1'), 3);
	CU_ASSERT_FALSE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/* BUDGET: one member of a gang crashes its worker; the gang is given up as a whole. */
static void test_crashing_gang_is_given_up(void)
{
	struct cluster c;

	cluster_init(&c, 4, "1");
	submit_job(&c.f, 1, "batch", 2, 8, 10000, true);
	cluster_run(&c, 60 * SEC);
	CU_ASSERT_TRUE(count_starts(&c, '1') <= 6);
	CU_ASSERT_FALSE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/* LOST: tasks that start beside one that crashes the worker are not given up with it. */
static void test_innocent_tasks_are_kept(void)
{
	struct cluster c;

	cluster_init(&c, 3, "1");
	for (unsigned int i = 1; i <= 6; i++)
		submit_job(&c.f, i, "batch", 1, 1, 100000, false);
	cluster_run(&c, 60 * SEC);
	/* Two if it started alone the second time, which depends on the order of placing. */
	CU_ASSERT_TRUE(count_starts(&c, '1') <= 3);
	CU_ASSERT_FALSE(wl_job_is_open(c.f.wl, "0000000000000001"));
	for (char digit = '2'; digit <= '6'; digit++) {
		char id[WL_ID_LEN + 1] = "0000000000000000";

		id[WL_ID_LEN - 1] = digit;
		CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, id));
		CU_ASSERT_STRING_NOT_EQUAL(running_on(&c, digit), "");
	}
	cluster_clear(&c);
}

/*
 * LOST: a second task is suspected of a crash. It starts where nothing else has just started,
 * and nothing starts beside it until it has run for a while.
 */
static void test_suspect_starts_alone(void)
{
	struct cluster c;

	cluster_init(&c, 4, "1");
	submit_job(&c.f, 1, "batch", 1, 1, 100000, false);
	submit_job(&c.f, 2, "batch", 1, 1, 100000, false);
	cluster_run(&c, STEP);
	CU_ASSERT_EQUAL(c.crashes, 1);
	/* Its worker is back, and both start again. */
	cluster_run(&c, DOWN_TIME + 2 * STEP);
	CU_ASSERT_EQUAL(count_starts(&c, '1'), 2);
	CU_ASSERT_EQUAL(count_starts(&c, '2'), 2);
	CU_ASSERT_EQUAL(c.crashes, 2);
	CU_ASSERT_STRING_NOT_EQUAL(running_on(&c, '2'), "");
	/* Its worker would be the tightest fit. */
	submit_job(&c.f, 3, "batch", 1, 1, 100000, false);
	cluster_run(&c, STEP);
	CU_ASSERT_STRING_NOT_EQUAL(running_on(&c, '3'), "");
	CU_ASSERT_STRING_NOT_EQUAL(running_on(&c, '3'), running_on(&c, '2'));
	cluster_run(&c, 2 * SEC);
	submit_job(&c.f, 4, "batch", 1, 7, 100000, false);
	submit_job(&c.f, 5, "batch", 1, 7, 100000, false);
	cluster_run(&c, STEP);
	CU_ASSERT_TRUE(strcmp(running_on(&c, '4'), running_on(&c, '2')) == 0 ||
		       strcmp(running_on(&c, '5'), running_on(&c, '2')) == 0);
	CU_ASSERT_EQUAL(c.crashes, 2);
	cluster_clear(&c);
}

/*
 * LOST, BUDGET: jobs arrive one after another on a busy fleet, and every sixth crashes its
 * workers. Each of those starts three times at most, and no other is given up.
 */
static void test_many_crashing_tasks(void)
{
	struct cluster c;

	cluster_init(&c, 5, "6c");
	for (unsigned int i = 0; i < 40; i++) {
		submit_job(&c.f, i, "batch", 1, 1, 100000, false);
		cluster_run(&c, 2 * STEP);
	}
	cluster_run(&c, 60 * SEC);
	for (unsigned int i = 0; i < 40; i++) {
		char id[WL_ID_LEN + 1];

		snprintf(id, sizeof(id), "%016x", i);
		CU_ASSERT_EQUAL(wl_job_is_open(c.f.wl, id), !is_deadly(&c, id));
	}
	CU_ASSERT_TRUE(count_starts(&c, '6') <= 9);
	CU_ASSERT_TRUE(count_starts(&c, 'c') <= 6);
	cluster_clear(&c);
}

/*
 * LOST: most workers crash at once, each time just after a gang has started; the crashes are
 * under other members each time, or have a common cause.
 */
static void test_mass_crashes_fail_no_gang(void)
{
	struct cluster c;

	cluster_init(&c, 6, "");
	submit_job(&c.f, 1, "batch", 5, 8, 100000, true);
	for (unsigned int i = 0; i < 2; i++) {
		cluster_run(&c, STEP);
		for (unsigned int w = 0; w < 4; w++)
			crash_worker(&c, w);
		cluster_run(&c, DOWN_TIME + STEP);
	}
	CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/*
 * LOST: a gang that takes most of the workers is suspected of a crash while other tasks start
 * on all of them. Workers are held for it until it starts.
 */
static void test_wide_suspected_gang_starts(void)
{
	struct cluster c;

	cluster_init(&c, 4, "");
	submit_job(&c.f, 1, "batch", 3, 5, 100000, true);
	cluster_run(&c, STEP);
	crash_worker(&c, worker_index(running_on(&c, '1')));
	for (unsigned int i = 16; i < 28; i++) {
		submit_job(&c.f, i << 4, "batch", 1, 1, 100000, false);
		cluster_run(&c, STEP);
	}
	cluster_run(&c, 20 * SEC);
	CU_ASSERT_EQUAL(count_starts(&c, '1'), 6);
	CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/* LOST: a worker crashes again and again, each time after its task has run for a while. */
static void test_proven_run_is_not_blamed(void)
{
	struct cluster c;

	cluster_init(&c, 2, "");
	submit_job(&c.f, 1, "batch", 1, 1, 100000, false);
	for (unsigned int i = 0; i < 5; i++) {
		cluster_run(&c, 3 * SEC);
		CU_ASSERT_STRING_NOT_EQUAL_FATAL(running_on(&c, '1'), "");
		crash_worker(&c, worker_index(running_on(&c, '1')));
		cluster_run(&c, DOWN_TIME + STEP);
	}
	CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/* LOST: a worker crashes at every start, others don't. Its tasks run elsewhere. */
static void test_bad_worker_fails_no_job(void)
{
	struct cluster c;

	cluster_init(&c, 2, "");
	submit_job(&c.f, 1, "batch", 1, 1, 100000, false);
	cluster_run(&c, STEP);
	crash_worker(&c, worker_index(running_on(&c, '1')));
	cluster_run(&c, DOWN_TIME + 2 * STEP);
	CU_ASSERT_STRING_EQUAL(running_on(&c, '1'), "w2");
	CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/* LOST: VMs lose power whenever a task has just started; agent and worker start again. */
static void test_power_loss_is_not_blamed(void)
{
	struct cluster c;

	cluster_init(&c, 2, "");
	submit_job(&c.f, 1, "batch", 1, 1, 100000, false);
	for (unsigned int i = 0; i < 5; i++) {
		const char *node;

		cluster_run(&c, STEP);
		node = running_on(&c, '1');
		CU_ASSERT_STRING_NOT_EQUAL_FATAL(node, "");
		wl_node_unreachable(c.f.wl, c.f.now, node);
		wl_node_connected(c.f.wl, node);
		crash_worker(&c, worker_index(node));
		cluster_run(&c, DOWN_TIME);
	}
	CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/*
 * LOST: a start is sent to a worker that is down already, and the worker that the task gets
 * next crashes for a reason of its own. One crash under the task doesn't fail its job.
 */
static void test_start_on_dead_worker_is_no_proof(void)
{
	struct cluster c;
	const char *node;

	cluster_init(&c, 3, "");
	cluster_run(&c, 2 * STEP);
	submit_job(&c.f, 1, "batch", 1, 1, 100000, false);
	crash_worker(&c, 0);
	cluster_run(&c, STEP);
	CU_ASSERT_STRING_EQUAL(c.f.last_node, "w1");
	CU_ASSERT_EQUAL(c.runs->len, 0);
	cluster_run(&c, DOWN_TIME + STEP);
	node = running_on(&c, '1');
	CU_ASSERT_STRING_NOT_EQUAL(node, "w1");
	crash_worker(&c, worker_index(node));
	cluster_run(&c, DOWN_TIME + 2 * SEC);
	CU_ASSERT_TRUE(wl_job_is_open(c.f.wl, "0000000000000001"));
	cluster_clear(&c);
}

/* The crashes that are stored for the only task of job 1. */
static uint32_t stored_crashes(struct cluster *c)
{
	struct wl_progress p = {0};
	struct bytes stored;
	uint64_t version;
	uint32_t crashes = 0;

	stored = wl_job_progress(c->f.wl, "0000000000000001", &version);
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &p, stored.data, stored.len, NULL));
	for (uint32_t i = 0; i < p.marks_len; i++)
		crashes += p.marks[i].crashes;
	fields_clear(&wl_progress_fields, &p);
	bytes_clear(&stored);
	return crashes;
}

/* LOST: a worker that has said that it leaves is gone, and another comes. No task is blamed. */
static void test_leaving_worker_is_no_crash(void)
{
	struct cluster c;
	unsigned int w;

	cluster_init(&c, 2, "");
	submit_job(&c.f, 1, "batch", 1, 1, 100000, false);
	cluster_run(&c, STEP);
	w = worker_index(running_on(&c, '1'));
	c.draining[w] = true;
	report(&c, w);
	crash_worker(&c, w);
	c.draining[w] = false;
	cluster_run(&c, DOWN_TIME + 2 * STEP);
	CU_ASSERT_EQUAL(stored_crashes(&c), 0);
	cluster_clear(&c);
}

/*
 * BUDGET: a task's record tells of a crash under an earlier coordinator. The record keeps it,
 * and the next crash fails the job.
 */
static void test_crashes_survive_coordinator(void)
{
	struct wl_mark mark = {
		.node = (char *)"w4", .attempt = 1, .crashes = 1, .crashed_attempt = 1};
	struct wl_step step = {.count = 1, .accelerators = 1, .estimate_ms = 9000};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	struct wl_progress before = {.state = WL_RUNNING, .marks = &mark, .marks_len = 1};
	struct wl_progress after = {0};
	struct cluster c;
	struct bytes stored;
	uint64_t version;

	cluster_init(&c, 3, "1");
	wl_job_add(c.f.wl, c.f.now, c.f.now, &spec, &before);
	stored = wl_job_progress(c.f.wl, spec.id, &version);
	CU_ASSERT_TRUE(
		fields_decode(&wl_progress_fields, &after, stored.data, stored.len, NULL));
	CU_ASSERT_EQUAL_FATAL(after.marks_len, 1);
	CU_ASSERT_EQUAL(after.marks[0].crashes, 1);
	CU_ASSERT_EQUAL(after.marks[0].crashed_attempt, 1);
	fields_clear(&wl_progress_fields, &after);
	bytes_clear(&stored);
	cluster_run(&c, 20 * SEC);
	CU_ASSERT_EQUAL(count_starts(&c, '1'), 1);
	CU_ASSERT_FALSE(wl_job_is_open(c.f.wl, spec.id));
	cluster_clear(&c);
}

/*
 * BUDGET: the third worker has crashed under a task, and the coordinator changes before it has
 * given the job up. The next one doesn't start the task again.
 */
static void test_job_is_given_up_by_next_coordinator(void)
{
	struct wl_mark mark = {.attempt = 3, .crashes = 3, .crashed_attempt = 3};
	struct wl_step step = {.count = 1, .accelerators = 1, .estimate_ms = 9000};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	struct wl_progress before = {.state = WL_RUNNING, .marks = &mark, .marks_len = 1};
	struct cluster c;

	cluster_init(&c, 3, "1");
	wl_job_add(c.f.wl, c.f.now, c.f.now, &spec, &before);
	cluster_run(&c, 3 * SEC);
	CU_ASSERT_EQUAL(count_starts(&c, '1'), 0);
	CU_ASSERT_FALSE(wl_job_is_open(c.f.wl, spec.id));
	cluster_clear(&c);
}

void unit_crash(CU_pSuite s)
{
	CU_add_test(s, "task that crashes workers: given up after the second",
		test_crashing_task_is_given_up);
	CU_add_test(s, "lasting task that crashes workers: not given up",
		test_lasting_task_is_not_given_up);
	CU_add_test(s, "task that crashes workers before they answer: given up after the third",
		test_unanswered_crashing_task_is_given_up);
	CU_add_test(s, "gang that crashes workers: given up", test_crashing_gang_is_given_up);
	CU_add_test(
		s, "tasks beside one that crashes workers: kept", test_innocent_tasks_are_kept);
	CU_add_test(s, "many tasks that crash workers: given up, and no other",
		test_many_crashing_tasks);
	CU_add_test(s, "suspected task: starts by itself", test_suspect_starts_alone);
	CU_add_test(s, "many workers crash at once, twice: no job fails",
		test_mass_crashes_fail_no_gang);
	CU_add_test(
		s, "suspected gang on most workers: starts", test_wide_suspected_gang_starts);
	CU_add_test(s, "run that is listed for a while: not blamed for a crash",
		test_proven_run_is_not_blamed);
	CU_add_test(
		s, "worker that crashes by itself: fails no job", test_bad_worker_fails_no_job);
	CU_add_test(s, "VMs that lose power: no task is blamed", test_power_loss_is_not_blamed);
	CU_add_test(
		s, "worker that leaves: no task is blamed", test_leaving_worker_is_no_crash);
	CU_add_test(s, "start on a dead worker: no proof against the task",
		test_start_on_dead_worker_is_no_proof);
	CU_add_test(
		s, "crashes are counted across coordinators", test_crashes_survive_coordinator);
	CU_add_test(s, "third crash before a takeover: the next coordinator gives the job up",
		test_job_is_given_up_by_next_coordinator);
}
