#include "unit.h"

#include "platform.h"
#include "workload-fixture.h"

#include <stdlib.h>
#include <string.h>

/*
 * Where work goes when workers or their agents misbehave: silent, hung, gone or slow to report.
 * Each test names the pattern that it answers.
 */

/* Lists of one worker, whose runs are at a percentage. */
static void report_percent(struct fixture *f, const char *node, const char *task,
	uint32_t attempt, uint32_t percent)
{
	struct wl_run run = {.task = (char *)task, .attempt = attempt, .percent = percent};

	report_worker(f, node, &run, 1, NULL, 0);
}

/* Answers the last start order of a worker. */
static void answer_last_start(struct fixture *f, enum wl_answer answer)
{
	char instance[32];
	const struct wl_answer_note note = {.worker_instance = instance,
		.ordinal = f->ordinal,
		.task = f->last_start,
		.attempt = f->last_attempt,
		.answer = answer};

	snprintf(instance, sizeof(instance), "%s@1", f->last_node);
	wl_node_answer(f->wl, f->now, &note);
}

/*
 * Silent agent: its reports stop for three seconds, then come again. Its run goes on and must
 * not be taken for stalled.
 */
static void test_silent_agent_keeps_its_run(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 10000, false);
	run_pass(&f);
	report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 5);
	f.now += SEC;
	report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 15);
	f.now += 3300 * MS;
	run_pass(&f);
	CU_ASSERT_EQUAL(f.stops, 0);
	report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 48);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.stops, 0);
	fixture_clear(&f);
}

/* Hung worker: it reports on time, and its run makes no progress. The run is stopped. */
static void test_hung_run_is_stopped(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 10000, false);
	run_pass(&f);
	for (unsigned int i = 0; i < 4; i++) {
		report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 30);
		f.now += SEC;
		run_pass(&f);
	}
	CU_ASSERT_EQUAL(f.stops, 1);
	fixture_clear(&f);
}

/*
 * Hung worker: while its only run makes no progress, a new job goes to another worker, although
 * the hung one is the tighter fit.
 */
static void test_hung_worker_is_avoided(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 10000, false);
	run_pass(&f);
	report_worker(&f, "w2", NULL, 0, NULL, 0);
	for (unsigned int i = 0; i < 2; i++) {
		f.now += SEC;
		report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 30);
		report_worker(&f, "w2", NULL, 0, NULL, 0);
	}
	submit_job(&f, 2, "urgent", 1, 1, 1000, false);
	run_pass(&f);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000002.0.0.0");
	CU_ASSERT_STRING_EQUAL(f.last_node, "w2");
	fixture_clear(&f);
}

/*
 * Worker gone, agent alive: no lists of the worker come any more. It gets no tasks, and its run
 * is neither stopped nor started elsewhere.
 */
static void test_worker_without_lists_gets_no_tasks(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 10000, false);
	run_pass(&f);
	report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 5);
	f.now += 4 * SEC;
	submit_job(&f, 2, "urgent", 1, 1, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_EQUAL(f.stops, 0);
	report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 45);
	run_pass(&f);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000002.0.0.0");
	fixture_clear(&f);
}

/*
 * Worker that refuses each start at once: it would attract the same gang again and again. The
 * time for which it gets nothing doubles, until it confirms a start.
 */
static void test_refusals_back_off(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 10000, false);
	for (unsigned int i = 0; i < 60; i++) {
		unsigned int before = f.starts;

		report_worker(&f, "w1", NULL, 0, NULL, 0);
		run_pass(&f);
		if (f.starts > before)
			answer_last_start(&f, WL_ANSWER_REFUSED_OTHER);
		f.now += 100 * MS;
	}
	/* At 0, 0.5, 1.5 and 3.5 s. */
	CU_ASSERT_EQUAL(f.starts, 4);
	fixture_clear(&f);
}

/* Reports a worker that has completed the tasks FIRST to FIRST + 7 of job 1. */
static void report_done(struct fixture *f, const char *node, unsigned int first)
{
	struct wl_ended ends[8];
	char names[8][32];

	for (unsigned int i = 0; i < 8; i++) {
		snprintf(names[i], sizeof(names[i]), "0000000000000001.0.0.%u", first + i);
		ends[i] = (struct wl_ended){.number = i + 1, .task = names[i], .attempt = 1};
	}
	report_worker(f, node, NULL, 0, ends, 8);
}

/* Reports a worker that runs the tasks FIRST to FIRST + 7 of job 1. */
static void report_running(struct fixture *f, const char *node, unsigned int first)
{
	struct wl_run runs[8];
	char names[8][32];

	for (unsigned int i = 0; i < 8; i++) {
		snprintf(names[i], sizeof(names[i]), "0000000000000001.0.0.%u", first + i);
		runs[i] = (struct wl_run){.task = names[i], .attempt = 1, .percent = 1};
	}
	report_worker(f, node, runs, 8, NULL, 0);
}

/*
 * Slow workers among fast ones: a gang advances as slowly as its slowest member, so it goes to
 * a fast worker. A task by itself leaves that to gangs.
 */
static void test_gang_avoids_slow_worker(void)
{
	struct fixture f;

	fixture_init(&f);
	report_idle_workers(&f, 0, 3);
	submit_job(&f, 1, "batch", 24, 1, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 24);
	report_running(&f, "w0", 0);
	report_running(&f, "w1", 8);
	report_running(&f, "w2", 16);
	f.now += SEC;
	report_done(&f, "w1", 8);
	report_done(&f, "w2", 16);
	f.now += 300 * MS;
	report_done(&f, "w0", 0);
	submit_job(&f, 2, "urgent", 1, 8, 1000, true);
	run_pass(&f);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000002.0.0.0");
	CU_ASSERT_STRING_EQUAL(f.last_node, "w1");
	submit_job(&f, 3, "urgent", 1, 1, 1000, false);
	run_pass(&f);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000003.0.0.0");
	CU_ASSERT_STRING_EQUAL(f.last_node, "w0");
	fixture_clear(&f);
}

/*
 * Burst of urgent jobs on a large fleet: more of them arrive in the time that a preemption
 * takes than one and a half. Of ten workers left, batch tasks leave three, not two.
 */
static void test_headroom_follows_rate(void)
{
	struct fixture f;

	fixture_init(&f);
	report_idle_workers(&f, 0, 20);
	for (unsigned int i = 0; i < 10; i++)
		submit_job(&f, 1 + i, "urgent", 1, 8, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 10);
	submit_job(&f, 11, "batch", 80, 1, 5000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 10 + 7 * 8);
	fixture_clear(&f);
}

/*
 * Wide gang that waits for its last workers: what is reserved for it stays idle. While most of
 * the fleet is, another gang starts there after a while, although it ends after the wait.
 */
static void test_reservation_leaves_idle_fleet(void)
{
	struct fixture f;

	fixture_init(&f);
	report_idle_workers(&f, 0, 10);
	submit_job(&f, 1, "batch", 3, 5, 5000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 3);
	submit_job(&f, 2, "batch", 8, 8, 5000, true);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 3);
	submit_job(&f, 3, "batch", 2, 8, 60000, true);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 3);
	f.now += 2 * SEC;
	report_idle_workers(&f, 3, 10);
	for (unsigned int i = 0; i < 3; i++) {
		char name[8];
		char task[32];

		snprintf(name, sizeof(name), "w%u", i);
		snprintf(task, sizeof(task), "0000000000000001.0.0.%u", i);
		report_percent(&f, name, task, 1, 1);
	}
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 5);
	fixture_clear(&f);
}

/* Reports that the last start has failed on its worker. */
static void report_failure(struct fixture *f, uint64_t number)
{
	struct wl_ended end = {.number = number,
		.task = f->last_start,
		.attempt = f->last_attempt,
		.how = WL_END_FAILED};

	report_worker(f, f->last_node, NULL, 0, &end, 1);
}

/*
 * Worker that fails whatever it starts: it is always free. On a busy fleet an urgent gang waits
 * for a sound worker; the failing one gets single tasks with attempts to spare, ever less
 * often.
 */
static void test_failing_worker_gets_no_gang(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w0", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 1, 8, 60000, false);
	run_pass(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 2, "urgent", 1, 8, 1000, true);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	f.now += 50 * MS;
	report_failure(&f, 1);
	for (unsigned int i = 0; i < 40; i++) {
		f.now += 100 * MS;
		report_percent(&f, "w0", "0000000000000001.0.0.0", 1, i);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		run_pass(&f);
	}
	CU_ASSERT_EQUAL(f.starts, 2);
	submit_job(&f, 3, "urgent", 3, 1, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 3);
	CU_ASSERT_STRING_EQUAL(f.last_node, "w1");
	f.now += 50 * MS;
	report_failure(&f, 2);
	for (unsigned int i = 0; i < 15; i++) {
		f.now += 100 * MS;
		report_percent(&f, "w0", "0000000000000001.0.0.0", 1, 40 + i);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		run_pass(&f);
	}
	CU_ASSERT_EQUAL(f.starts, 3);
	report_worker(&f, "w2", NULL, 0, NULL, 0);
	run_pass(&f);
	CU_ASSERT_STRING_EQUAL(f.last_node, "w2");
	fixture_clear(&f);
}

/* Job that fails on every worker: only the first of them is suspected. */
static void test_hopeless_job_blames_one_worker(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	report_worker(&f, "w2", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 1, 8, 1000, true);
	run_pass(&f);
	f.now += 50 * MS;
	report_failure(&f, 1);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	f.now += 50 * MS;
	report_failure(&f, 1);
	submit_job(&f, 2, "urgent", 1, 8, 1000, true);
	run_pass(&f);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000002.0.0.0");
	CU_ASSERT_STRING_EQUAL(f.last_node, "w2");
	fixture_clear(&f);
}

/* Reports a worker without runs whose capacity and drain state have changed. */
static void report_state(
	struct fixture *f, const char *node, uint32_t accelerators, bool draining)
{
	char instance[32];
	const struct wl_report r = {.node = (char *)node,
		.worker_instance = instance,
		.service = (char *)"s",
		.rack = (char *)"r1",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = accelerators,
		.draining = draining,
		.leaves_in_ms = 2000,
		.covers = f->ordinal};

	snprintf(instance, sizeof(instance), "%s@1", node);
	wl_node_report(f->wl, f->now, f->now, &r);
}

/*
 * Worker that shrinks, or begins to leave, while a placement on it waits for the store: it must
 * not get a start that it has no room for any more. Tasks that still fit are started.
 */
static void test_placement_outlives_its_room(void)
{
	static const struct {
		uint32_t accelerators;
		bool draining;
		unsigned int starts;
	} cases[] = {{8, false, 2}, {7, false, 1}, {3, false, 0}, {8, true, 0}};

	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		struct fixture f;

		fixture_init(&f);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		f.store_down = true;
		submit_job(&f, 1, "batch", 2, 4, 1000, false);
		run_pass(&f);
		report_state(&f, "w1", cases[i].accelerators, cases[i].draining);
		f.store_down = false;
		store_dirty_jobs(&f);
		CU_ASSERT_EQUAL(f.starts, cases[i].starts);
		CU_ASSERT_EQUAL(f.stops, 0);
		fixture_clear(&f);
	}
}

/*
 * Gang of which one worker shrinks while its placement waits for the store: no member is
 * started, and all are once there is room again.
 */
static void test_gang_placement_outlives_its_room(void)
{
	struct fixture f;

	fixture_init(&f);
	report_idle_workers(&f, 1, 3);
	f.store_down = true;
	submit_job(&f, 1, "batch", 2, 8, 1000, true);
	run_pass(&f);
	report_state(&f, "w2", 4, false);
	f.store_down = false;
	store_dirty_jobs(&f);
	CU_ASSERT_EQUAL(f.starts, 0);
	report_state(&f, "w2", 8, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_EQUAL(f.stops, 0);
	fixture_clear(&f);
}

/*
 * Malformed lists: an answer that says OK without complete lists says nothing about what runs,
 * and must not pass for a worker without runs.
 */
static void test_incomplete_lists(void)
{
	static const struct {
		const char *body;
		bool complete;
	} cases[] = {
		{"{\"clock_ms\":1,\"running\":[],\"finished\":[]}", true},
		{"{\"clock_ms\":1,\"running\":[[\"t\",1,\"\",5]],\"finished\":[]}", true},
		{"{\"clock_ms\":1,\"running\":[[7,1,\"\",5]],\"finished\":[]}", false},
		{"{\"clock_ms\":1,\"running\":[],\"finished\":[[1]]}", false},
		{"{\"clock_ms\":1,\"running\":[[\"t\",1,\"\",1e300]],\"finished\":[]}", true},
		{"{\"clock_ms\":1,\"running\":[[\"t\",-1,\"\",5]],\"finished\":[]}", false},
		{"{\"clock_ms\":1,\"running\":[[\"t\",4294967297,\"\",5]],\"finished\":[]}",
			false},
		{"{\"clock_ms\":1,\"running\":[],\"finished\":[[1,\"t\",1.5,\"done\"]]}",
			false},
		{"{\"clock_ms\":1,\"finished\":[]}", false},
		{"{\"clock_ms\":1,\"running\":{},\"finished\":[]}", false},
		{"{\"clock_ms\":1", false},
		{"", false},
	};

	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		struct http_call *c = http_call_new("POST", "http://127.0.0.1/");
		struct pf_reply r;

		c->status = 200;
		c->answer = bytes_copy(cases[i].body, strlen(cases[i].body));
		pf_reply_parse(c, &r);
		CU_ASSERT_EQUAL(r.lists_complete, cases[i].complete);
		pf_reply_clear(&r);
		http_call_free(c);
	}
}

/*
 * Lists with a row that can't be read: the run may be in that row. It is neither started again
 * nor stopped, and only complete lists show that it is missing.
 */
static void test_partial_lists_end_no_run(void)
{
	struct wl_report r = {.node = (char *)"w1",
		.worker_instance = (char *)"w1@1",
		.service = (char *)"s",
		.rack = (char *)"r1",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8,
		.partial = true};
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 10000, false);
	run_pass(&f);
	report_percent(&f, "w1", "0000000000000001.0.0.0", 1, 5);
	for (unsigned int i = 0; i < 3; i++) {
		f.now += SEC;
		r.covers = f.ordinal;
		r.sent_ns = (uint64_t)f.now;
		wl_node_report(f.wl, f.now, f.now, &r);
		run_pass(&f);
	}
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_EQUAL(f.stops, 0);
	f.now += SEC;
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	fixture_clear(&f);
}

/* Parses an answer with status 200; the caller frees the result with pf_reply_clear. */
static void parse_reply(const char *body, struct pf_reply *r)
{
	struct http_call *c = http_call_new("POST", "http://127.0.0.1/");

	c->status = 200;
	c->answer = bytes_copy(body, strlen(body));
	pf_reply_parse(c, r);
	http_call_free(c);
}

/*
 * Ends with a number that no worker counts to: taken for the last end that was seen, it would
 * have all later ends ignored, and acknowledged before they are stored.
 */
static void test_end_numbers_out_of_range(void)
{
	static const char *const odd[] = {"9223372036854775807", "-1", "0", "1.5", "1e15",
		"null", "\"7\"", "{}", "9007199254740993"};

	for (size_t i = 0; i < ARRAY_LEN(odd); i++) {
		AUTOFREE char *body = NULL;
		struct pf_reply r;

		xasprintf(&body,
			"{\"running\":[],\"finished\":[[3,\"t\",1,\"done\",\"\"],"
			"[%s,\"u\",1,\"done\",\"\"]]}",
			odd[i]);
		parse_reply(body, &r);
		CU_ASSERT_EQUAL(r.ends_len, 1);
		CU_ASSERT_EQUAL(r.ends[0].number, 3);
		CU_ASSERT_FALSE(r.lists_complete);
		pf_reply_clear(&r);
	}
}

/*
 * A clock that no worker can show: the end of a lease that is reckoned from it is out of range
 * and would renew no lease.
 */
static void test_clock_out_of_range(void)
{
	struct pf_reply r;

	parse_reply("{\"clock_ms\":9223372036854775807,\"running\":[],\"finished\":[]}", &r);
	CU_ASSERT_EQUAL(r.clock_ms, 0);
	pf_reply_clear(&r);
	parse_reply("{\"clock_ms\":-5,\"running\":[],\"finished\":[]}", &r);
	CU_ASSERT_EQUAL(r.clock_ms, 0);
	pf_reply_clear(&r);
	parse_reply("{\"clock_ms\":482113,\"running\":[],\"finished\":[]}", &r);
	CU_ASSERT_EQUAL(r.clock_ms, 482113);
	pf_reply_clear(&r);
}

/* Rows with values that the JSON library rejects: the other rows of the lists hold. */
static void test_unreadable_rows(void)
{
	g_autofree char *deep = g_strnfill(40000, '[');
	g_autofree char *close = g_strnfill(40000, ']');
	g_autofree char *nested = g_strconcat("{\"a\":", deep, "\"]\\\"\"", close, "}", NULL);
	const char *const odd[] = {nested, "1e400", "-1e400", "99999999999999999999",
		"[1,2,3,\"\\u0000\"]", "\"\\ud800\"", "[7,8,\"\xff\xc0\"]",
		"[1e999,\"u\",1,\"done\"]"};

	for (size_t i = 0; i < ARRAY_LEN(odd); i++) {
		AUTOFREE char *body = NULL;
		struct pf_reply r;

		xasprintf(&body,
			"{\"clock_ms\":7,\"running\":[[\"a\",1],%s,[\"b\",2,\"c\"]],"
			"\"finished\":[%s,[4,\"d\",1,\"done\",\"\"]]}",
			odd[i], odd[i]);
		parse_reply(body, &r);
		CU_ASSERT_EQUAL(r.clock_ms, 7);
		CU_ASSERT_TRUE(r.lists_present);
		CU_ASSERT_FALSE(r.lists_complete);
		CU_ASSERT_EQUAL(r.runs_len, 2);
		CU_ASSERT_TRUE(r.runs_len == 2 && strcmp(r.runs[1].checkpoint, "c") == 0);
		CU_ASSERT_EQUAL(r.ends_len, 1);
		CU_ASSERT_TRUE(r.ends_len == 1 && r.ends[0].number == 4);
		pf_reply_clear(&r);
	}
}

/*
 * LIMIT: a worker runs something that no task has, and its next lists have a row that can't be
 * read. The room of that run is not given away.
 */
static void test_partial_lists_keep_orphans(void)
{
	struct fixture f;
	struct wl_run run = {.task = (char *)"00000000000000ff.0.0.0", .attempt = 1};
	struct wl_report r = {.node = (char *)"w1",
		.worker_instance = (char *)"w1@1",
		.service = (char *)"s",
		.rack = (char *)"r1",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8,
		.runs = &run,
		.runs_len = 1};

	fixture_init(&f);
	wl_node_report(f.wl, f.now, f.now, &r);
	submit_job(&f, 1, "batch", 1, 8, 10000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 0);
	r.runs_len = 0;
	r.partial = true;
	f.now += 100 * MS;
	wl_node_report(f.wl, f.now, f.now, &r);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 0);
	r.partial = false;
	f.now += 100 * MS;
	wl_node_report(f.wl, f.now, f.now, &r);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	fixture_clear(&f);
}

void unit_workers(CU_pSuite s)
{
	CU_add_test(s, "partial lists keep the room of unknown runs",
		test_partial_lists_keep_orphans);
	CU_add_test(s, "worker's lists: rows that no JSON reader takes leave the others",
		test_unreadable_rows);
	CU_add_test(s, "worker's lists: a run that partial ones don't show may go on",
		test_partial_lists_end_no_run);
	CU_add_test(s, "worker's answers: an odd clock is no clock", test_clock_out_of_range);
	CU_add_test(s, "worker's lists: an end with an odd number is no end",
		test_end_numbers_out_of_range);
	CU_add_test(s, "silent agent: its run is not stalled", test_silent_agent_keeps_its_run);
	CU_add_test(s, "hung worker: its run is stopped", test_hung_run_is_stopped);
	CU_add_test(s, "hung worker: new work goes elsewhere", test_hung_worker_is_avoided);
	CU_add_test(s, "worker without lists: it gets no tasks and keeps its runs",
		test_worker_without_lists_gets_no_tasks);
	CU_add_test(s, "worker that refuses all starts: it is asked ever less",
		test_refusals_back_off);
	CU_add_test(s, "slow workers: gangs go elsewhere", test_gang_avoids_slow_worker);
	CU_add_test(s, "burst of urgent jobs: the headroom grows", test_headroom_follows_rate);
	CU_add_test(s, "wide gang that waits: a half idle fleet is used",
		test_reservation_leaves_idle_fleet);
	CU_add_test(s, "worker that fails all: no gang, ever fewer tasks",
		test_failing_worker_gets_no_gang);
	CU_add_test(s, "job that fails everywhere: one worker is suspected",
		test_hopeless_job_blames_one_worker);
	CU_add_test(s, "worker that shrinks or leaves: no start of an earlier placement",
		test_placement_outlives_its_room);
	CU_add_test(s, "worker that shrinks: no start of a gang that was placed on it",
		test_gang_placement_outlives_its_room);
	CU_add_test(s, "malformed lists are no lists", test_incomplete_lists);
}
