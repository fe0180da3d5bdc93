#include "unit.h"

#include "wl-worker-private.h"
#include "workload-fixture.h"

#include <stdlib.h>
#include <string.h>

/* Checkpoints of any length: kept as a whole or not at all. */

#define JOB   "0000000000000001"
#define TASK0 JOB ".0.0.0"

/* A checkpoint of a length that differs from others from its first byte on. */
static char *make_checkpoint(char first, size_t len)
{
	char *text = g_malloc(len + 1);

	memset(text, 'x', len);
	text[0] = first;
	text[len] = '\0';
	return text;
}

static void add_job(struct fixture *f, uint32_t count, bool gang, const struct wl_progress *p)
{
	struct wl_step step = {.count = count,
		.accelerators = 1,
		.estimate_ms = 9000,
		.checkpoints = true,
		.gang = gang};

	add_step_job(f, &step, p);
}

/* Reports that all tasks of a job run, the first ones with checkpoints of the given lengths. */
static void report_runs(struct fixture *f, uint32_t count, char first, const size_t *len)
{
	g_autofree struct wl_run *runs = g_new0(struct wl_run, count);

	for (uint32_t i = 0; i < count; i++) {
		runs[i].task = g_strdup_printf(JOB ".0.0.%u", i);
		runs[i].attempt = f->last_attempt;
		runs[i].checkpoint = make_checkpoint(first, len[i]);
	}
	report_worker(f, "w1", runs, count, NULL, 0);
	for (uint32_t i = 0; i < count; i++) {
		g_free(runs[i].task);
		g_free(runs[i].checkpoint);
	}
}

/* The checkpoint of the last start. */
static const char *last_checkpoint(const struct fixture *f)
{
	return g_array_index(f->started, struct started, f->started->len - 1).checkpoint;
}

/* Guards against a start that carries a part of a checkpoint (UNASKED). */
static void test_long_checkpoint_is_whole(void)
{
	static const size_t lengths[] = {1, 64, 65, 96, 4000, 70000, 900000};

	for (size_t i = 0; i < 2 * ARRAY_LEN(lengths); i++) {
		size_t len = lengths[i / 2];
		g_autofree char *text = make_checkpoint('b', len);
		const struct wl_ended end = {.number = 1,
			.task = (char *)TASK0,
			.attempt = 1,
			.how = WL_END_STOPPED,
			.checkpoint = text};
		struct wl_progress p = {0};
		struct fixture f;
		struct bytes record;
		uint64_t version;

		fixture_init(&f);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		add_job(&f, 1, i % 2 == 1, NULL);
		run_pass(&f);
		report_runs(&f, 1, 'a', &len);
		report_worker(&f, "w1", NULL, 0, (struct wl_ended *)&end, 1);
		f.now += SEC;
		run_pass(&f);
		CU_ASSERT_EQUAL(f.starts, 2);
		CU_ASSERT_STRING_EQUAL(last_checkpoint(&f), text);
		/* The next coordinator has it from the store. */
		record = wl_job_progress(f.wl, JOB, &version);
		CU_ASSERT_TRUE(
			fields_decode(&wl_progress_fields, &p, record.data, record.len, NULL));
		fixture_clear(&f);
		fixture_init(&f);
		add_job(&f, 1, i % 2 == 1, &p);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		run_pass(&f);
		CU_ASSERT_EQUAL(f.starts, 1);
		CU_ASSERT_STRING_EQUAL(last_checkpoint(&f), text);
		bytes_clear(&record);
		fields_clear(&wl_progress_fields, &p);
		fixture_clear(&f);
	}
}

/* One that the store could not take is refused as a whole: the one before stays. */
static void test_too_long_checkpoint_is_refused(void)
{
	const size_t short_len = 30;
	const size_t long_len = RECORD_MAX;
	g_autofree char *kept = make_checkpoint('a', short_len);
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	add_job(&f, 1, false, NULL);
	run_pass(&f);
	report_runs(&f, 1, 'a', &short_len);
	report_runs(&f, 1, 'b', &long_len);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	f.now += SEC;
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_STRING_EQUAL(last_checkpoint(&f), kept);
	fixture_clear(&f);
}

/* Returns the checkpoints of a stored record, and their lengths' sum. */
static uint32_t count_stored(struct fixture *f, size_t *bytes)
{
	struct wl_progress p = {0};
	uint64_t version;
	struct bytes record = wl_job_progress(f->wl, JOB, &version);
	uint32_t n = 0;

	CU_ASSERT_TRUE(record.len <= RECORD_MAX);
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &p, record.data, record.len, NULL));
	*bytes = 0;
	for (uint32_t i = 0; i < p.marks_len; i++) {
		n += p.marks[i].checkpoint != NULL;
		*bytes += p.marks[i].checkpoint != NULL ? strlen(p.marks[i].checkpoint) : 0;
	}
	bytes_clear(&record);
	fields_clear(&wl_progress_fields, &p);
	return n;
}

/* Guards against a job given up for long checkpoints: the longest ones aren't stored. */
static void test_record_stays_small(void)
{
	const size_t lengths[] = {300000, 10, 300000, 400000, 20, 300000};
	struct fixture f;
	size_t bytes;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	add_job(&f, ARRAY_LEN(lengths), false, NULL);
	run_pass(&f);
	report_runs(&f, ARRAY_LEN(lengths), 'a', lengths);
	CU_ASSERT_EQUAL(count_stored(&f, &bytes), 5);
	CU_ASSERT_EQUAL(bytes, 900030);
	CU_ASSERT_TRUE(wl_job_is_open(f.wl, JOB));
	/* All are in use nevertheless. */
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	f.now += SEC;
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2 * ARRAY_LEN(lengths));
	for (size_t i = 0; i < ARRAY_LEN(lengths); i++)
		CU_ASSERT_EQUAL(
			strlen(g_array_index(f.started, struct started, f.started->len - 6 + i)
					.checkpoint),
			lengths[i]);
	fixture_clear(&f);
}

/* Guards against checkpoints that use up the coordinator's memory; ended jobs free theirs. */
static void test_memory_is_bounded(void)
{
	size_t lengths[8];
	uint32_t kept = 0;
	struct fixture f;

	for (size_t i = 0; i < ARRAY_LEN(lengths); i++)
		lengths[i] = 900000;
	fixture_init(&f);
	for (unsigned int round = 0; round < 3; round++) {
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		add_job(&f, ARRAY_LEN(lengths), false, NULL);
		run_pass(&f);
		report_runs(&f, ARRAY_LEN(lengths), 'a', lengths);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		f.now += SEC;
		run_pass(&f);
		kept = 0;
		for (guint i = f.started->len - ARRAY_LEN(lengths); i < f.started->len; i++)
			kept += *g_array_index(f.started, struct started, i).checkpoint != '\0';
		CU_ASSERT_EQUAL(kept, CHECKPOINTS_MAX / 900000);
		wl_job_cancel(f.wl, f.now, f.now, JOB);
		store_dirty_jobs(&f);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		wl_job_forget(f.wl, JOB);
	}
	fixture_clear(&f);
}

/* Fills an answer's lists with checkpoints of one length. */
static void fill_lists(struct pf_reply *r, uint32_t runs, uint32_t ends, size_t len)
{
	memset(r, 0, sizeof(*r));
	r->lists_present = true;
	r->lists_complete = true;
	r->runs = xcalloc(runs, sizeof(*r->runs));
	r->runs_len = runs;
	for (uint32_t i = 0; i < runs; i++)
		r->runs[i].checkpoint = make_checkpoint('a', len);
	r->ends = xcalloc(ends, sizeof(*r->ends));
	r->ends_len = ends;
	for (uint32_t i = 0; i < ends; i++) {
		r->ends[i].number = i + 1;
		r->ends[i].checkpoint = make_checkpoint('b', len);
	}
}

/*
 * Guards against reports that are too large to be sent, after which a worker would pass for
 * silent: ends wait for the next report, and runs take turns.
 */
static void test_reports_are_bounded(void)
{
	bool sent[8] = {false};
	struct wl_process process = {.settings.value_max = RECORD_MAX};
	struct wl_worker w = {.p = &process};
	struct pf_reply r;
	size_t bytes = 0;

	for (int64_t now = SEC; now <= 60 * SEC; now += SEC) {
		size_t in_report = 0;

		fill_lists(&r, ARRAY_LEN(sent), 0, 300000);
		worker_limit_checkpoints(&w, now, &r);
		CU_ASSERT_TRUE(r.lists_complete);
		for (uint32_t i = 0; i < r.runs_len; i++) {
			sent[i] |= r.runs[i].checkpoint != NULL;
			in_report += r.runs[i].checkpoint != NULL ? 300000 : 0;
		}
		CU_ASSERT_TRUE(in_report <= 2 * 1048576);
		bytes += in_report;
		pf_reply_clear(&r);
	}
	CU_ASSERT_TRUE(bytes <= 61 * 131072 + 300000);
	for (size_t i = 0; i < ARRAY_LEN(sent); i++)
		CU_ASSERT_TRUE(sent[i]);
	fill_lists(&r, 2, 8, 300000);
	worker_limit_checkpoints(&w, 61 * SEC, &r);
	CU_ASSERT_EQUAL(r.ends_len, 3);
	CU_ASSERT_EQUAL(strlen(r.ends[2].checkpoint), 300000);
	CU_ASSERT_TRUE(r.has_more_ends);
	CU_ASSERT_FALSE(r.lists_complete);
	pf_reply_clear(&r);
	/* Short ones always go; what no store takes is refused here. */
	fill_lists(&r, 64, 1, 900);
	worker_limit_checkpoints(&w, 61 * SEC, &r);
	for (uint32_t i = 0; i < r.runs_len; i++)
		CU_ASSERT_PTR_NOT_NULL(r.runs[i].checkpoint);
	pf_reply_clear(&r);
	fill_lists(&r, 1, 1, RECORD_MAX + 1);
	worker_limit_checkpoints(&w, 62 * SEC, &r);
	CU_ASSERT_TRUE(r.ends_len == 1 && r.ends[0].checkpoint == NULL);
	CU_ASSERT_TRUE(r.runs_len == 1 && r.runs[0].checkpoint == NULL);
	CU_ASSERT_TRUE(r.lists_complete);
	pf_reply_clear(&r);
}

void unit_checkpoint(CU_pSuite s)
{
	CU_add_test(s, "a long checkpoint is kept whole", test_long_checkpoint_is_whole);
	CU_add_test(s, "a too long checkpoint is refused whole",
		test_too_long_checkpoint_is_refused);
	CU_add_test(s, "long checkpoints leave the record small", test_record_stays_small);
	CU_add_test(s, "checkpoints in memory are bounded", test_memory_is_bounded);
	CU_add_test(s, "checkpoints in reports are bounded", test_reports_are_bounded);
}
