#include "unit.h"

#include "state.h"

#include <stdlib.h>
#include <string.h>

/* Fails the n-th call of one kind, before or after it takes effect. */
struct plan {
	const char *call;
	int nth;
	enum store_fault fault;
};

static enum store_fault run_plan(const char *call, void *arg)
{
	struct plan *p = arg;

	if (p->call == NULL || strcmp(p->call, call) != 0 || --p->nth != 0)
		return STORE_FAULT_NONE;
	return p->fault;
}

static const char cluster_text[] =
	"cells: {c: {workers: 2, workers_per_rack: 2, accelerators: 8}}\n"
	"classes: {now: {priority: 0}}\n";

/* Put one section and tell how it went. */
static enum error_kind put(struct store *s, const char *section, const char *text,
	uint64_t base, uint64_t *number, bool *ok)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	struct config_edit edit = {
		.section = section, .text = text, .base = base, .who = "test", .wall_ns = 1};
	g_autoptr(GError) err = NULL;
	struct doc_section now = {0};

	*ok = config_put(s, &edit, number, &problems, &now, &err);
	free(now.text);
	doc_problems_clear(&problems);
	return *ok ? ERR_COUNT : error_kind_of(err);
}

/* Number of entries in the trail. */
static size_t trail(struct store *s)
{
	json_t *o = config_history(s, NULL);
	size_t n = json_array_size(o);

	json_decref(o);
	return n;
}

/* An edit whose answer is lost is found by its token: accepted once, not twice. */
static void edit_answer_lost(void)
{
	struct plan plan = {"txn", 2, STORE_FAULT_RESPONSE_LOST};
	struct store *s = store_faulty_new(store_embedded_new(&clock_system), run_plan, &plan);
	uint64_t number = 0;
	bool ok;

	put(s, "cluster", cluster_text, 0, &number, &ok);
	CU_ASSERT(ok);
	put(s, "teams/a", "organisations: {o: {}}", 0, &number, &ok);
	CU_ASSERT(ok);
	CU_ASSERT_EQUAL(number, 2);
	CU_ASSERT_EQUAL(trail(s), 2);
	store_free(s);
}

/* A store that is down writes nothing, and the edit says so. */
static void edit_store_down(void)
{
	struct plan plan = {"txn", 1, STORE_FAULT_NOT_APPLIED};
	struct store *s = store_faulty_new(store_embedded_new(&clock_system), run_plan, &plan);
	uint64_t number = 0;
	bool ok;

	CU_ASSERT_EQUAL(put(s, "cluster", cluster_text, 0, &number, &ok), ERR_STORE_DOWN);
	CU_ASSERT_EQUAL(trail(s), 0);
	store_free(s);
}

/* Two edits from one version: the second is refused; edits of two sections both hold. */
static void edits_race(void)
{
	struct store *s = store_embedded_new(&clock_system);
	struct config_snapshot c = {0};
	uint64_t number = 0;
	bool ok;

	put(s, "cluster", cluster_text, 0, &number, &ok);
	put(s, "teams/a", "organisations: {o: {}}", 0, &number, &ok);
	put(s, "teams/b", "organisations: {p: {}}", 0, &number, &ok);
	CU_ASSERT(ok);
	CU_ASSERT_EQUAL(
		put(s, "teams/a", "organisations: {q: {}}", 0, &number, &ok), ERR_CONFLICT);
	put(s, "teams/a", "organisations: {q: {}}", 2, &number, &ok);
	CU_ASSERT(ok);
	CU_ASSERT_EQUAL(
		put(s, "teams/a", "organisations: {p: {}}", 4, &number, &ok), ERR_INVALID);
	CU_ASSERT(config_load(s, &c, NULL));
	CU_ASSERT_EQUAL(c.number, 4);
	CU_ASSERT_STRING_EQUAL(
		config_find_section(&c, "teams/a")->text, "organisations: {q: {}}");
	CU_ASSERT_STRING_EQUAL(
		config_find_section(&c, "teams/b")->text, "organisations: {p: {}}");
	config_snapshot_clear(&c);
	store_free(s);
}

/* A snapshot is never replaced by an older configuration. */
static void config_forwards_only(void)
{
	struct store *newer = store_embedded_new(&clock_system);
	struct store *older = store_embedded_new(&clock_system);
	struct config_snapshot c = {0};
	g_autoptr(GError) err = NULL;
	uint64_t number = 0;
	bool ok;

	put(newer, "cluster", cluster_text, 0, &number, &ok);
	put(newer, "teams/a", "organisations: {o: {}}", 0, &number, &ok);
	put(older, "cluster", cluster_text, 0, &number, &ok);
	CU_ASSERT(config_load(newer, &c, NULL));
	CU_ASSERT_FALSE(config_load(older, &c, &err));
	CU_ASSERT_EQUAL(error_kind_of(err), ERR_CONFLICT);
	CU_ASSERT_EQUAL(c.number, 2);
	config_snapshot_clear(&c);
	store_free(newer);
	store_free(older);
}

/* A term is taken once; a lost answer is recognised; a paused holder finds it gone. */
static void terms(void)
{
	struct plan plan = {"txn", 1, STORE_FAULT_RESPONSE_LOST};
	struct store *inner = store_embedded_new(&clock_system);
	struct store *s = store_faulty_new(inner, run_plan, &plan);
	struct cell_term a = {0}, b = {0};
	g_autoptr(GError) err = NULL;

	CU_ASSERT(cell_term_acquire(s, "c", "x:1", "x", 5, &a, NULL));
	CU_ASSERT_EQUAL(a.term, 1);
	CU_ASSERT_FALSE(cell_term_acquire(s, "c", "y:1", "y", 5, &b, &err));
	CU_ASSERT_EQUAL(error_kind_of(err), ERR_CONFLICT);
	g_clear_error(&err);
	store_embedded_expire_leases(inner);
	CU_ASSERT(cell_term_renew(s, "c", 5, &a, NULL));
	store_embedded_expire_leases(inner);
	CU_ASSERT(cell_term_acquire(s, "c", "y:1", "y", 5, &b, NULL));
	CU_ASSERT_EQUAL(b.term, 2);
	CU_ASSERT_FALSE(cell_term_renew(s, "c", 5, &a, &err));
	CU_ASSERT_EQUAL(error_kind_of(err), ERR_CONFLICT);
	cell_term_clear(&a);
	cell_term_clear(&b);
	store_free(s);
}

/* A coordinator of an old term cannot write job records any more. */
static void records_fenced(void)
{
	struct store *s = store_embedded_new(&clock_system);
	struct cell_term a = {0}, b = {0};
	struct job_write w = {.record = {.spec = {.id = "c~1", .org = "o"}}};
	g_autoptr(GPtrArray) records = g_ptr_array_new_with_free_func(job_record_free);
	bool ours = false;

	CU_ASSERT(cell_term_acquire(s, "c", "x:1", "x", 5, &a, NULL));
	CU_ASSERT(job_store_write(s, "c", &a, &w, 1, &ours, NULL));
	CU_ASSERT(ours);
	store_embedded_expire_leases(s);
	CU_ASSERT(cell_term_acquire(s, "c", "y:1", "y", 5, &b, NULL));
	w.record.attempt = 7;
	CU_ASSERT(job_store_write(s, "c", &a, &w, 1, &ours, NULL));
	CU_ASSERT_FALSE(ours);
	CU_ASSERT(job_store_load(s, "c", records, NULL));
	CU_ASSERT_EQUAL_FATAL(records->len, 1);
	CU_ASSERT_EQUAL(((struct job_record *)records->pdata[0])->attempt, 0);
	cell_term_clear(&a);
	cell_term_clear(&b);
	store_free(s);
}

void unit_state(CU_pSuite s)
{
	CU_add_test(s, "an edit whose answer is lost counts once", edit_answer_lost);
	CU_add_test(s, "a store that is down writes nothing", edit_store_down);
	CU_add_test(s, "edits race by section", edits_race);
	CU_add_test(s, "configuration goes forwards only", config_forwards_only);
	CU_add_test(s, "a term has one holder", terms);
	CU_add_test(s, "old terms cannot write records", records_fenced);
}
