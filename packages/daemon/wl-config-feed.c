#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>

/*
 * Keeps the configuration up to date by checking periodically whether its revision in the store
 * is still the known one. A transaction without
 * writes, conditional on the known revision, verifies it without transferring the document; if
 * the revision has changed, the reply holds the new document.
 */

/* A caller of config_feed_refresh that waits for a check sent at or after since. */
struct waiter {
	int64_t since;
	loop_fn *fn;
	void *arg;
};

struct config_feed {
	struct wl_process *p;
	struct wl_config *config;
	struct loop_timer *timer;
	loop_fn *on_change; /* called with arg when a newer configuration is in force */
	void *arg;
	int64_t period;
	int64_t revision;
	int64_t verified_at;
	int64_t check_sent_at;
	bool check_in_flight;
	bool store_lost; /* the last check failed */
	bool freed;
	GArray *waiters;
};

static void check_revision(struct config_feed *f);

/* Returns the newest configuration, or NULL if none was read yet. */
const struct wl_config *config_feed_get(const struct config_feed *f)
{
	return f->config;
}

int64_t config_feed_age(const struct config_feed *f)
{
	return f->verified_at == 0 ? INT64_MAX : loop_now(f->p->loop) - f->verified_at;
}

int64_t config_feed_verified_at(const struct config_feed *f)
{
	return f->verified_at;
}

/*
 * Applies a document that is newer than the current one. An invalid document is logged and the
 * last valid one stays in force.
 */
static void apply_document(struct config_feed *f, const struct kv_item *item)
{
	g_autoptr(GError) err = NULL;
	struct wl_config *old = f->config;
	struct wl_config *c;

	if (item->revision <= f->revision)
		return;
	c = pf_config_parse(&item->value, item->revision, &err);
	f->revision = item->revision;
	if (c == NULL) {
		event_log(EV_CONFIG_BAD, "revision=%" PRId64 " error=\"%s\"", item->revision,
			err->message);
		return;
	}
	f->config = c;
	event_log(EV_CONFIG, "version=%" PRId64 " revision=%" PRId64 " queues=%u orgs=%u",
		c->version, c->revision, c->queues->len, c->orgs->len);
	f->on_change(f->arg);
	wl_config_free(old);
}

void config_feed_apply_result(struct config_feed *f, const struct kv_result *r)
{
	if (r->status == KV_OK)
		f->verified_at = MAX(f->verified_at, r->sent);
	for (size_t i = 0; i < r->items_len; i++) {
		if (g_strcmp0(r->items[i].key, PF_CONFIG_KEY) != 0)
			continue;
		apply_document(f, &r->items[i]);
		f->verified_at = MAX(f->verified_at, r->sent);
	}
}

/* Calls and removes the waiters whose time has been verified, or all of them. */
static void notify_waiters(struct config_feed *f, bool all)
{
	for (guint i = 0; i < f->waiters->len;) {
		struct waiter w = g_array_index(f->waiters, struct waiter, i);

		if (!all && f->verified_at < w.since) {
			i++;
			continue;
		}
		g_array_remove_index(f->waiters, i);
		w.fn(w.arg);
	}
}

/*
 * Handles the reply to a check. If the store is unreachable, all waiters are called, and decide
 * by the age of the configuration.
 */
static void on_check_reply(const struct kv_result *r, void *arg)
{
	struct config_feed *f = arg;
	bool ok = r->status == KV_OK || r->status == KV_CONFLICT;

	f->check_in_flight = false;
	if (f->freed) {
		config_feed_free(f);
		return;
	}
	config_feed_apply_result(f, r);
	/* gap_ms is how long this check took, not how long the store was out of reach. */
	if (ok && f->store_lost)
		event_log(EV_STORE_BACK, "gap_ms=%" PRId64,
			(loop_now(f->p->loop) - f->check_sent_at) / NSEC_PER_MSEC);
	if (!ok && !f->store_lost)
		event_log(EV_STORE_LOST, "call=config status=%s age_ms=%" PRId64,
			kv_status_name(r->status),
			f->verified_at > 0 ? config_feed_age(f) / NSEC_PER_MSEC : -1);
	f->store_lost = !ok;
	notify_waiters(f, !ok);
	if (f->waiters->len > 0)
		check_revision(f);
}

/* Verifies the revision, or reads the document if none is known. One check runs at a time. */
static void check_revision(struct config_feed *f)
{
	struct kv_txn t = {.expect_len = 1};

	if (f->check_in_flight)
		return;
	f->check_in_flight = true;
	f->check_sent_at = loop_now(f->p->loop);
	if (f->revision == 0) {
		kv_get(f->p->kv, PF_CONFIG_KEY, KV_READ_LINEARIZABLE, on_check_reply, f);
		return;
	}
	t.expect[0] = (struct kv_condition){PF_CONFIG_KEY, f->revision};
	kv_commit(f->p->kv, &t, on_check_reply, f);
}

static void on_timer(void *arg)
{
	struct config_feed *f = arg;

	if (config_feed_age(f) >= f->period)
		check_revision(f);
}

void config_feed_refresh(struct config_feed *f, int64_t since, loop_fn *fn, void *arg)
{
	struct waiter w = {.since = since, .fn = fn, .arg = arg};

	if (f->verified_at >= since) {
		fn(arg);
		return;
	}
	g_array_append_val(f->waiters, w);
	check_revision(f);
}

/* Verifies the configuration at least about once per period while the store answers. */
struct config_feed *config_feed_new(
	struct wl_process *p, int64_t period, loop_fn *on_change, void *arg)
{
	struct config_feed *f = xcalloc(1, sizeof(*f));

	f->p = p;
	f->on_change = on_change;
	f->arg = arg;
	f->period = period;
	f->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	f->timer = loop_timer_add(p->loop, period / 4, period / 4, on_timer, f);
	check_revision(f);
	return f;
}

/* Frees a feed; if a check is in flight, its reply frees the memory. */
void config_feed_free(struct config_feed *f)
{
	if (f == NULL)
		return;
	f->freed = true;
	if (f->timer != NULL)
		loop_timer_del(f->p->loop, f->timer);
	f->timer = NULL;
	if (f->check_in_flight)
		return;
	g_array_unref(f->waiters);
	wl_config_free(f->config);
	free(f);
}
