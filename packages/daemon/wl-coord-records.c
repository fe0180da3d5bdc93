#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Progress goes into the store in batches, one transaction at a time, each on the condition
 * that our term still stands and that each record is as we know it: a write whose answer was
 * lost may be carried out late, and must not undo a newer one.
 */

#define RETRY_PAUSE (150 * NSEC_PER_MSEC)

HISTOGRAM(record_seconds, "damaskpath_record_seconds",
	"Time from a change of a job's progress until it is stored.");

/* What is to be done with a job's record. */
struct record {
	char *id;
	int64_t revision;
	int64_t dirty_since;
	bool dirty;
	bool remove;
	/* In the transaction that is under way. */
	bool in_flight;
	uint64_t version;
};

struct node_record {
	char *name;
	bool want;
	bool stored;
	bool in_flight;
};

struct record_writer {
	struct wl_process *p;
	struct wl *wl;
	int64_t term_revision;
	record_stored_fn *stored;
	loop_fn *lost;
	void *arg;
	GHashTable *records;
	GPtrArray *nodes;
	GQueue queue; /* ids of dirty records, oldest first */
	bool busy;
	bool dead;
	bool freed;
	struct loop_timer *retry;
};

static void flush(struct record_writer *r);

static void record_free(void *arg)
{
	struct record *rec = arg;

	free(rec->id);
	free(rec);
}

static void node_record_free(void *arg)
{
	struct node_record *n = arg;

	free(n->name);
	free(n);
}

/* Find a record or make it. */
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

/* Queue a record that is to be written. */
static void enqueue(struct record_writer *r, struct record *rec)
{
	if (rec->dirty)
		return;
	rec->dirty = true;
	rec->dirty_since = loop_now(r->p->loop);
	g_queue_push_tail(&r->queue, rec);
}

/* A job's progress has changed. */
void record_writer_mark_dirty(struct record_writer *r, const char *id)
{
	enqueue(r, record_get(r, id));
	flush(r);
}

/* The record stands in the store with this revision. */
void record_writer_set_revision(struct record_writer *r, const char *id, int64_t revision)
{
	struct record *rec = record_get(r, id);

	rec->revision = MAX(rec->revision, revision);
}

/* Remove all that is stored of a job. */
void record_writer_remove_job(struct record_writer *r, const char *id)
{
	struct record *rec = record_get(r, id);

	rec->remove = true;
	enqueue(r, rec);
	flush(r);
}

/* Find a node's record. */
static struct node_record *node_record_find(const struct record_writer *r, const char *name)
{
	for (guint i = 0; i < r->nodes->len; i++) {
		struct node_record *n = r->nodes->pdata[i];

		if (strcmp(n->name, name) == 0)
			return n;
	}
	return NULL;
}

/* Find a node's record or make it. */
static struct node_record *node_record_get(struct record_writer *r, const char *name)
{
	struct node_record *n = node_record_find(r, name);

	if (n != NULL)
		return n;
	n = xcalloc(1, sizeof(*n));
	n->name = xstrdup(name);
	g_ptr_array_add(r->nodes, n);
	return n;
}

/* A node may, or may no longer, run tasks: the next coordinator has to know before it does. */
void record_writer_set_node(struct record_writer *r, const char *name, bool present)
{
	node_record_get(r, name)->want = present;
	flush(r);
}

/* Whether the store says that a node may run tasks. */
bool record_writer_has_node(const struct record_writer *r, const char *name)
{
	const struct node_record *n = node_record_find(r, name);

	return n != NULL && n->stored && n->want;
}

/* A node's record was found in the store. */
void record_writer_add_stored_node(struct record_writer *r, const char *name)
{
	struct node_record *n = node_record_get(r, name);

	n->stored = true;
	n->want = true;
}

bool record_writer_idle(const struct record_writer *r)
{
	return !r->busy;
}

/* Try again after a pause. */
static void on_retry(void *arg)
{
	struct record_writer *r = arg;

	r->retry = NULL;
	flush(r);
}

/* What a transaction in flight did for one record. */
static void settle_record(
	struct record_writer *r, struct record *rec, const struct kv_result *res)
{
	rec->in_flight = false;
	if (res->status != KV_OK) {
		enqueue(r, rec);
		return;
	}
	histogram_add(&record_seconds, loop_now(r->p->loop) - rec->dirty_since);
	if (rec->remove) {
		wl_job_forget(r->wl, rec->id);
		if (!rec->dirty)
			g_hash_table_remove(r->records, rec->id);
		return;
	}
	rec->revision = MAX(rec->revision, res->at);
	wl_job_stored(r->wl, loop_now(r->p->loop), rec->id, rec->version);
}

/* Learn the revisions that a refused transaction shows; false where the term is not ours. */
static bool learn(struct record_writer *r, const struct kv_result *res)
{
	bool ours = true;

	for (size_t i = 0; i < res->items_len; i++) {
		const struct kv_item *it = &res->items[i];

		if (strcmp(it->key, KEY_TERM) == 0)
			ours = it->revision == r->term_revision;
		else if (g_str_has_prefix(it->key, KEY_PROGRESS))
			record_get(r, it->key + strlen(KEY_PROGRESS))->revision = it->revision;
	}
	return ours;
}

/* The transaction under way has ended. */
static void written(const struct kv_result *res, void *arg)
{
	struct record_writer *r = arg;
	GHashTableIter it;
	gpointer value;
	g_autoptr(GPtrArray) settled = g_ptr_array_new();

	r->busy = false;
	if (r->freed) {
		record_writer_free(r);
		return;
	}
	if (res->status == KV_CONFLICT && !learn(r, res)) {
		r->dead = true;
		r->lost(r->arg);
		return;
	}
	g_hash_table_iter_init(&it, r->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct record *)value)->in_flight)
			g_ptr_array_add(settled, value);
	}
	for (guint i = 0; i < settled->len; i++)
		settle_record(r, settled->pdata[i], res);
	for (guint i = 0; i < r->nodes->len; i++) {
		struct node_record *n = r->nodes->pdata[i];

		if (n->in_flight && res->status == KV_OK)
			n->stored = !n->stored;
		n->in_flight = false;
	}
	if (res->status == KV_OK)
		r->stored(r->arg);
	if (res->status == KV_OK || res->status == KV_CONFLICT)
		flush(r);
	else if (r->retry == NULL)
		r->retry = loop_timer_add(r->p->loop, RETRY_PAUSE, 0, on_retry, r);
}

/* Strings and values of a transaction until it is sent. */
struct batch {
	struct kv_txn txn;
	GPtrArray *texts;
	GPtrArray *values;
};

static void value_free(void *arg)
{
	struct bytes *b = arg;

	bytes_clear(b);
	free(b);
}

/* A key that lives as long as the batch. */
static const char *batch_key(struct batch *b, const char *prefix, const char *name)
{
	char *key;

	xasprintf(&key, "%s%s", prefix, name);
	g_ptr_array_add(b->texts, key);
	return key;
}

/* Entries that a batch has used. */
static size_t used(const struct batch *b)
{
	return b->txn.expect_len + b->txn.write_len + b->txn.remove_len;
}

/* Put the nodes that changed into a batch. */
static void add_nodes(struct record_writer *r, struct batch *b)
{
	for (guint i = 0; i < r->nodes->len && used(b) < KV_TXN_MAX; i++) {
		struct node_record *n = r->nodes->pdata[i];
		const char *key;

		if (n->want == n->stored)
			continue;
		key = batch_key(b, KEY_NODE, n->name);
		if (n->want)
			b->txn.write[b->txn.write_len++] = (struct kv_write){key, "", 0, 0};
		else
			b->txn.remove[b->txn.remove_len++] = key;
		n->in_flight = true;
	}
}

/* Put one record into a batch. */
static void add_record(struct record_writer *r, struct batch *b, struct record *rec)
{
	const char *key = batch_key(b, KEY_PROGRESS, rec->id);
	struct bytes *value;

	rec->dirty = false;
	if (rec->remove) {
		b->txn.remove[b->txn.remove_len++] = key;
		b->txn.remove[b->txn.remove_len++] = batch_key(b, KEY_JOB, rec->id);
		b->txn.remove[b->txn.remove_len++] = batch_key(b, KEY_CANCEL, rec->id);
		rec->in_flight = true;
		return;
	}
	value = xcalloc(1, sizeof(*value));
	*value = wl_job_progress(r->wl, rec->id, &rec->version);
	g_ptr_array_add(b->values, value);
	if (value->data == NULL)
		return;
	b->txn.expect[b->txn.expect_len++] = (struct kv_expect){key, rec->revision};
	b->txn.write[b->txn.write_len++] = (struct kv_write){key, value->data, value->len, 0};
	rec->in_flight = true;
}

/* Write what has changed, unless a write is under way. */
static void flush(struct record_writer *r)
{
	struct batch b = {.texts = g_ptr_array_new_with_free_func(free),
		.values = g_ptr_array_new_with_free_func(value_free)};

	b.txn.expect[0] = (struct kv_expect){KEY_TERM, r->term_revision};
	b.txn.expect_len = 1;
	if (!r->busy && !r->dead && r->retry == NULL) {
		add_nodes(r, &b);
		while (!g_queue_is_empty(&r->queue) && used(&b) + 3 <= KV_TXN_MAX)
			add_record(r, &b, g_queue_pop_head(&r->queue));
		if (b.txn.write_len + b.txn.remove_len > 0) {
			r->busy = true;
			kv_commit(r->p->kv, &b.txn, written, r);
		}
	}
	g_ptr_array_unref(b.texts);
	g_ptr_array_unref(b.values);
}

/* A writer for one term. */
struct record_writer *record_writer_new(struct wl_process *p, struct wl *wl,
	int64_t term_revision, record_stored_fn *stored, loop_fn *lost, void *arg)
{
	struct record_writer *r = xcalloc(1, sizeof(*r));

	r->p = p;
	r->wl = wl;
	r->term_revision = term_revision;
	r->stored = stored;
	r->lost = lost;
	r->arg = arg;
	r->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, record_free);
	r->nodes = g_ptr_array_new_with_free_func(node_record_free);
	g_queue_init(&r->queue);
	return r;
}

/* Free a writer, once the transaction under way has ended. */
void record_writer_free(struct record_writer *r)
{
	if (r == NULL)
		return;
	r->freed = true;
	if (r->retry != NULL)
		loop_timer_del(r->p->loop, r->retry);
	r->retry = NULL;
	if (r->busy)
		return;
	g_queue_clear(&r->queue);
	g_hash_table_destroy(r->records);
	g_ptr_array_unref(r->nodes);
	free(r);
}
