#include "wl-coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * What the coordinator reads from the store: first all nodes, progress records and inbox items,
 * page by page, then a watch on the inbox prefix. It holds the jobs and cancellations that
 * entries write, and the term's key: a newer revision of that ends this coordinator's term.
 */

/*
 * A watch without events is ended after this time and replaced, as the watch's connection may
 * be dead; a new watch is cheap.
 */
#define WATCH_TIMEOUT_MS  500
#define STORE_RETRY_DELAY (200 * NSEC_PER_MSEC)
/* Time for the watch to tell of a key before it is read because of an entry's note. */
#define NOTE_DELAY     (40 * NSEC_PER_MSEC)
#define NOTED_KEYS_MAX 1000

COUNTER(noted_reads_total, "damaskpath_inbox_noted_reads_total",
	"Keys read because an entry told of them and the watch did not.");

static void watch_inbox(struct wl_coord *c);
static void list_inbox(struct wl_coord *c, const char *after);

/* A cancellation whose job is not known yet. */
struct pending_cancel {
	char *key;
	struct bytes value;
};

static void pending_cancel_free(void *arg)
{
	struct pending_cancel *p = arg;

	free(p->key);
	bytes_clear(&p->value);
	free(p);
}

/* The id of the job that the key of a cancellation names; freed by the caller. */
static char *cancelled_id(const char *key)
{
	return g_strndup(key + strlen(KEY_CANCEL), WL_ID_LEN);
}

/* Whether a cancellation is of the job with this owner; for its value see CANCEL_BY. */
static bool cancels_job_of(
	const char *key, const struct bytes *value, const struct wl_owner *owner)
{
	g_autofree char *text = g_strndup(value->data != NULL ? value->data : "", value->len);
	struct wl_owner by = {0};
	g_autoptr(GError) err = NULL;
	bool same;

	if (*text == '\0')
		return true;
	if (g_str_has_prefix(text, CANCEL_BY))
		return strcmp(text + strlen(CANCEL_BY), owner->org ? owner->org : "") == 0;
	if (!fields_decode(&wl_owner_fields, &by, value->data, value->len, &err)) {
		event_log(EV_BAD_INPUT, "from=store what=\"%s: %s\"", key, err->message);
		return false;
	}
	same = wl_owner_same(&by, owner);
	fields_clear(&wl_owner_fields, &by);
	return same;
}

/* Cancels a job that was just added if its cancellation was read before it. */
static void cancel_if_pending(struct wl_coord *c, const struct wl_spec *spec, int64_t now)
{
	const GPtrArray *cancels = g_hash_table_lookup(c->pending_cancels, spec->id);
	const struct wl_owner owner = wl_spec_owner(spec);

	for (guint i = 0; cancels != NULL && i < cancels->len; i++) {
		const struct pending_cancel *p = cancels->pdata[i];

		if (cancels_job_of(p->key, &p->value, &owner))
			wl_job_cancel(c->scheduler, now, clock_wall(loop_clock(c->p->loop)),
				spec->id);
	}
	g_hash_table_remove(c->pending_cancels, spec->id);
}

/* Adds a job that an entry has stored, with its progress if there is any. */
static void read_job(struct wl_coord *c, const struct kv_item *it)
{
	struct wl_spec spec = {0};
	const struct bytes *progress;
	struct wl_progress p = {0};
	bool has_progress = false;
	g_autoptr(GError) err = NULL;
	int64_t now = loop_now(c->p->loop);
	const char *id = it->key + strlen(KEY_JOB);
	uint64_t tasks = 0;

	if (wl_job_has(c->scheduler, id) ||
		record_writer_was_removed(c->records, id, it->revision))
		return;
	if (!fields_decode(&wl_spec_fields, &spec, it->value.data, it->value.len, &err) ||
		!wl_spec_check(&spec, &err) || strcmp(spec.id, id) != 0) {
		event_log(EV_BAD_INPUT, "from=store what=\"%s: %s\"", it->key,
			err != NULL ? err->message : "job id does not match its key");
		fields_clear(&wl_spec_fields, &spec);
		return;
	}
	progress = g_hash_table_lookup(c->stored_progress, id);
	if (progress != NULL)
		has_progress = fields_decode(
			&wl_progress_fields, &p, progress->data, progress->len, NULL);
	if (progress != NULL && !has_progress) {
		/* Its tasks may have run, so none is started. */
		event_log(EV_BAD_INPUT, "from=store what=\"%s%s\"", KEY_PROGRESS, id);
		fields_clear(&wl_spec_fields, &spec);
		return;
	}
	/*
	 * The entry wrote the job and its progress record in one transaction, so the record has
	 * at least the job's revision.
	 */
	record_writer_note_revision(c->records, id, it->revision);
	for (uint32_t s = 0; s < spec.steps_len; s++)
		tasks += spec.steps[s].count;
	/*
	 * tasks is the sum over all steps. accelerators, cores_m (thousandths of a core),
	 * estimate_ms, gang and rack_local are those of the first step.
	 */
	event_log(EV_JOB_SEEN,
		"job=%s queue=%s org=%s tasks=%" PRIu64
		" accelerators=%u cores_m=%u estimate_ms=%u gang=%d rack_local=%d "
		"repetitions=%u "
		"state=%s revision=%" PRId64,
		id, spec.queue, spec.org ? spec.org : "-", tasks, spec.steps[0].accelerators,
		spec.steps[0].cores_m, spec.steps[0].estimate_ms, spec.steps[0].gang,
		spec.steps[0].rack_local, spec.repetitions,
		has_progress ? wl_state_name(p.state) : "new", it->revision);
	wl_job_add(c->scheduler, now, clock_wall(loop_clock(c->p->loop)), &spec,
		has_progress ? &p : NULL);
	c->jobs_read++;
	g_hash_table_remove(c->stored_progress, id);
	cancel_if_pending(c, &spec, now);
	fields_clear(&wl_spec_fields, &spec);
	fields_clear(&wl_progress_fields, &p);
}

/* The pending cancellation with a key, or NULL; at is its place among those of its id. */
static struct pending_cancel *find_pending_cancel(
	const struct wl_coord *c, const char *key, guint *at)
{
	g_autofree char *id = cancelled_id(key);
	const GPtrArray *cancels = g_hash_table_lookup(c->pending_cancels, id);

	for (*at = 0; cancels != NULL && *at < cancels->len; (*at)++) {
		struct pending_cancel *p = cancels->pdata[*at];

		if (strcmp(p->key, key) == 0)
			return p;
	}
	return NULL;
}

/* Drops the cancellation of a job that is not known, after its key was removed. */
static void forget_cancel(struct wl_coord *c, const char *key)
{
	g_autofree char *id = cancelled_id(key);
	guint at;

	if (find_pending_cancel(c, key, &at) == NULL)
		return;
	g_ptr_array_remove_index_fast(g_hash_table_lookup(c->pending_cancels, id), at);
}

/* Remembers a cancellation whose key was read before the job's. */
static void remember_cancel(struct wl_coord *c, const struct kv_item *it)
{
	g_autofree char *id = cancelled_id(it->key);
	GPtrArray *cancels = g_hash_table_lookup(c->pending_cancels, id);
	struct pending_cancel *p = xcalloc(1, sizeof(*p));

	if (cancels == NULL) {
		cancels = g_ptr_array_new_with_free_func(pending_cancel_free);
		g_hash_table_insert(c->pending_cancels, g_steal_pointer(&id), cancels);
	}
	forget_cancel(c, it->key);
	p->key = xstrdup(it->key);
	p->value = bytes_copy(it->value.data, it->value.len);
	g_ptr_array_add(cancels, p);
}

/* Cancels a job if its owner asks for it, or remembers that for when the job is read. */
static void read_cancel(struct wl_coord *c, const struct kv_item *it)
{
	g_autofree char *id = cancelled_id(it->key);
	struct wl_owner owner;

	if (!wl_job_has(c->scheduler, id)) {
		remember_cancel(c, it);
		return;
	}
	owner = wl_job_owner(c->scheduler, id);
	if (cancels_job_of(it->key, &it->value, &owner))
		wl_job_cancel(c->scheduler, loop_now(c->p->loop),
			clock_wall(loop_clock(c->p->loop)), id);
}

/* Dispatches an inbox item by its key. */
static void read_inbox_item(struct wl_coord *c, const struct kv_item *it)
{
	if (it->deleted) {
		if (g_str_has_prefix(it->key, KEY_CANCEL))
			forget_cancel(c, it->key);
		return;
	}
	if (g_str_has_prefix(it->key, KEY_JOB)) {
		read_job(c, it);
	} else if (g_str_has_prefix(it->key, KEY_CANCEL)) {
		read_cancel(c, it);
	} else if (strcmp(it->key, KEY_TERM) == 0 && it->revision > c->term_revision) {
		coord_lose_term(c, "another process acquired a term");
	}
}

static void on_watch_timer(void *arg)
{
	struct wl_coord *c = arg;

	c->inbox_timer = NULL;
	watch_inbox(c);
}

/*
 * Handles inbox changes or the timeout of a watch. If the history after the watched revision is
 * gone, the inbox is listed again.
 */
static void on_watch_result(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;
	int64_t began;

	if (!coord_call_ended(c) || c->term_lost)
		return;
	began = loop_now(c->p->loop);
	switch (r->status) {
	case KV_OK:
		for (size_t i = 0; i < r->items_len && !c->term_lost; i++)
			read_inbox_item(c, &r->items[i]);
		/*
		 * An answer without events leaves the revision: where the watch only heard
		 * nothing, the next one still gets what it missed.
		 */
		if (r->rows_len > 0 && r->store_revision > c->watch_revision)
			c->watch_revision = r->store_revision;
		if (c->term_lost)
			return;
		if (r->items_len > 0)
			coord_request_pass(c);
		watch_inbox(c);
		coord_load_add(&c->load, COORD_WORK_INBOX, loop_now(c->p->loop) - began);
		return;
	case KV_NOT_FOUND:
		c->watch_revision = 0;
		/* The list tells of those that are still there. */
		g_hash_table_remove_all(c->pending_cancels);
		list_inbox(c, NULL);
		return;
	case KV_CONFLICT:
	case KV_REFUSED:
	case KV_OUTCOME_UNKNOWN:
		break;
	}
	if (c->inbox_timer == NULL)
		c->inbox_timer = loop_timer_add(c->p->loop,
			r->status == KV_OUTCOME_UNKNOWN ? 0 : STORE_RETRY_DELAY, 0,
			on_watch_timer, c);
}

static void watch_inbox(struct wl_coord *c)
{
	if (c->term_lost || c->freed)
		return;
	c->calls_in_flight++;
	kv_watch(c->p->kv, KEY_INBOX, c->watch_revision, WATCH_TIMEOUT_MS, on_watch_result, c);
}

/* Whether the coordinator does not know yet what is stored under a key of the inbox. */
static bool key_is_news(const struct wl_coord *c, const char *key)
{
	g_autofree char *id = NULL;
	guint at;

	if (g_str_has_prefix(key, KEY_JOB))
		return !wl_job_has(c->scheduler, key + strlen(KEY_JOB));
	if (!g_str_has_prefix(key, KEY_CANCEL))
		return false;
	id = cancelled_id(key);
	if (wl_job_has(c->scheduler, id))
		return wl_job_is_open(c->scheduler, id);
	return find_pending_cancel(c, key, &at) == NULL;
}

static void on_note_timer(void *arg);

/* Has a key of the inbox read after a delay, unless the watch tells of it until then. */
static void note_key(struct wl_coord *c, const char *key, int64_t delay)
{
	g_ptr_array_add(c->noted_keys, xstrdup(key));
	if (c->note_timer == NULL)
		c->note_timer = loop_timer_add(c->p->loop, delay, 0, on_note_timer, c);
}

/* A read of a noted key. */
struct noted_read {
	struct wl_coord *coord;
	char *key;
};

/* Takes what the store holds under a noted key; the read is repeated if it failed. */
static void on_noted_key_read(const struct kv_result *r, void *arg)
{
	struct noted_read *read = arg;
	struct wl_coord *c = read->coord;
	AUTOFREE char *key = read->key;

	free(read);
	if (!coord_call_ended(c) || c->term_lost || !key_is_news(c, key))
		return;
	if (r->status == KV_REFUSED || r->status == KV_OUTCOME_UNKNOWN)
		note_key(c, key, STORE_RETRY_DELAY);
	for (size_t i = 0; r->status == KV_OK && i < r->items_len && !c->term_lost; i++)
		read_inbox_item(c, &r->items[i]);
	if (!c->term_lost)
		coord_request_pass(c);
}

/* Reads the noted keys that the watch has not told of. */
static void on_note_timer(void *arg)
{
	struct wl_coord *c = arg;

	c->note_timer = NULL;
	for (guint i = 0; i < c->noted_keys->len; i++) {
		const char *key = c->noted_keys->pdata[i];
		struct noted_read *read;

		if (c->term_lost || !key_is_news(c, key))
			continue;
		counter_add(&noted_reads_total, 1);
		read = xcalloc(1, sizeof(*read));
		read->coord = c;
		read->key = xstrdup(key);
		c->calls_in_flight++;
		kv_get(c->p->kv, key, KV_READ_LINEARIZABLE, on_noted_key_read, read);
	}
	g_ptr_array_set_size(c->noted_keys, 0);
}

void wl_coord_note_stored(struct wl_coord *c, const char *key)
{
	if (key == NULL || !c->loaded || c->term_lost || c->noted_keys->len >= NOTED_KEYS_MAX ||
		!key_is_news(c, key))
		return;
	note_key(c, key, NOTE_DELAY);
}

void inbox_read_key(struct wl_coord *c, const char *key)
{
	note_key(c, key, 0);
}

/* All pages were read: on the first load, logs the term and processes the deferred reports. */
static void on_inbox_complete(struct wl_coord *c)
{
	if (!c->loaded) {
		c->loaded = true;
		event_log(EV_TERM_TAKEN,
			"term=%" PRIu64 " revision=%" PRId64 " jobs=%u nodes=%zu", c->term,
			c->term_revision, c->jobs_read, wl_node_count(c->scheduler));
		coord_apply_pending_reports(c);
	}
	coord_request_pass(c);
	watch_inbox(c);
}

static void on_inbox_retry(void *arg)
{
	struct wl_coord *c = arg;

	c->inbox_timer = NULL;
	list_inbox(c, NULL);
}

/*
 * Ends the call for a page and returns whether the page was read. If the store failed,
 * schedules retry, which starts the listing again, after a delay.
 */
static bool finish_page_call(struct wl_coord *c, const struct kv_result *r, loop_fn *retry)
{
	if (!coord_call_ended(c) || c->term_lost)
		return false;
	if (r->status == KV_OK)
		return true;
	c->watch_revision = 0;
	c->inbox_timer = loop_timer_add(c->p->loop, STORE_RETRY_DELAY, 0, retry, c);
	return false;
}

/*
 * Processes a page of the inbox. The watch starts at the revision of the first page, so that
 * changes made during the listing are not missed.
 */
static void on_inbox_page(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	if (!finish_page_call(c, r, on_inbox_retry))
		return;
	if (c->watch_revision == 0)
		c->watch_revision = r->store_revision;
	for (size_t i = 0; i < r->items_len && !c->term_lost; i++)
		read_inbox_item(c, &r->items[i]);
	if (c->term_lost)
		return;
	if (r->has_more)
		list_inbox(c, r->last_key);
	else
		on_inbox_complete(c);
}

/* Lists the inbox after a key, or from its start if after is NULL. */
static void list_inbox(struct wl_coord *c, const char *after)
{
	c->calls_in_flight++;
	kv_list(c->p->kv, KEY_INBOX, after, KV_READ_LINEARIZABLE, on_inbox_page, c);
}

static void list_progress(struct wl_coord *c, const char *after);
static void list_nodes(struct wl_coord *c, const char *after);

static void on_load_retry(void *arg)
{
	struct wl_coord *c = arg;

	c->inbox_timer = NULL;
	list_nodes(c, NULL);
}

/* Keeps a page of progress records until their jobs are read. */
static void on_progress_page(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	if (!finish_page_call(c, r, on_load_retry))
		return;
	for (size_t i = 0; i < r->items_len; i++) {
		const char *id = r->items[i].key + strlen(KEY_PROGRESS);
		struct bytes *b = xcalloc(1, sizeof(*b));

		*b = bytes_copy(r->items[i].value.data, r->items[i].value.len);
		g_hash_table_replace(c->stored_progress, g_strdup(id), b);
		record_writer_note_revision(c->records, id, r->items[i].revision);
	}
	if (r->has_more)
		list_progress(c, r->last_key);
	else
		list_inbox(c, NULL);
}

static void list_progress(struct wl_coord *c, const char *after)
{
	c->calls_in_flight++;
	kv_list(c->p->kv, KEY_PROGRESS, after, KV_READ_LINEARIZABLE, on_progress_page, c);
}

/*
 * Processes a page of nodes. Each may still run tasks for an earlier coordinator and is
 * expected to report.
 */
static void on_nodes_page(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	if (!finish_page_call(c, r, on_load_retry))
		return;
	for (size_t i = 0; i < r->items_len; i++) {
		const char *node = r->items[i].key + strlen(KEY_NODE);

		record_writer_add_stored_node(c->records, node, r->items[i].revision);
		wl_node_await_report(c->scheduler, loop_now(c->p->loop), node);
	}
	if (r->has_more)
		list_nodes(c, r->last_key);
	else
		list_progress(c, NULL);
}

static void list_nodes(struct wl_coord *c, const char *after)
{
	c->calls_in_flight++;
	kv_list(c->p->kv, KEY_NODE, after, KV_READ_LINEARIZABLE, on_nodes_page, c);
}

void inbox_start(struct wl_coord *c)
{
	list_nodes(c, NULL);
}
