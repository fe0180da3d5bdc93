#include "wl-coord-nodes.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Writes job progress to the store in batches, one transaction at a time. Each is conditional
 * on the coordinator's term and on the known revision of each record that it writes: a write
 * whose reply was lost may still be executed later, and must not overwrite a newer one.
 */

#define RETRY_DELAY (150 * NSEC_PER_MSEC)
/*
 * Changes for which nothing waits are stored together after this time, or with the next change
 * that is urgent. Agents request the lists of a worker with ends that are not stored each 150
 * ms.
 */
#define BATCH_DELAY (50 * NSEC_PER_MSEC)
/* The same for what only callers are told: jobs that begin within this time share calls. */
#define TOLD_DELAY (300 * NSEC_PER_MSEC)

/* Answers of the store that were sent before a removal arrive within this. */
#define REMOVED_KEEP (60 * NSEC_PER_SEC)

HISTOGRAM(record_seconds, "damaskpath_record_seconds",
	"Time from a change of a job's progress until it is stored.");

/* Write state of a job's progress record. */
struct record {
	char *id;
	int64_t revision;
	/*
	 * Loop time in ns at which the record was last queued. A change during a transaction
	 * and a failed transaction queue it again, so the time to store the first change may be
	 * longer than the histogram tells.
	 */
	int64_t enqueued_at;
	bool dirty;
	bool remove;
	bool in_flight;	  /* the transaction in flight writes or removes the record */
	int64_t expected; /* the revision that this transaction requires */
	uint64_t version; /* of the progress that this transaction writes */
};

/* A job that was removed from the store lately. */
struct removed_job {
	char *id;
	int64_t revision; /* its records had at most this one */
	int64_t at;
};

struct record_writer {
	struct wl_process *p;
	struct wl *scheduler;
	int64_t term_revision;
	struct record_events ev;
	GHashTable *records;
	GQueue removed; /* removed_jobs, oldest first */
	GHashTable *removed_by_id;
	struct node_keys *nodes;
	GQueue queue;	      /* dirty records, oldest first */
	GPtrArray *oversized; /* ids of jobs whose progress the store doesn't take */
	bool commit_in_flight;
	bool due; /* what is queued is written as soon as no transaction is in flight */
	bool term_lost;
	bool freed;
	struct loop_timer *retry;
	struct loop_timer *batch;
	struct loop_timer *told; /* as batch, with TOLD_DELAY */
};

static void flush(struct record_writer *r);

static void record_free(void *arg)
{
	struct record *rec = arg;

	free(rec->id);
	free(rec);
}

/* Returns the record of a job, creating it if needed. */
static struct record *record_get(struct record_writer *r, const char *id)
{
	struct record *rec = g_hash_table_lookup(r->records, id);

	if (rec != NULL)
		return rec;
	rec = xcalloc(1, sizeof(*rec));
	rec->id = xstrdup(id);
	g_hash_table_insert(r->records, rec->id, rec);
	return rec;
}

/* Queues a record for writing, unless it is queued already. */
static void enqueue(struct record_writer *r, struct record *rec)
{
	if (rec->dirty)
		return;
	rec->dirty = true;
	rec->enqueued_at = loop_now(r->p->loop);
	g_queue_push_tail(&r->queue, rec);
}

/* Writes what is queued now, or after the transaction in flight. */
static void flush_now(struct record_writer *r)
{
	r->due = true;
	flush(r);
}

static void on_batch(void *arg)
{
	struct record_writer *r = arg;

	r->batch = NULL;
	flush_now(r);
}

static void on_told(void *arg)
{
	struct record_writer *r = arg;

	r->told = NULL;
	flush_now(r);
}

/* Queues a job's changed progress for writing. */
void record_writer_mark_dirty(
	struct record_writer *r, const char *id, enum wl_store_urgency urgency)
{
	enqueue(r, record_get(r, id));
	switch (urgency) {
	case WL_STORE_NOW:
		flush_now(r);
		break;
	case WL_STORE_SOON:
		if (r->batch == NULL)
			r->batch = loop_timer_add(r->p->loop, BATCH_DELAY, 0, on_batch, r);
		break;
	case WL_STORE_LATER:
		if (r->told == NULL)
			r->told = loop_timer_add(r->p->loop, TOLD_DELAY, 0, on_told, r);
		break;
	}
}

void record_writer_note_revision(struct record_writer *r, const char *id, int64_t revision)
{
	struct record *rec = record_get(r, id);

	rec->revision = MAX(rec->revision, revision);
}

/* Removes the job, its progress and its cancellation from the store. */
void record_writer_remove_job(struct record_writer *r, const char *id)
{
	struct record *rec = record_get(r, id);

	rec->remove = true;
	enqueue(r, rec);
	flush_now(r);
}

/*
 * Adds or removes a node's key in the store. It must exist before the node runs tasks, so that
 * the next coordinator expects a report from it.
 */
void record_writer_set_node(struct record_writer *r, const char *name, bool present)
{
	node_keys_set(r->nodes, name, present);
	flush_now(r);
}

bool record_writer_has_node(const struct record_writer *r, const char *name)
{
	return node_keys_has(r->nodes, name);
}

void record_writer_add_stored_node(struct record_writer *r, const char *name, int64_t revision)
{
	node_keys_note_stored(r->nodes, name, revision);
}

void record_writer_flush(struct record_writer *r)
{
	flush_now(r);
}

bool record_writer_idle(const struct record_writer *r)
{
	return !r->commit_in_flight;
}

static void on_retry(void *arg)
{
	struct record_writer *r = arg;

	r->retry = NULL;
	flush_now(r);
}

static void removed_job_free(void *arg)
{
	struct removed_job *j = arg;

	free(j->id);
	free(j);
}

/* Remembers that a job was removed whose records had at most a revision. */
static void note_removed(struct record_writer *r, const char *id, int64_t revision)
{
	struct removed_job *j = xcalloc(1, sizeof(*j));
	struct removed_job *oldest;

	j->id = xstrdup(id);
	j->revision = revision;
	j->at = loop_now(r->p->loop);
	while ((oldest = g_queue_peek_head(&r->removed)) != NULL &&
		j->at - oldest->at > REMOVED_KEEP) {
		if (g_hash_table_lookup(r->removed_by_id, oldest->id) == oldest)
			g_hash_table_remove(r->removed_by_id, oldest->id);
		removed_job_free(g_queue_pop_head(&r->removed));
	}
	g_queue_push_tail(&r->removed, j);
	g_hash_table_replace(r->removed_by_id, j->id, j);
}

bool record_writer_was_removed(const struct record_writer *r, const char *id, int64_t revision)
{
	const struct removed_job *j = g_hash_table_lookup(r->removed_by_id, id);

	return j != NULL && revision <= j->revision;
}

/* Drops a record whose job is not in the store any more. */
static void record_removed(struct record_writer *r, struct record *rec)
{
	note_removed(r, rec->id, rec->expected);
	wl_job_forget(r->scheduler, rec->id);
	if (!rec->dirty)
		g_hash_table_remove(r->records, rec->id);
}

/*
 * Handles the conflict of a removal, after update_revisions. Nothing writes the record of an
 * ended job, so an earlier removal without an answer was carried out; if the record exists,
 * another job was accepted under the id since.
 */
static void settle_removal(struct record_writer *r, struct record *rec)
{
	g_autofree char *id = g_strdup(rec->id);
	bool replaced = rec->revision > 0;

	record_removed(r, rec);
	if (replaced)
		r->ev.replaced(id, r->ev.arg);
}

/* Handles the result of a transaction for one record; after a failure it is queued again. */
static void complete_record(
	struct record_writer *r, struct record *rec, const struct kv_result *res)
{
	bool changed = rec->revision != rec->expected;

	rec->in_flight = false;
	if (res->status == KV_CONFLICT && rec->remove && changed) {
		settle_removal(r, rec);
		return;
	}
	if (res->status != KV_OK) {
		enqueue(r, rec);
		return;
	}
	histogram_add(&record_seconds, loop_now(r->p->loop) - rec->enqueued_at);
	if (rec->remove) {
		record_removed(r, rec);
		return;
	}
	rec->revision = MAX(rec->revision, res->store_revision);
	wl_job_stored(r->scheduler, loop_now(r->p->loop), rec->id, rec->version);
}

/* Returns a key's revision as a conflict tells it, which leaves out keys that don't exist. */
static int64_t conflict_revision(const struct kv_result *res, const char *key)
{
	for (size_t i = 0; i < res->items_len; i++) {
		if (strcmp(res->items[i].key, key) == 0)
			return res->items[i].revision;
	}
	return 0;
}

/*
 * Takes the current revisions of the records in flight from a conflict; returns false if the
 * store has another term.
 */
static bool update_revisions(
	const struct record_writer *r, const GPtrArray *in_flight, const struct kv_result *res)
{
	for (guint i = 0; i < in_flight->len; i++) {
		struct record *rec = in_flight->pdata[i];
		g_autofree char *key = g_strconcat(KEY_PROGRESS, rec->id, NULL);

		rec->revision = conflict_revision(res, key);
	}
	return conflict_revision(res, KEY_TERM) == r->term_revision;
}

/*
 * Handles the end of a transaction. A conflict is retried at once with the new revisions, any
 * other failure after a delay.
 */
static void on_commit_reply(const struct kv_result *res, void *arg)
{
	struct record_writer *r = arg;
	GHashTableIter it;
	gpointer value;
	g_autoptr(GPtrArray) completed = g_ptr_array_new();

	r->commit_in_flight = false;
	if (r->freed) {
		record_writer_free(r);
		return;
	}
	/* Before the starts that waited for this are sent. */
	if (res->status == KV_OK)
		r->ev.confirmed(res->sent, r->ev.arg);
	g_hash_table_iter_init(&it, r->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct record *)value)->in_flight)
			g_ptr_array_add(completed, value);
	}
	if (res->status == KV_CONFLICT && !update_revisions(r, completed, res)) {
		r->term_lost = true;
		r->ev.term_lost(r->ev.arg);
		return;
	}
	for (guint i = 0; i < completed->len; i++)
		complete_record(r, completed->pdata[i], res);
	node_keys_settle(r->nodes, res);
	if (res->status == KV_OK)
		r->ev.stored(r->ev.arg);
	if (res->status == KV_CONFLICT)
		r->due = true;
	if (res->status == KV_OK || res->status == KV_CONFLICT)
		flush(r);
	else if (r->retry == NULL)
		r->retry = loop_timer_add(r->p->loop, RETRY_DELAY, 0, on_retry, r);
}

/* A transaction and the keys and values it refers to, which must live until it is sent. */
struct batch {
	struct kv_txn txn;
	size_t bytes; /* of the values */
	GPtrArray *keys;
	GPtrArray *values;
};

static void batch_value_free(void *arg)
{
	struct bytes *b = arg;

	bytes_clear(b);
	free(b);
}

/* Returns a key that is freed with the batch. */
static const char *batch_key(struct batch *b, const char *prefix, const char *name)
{
	char *key;

	xasprintf(&key, "%s%s", prefix, name);
	g_ptr_array_add(b->keys, key);
	return key;
}

/* Number of conditions and operations in a batch. */
static size_t batch_len(const struct batch *b)
{
	return b->txn.expect_len + b->txn.write_len + b->txn.remove_len;
}

/*
 * Adds one record; a job without progress to store is skipped. Returns false if there is no
 * room for it beside the others: the store takes a transaction with as many bytes as the
 * largest value has, which is not known of a larger one.
 */
static bool add_record(struct record_writer *r, struct batch *b, struct record *rec)
{
	const char *key = batch_key(b, KEY_PROGRESS, rec->id);
	struct bytes *value;

	rec->expected = rec->revision;
	if (rec->remove) {
		rec->dirty = false;
		b->txn.expect[b->txn.expect_len++] = (struct kv_condition){key, rec->revision};
		b->txn.remove[b->txn.remove_len++] = key;
		b->txn.remove[b->txn.remove_len++] = batch_key(b, KEY_JOB, rec->id);
		b->txn.remove[b->txn.remove_len++] = batch_key(b, KEY_CANCEL, rec->id);
		rec->in_flight = true;
		return true;
	}
	value = xcalloc(1, sizeof(*value));
	*value = wl_job_progress(r->scheduler, rec->id, &rec->version);
	g_ptr_array_add(b->values, value);
	if (b->bytes > 0 && b->bytes + value->len > r->p->settings.value_max)
		return false;
	rec->dirty = false;
	if (value->data == NULL)
		return true;
	/* A transaction with it would be refused, with all other changes in it. */
	if (value->len > r->p->settings.value_max) {
		g_ptr_array_add(r->oversized, g_strdup(rec->id));
		return true;
	}
	b->bytes += value->len;
	b->txn.expect[b->txn.expect_len++] = (struct kv_condition){key, rec->revision};
	b->txn.write[b->txn.write_len++] = (struct kv_write){key, value->data, value->len, 0};
	rec->in_flight = true;
	return true;
}

/* Gives up the jobs whose progress is too large; what is stored of an ended job is small. */
static void fail_oversized_jobs(struct record_writer *r)
{
	g_autoptr(GPtrArray) ids = g_steal_pointer(&r->oversized);

	r->oversized = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < ids->len; i++)
		wl_job_fail_oversized(r->scheduler, loop_now(r->p->loop),
			clock_wall(loop_clock(r->p->loop)), ids->pdata[i]);
}

/*
 * Commits the pending changes, up to the size limit of a transaction, unless one is in flight
 * or a retry is scheduled. A record takes up to four entries: removing a job requires the
 * revision of one key and deletes three.
 */
static void flush(struct record_writer *r)
{
	struct batch b = {.keys = g_ptr_array_new_with_free_func(free),
		.values = g_ptr_array_new_with_free_func(batch_value_free)};

	b.txn.expect[0] = (struct kv_condition){KEY_TERM, r->term_revision};
	b.txn.expect_len = 1;
	if (r->due && !r->commit_in_flight && !r->term_lost && r->retry == NULL) {
		node_keys_fill(r->nodes, &b.txn);
		while (!g_queue_is_empty(&r->queue) && batch_len(&b) + 4 <= KV_TXN_MAX &&
			add_record(r, &b, g_queue_peek_head(&r->queue)))
			g_queue_pop_head(&r->queue);
		r->due = !g_queue_is_empty(&r->queue) || node_keys_pending(r->nodes);
		if (b.txn.write_len + b.txn.remove_len > 0) {
			r->commit_in_flight = true;
			kv_commit(r->p->kv, &b.txn, on_commit_reply, r);
		}
	}
	g_ptr_array_unref(b.keys);
	g_ptr_array_unref(b.values);
	if (r->oversized->len > 0)
		fail_oversized_jobs(r);
}

/* Creates a writer whose transactions are conditional on the revision of the term. */
struct record_writer *record_writer_new(struct wl_process *p, struct wl *scheduler,
	int64_t term_revision, const struct record_events *ev)
{
	struct record_writer *r = xcalloc(1, sizeof(*r));

	r->p = p;
	r->scheduler = scheduler;
	r->term_revision = term_revision;
	r->ev = *ev;
	r->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, record_free);
	r->nodes = node_keys_new();
	g_queue_init(&r->removed);
	r->removed_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	r->oversized = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&r->queue);
	return r;
}

/* Frees a writer; if a transaction is in flight, its reply frees the memory. */
void record_writer_free(struct record_writer *r)
{
	if (r == NULL)
		return;
	r->freed = true;
	if (r->retry != NULL)
		loop_timer_del(r->p->loop, r->retry);
	r->retry = NULL;
	loop_timer_del(r->p->loop, r->batch);
	loop_timer_del(r->p->loop, r->told);
	r->batch = NULL;
	r->told = NULL;
	if (r->commit_in_flight)
		return;
	g_queue_clear(&r->queue);
	g_hash_table_destroy(r->records);
	g_hash_table_destroy(r->removed_by_id);
	g_queue_clear_full(&r->removed, removed_job_free);
	g_ptr_array_unref(r->oversized);
	node_keys_free(r->nodes);
	free(r);
}
