#include "unit.h"

#include "wl-daemon.h"
#include "workload-fixture.h"

#include <stdlib.h>
#include <string.h>

/*
 * The coordinator's record writer on a store whose answers the tests give: a transaction may be
 * carried out and answered, carried out without an answer, or carried out later.
 */

#define TERM_REVISION 1

/* A transaction with copies of its keys, as those of kv_commit live until it returns. */
struct sent_txn {
	char *expect[KV_TXN_MAX];
	int64_t expect_revision[KV_TXN_MAX];
	char *write[KV_TXN_MAX];
	char *remove[KV_TXN_MAX];
	struct kv_txn txn;
	kv_callback *fn;
	void *arg;
};

struct fake_store {
	GHashTable *revisions; /* by key; a missing key has revision 0 */
	int64_t revision;
	struct sent_txn *sent; /* the transaction without an answer yet */
	GPtrArray *late;
	bool omits_missing; /* a conflict doesn't list the keys that don't exist */
	int64_t now;
	struct loop *loop;
	struct wl_process process;
	struct fixture scheduler;
	struct record_writer *records;
	bool term_lost;
	char replaced[WL_ID_LEN + 1]; /* the last job that was told as replaced */
};

static void txn_free(void *arg)
{
	struct sent_txn *t = arg;

	for (size_t i = 0; i < KV_TXN_MAX; i++) {
		free(t->expect[i]);
		free(t->write[i]);
		free(t->remove[i]);
	}
	free(t);
}

/* The store's call in wl-coord-records.c; kv is the fake store. */
void kv_commit(struct kv *kv, const struct kv_txn *txn, kv_callback *fn, void *arg)
{
	struct fake_store *s = (struct fake_store *)kv;
	struct sent_txn *t = xcalloc(1, sizeof(*t));

	CU_ASSERT_TRUE(txn->expect_len + txn->write_len + txn->remove_len <= KV_TXN_MAX);
	CU_ASSERT_PTR_NULL(s->sent);
	t->txn = *txn;
	t->fn = fn;
	t->arg = arg;
	for (size_t i = 0; i < txn->expect_len; i++) {
		t->expect[i] = xstrdup(txn->expect[i].key);
		t->expect_revision[i] = txn->expect[i].revision;
	}
	for (size_t i = 0; i < txn->write_len; i++) {
		CU_ASSERT_TRUE(txn->write[i].len <= RECORD_MAX);
		t->write[i] = xstrdup(txn->write[i].key);
	}
	for (size_t i = 0; i < txn->remove_len; i++)
		t->remove[i] = xstrdup(txn->remove[i]);
	s->sent = t;
}

static int64_t key_revision(const struct fake_store *s, const char *key)
{
	const int64_t *r = g_hash_table_lookup(s->revisions, key);

	return r != NULL ? *r : 0;
}

static void key_set(struct fake_store *s, const char *key, int64_t revision)
{
	int64_t *r = g_new(int64_t, 1);

	*r = revision;
	g_hash_table_replace(s->revisions, g_strdup(key), r);
}

/* Lists the current state of the keys that a transaction is conditional on. */
static size_t list_expected(
	const struct fake_store *s, const struct sent_txn *t, struct kv_item *items)
{
	size_t n = 0;

	for (size_t i = 0; i < t->txn.expect_len; i++) {
		int64_t revision = key_revision(s, t->expect[i]);

		if (revision > 0 || !s->omits_missing)
			items[n++] =
				(struct kv_item){.key = t->expect[i], .revision = revision};
	}
	return n;
}

/* Carries out a transaction if its conditions hold. */
static bool txn_execute(struct fake_store *s, const struct sent_txn *t)
{
	bool holds = true;

	for (size_t i = 0; i < t->txn.expect_len; i++)
		holds = holds && key_revision(s, t->expect[i]) == t->expect_revision[i];
	if (!holds)
		return false;
	s->revision++;
	for (size_t i = 0; i < t->txn.write_len; i++)
		key_set(s, t->write[i], s->revision);
	for (size_t i = 0; i < t->txn.remove_len; i++)
		g_hash_table_remove(s->revisions, t->remove[i]);
	return true;
}

enum fate {
	ANSWERED,
	LOST,	  /* carried out without an answer */
	LATE,	  /* no answer, carried out by store_run_late */
	NOT_DONE, /* no answer, never carried out */
	REFUSED
};

/* Ends the transaction that was sent, if there is one. */
static void store_end_call(struct fake_store *s, enum fate fate)
{
	struct sent_txn *t = g_steal_pointer(&s->sent);
	struct kv_item items[KV_TXN_MAX] = {0};
	struct kv_result r = {.status = KV_OUTCOME_UNKNOWN};

	if (t == NULL)
		return;
	switch (fate) {
	case ANSWERED:
		r.items = items;
		r.status = txn_execute(s, t) ? KV_OK : KV_CONFLICT;
		r.store_revision = s->revision;
		if (r.status == KV_CONFLICT)
			r.items_len = list_expected(s, t, items);
		break;
	case LOST:
		txn_execute(s, t);
		break;
	case REFUSED:
		r.status = KV_REFUSED;
		break;
	case LATE:
	case NOT_DONE:
		break;
	}
	t->fn(&r, t->arg);
	if (fate == LATE)
		g_ptr_array_add(s->late, t);
	else
		txn_free(t);
}

/* Carries out the transactions whose answers were given up on. */
static void store_run_late(struct fake_store *s)
{
	for (guint i = 0; i < s->late->len; i++)
		txn_execute(s, s->late->pdata[i]);
	g_ptr_array_set_size(s->late, 0);
}

static int64_t fake_now(void *arg)
{
	return ((struct fake_store *)arg)->now;
}

static void stop_loop(void *arg)
{
	loop_stop(arg);
}

/* Lets the time pass after which the writer sends a failed transaction again. */
static void pass_time(struct fake_store *s)
{
	s->now += NSEC_PER_SEC;
	loop_timer_add(s->loop, 0, 0, stop_loop, s->loop);
	loop_run(s->loop);
}

/* Answers what the writer sends until it sends nothing more. */
static void store_settle(struct fake_store *s)
{
	for (int i = 0; i < 100; i++) {
		store_end_call(s, ANSWERED);
		pass_time(s);
	}
	CU_ASSERT_PTR_NULL(s->sent);
}

static void on_confirmed(int64_t sent, void *arg)
{
	(void)sent;
	(void)arg;
}

static void on_stored(void *arg)
{
	(void)arg;
}

static void on_replaced(const char *id, void *arg)
{
	struct fake_store *s = arg;

	g_strlcpy(s->replaced, id, sizeof(s->replaced));
}

static void on_term_lost(void *arg)
{
	((struct fake_store *)arg)->term_lost = true;
}

static struct clock fake_clock = {.monotonic = fake_now, .wall = fake_now};

static void store_init(struct fake_store *s)
{
	const struct record_events ev = {.confirmed = on_confirmed,
		.stored = on_stored,
		.replaced = on_replaced,
		.term_lost = on_term_lost,
		.arg = s};

	*s = (struct fake_store){.revision = 10, .now = NSEC_PER_SEC};
	s->revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->late = g_ptr_array_new_with_free_func(txn_free);
	key_set(s, KEY_TERM, TERM_REVISION);
	fake_clock.arg = s;
	s->loop = loop_new(&fake_clock);
	s->process.loop = s->loop;
	s->process.kv = (struct kv *)s;
	s->process.settings.value_max = RECORD_MAX;
	fixture_init(&s->scheduler);
	s->records = record_writer_new(&s->process, s->scheduler.wl, TERM_REVISION, &ev);
}

static void store_clear(struct fake_store *s)
{
	CU_ASSERT_FALSE(s->term_lost);
	store_end_call(s, REFUSED);
	record_writer_free(s->records);
	fixture_clear(&s->scheduler);
	loop_free(s->loop);
	g_ptr_array_unref(s->late);
	g_hash_table_destroy(s->revisions);
}

/*
 * A node's key is removed by a write that is carried out after the node has come back: the key
 * is missing, the next coordinator doesn't wait for the node and runs its tasks elsewhere.
 */
static void test_node_key_late_removal(void)
{
	struct fake_store s;

	store_init(&s);
	record_writer_set_node(s.records, "n1", true);
	store_settle(&s);
	CU_ASSERT_TRUE(record_writer_has_node(s.records, "n1"));
	record_writer_set_node(s.records, "n1", false);
	store_end_call(&s, LATE);
	pass_time(&s);
	store_settle(&s);
	record_writer_set_node(s.records, "n1", true);
	store_settle(&s);
	CU_ASSERT_TRUE(record_writer_has_node(s.records, "n1"));
	store_run_late(&s);
	CU_ASSERT_NOT_EQUAL(key_revision(&s, KEY_NODE "n1"), 0);
	store_clear(&s);
}

/* The same if the node comes back before the removal is tried again, done or not. */
static void test_node_key_unanswered_removal(void)
{
	const enum fate fates[] = {LOST, LATE, NOT_DONE};

	for (size_t i = 0; i < G_N_ELEMENTS(fates); i++) {
		struct fake_store s;

		store_init(&s);
		record_writer_set_node(s.records, "n1", true);
		store_settle(&s);
		record_writer_set_node(s.records, "n1", false);
		store_end_call(&s, fates[i]);
		record_writer_set_node(s.records, "n1", true);
		CU_ASSERT_FALSE(record_writer_has_node(s.records, "n1"));
		pass_time(&s);
		store_settle(&s);
		CU_ASSERT_TRUE(record_writer_has_node(s.records, "n1"));
		store_run_late(&s);
		CU_ASSERT_NOT_EQUAL(key_revision(&s, KEY_NODE "n1"), 0);
		store_clear(&s);
	}
}

/* A node whose key is being removed must not get tasks before the key is written again. */
static void test_node_key_removal_in_flight(void)
{
	struct fake_store s;

	store_init(&s);
	record_writer_set_node(s.records, "n1", true);
	store_settle(&s);
	record_writer_set_node(s.records, "n1", false);
	record_writer_set_node(s.records, "n1", true);
	CU_ASSERT_FALSE(record_writer_has_node(s.records, "n1"));
	store_settle(&s);
	CU_ASSERT_TRUE(record_writer_has_node(s.records, "n1"));
	CU_ASSERT_NOT_EQUAL(key_revision(&s, KEY_NODE "n1"), 0);
	store_clear(&s);
}

/* Whether each node that counts as stored has its key in the store. */
static bool node_keys_hold(const struct fake_store *s, unsigned int nodes)
{
	for (unsigned int i = 0; i < nodes; i++) {
		g_autofree char *name = g_strdup_printf("n%u", i);
		g_autofree char *key = g_strconcat(KEY_NODE, name, NULL);

		if (record_writer_has_node(s->records, name) && key_revision(s, key) == 0)
			return false;
	}
	return true;
}

/*
 * Nodes come and go while writes are refused, lost and late: no write that is carried out late
 * may undo a newer one, whatever the order.
 */
static void test_node_keys_random(void)
{
	enum {
		NODES = 40,
		STEPS = 400,
		SEEDS = 50
	};

	for (unsigned int seed = 1; seed <= SEEDS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		struct fake_store s;
		bool held = true;

		store_init(&s);
		s.omits_missing = seed % 2 == 0;
		for (int step = 0; step < STEPS; step++) {
			g_autofree char *name =
				g_strdup_printf("n%d", g_rand_int_range(rand, 0, NODES));

			switch (g_rand_int_range(rand, 0, 5)) {
			case 0:
			case 1:
				record_writer_set_node(s.records, name, g_rand_boolean(rand));
				break;
			case 2:
				store_end_call(&s, (enum fate)g_rand_int_range(rand, 0, 5));
				break;
			case 3:
				pass_time(&s);
				break;
			default:
				if (g_rand_int_range(rand, 0, 4) == 0)
					store_run_late(&s);
				else
					store_end_call(&s, ANSWERED);
			}
			held = held && node_keys_hold(&s, NODES);
		}
		for (unsigned int i = 0; i < NODES; i++) {
			g_autofree char *name = g_strdup_printf("n%u", i);

			record_writer_set_node(s.records, name, true);
		}
		store_settle(&s);
		store_run_late(&s);
		for (unsigned int i = 0; i < NODES; i++) {
			g_autofree char *name = g_strdup_printf("n%u", i);

			held = held && record_writer_has_node(s.records, name);
		}
		held = held && node_keys_hold(&s, NODES);
		if (!held)
			printf(" seed %u", seed);
		CU_ASSERT_TRUE(held);
		store_clear(&s);
	}
}

#define JOB_ID "00000000000000a1"

/* An entry accepts a job: its key and its progress record are written together. */
static void accept_job(struct fake_store *s)
{
	s->revision++;
	key_set(s, KEY_JOB JOB_ID, s->revision);
	key_set(s, KEY_PROGRESS JOB_ID, s->revision);
}

/* Begins to remove a job from the store. */
static void remove_job(struct fake_store *s)
{
	accept_job(s);
	record_writer_note_revision(s->records, JOB_ID, s->revision);
	record_writer_remove_job(s->records, JOB_ID);
}

/*
 * Guards against a removed job that runs again: a page of the inbox that was read before the
 * removal arrives after it.
 */
static void test_job_read_before_removal(void)
{
	struct fake_store s;
	int64_t revision;

	store_init(&s);
	remove_job(&s);
	revision = s.revision;
	CU_ASSERT_FALSE(record_writer_was_removed(s.records, JOB_ID, revision));
	store_end_call(&s, LOST);
	pass_time(&s);
	store_settle(&s);
	CU_ASSERT_TRUE(record_writer_was_removed(s.records, JOB_ID, revision));
	accept_job(&s);
	CU_ASSERT_FALSE(record_writer_was_removed(s.records, JOB_ID, s.revision));
	store_clear(&s);
}

/* Guards against a write for each job that begins: those that begin together share one. */
static void test_told_changes_share_a_call(void)
{
	struct fake_store s;

	store_init(&s);
	report_worker(&s.scheduler, "w1", NULL, 0, NULL, 0);
	for (unsigned int i = 1; i <= 5; i++) {
		g_autofree char *id = g_strdup_printf("%016x", i);

		submit_job(&s.scheduler, i, "batch", 1, 1, 1000, false);
		record_writer_mark_dirty(s.records, id, WL_STORE_LATER);
		s.now += 20 * MS;
		loop_timer_add(s.loop, 0, 0, stop_loop, s.loop);
		loop_run(s.loop);
		CU_ASSERT_PTR_NULL(s.sent);
	}
	pass_time(&s);
	CU_ASSERT_PTR_NOT_NULL_FATAL(s.sent);
	CU_ASSERT_EQUAL(s.sent->txn.write_len, 5);
	store_settle(&s);
	store_clear(&s);
}

/*
 * An ended job is removed by a write that is carried out after another job was accepted under
 * its id: the accepted job is gone from the store.
 */
static void test_job_late_removal(void)
{
	struct fake_store s;

	store_init(&s);
	remove_job(&s);
	store_end_call(&s, LATE);
	pass_time(&s);
	store_settle(&s);
	CU_ASSERT_EQUAL(key_revision(&s, KEY_JOB JOB_ID), 0);
	accept_job(&s);
	store_run_late(&s);
	CU_ASSERT_NOT_EQUAL(key_revision(&s, KEY_JOB JOB_ID), 0);
	store_clear(&s);
}

/* The removal was done but not answered, and is repeated after the id was used again. */
static void test_job_unanswered_removal(void)
{
	for (int again = 0; again <= 1; again++) {
		struct fake_store s;

		store_init(&s);
		s.omits_missing = true;
		remove_job(&s);
		store_end_call(&s, LOST);
		if (again)
			accept_job(&s);
		pass_time(&s);
		store_settle(&s);
		CU_ASSERT_EQUAL(key_revision(&s, KEY_JOB JOB_ID) != 0, again);
		CU_ASSERT_STRING_EQUAL(s.replaced, again ? JOB_ID : "");
		store_clear(&s);
	}
}

/* Adds a job with this many occurrences, of which all but the last are done. */
static void add_recurring_job(struct fake_store *s, const char *id, uint32_t occurrences)
{
	struct wl_step step = {.count = 1, .cores_m = 1000};
	const struct wl_spec spec = {.id = (char *)id,
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1,
		.repetitions = occurrences};
	g_autofree struct wl_mark *marks = g_new0(struct wl_mark, occurrences);
	const struct wl_progress progress = {
		.state = WL_RUNNING, .marks = marks, .marks_len = occurrences - 1};

	for (uint32_t i = 0; i < progress.marks_len; i++)
		marks[i] =
			(struct wl_mark){.occurrence = i, .index = WL_INDEX_GANG, .done = true};
	wl_job_add(s->scheduler.wl, s->now, s->now, &spec, &progress);
}

/*
 * The progress of a recurring job has outgrown what the store takes: each transaction with it
 * is refused and repeated, and no other job's placement or end is stored any more.
 */
static void test_oversized_progress(void)
{
	const char *const other = "00000000000000a2";
	struct fake_store s;
	struct bytes record;
	uint64_t version;

	store_init(&s);
	add_recurring_job(&s, JOB_ID, WL_REPETITIONS_MAX);
	add_recurring_job(&s, other, 2);
	record_writer_mark_dirty(s.records, JOB_ID, WL_STORE_SOON);
	record_writer_mark_dirty(s.records, other, WL_STORE_NOW);
	store_settle(&s);
	CU_ASSERT_NOT_EQUAL(key_revision(&s, "dp/state/00000000000000a2"), 0);
	CU_ASSERT_FALSE(wl_job_is_open(s.scheduler.wl, JOB_ID));
	CU_ASSERT_TRUE(wl_job_is_open(s.scheduler.wl, other));
	/* Its end can be stored. */
	record = wl_job_progress(s.scheduler.wl, JOB_ID, &version);
	CU_ASSERT_TRUE(record.len > 0 && record.len <= RECORD_MAX);
	bytes_clear(&record);
	store_clear(&s);
}

/* Checkpoints are left out of a record that would be too large with them. */
static void test_progress_without_checkpoints(void)
{
	const struct wl_step step = {.count = WL_TASKS_MAX, .cores_m = 1, .checkpoints = true};
	const struct wl_spec spec = {.id = (char *)JOB_ID,
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = (struct wl_step *)&step,
		.steps_len = 1};
	g_autofree struct wl_mark *marks = g_new0(struct wl_mark, step.count);
	const struct wl_progress progress = {
		.state = WL_RUNNING, .marks = marks, .marks_len = step.count};
	struct wl_progress stored = {0};
	struct fake_store s;
	struct bytes record;
	uint64_t version;

	store_init(&s);
	for (uint32_t i = 0; i < step.count; i++)
		marks[i] = (struct wl_mark){.index = i,
			.failures = 1,
			.checkpoint =
				(char *)"0123456789abcdef0123456789abcdef0123456789abcdef"};
	wl_job_add(s.scheduler.wl, s.now, s.now, &spec, &progress);
	record = wl_job_progress(s.scheduler.wl, JOB_ID, &version);
	CU_ASSERT_TRUE(record.len <= RECORD_MAX);
	CU_ASSERT_TRUE(
		fields_decode(&wl_progress_fields, &stored, record.data, record.len, NULL));
	CU_ASSERT_EQUAL(stored.marks_len, step.count);
	fields_clear(&wl_progress_fields, &stored);
	bytes_clear(&record);
	store_clear(&s);
}

void unit_records(CU_pSuite s)
{
	CU_add_test(s, "job: its progress is too large for the store", test_oversized_progress);
	CU_add_test(s, "job: its progress is too large with checkpoints",
		test_progress_without_checkpoints);
	CU_add_test(s, "node key: late removal, the node is back", test_node_key_late_removal);
	CU_add_test(s, "node key: unanswered removal, the node is back",
		test_node_key_unanswered_removal);
	CU_add_test(s, "node key: removal in flight, the node is back",
		test_node_key_removal_in_flight);
	CU_add_test(
		s, "node keys: random order of lost and late writes", test_node_keys_random);
	CU_add_test(s, "job: a page read before its removal", test_job_read_before_removal);
	CU_add_test(s, "jobs that begin together share a call", test_told_changes_share_a_call);
	CU_add_test(s, "job: late removal, the id is used again", test_job_late_removal);
	CU_add_test(s, "job: unanswered removal, the id is used again",
		test_job_unanswered_removal);
}
