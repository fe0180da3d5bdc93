#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>

/*
 * The configuration is known by its revision: a transaction without writes, on the condition
 * that the revision still stands, proves it without sending the document, and brings the new
 * one where it does not.
 */

struct waiter {
	int64_t since;
	loop_fn *fn;
	void *arg;
};

struct config_feed {
	struct wl_process *p;
	struct wl_config *config;
	struct loop_timer *timer;
	loop_fn *changed;
	void *arg;
	int64_t period;
	int64_t revision;
	int64_t proved;
	int64_t asked;
	bool asking;
	bool lost;
	bool freed;
	GArray *waiters;
};

static void ask(struct config_feed *f);

/* The newest configuration, or NULL before the first. */
const struct wl_config *config_feed_get(const struct config_feed *f)
{
	return f->config;
}

int64_t config_feed_age(const struct config_feed *f)
{
	return f->proved == 0 ? INT64_MAX : loop_now(f->p->loop) - f->proved;
}

int64_t config_feed_proved(const struct config_feed *f)
{
	return f->proved;
}

/* Put a document in force, unless it is older than what we have. */
static void adopt(struct config_feed *f, const struct kv_item *item)
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
	f->changed(f->arg);
	wl_config_free(old);
}

/* Take what an answer shows of the configuration. */
void config_feed_offer(struct config_feed *f, const struct kv_result *r)
{
	if (r->status == KV_OK)
		f->proved = MAX(f->proved, r->sent);
	for (size_t i = 0; i < r->items_len; i++) {
		if (g_strcmp0(r->items[i].key, PF_CONFIG_KEY) != 0)
			continue;
		adopt(f, &r->items[i]);
		f->proved = MAX(f->proved, r->sent);
	}
}

/* Call those whose wish is met, or all of them. */
static void wake(struct config_feed *f, bool all)
{
	for (guint i = 0; i < f->waiters->len;) {
		struct waiter w = g_array_index(f->waiters, struct waiter, i);

		if (!all && f->proved < w.since) {
			i++;
			continue;
		}
		g_array_remove_index(f->waiters, i);
		w.fn(w.arg);
	}
}

/* The store answered. */
static void answered(const struct kv_result *r, void *arg)
{
	struct config_feed *f = arg;
	bool ok = r->status == KV_OK || r->status == KV_CONFLICT;

	f->asking = false;
	if (f->freed) {
		config_feed_free(f);
		return;
	}
	config_feed_offer(f, r);
	if (ok && f->lost)
		event_log(EV_STORE_BACK, "gap_ms=%" PRId64,
			(loop_now(f->p->loop) - f->asked) / NSEC_PER_MSEC);
	if (!ok && !f->lost)
		event_log(EV_STORE_LOST, "call=config status=%s age_ms=%" PRId64,
			kv_status_name(r->status),
			f->proved > 0 ? config_feed_age(f) / NSEC_PER_MSEC : -1);
	f->lost = !ok;
	wake(f, !ok);
	if (f->waiters->len > 0)
		ask(f);
}

/* Ask whether the revision still stands. */
static void ask(struct config_feed *f)
{
	struct kv_txn t = {.expect_len = 1};

	if (f->asking)
		return;
	f->asking = true;
	f->asked = loop_now(f->p->loop);
	if (f->revision == 0) {
		kv_get(f->p->kv, PF_CONFIG_KEY, KV_READ_EXACT, answered, f);
		return;
	}
	t.expect[0] = (struct kv_expect){PF_CONFIG_KEY, f->revision};
	kv_commit(f->p->kv, &t, answered, f);
}

/* The proof grows old. */
static void on_timer(void *arg)
{
	struct config_feed *f = arg;

	if (config_feed_age(f) >= f->period)
		ask(f);
}

/* Have a proof that was asked for after since. */
void config_feed_prove(struct config_feed *f, int64_t since, loop_fn *fn, void *arg)
{
	struct waiter w = {.since = since, .fn = fn, .arg = arg};

	if (f->proved >= since) {
		fn(arg);
		return;
	}
	g_array_append_val(f->waiters, w);
	ask(f);
}

/* Follow the configuration; a proof is never older than period while the store answers. */
struct config_feed *config_feed_new(
	struct wl_process *p, int64_t period, loop_fn *changed, void *arg)
{
	struct config_feed *f = xcalloc(1, sizeof(*f));

	f->p = p;
	f->changed = changed;
	f->arg = arg;
	f->period = period;
	f->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	f->timer = loop_timer_add(p->loop, period / 4, period / 4, on_timer, f);
	ask(f);
	return f;
}

/* Free a feed, once its call under way has ended. */
void config_feed_free(struct config_feed *f)
{
	if (f == NULL)
		return;
	f->freed = true;
	if (f->timer != NULL)
		loop_timer_del(f->p->loop, f->timer);
	f->timer = NULL;
	if (f->asking)
		return;
	g_array_unref(f->waiters);
	wl_config_free(f->config);
	free(f);
}
