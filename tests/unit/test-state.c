#include "unit.h"

#include "state.h"

#include <stdlib.h>
#include <string.h>

/* Makes one store call fail; fault tells whether it takes effect nevertheless. */
struct fault_plan {
	const char *call; /* name of the call that fails */
	int countdown;	  /* 1: the next call of that name fails, 2: the one after it */
	enum store_fault fault;
};

static enum store_fault inject_fault(const char *call, void *arg)
{
	struct fault_plan *p = arg;

	if (p->call == NULL || strcmp(p->call, call) != 0 || --p->countdown != 0)
		return STORE_FAULT_NONE;
	return p->fault;
}

static const char cluster_text[] =
	"cells: {c: {workers: 2, workers_per_rack: 2, accelerators: 8}}\n"
	"classes: {now: {priority: 0}}\n";

/* Writes one section; returns the kind of error, or ERR_COUNT on success. */
static enum error_kind put_section(struct store *s, const char *section, const char *text,
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

/* Number of entries in the configuration history. */
static size_t history_length(struct store *s)
{
	json_t *o = config_history(s, NULL);
	size_t n = json_array_size(o);

	json_decref(o);
	return n;
}

/*
 * An edit whose store reply is lost is applied only once: config_put finds the random token
 * that it wrote with the edit.
 */
static void edit_reply_lost(void)
{
	struct fault_plan plan = {"txn", 2, STORE_FAULT_RESPONSE_LOST};
	struct store *s =
		store_faulty_new(store_embedded_new(&clock_system), inject_fault, &plan);
	uint64_t number = 0;
	bool ok;

	put_section(s, "cluster", cluster_text, 0, &number, &ok);
	CU_ASSERT(ok);
	put_section(s, "teams/a", "organisations: {o: {}}", 0, &number, &ok);
	CU_ASSERT(ok);
	CU_ASSERT_EQUAL(number, 2);
	CU_ASSERT_EQUAL(history_length(s), 2);
	store_free(s);
}

/* An edit fails with ERR_STORE_DOWN and writes nothing if the store is down. */
static void edit_store_down(void)
{
	struct fault_plan plan = {"txn", 1, STORE_FAULT_NOT_APPLIED};
	struct store *s =
		store_faulty_new(store_embedded_new(&clock_system), inject_fault, &plan);
	uint64_t number = 0;
	bool ok;

	CU_ASSERT_EQUAL(
		put_section(s, "cluster", cluster_text, 0, &number, &ok), ERR_STORE_DOWN);
	CU_ASSERT_EQUAL(history_length(s), 0);
	store_free(s);
}

/*
 * The second of two edits of a section from the same version is rejected; edits of different
 * sections do not conflict. An organisation cannot be declared in two sections.
 */
static void edits_conflict_per_section(void)
{
	struct store *s = store_embedded_new(&clock_system);
	struct config_snapshot c = {0};
	uint64_t number = 0;
	bool ok;

	put_section(s, "cluster", cluster_text, 0, &number, &ok);
	put_section(s, "teams/a", "organisations: {o: {}}", 0, &number, &ok);
	put_section(s, "teams/b", "organisations: {p: {}}", 0, &number, &ok);
	CU_ASSERT(ok);
	CU_ASSERT_EQUAL(put_section(s, "teams/a", "organisations: {q: {}}", 0, &number, &ok),
		ERR_CONFLICT);
	put_section(s, "teams/a", "organisations: {q: {}}", 2, &number, &ok);
	CU_ASSERT(ok);
	CU_ASSERT_EQUAL(put_section(s, "teams/a", "organisations: {p: {}}", 4, &number, &ok),
		ERR_INVALID);
	CU_ASSERT(config_load(s, &c, NULL));
	CU_ASSERT_EQUAL(c.number, 4);
	CU_ASSERT_STRING_EQUAL(
		config_find_section(&c, "teams/a")->text, "organisations: {q: {}}");
	CU_ASSERT_STRING_EQUAL(
		config_find_section(&c, "teams/b")->text, "organisations: {p: {}}");
	config_snapshot_clear(&c);
	store_free(s);
}

/* Loading never replaces a snapshot with an older configuration. */
static void older_config_rejected(void)
{
	struct store *newer = store_embedded_new(&clock_system);
	struct store *older = store_embedded_new(&clock_system);
	struct config_snapshot c = {0};
	g_autoptr(GError) err = NULL;
	uint64_t number = 0;
	bool ok;

	put_section(newer, "cluster", cluster_text, 0, &number, &ok);
	put_section(newer, "teams/a", "organisations: {o: {}}", 0, &number, &ok);
	put_section(older, "cluster", cluster_text, 0, &number, &ok);
	CU_ASSERT(config_load(newer, &c, NULL));
	CU_ASSERT_FALSE(config_load(older, &c, &err));
	CU_ASSERT_EQUAL(error_kind_of(err), ERR_CONFLICT);
	CU_ASSERT_EQUAL(c.number, 2);
	config_snapshot_clear(&c);
	store_free(newer);
	store_free(older);
}

/*
 * Only one holder can take a term, even if the reply to its write is lost. A holder whose lease
 * expired can renew until another one has taken the next term.
 */
static void term_has_one_holder(void)
{
	struct fault_plan plan = {"txn", 1, STORE_FAULT_RESPONSE_LOST};
	struct store *inner = store_embedded_new(&clock_system);
	struct store *s = store_faulty_new(inner, inject_fault, &plan);
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

/* A coordinator with an old term cannot write job records. */
static void records_fenced(void)
{
	struct store *s = store_embedded_new(&clock_system);
	struct cell_term a = {0}, b = {0};
	struct job_write w = {.record = {.spec = {.id = "c~1", .org = "o"}}};
	g_autoptr(GPtrArray) records = g_ptr_array_new_with_free_func(job_record_free);
	bool term_current = false;

	CU_ASSERT(cell_term_acquire(s, "c", "x:1", "x", 5, &a, NULL));
	CU_ASSERT(job_store_write(s, "c", &a, &w, 1, &term_current, NULL));
	CU_ASSERT(term_current);
	store_embedded_expire_leases(s);
	CU_ASSERT(cell_term_acquire(s, "c", "y:1", "y", 5, &b, NULL));
	w.record.attempt = 7;
	CU_ASSERT(job_store_write(s, "c", &a, &w, 1, &term_current, NULL));
	CU_ASSERT_FALSE(term_current);
	CU_ASSERT(job_store_load(s, "c", records, NULL));
	CU_ASSERT_EQUAL_FATAL(records->len, 1);
	CU_ASSERT_EQUAL(((struct job_record *)records->pdata[0])->attempt, 0);
	cell_term_clear(&a);
	cell_term_clear(&b);
	store_free(s);
}

void unit_state(CU_pSuite s)
{
	CU_add_test(s, "an edit whose reply is lost is applied once", edit_reply_lost);
	CU_add_test(s, "an edit fails if the store is down", edit_store_down);
	CU_add_test(s, "edits conflict per section", edits_conflict_per_section);
	CU_add_test(s, "an older configuration is rejected", older_config_rejected);
	CU_add_test(s, "a term has one holder", term_has_one_holder);
	CU_add_test(s, "old terms cannot write job records", records_fenced);
}
