#include "store-private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define HISTORY_EVENTS_MAX 4096
#define WATCH_POLL_NS	   (200 * NSEC_PER_MSEC)

/* One event and the revision that it belongs to. */
struct store_history_entry {
	int64_t revision;
	struct store_event event;
};

struct embedded_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t expires_at;
};

/* Make a deep copy of a key-value pair. */
static void copy_kv(struct store_kv *to, const struct store_kv *from)
{
	*to = *from;
	to->key = xstrdup(from->key);
	to->value = bytes_copy(from->value.data, from->value.len);
}

static void free_kv(void *p)
{
	store_kv_clear(p);
	free(p);
}

static void free_history_entry(struct store_history_entry *h)
{
	store_kv_clear(&h->event.kv);
	free(h);
}

static int compare_keys(const void *a, const void *b, void *arg)
{
	(void)arg;
	return strcmp(a, b);
}

/* Create a store in the memory of this process. */
struct store *store_embedded_new(const struct clock *clock)
{
	struct store *s = xcalloc(1, sizeof(*s));
	struct store_embedded *e = &s->embedded;
	pthread_condattr_t attr;

	s->kind = STORE_KIND_EMBEDDED;
	e->clock = clock;
	e->keys = g_tree_new_full(compare_keys, NULL, NULL, free_kv);
	e->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	e->revision = 1;
	e->next_lease_id = 1000;
	g_queue_init(&e->history);
	pthread_mutex_init(&e->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&e->watch_cond, &attr);
	pthread_condattr_destroy(&attr);
	return s;
}

/* Release everything the store owns, but not the store itself. */
void embedded_destroy(struct store *s)
{
	struct store_embedded *e = &s->embedded;
	struct store_history_entry *h;

	while ((h = g_queue_pop_head(&e->history)) != NULL)
		free_history_entry(h);
	g_tree_destroy(e->keys);
	g_hash_table_destroy(e->leases);
	pthread_mutex_destroy(&e->lock);
	pthread_cond_destroy(&e->watch_cond);
}

/* Append an event to the bounded history and wake the watches. */
static void record_event(struct store_embedded *e, bool deleted, const struct store_kv *kv)
{
	struct store_history_entry *h = xcalloc(1, sizeof(*h));

	h->revision = e->revision;
	h->event.deleted = deleted;
	copy_kv(&h->event.kv, kv);
	g_queue_push_tail(&e->history, h);
	while (e->history.length > HISTORY_EVENTS_MAX) {
		h = g_queue_pop_head(&e->history);
		e->compacted_revision = h->revision;
		free_history_entry(h);
	}
	pthread_cond_broadcast(&e->watch_cond);
}

/* Put a key at the current revision. */
static void put_key(struct store_embedded *e, const struct store_op *op)
{
	struct store_kv *old = g_tree_lookup(e->keys, op->key);
	struct store_kv *kv = xcalloc(1, sizeof(*kv));

	kv->key = xstrdup(op->key);
	kv->value = bytes_copy(op->value, op->len);
	kv->create_revision = old != NULL ? old->create_revision : e->revision;
	kv->mod_revision = e->revision;
	kv->lease = op->lease;
	record_event(e, false, kv);
	g_tree_replace(e->keys, kv->key, kv);
}

/* Delete a key at the current revision, if it exists. */
static void delete_key(struct store_embedded *e, const char *key)
{
	struct store_kv *old = g_tree_lookup(e->keys, key);
	struct store_kv tombstone = {0};

	if (old == NULL)
		return;
	tombstone.key = old->key;
	tombstone.mod_revision = e->revision;
	record_event(e, true, &tombstone);
	g_tree_remove(e->keys, key);
}

struct key_collector {
	int64_t lease;
	const char *prefix;
	bool exact;
	GPtrArray *found;
};

/* Tree visitor: collect the keys attached to a lease. */
static gboolean collect_lease(gpointer key, gpointer value, gpointer arg)
{
	const struct store_kv *kv = value;
	struct key_collector *c = arg;

	if (kv->lease == c->lease)
		g_ptr_array_add(c->found, xstrdup(key));
	return FALSE;
}

/* Remove a lease and delete the keys attached to it. */
static void remove_lease(struct store_embedded *e, int64_t id)
{
	struct key_collector c = {.lease = id, .found = g_ptr_array_new_with_free_func(free)};

	g_tree_foreach(e->keys, collect_lease, &c);
	if (c.found->len > 0)
		e->revision++;
	for (guint i = 0; i < c.found->len; i++)
		delete_key(e, c.found->pdata[i]);
	g_ptr_array_unref(c.found);
	g_hash_table_remove(e->leases, &id);
}

/* Remove expired leases. Each removal invalidates the iterator, so the scan restarts. */
static void expire_leases(struct store_embedded *e)
{
	int64_t now = clock_now(e->clock);
	GHashTableIter it;
	gpointer value;
	bool removed = true;

	while (removed) {
		removed = false;
		g_hash_table_iter_init(&it, e->leases);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			const struct embedded_lease *l = value;

			if (l->expires_at <= now) {
				remove_lease(e, l->id);
				removed = true;
				break;
			}
		}
	}
}

/* Tree visitor: collect the entries of a range. */
static gboolean collect_range(gpointer key, gpointer value, gpointer arg)
{
	struct key_collector *c = arg;

	if (c->exact ? strcmp(key, c->prefix) == 0 : g_str_has_prefix(key, c->prefix))
		g_ptr_array_add(c->found, value);
	return FALSE;
}

/* Read a key, or all keys with a prefix. */
bool embedded_range(struct store *s, const char *prefix, bool exact, struct store_range *out)
{
	struct store_embedded *e = &s->embedded;
	struct key_collector c = {.prefix = prefix, .exact = exact, .found = g_ptr_array_new()};

	pthread_mutex_lock(&e->lock);
	expire_leases(e);
	g_tree_foreach(e->keys, collect_range, &c);
	out->len = c.found->len;
	out->kvs = xcalloc(out->len, sizeof(*out->kvs));
	for (size_t i = 0; i < out->len; i++)
		copy_kv(&out->kvs[i], c.found->pdata[i]);
	out->revision = e->revision;
	pthread_mutex_unlock(&e->lock);
	g_ptr_array_unref(c.found);
	return true;
}

/* Evaluate one compare of a transaction. */
static bool compare_matches(struct store_embedded *e, const struct store_compare *c)
{
	const struct store_kv *kv = g_tree_lookup(e->keys, c->key);

	if (kv == NULL)
		return c->revision == 0;
	return c->revision ==
	       (c->target == STORE_MOD_REVISION ? kv->mod_revision : kv->create_revision);
}

/* Run a transaction. *succeeded is also false if an operation names an unknown lease. */
bool embedded_txn(struct store *s, const struct store_txn *txn, bool *succeeded,
	int64_t *revision, GError **err)
{
	struct store_embedded *e = &s->embedded;
	bool ok = true;

	for (size_t i = 0; i < txn->ops_len; i++) {
		if (txn->ops[i].len > STORE_VALUE_MAX) {
			error_set(err, ERR_TOO_LARGE, "a value is over the store's limit");
			return false;
		}
	}
	pthread_mutex_lock(&e->lock);
	expire_leases(e);
	for (size_t i = 0; ok && i < txn->compares_len; i++)
		ok = compare_matches(e, &txn->compares[i]);
	for (size_t i = 0; ok && i < txn->ops_len; i++)
		ok = txn->ops[i].lease == 0 ||
		     g_hash_table_contains(e->leases, &txn->ops[i].lease);
	if (ok && txn->ops_len > 0)
		e->revision++;
	for (size_t i = 0; ok && i < txn->ops_len; i++) {
		if (txn->ops[i].kind == STORE_PUT)
			put_key(e, &txn->ops[i]);
		else
			delete_key(e, txn->ops[i].key);
	}
	*succeeded = ok;
	*revision = e->revision;
	pthread_mutex_unlock(&e->lock);
	return true;
}

/* Grant a lease. */
bool embedded_grant(struct store *s, int64_t ttl_s, int64_t *lease)
{
	struct store_embedded *e = &s->embedded;
	struct embedded_lease *l = xcalloc(1, sizeof(*l));

	pthread_mutex_lock(&e->lock);
	l->id = e->next_lease_id++;
	l->ttl_s = ttl_s;
	l->expires_at = clock_now(e->clock) + ttl_s * NSEC_PER_SEC;
	*lease = l->id;
	g_hash_table_replace(e->leases, &l->id, l);
	pthread_mutex_unlock(&e->lock);
	return true;
}

/* Renew a lease; *ttl_s is 0 if it does not exist. */
bool embedded_keepalive(struct store *s, int64_t lease, int64_t *ttl_s)
{
	struct store_embedded *e = &s->embedded;
	struct embedded_lease *l;

	pthread_mutex_lock(&e->lock);
	expire_leases(e);
	l = g_hash_table_lookup(e->leases, &lease);
	if (l != NULL)
		l->expires_at = clock_now(e->clock) + l->ttl_s * NSEC_PER_SEC;
	*ttl_s = l != NULL ? l->ttl_s : 0;
	pthread_mutex_unlock(&e->lock);
	return true;
}

/* Revoke a lease. */
bool embedded_revoke(struct store *s, int64_t lease)
{
	pthread_mutex_lock(&s->embedded.lock);
	remove_lease(&s->embedded, lease);
	pthread_mutex_unlock(&s->embedded.lock);
	return true;
}

/*
 * Copy the events under a prefix from the first revision at or after *from that has any, and
 * set *from to that revision.
 */
static size_t next_events(
	struct store_embedded *e, const char *prefix, int64_t *from, struct store_event **out)
{
	GArray *found = g_array_new(FALSE, TRUE, sizeof(struct store_event));
	size_t len;
	int64_t at = 0;

	for (GList *l = e->history.head; l != NULL; l = l->next) {
		const struct store_history_entry *h = l->data;
		struct store_event ev = h->event;

		if (h->revision < *from || !g_str_has_prefix(h->event.kv.key, prefix))
			continue;
		if (at != 0 && h->revision != at)
			break;
		at = h->revision;
		copy_kv(&ev.kv, &h->event.kv);
		g_array_append_val(found, ev);
	}
	if (at != 0)
		*from = at;
	len = found->len;
	*out = (struct store_event *)g_array_free(found, FALSE);
	return len;
}

/* Wait for a change, or until the poll interval elapses. */
static void wait_for_change(struct store_embedded *e)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += WATCH_POLL_NS;
	until.tv_sec += until.tv_nsec / NSEC_PER_SEC;
	until.tv_nsec %= NSEC_PER_SEC;
	pthread_cond_timedwait(&e->watch_cond, &e->lock, &until);
}

/* Watch a prefix until fn returns false or the next revision has been compacted. */
bool embedded_watch(struct store *s, const char *prefix, int64_t from, store_watch_fn *fn,
	void *arg, GError **err)
{
	struct store_embedded *e = &s->embedded;
	bool keep_watching = true;

	while (keep_watching) {
		struct store_event *events;
		size_t len;

		pthread_mutex_lock(&e->lock);
		expire_leases(e);
		if (from <= e->compacted_revision) {
			pthread_mutex_unlock(&e->lock);
			error_set(err, ERR_NOT_FOUND, "the revision has been compacted");
			return false;
		}
		len = next_events(e, prefix, &from, &events);
		if (len == 0)
			wait_for_change(e);
		pthread_mutex_unlock(&e->lock);
		keep_watching = fn(len > 0 ? events : NULL, len, from, arg);
		if (len > 0)
			from++;
		for (size_t i = 0; i < len; i++)
			store_kv_clear(&events[i].kv);
		g_free(events);
	}
	return true;
}

/* Expire all leases immediately. */
void store_embedded_expire_leases(struct store *s)
{
	GHashTableIter it;
	gpointer value;

	pthread_mutex_lock(&s->embedded.lock);
	g_hash_table_iter_init(&it, s->embedded.leases);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct embedded_lease *)value)->expires_at = 0;
	expire_leases(&s->embedded);
	pthread_mutex_unlock(&s->embedded.lock);
}

/* Compact the history up to the current revision. */
void store_embedded_compact(struct store *s)
{
	struct store_history_entry *h;

	pthread_mutex_lock(&s->embedded.lock);
	while ((h = g_queue_pop_head(&s->embedded.history)) != NULL)
		free_history_entry(h);
	s->embedded.compacted_revision = s->embedded.revision;
	pthread_cond_broadcast(&s->embedded.watch_cond);
	pthread_mutex_unlock(&s->embedded.lock);
}

/* Return the current revision. */
int64_t store_embedded_revision(struct store *s)
{
	int64_t revision;

	pthread_mutex_lock(&s->embedded.lock);
	revision = s->embedded.revision;
	pthread_mutex_unlock(&s->embedded.lock);
	return revision;
}
