#include "state.h"

#include <stdlib.h>
#include <string.h>

#define JOBS_KEY_PREFIX STORE_PREFIX "jobs/"
#define TXN_OPS_MAX	100
/*
 * A transaction takes no more records once the values of its records have this size. It can
 * exceed the size by a whole record; keys are not counted.
 */
#define TXN_BYTES_THRESHOLD (768 * 1024)

static const struct field job_record_list[] = {
	{.kind = FIELD_STRUCT,
		.offset = offsetof(struct job_record, spec),
		.nested_table = &job_spec_fields},
	{.kind = FIELD_U32, .offset = offsetof(struct job_record, attempt)},
	{.kind = FIELD_TEXT, .offset = offsetof(struct job_record, placed)},
	{.kind = FIELD_STRUCT,
		.offset = offsetof(struct job_record, result),
		.nested_table = &job_result_fields},
	{.kind = FIELD_I64, .offset = offsetof(struct job_record, ended_wall_ms)},
};
const struct field_table job_record_fields = {.name = "job_record",
	.size = sizeof(struct job_record),
	.fields = job_record_list,
	.count = ARRAY_LEN(job_record_list)};

/* Free a record; usable as the free function of a GPtrArray. */
void job_record_free(void *record)
{
	fields_clear(&job_record_fields, record);
	free(record);
}

/* Read all records of a cell. Malformed records are logged and skipped. */
bool job_store_load(struct store *s, const char *cell, GPtrArray *records, GError **err)
{
	AUTOFREE char *prefix = NULL;
	struct store_range r;

	xasprintf(&prefix, "%s%s/", JOBS_KEY_PREFIX, cell);
	if (!store_get_range(s, prefix, false, &r, err))
		return false;
	for (size_t i = 0; i < r.len; i++) {
		struct job_record *rec = xcalloc(1, sizeof(*rec));

		if (fields_decode(&job_record_fields, rec, r.kvs[i].value.data,
			    r.kvs[i].value.len, NULL) &&
			rec->spec.id != NULL && rec->spec.org != NULL) {
			g_ptr_array_add(records, rec);
			continue;
		}
		log_error("store", "Skipping malformed job record %s.", r.kvs[i].key);
		job_record_free(rec);
	}
	store_range_clear(&r);
	return true;
}

/* Run one transaction on the condition that the term is unchanged. */
static bool write_batch(struct store *s, const struct cell_term *term, const char *term_key,
	const struct store_op *ops, size_t len, bool *term_current, GError **err)
{
	struct store_compare compare = {term_key, STORE_MOD_REVISION, term->term_revision};
	struct store_txn txn = {&compare, 1, ops, len};
	int64_t revision;

	return store_run_txn(s, &txn, term_current, &revision, err);
}

/*
 * Write or remove records, in transactions of up to TXN_OPS_MAX records, or fewer once they
 * reach TXN_BYTES_THRESHOLD. Each transaction is fenced by the cell's term; *term_current is
 * false if a later coordinator has taken over. Writes are idempotent, so the caller can retry
 * after a lost response.
 */
bool job_store_write(struct store *s, const char *cell, const struct cell_term *term,
	const struct job_write *writes, size_t len, bool *term_current, GError **err)
{
	AUTOFREE char *term_key = NULL;
	struct store_op ops[TXN_OPS_MAX];
	struct bytes values[TXN_OPS_MAX];
	char *keys[TXN_OPS_MAX];
	size_t next = 0;
	bool ok = true;

	xasprintf(&term_key, STORE_PREFIX "live/cells/%s/term", cell);
	*term_current = true;
	while (ok && *term_current && next < len) {
		size_t n = 0;
		size_t bytes = 0;

		while (n < TXN_OPS_MAX && next < len &&
			(n == 0 || bytes < TXN_BYTES_THRESHOLD)) {
			const struct job_write *w = &writes[next++];

			xasprintf(
				&keys[n], "%s%s/%s", JOBS_KEY_PREFIX, cell, w->record.spec.id);
			values[n] = fields_encode(&job_record_fields, &w->record);
			bytes += values[n].len;
			ops[n] = (struct store_op){w->remove ? STORE_DELETE : STORE_PUT,
				keys[n], values[n].data, values[n].len, 0};
			n++;
		}
		ok = write_batch(s, term, term_key, ops, n, term_current, err);
		for (size_t i = 0; i < n; i++) {
			free(keys[i]);
			bytes_clear(&values[i]);
		}
	}
	return ok;
}
