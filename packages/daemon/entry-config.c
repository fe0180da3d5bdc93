#include "entry-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Follows the configuration and the live keys in the store. The live keys are all keys below
 * LIVE_PREFIX, whether or not they are attached to a lease, see STORE_PREFIX. A watch on them
 * triggers a reload on each change. It also sees each edit of the configuration, which rewrites
 * the live key "head", the list of sections. A periodic poll covers changes that a broken watch
 * misses. An older configuration never replaces a newer one.
 */

#define LIVE_PREFIX	      STORE_PREFIX "live/"
#define CELLS_PREFIX	      LIVE_PREFIX "cells/"
#define ENTRY_PREFIX	      LIVE_PREFIX "entries/"
#define POLL_PERIOD_NS	      (4 * NSEC_PER_SEC)
#define WATCH_RETRY_DELAY_NS  (500 * NSEC_PER_MSEC)
#define LEASE_TTL_S	      10
#define LEASE_RENEW_PERIOD_NS (3 * NSEC_PER_SEC)

GAUGE(config_number, "damaskpath_config_number", "Configuration in force in this process.");
GAUGE(config_age, "damaskpath_config_checked_age_ms",
	"Time since the configuration was last compared with the store, in milliseconds.");
GAUGE(store_gauge, "damaskpath_store_up", "1 if the store answered the last call.");
COUNTER(config_rejected, "damaskpath_config_backwards_total",
	"Times that the store offered an older configuration, which was refused.");

/* A load of the configuration and the live keys from the store into a new view. */
struct view_load {
	struct entry *entry;
	struct entry_view *view;
	bool ok;
	GError *err;
};

/* Frees a struct cell_term. */
static void cell_free(void *p)
{
	cell_term_clear(p);
	free(p);
}

/* Frees a view; the callback of rcu_publish. */
void view_free(void *view)
{
	struct entry_view *v = view;

	if (v == NULL)
		return;
	doc_free(v->doc);
	config_snapshot_clear(&v->config);
	if (v->cells != NULL)
		g_ptr_array_unref(v->cells);
	free(v);
}

/* Adds a live key to a view: an entry's lease or a cell's term. Ignores other keys. */
static void add_live_key(struct entry_view *v, const struct store_kv *kv)
{
	const char *cell;
	const char *slash;
	struct cell_term *t;
	json_t *o;

	if (g_str_has_prefix(kv->key, ENTRY_PREFIX)) {
		v->entries_count++;
		return;
	}
	if (!g_str_has_prefix(kv->key, CELLS_PREFIX))
		return;
	cell = kv->key + strlen(CELLS_PREFIX);
	slash = strchr(cell, '/');
	if (slash == NULL || strcmp(slash, "/term") != 0)
		return;
	o = json_loadb(kv->value.data, kv->value.len, 0, NULL);
	t = xcalloc(1, sizeof(*t));
	/* In a view, the name of the cell; elsewhere, that of the agent that holds the term. */
	t->name = bytes_copy(cell, (size_t)(slash - cell)).data;
	t->addr = xstrdup(json_string_value(json_object_get(o, "addr")));
	t->term = (uint64_t)json_integer_value(json_object_get(o, "term"));
	json_decref(o);
	g_ptr_array_add(v->cells, t);
}

/* Loads the configuration and the live keys. Runs on the pool. */
static void view_load_run(void *arg)
{
	struct view_load *r = arg;
	struct store *s = r->entry->p->store;
	struct store_range range;

	r->ok = config_load(s, &r->view->config, &r->err) &&
		store_get_range(s, LIVE_PREFIX, false, &range, &r->err);
	if (!r->ok)
		return;
	for (size_t i = 0; i < range.len; i++)
		add_live_key(r->view, &range.kvs[i]);
	store_range_clear(&range);
	r->view->doc = config_parse(&r->view->config);
}

/* Records whether the store is reachable and logs a change. */
static void set_store_up(struct entry *e, bool up, const GError *err)
{
	if (e->store_up != up) {
		if (up)
			log_info("entry", "The store is reachable again.");
		else
			log_warning("entry",
				"The store is unreachable: %s. The latest known "
				"configuration stays in force.",
				err->message);
	}
	__atomic_store_n(&e->store_up, up, __ATOMIC_RELAXED);
	counter_set(&store_gauge, up);
}

/* Publishes the view that was loaded. Runs on the loop. */
static void view_load_done(void *arg)
{
	struct view_load *r = arg;
	struct entry *e = r->entry;
	const struct entry_view *old = e->view;
	bool conflict = !r->ok && error_kind_of(r->err) == ERR_CONFLICT;

	e->config_loading = false;
	set_store_up(e, r->ok || conflict, r->err);
	/* An older configuration, or one that changes too fast to be read. */
	if (conflict) {
		counter_add(&config_rejected, 1);
		log_error("entry", "The configuration was rejected: %s.", r->err->message);
	}
	if (r->ok && r->view->doc != NULL) {
		if (old == NULL || old->config.number != r->view->config.number) {
			log_info("entry", "Configuration %" PRIu64 " is in force.",
				r->view->config.number);
			auth_warn_open(r->view->doc);
		}
		counter_set(&config_number, r->view->config.number);
		__atomic_store_n(&e->config_loaded_at, loop_now(e->p->loop), __ATOMIC_RELAXED);
		rcu_publish(&e->view, r->view, view_free);
		cell_links_update(e, r->view);
		r->view = NULL;
	}
	view_free(r->view);
	g_clear_error(&r->err);
	free(r);
	if (e->config_reload_pending) {
		e->config_reload_pending = false;
		config_reload(e);
	}
}

/*
 * Loads the configuration and the live keys again. If a load is in progress, another one
 * follows it.
 */
void config_reload(struct entry *e)
{
	struct view_load *r;

	if (e->config_loading) {
		e->config_reload_pending = true;
		return;
	}
	e->config_loading = true;
	r = xcalloc(1, sizeof(*r));
	r->entry = e;
	r->view = xcalloc(1, sizeof(*r->view));
	r->view->cells = g_ptr_array_new_with_free_func(cell_free);
	if (e->view != NULL)
		config_snapshot_copy(&r->view->config, &((struct entry_view *)e->view)->config);
	work_submit(e->p->pool, view_load_run, view_load_done, r);
}

/* Callback of loop_post: calls config_reload on the loop. */
static void config_reload_cb(void *arg)
{
	config_reload(arg);
}

/* Handles events of the watch; also called without any. Returns whether to continue. */
static bool on_watch(const struct store_event *events, size_t len, int64_t revision, void *arg)
{
	struct entry *e = arg;

	(void)events;
	(void)revision;
	if (len > 0)
		loop_post(e->p->loop, config_reload_cb, e);
	return !__atomic_load_n(&e->watch_stop, __ATOMIC_ACQUIRE);
}

/*
 * Runs the watch. A broken watch is restarted at the current revision, with a reload for the
 * changes in between.
 */
static void *watch_thread(void *arg)
{
	struct entry *e = arg;
	struct timespec retry_delay = {.tv_nsec = WATCH_RETRY_DELAY_NS};

	while (!__atomic_load_n(&e->watch_stop, __ATOMIC_ACQUIRE)) {
		struct store_range r;
		int64_t from;

		/* Only for the store's current revision; the value is not used. */
		if (!store_get_range(e->p->store, LIVE_PREFIX "head", true, &r, NULL)) {
			nanosleep(&retry_delay, NULL);
			continue;
		}
		from = r.revision + 1;
		store_range_clear(&r);
		loop_post(e->p->loop, config_reload_cb, e);
		if (!store_watch(e->p->store, LIVE_PREFIX, from, on_watch, e, NULL))
			nanosleep(&retry_delay, NULL);
	}
	return NULL;
}

/*
 * Renews the entry's lease or, if it has expired, takes a new one and registers the entry under
 * it, so that every entry can count the others. Runs on the pool.
 */
static void lease_run(void *arg)
{
	struct entry *e = arg;
	AUTOFREE char *key = NULL;
	struct store_op op;
	struct store_txn txn = {.ops = &op, .ops_len = 1};
	int64_t ttl_s = 0;
	int64_t revision;
	bool ok;

	if (e->lease_id != 0 && store_lease_keepalive(e->p->store, e->lease_id, &ttl_s, NULL) &&
		ttl_s > 0)
		return;
	if (!store_lease_grant(e->p->store, LEASE_TTL_S, &e->lease_id, NULL))
		return;
	xasprintf(&key, "%s%s", ENTRY_PREFIX, e->name);
	op = (struct store_op){STORE_PUT, key, "{}", 2, e->lease_id};
	store_run_txn(e->p->store, &txn, &ok, &revision, NULL);
}

/* Marks the renewal as done. Runs on the loop. */
static void lease_done(void *arg)
{
	((struct entry *)arg)->lease_in_progress = false;
}

/* Starts following the store. */
void config_start(struct entry *e)
{
	e->config_loaded_at = loop_now(e->p->loop);
	config_reload(e);
	e->watch_started = pthread_create(&e->watch_thread, NULL, watch_thread, e) == 0;
}

/* Stops the watch and revokes the lease. */
void config_stop(struct entry *e)
{
	__atomic_store_n(&e->watch_stop, true, __ATOMIC_RELEASE);
	if (e->watch_started)
		pthread_join(e->watch_thread, NULL);
	if (e->lease_id != 0)
		store_lease_revoke(e->p->store, e->lease_id, NULL);
}

/* Polls the store and renews the lease when due. */
void config_tick(struct entry *e, int64_t now)
{
	counter_set(&config_age, (uint64_t)((now - e->config_loaded_at) / NSEC_PER_MSEC));
	if (now - e->config_loaded_at > POLL_PERIOD_NS && !e->config_loading)
		config_reload(e);
	if (!e->lease_in_progress && now - e->lease_renew_started_at > LEASE_RENEW_PERIOD_NS &&
		!e->stopping) {
		e->lease_in_progress = true;
		e->lease_renew_started_at = now;
		work_submit(e->p->pool, lease_run, lease_done, e);
	}
}
