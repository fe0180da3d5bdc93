#include "state.h"

#include <stdlib.h>
#include <string.h>

#define JOBS_PREFIX   STORE_PREFIX "jobs/"
#define TXN_OPS_MAX   100
#define TXN_BYTES_MAX (768 * 1024)

static const struct field job_record_list[] = {
	{.kind = FIELD_STRUCT,
		.offset = offsetof(struct job_record, spec),
		.sub = &job_spec_fields},
	{.kind = FIELD_U32, .offset = offsetof(struct job_record, attempt)},
	{.kind = FIELD_TEXT, .offset = offsetof(struct job_record, placed)},
	{.kind = FIELD_STRUCT,
		.offset = offsetof(struct job_record, result),
		.sub = &job_result_fields},
	{.kind = FIELD_I64, .offset = offsetof(struct job_record, ended_wall_ms)},
};
const struct field_table job_record_fields = {.name = "job_record",
	.size = sizeof(struct job_record),
	.fields = job_record_list,
	.count = ARRAY_LEN(job_record_list)};

/* Free a record; for GPtrArray. */
void job_record_free(void *record)
{
	fields_clear(&job_record_fields, record);
	free(record);
}

/* Read all records of a cell; a malformed one is passed over with a log line. */
bool job_store_load(struct store *s, const char *cell, GPtrArray *records, GError **err)
{
	AUTOFREE char *prefix = NULL;
	struct store_range r;

	xasprintf(&prefix, "%s%s/", JOBS_PREFIX, cell);
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
		log_error("store", "The job record %s is malformed and is left alone.",
			r.kvs[i].key);
		job_record_free(rec);
	}
	store_range_clear(&r);
	return true;
}

/* Write one transaction of records, fenced by the term. */
static bool write_some(struct store *s, const struct cell_term *term, const char *term_key,
	const struct store_op *ops, size_t len, bool *still_ours, GError **err)
{
	struct store_compare compare = {term_key, STORE_MOD_REVISION, term->term_revision};
	struct store_txn txn = {&compare, 1, ops, len};
	int64_t revision;

	return store_run_txn(s, &txn, still_ours, &revision, err);
}

/*
 * Write records in as few transactions as the store's limits allow. Each is fenced by the
 * cell's term; *still_ours is false where a later coordinator has taken over. A repeated
 * write puts the same value, so a lost answer is simply asked again.
 */
bool job_store_write(struct store *s, const char *cell, const struct cell_term *term,
	const struct job_write *writes, size_t len, bool *still_ours, GError **err)
{
	AUTOFREE char *term_key = NULL;
	struct store_op ops[TXN_OPS_MAX];
	struct bytes values[TXN_OPS_MAX];
	char *keys[TXN_OPS_MAX];
	size_t at = 0;
	bool ok = true;

	xasprintf(&term_key, STORE_PREFIX "live/cells/%s/term", cell);
	*still_ours = true;
	while (ok && *still_ours && at < len) {
		size_t n = 0;
		size_t bytes = 0;

		while (n < TXN_OPS_MAX && at < len && (n == 0 || bytes < TXN_BYTES_MAX)) {
			const struct job_write *w = &writes[at++];

			xasprintf(&keys[n], "%s%s/%s", JOBS_PREFIX, cell, w->record.spec.id);
			values[n] = fields_encode(&job_record_fields, &w->record);
			bytes += values[n].len;
			ops[n] = (struct store_op){w->remove ? STORE_DELETE : STORE_PUT,
				keys[n], values[n].data, values[n].len, 0};
			n++;
		}
		ok = write_some(s, term, term_key, ops, n, still_ours, err);
		for (size_t i = 0; i < n; i++) {
			free(keys[i]);
			bytes_clear(&values[i]);
		}
	}
	return ok;
}
