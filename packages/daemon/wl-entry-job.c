#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

COUNTER(accepted_total, "damaskpath_jobs_accepted_total", "Jobs accepted.");
COUNTER(refused_total, "damaskpath_jobs_refused_total", "Submissions refused.");
COUNTER(unsure_total, "damaskpath_jobs_unsure_total",
	"Submissions of which it is not known whether they were accepted.");
HISTOGRAM(submit_seconds, "damaskpath_submit_seconds", "Time to answer a submission.");
HISTOGRAM(state_seconds, "damaskpath_state_seconds", "Time to answer for a job's state.");

/* A configuration that was proved so long before a call's arrival still counts. */
#define CONFIG_SLACK (300 * NSEC_PER_MSEC)
/* A submission is written again so often while the store does not answer. */
#define TRIES_MAX 6
/*
 * How long the store may take for a submission the first time, and again: a lost answer shows
 * early, and a slow store still has the time that it needs on its slowest days.
 */
#define FIRST_PATIENCE (350 * NSEC_PER_MSEC)
#define AGAIN_PATIENCE (600 * NSEC_PER_MSEC)
/* A store that has answered nothing for so long is taken to be down. */
#define STORE_SILENCE	  (600 * NSEC_PER_MSEC)
#define RETRY_AFTER_S	  1
#define RETRY_AFTER_MAX_S 4
/* The depth of the queues is counted again after this. */
#define DEPTH_MAX_AGE (700 * NSEC_PER_MSEC)

static void submit(struct entry_call *c);
static void cancel(struct entry_call *c);

/* Free a call that was answered. */
static void call_free(struct entry_call *c)
{
	c->entry->open--;
	free(c->host);
	free(c->path);
	free(c->key);
	free(c->id);
	free(c->org);
	free((char *)c->queue);
	fields_clear(&wl_spec_fields, &c->spec);
	free(c);
}

/* Answer and free. */
static void answer(struct entry_call *c, int status, const char *body)
{
	if (c->entry->stopping)
		http_reply_header(c->request, "Connection", "close");
	if (body != NULL)
		http_reply_text(c->request, status, "application/json", body);
	else
		http_reply(c->request, status, NULL, "", 0);
	call_free(c);
}

/*
 * Seconds that an outage of the store has lasted: it is likely to go on for as long again, and
 * callers come back only a few times.
 */
static int outage_s(const struct wl_entry *e)
{
	int64_t age = config_feed_age(e->feed);

	return age == INT64_MAX ? 1 : (int)MIN(age / NSEC_PER_SEC, RETRY_AFTER_MAX_S);
}

/* Refuse with a reason, and the time after which to come again where that helps. */
void entry_call_deny(struct entry_call *c, int status, int retry_after_s, const char *reason)
{
	AUTOFREE char *body = NULL;
	g_autofree char *after = NULL;

	event_log(EV_DENY, "path=%s status=%d reason=\"%s\" config_age_ms=%" PRId64, c->path,
		status, reason,
		MIN(config_feed_age(c->entry->feed) / NSEC_PER_MSEC, (int64_t)1000000));
	if (c->kind == PF_CALL_SUBMIT)
		counter_add(status == 504 ? &unsure_total : &refused_total, 1);
	if (retry_after_s > 0)
		after = g_strdup_printf("%d", MAX(retry_after_s, outage_s(c->entry)));
	if (after != NULL)
		http_reply_header(c->request, "Retry-After", after);
	xasprintf(&body, "{\"reason\":\"%s\"}", reason);
	answer(c, status, body);
}

/* Whether the store's silence has used up the caller's time. */
static bool out_of_time(const struct entry_call *c)
{
	return c->tries >= TRIES_MAX || loop_now(c->entry->p->loop) >= c->deadline;
}

/* The call may be valid only as long as its configuration stands: look it up again. */
static void route_again(struct entry_call *c)
{
	free((char *)c->queue);
	free(c->org);
	c->queue = NULL;
	c->org = NULL;
	entry_call_route(c);
}

/* The store answered to a submission. */
static void submitted(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;
	struct config_feed *feed = c->entry->feed;
	const struct wl_config *config = config_feed_get(feed);
	int64_t before = config != NULL ? config->revision : 0;
	bool exists = false;
	int64_t now = loop_now(c->entry->p->loop);

	config_feed_observe(feed, r);
	for (size_t i = 0; i < r->items_len; i++) {
		if (g_str_has_prefix(r->items[i].key, KEY_JOB) && r->items[i].revision > 0)
			exists = true;
	}
	switch (r->status) {
	case KV_OK:
	case KV_CONFLICT:
		if (r->status == KV_OK || exists) {
			event_log(EV_SUBMIT,
				"job=%s queue=%s org=%s status=200 reason=%s config=%" PRId64
				" took_ms=%" PRId64,
				c->id, c->queue, c->org ? c->org : "-",
				r->status == KV_OK ? "stored" : "known", before,
				(now - c->arrived) / NSEC_PER_MSEC);
			counter_add(&accepted_total, 1);
			histogram_add(&submit_seconds, now - c->arrived);
			answer(c, 200, NULL);
			return;
		}
		c->tries++;
		if (out_of_time(c))
			entry_call_deny(c, c->outcome_unknown ? 504 : 503, RETRY_AFTER_S,
				"the configuration keeps changing");
		else
			route_again(c);
		return;
	case KV_REFUSED:
	case KV_MISSING:
		if (!c->outcome_unknown) {
			entry_call_deny(c, 503, RETRY_AFTER_S, "the store refuses");
			return;
		}
		break;
	case KV_UNSURE:
		if (c->outcome_unknown)
			c->tries = TRIES_MAX;
		c->outcome_unknown = true;
		break;
	}
	c->tries++;
	if (out_of_time(c))
		entry_call_deny(c, 504, RETRY_AFTER_S, "it is not known whether it was stored");
	else
		submit(c);
}

/* Store a job, on the condition that it is new and that the configuration still stands. */
static void submit(struct entry_call *c)
{
	struct wl_progress progress = {
		.state = WL_QUEUED, .queue = (char *)c->queue, .org = c->org};
	const struct wl_config *config = config_feed_get(c->entry->feed);
	struct bytes spec = fields_encode(&wl_spec_fields, &c->spec);
	struct bytes state = fields_encode(&wl_progress_fields, &progress);
	AUTOFREE char *job_key = NULL;
	AUTOFREE char *state_key = NULL;
	struct kv_txn t = {.expect_len = 2, .write_len = 2};

	xasprintf(&job_key, KEY_JOB "%s", c->id);
	xasprintf(&state_key, KEY_PROGRESS "%s", c->id);
	t.expect[0] = (struct kv_expect){PF_CONFIG_KEY, config->revision};
	t.expect[1] = (struct kv_expect){job_key, 0};
	t.write[0] = (struct kv_write){job_key, spec.data, spec.len, 0};
	t.write[1] = (struct kv_write){state_key, state.data, state.len, 0};
	t.timeout = c->outcome_unknown ? AGAIN_PATIENCE : FIRST_PATIENCE;
	kv_commit(c->entry->p->kv, &t, submitted, c);
	bytes_clear(&spec);
	bytes_clear(&state);
}

/* A submission whose queue and organisation are known. */
static void begin_submit(struct entry_call *c, const struct wl_queue *q)
{
	g_autoptr(GError) err = NULL;

	if (c->spec.steps == NULL) {
		c->spec.id = xstrdup(c->id);
		if (!pf_job_parse(http_body(c->request), &c->spec, &err)) {
			entry_call_deny(c, 400, 0, err->message);
			return;
		}
		c->spec.accepted_ms = clock_wall(loop_clock(c->entry->p->loop)) / NSEC_PER_MSEC;
	}
	free(c->spec.queue);
	free(c->spec.service);
	free(c->spec.org);
	c->spec.queue = xstrdup(c->queue);
	c->spec.service = xstrdup(q->service);
	c->spec.org = xstrdup(c->org);
	submit(c);
}

/* Decode stored progress that the caller may see. */
static bool visible(
	const struct entry_call *c, const struct kv_result *r, struct wl_progress *p)
{
	g_autoptr(GError) err = NULL;

	if (r->status != KV_OK || r->items_len == 0)
		return false;
	if (!fields_decode(&wl_progress_fields, p, r->items[0].value.data,
		    r->items[0].value.len, &err)) {
		event_log(EV_BAD_INPUT, "from=store what=\"%s: %s\"", r->items[0].key,
			err->message);
		return false;
	}
	if (g_strcmp0(p->org, c->org) == 0)
		return true;
	fields_clear(&wl_progress_fields, p);
	return false;
}

/* The state of a job was read. */
static void state_read(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;
	struct wl_progress p = {0};
	AUTOFREE char *body = NULL;
	uint32_t state;

	if (r->status == KV_REFUSED || r->status == KV_UNSURE) {
		entry_call_deny(c, 503, RETRY_AFTER_S, "the store does not answer");
		return;
	}
	histogram_add(&state_seconds, loop_now(c->entry->p->loop) - c->arrived);
	if (!visible(c, r, &p)) {
		event_log(EV_QUERY, "job=%s status=410", c->id);
		answer(c, 410, NULL);
		return;
	}
	state = p.state;
	fields_clear(&wl_progress_fields, &p);
	event_log(EV_QUERY, "job=%s status=200 state=%s", c->id, wl_state_name(state));
	body = pf_state_body(state);
	answer(c, 200, body);
}

/* The store answered to a cancellation. */
static void cancelled(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;

	config_feed_observe(c->entry->feed, r);
	if (r->status == KV_OK) {
		event_log(EV_CANCEL, "job=%s status=200", c->id);
		answer(c, 200, NULL);
		return;
	}
	c->tries++;
	if (out_of_time(c) || r->status == KV_REFUSED)
		entry_call_deny(c, 503, RETRY_AFTER_S, "the store does not answer");
	else if (r->status == KV_CONFLICT)
		route_again(c);
	else
		cancel(c);
}

/* Whether there is such a job to cancel. */
static void cancel_read(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;
	const struct wl_config *config = config_feed_get(c->entry->feed);
	struct wl_progress p = {0};
	AUTOFREE char *key = NULL;
	struct kv_txn t = {.expect_len = 1, .write_len = 1};
	uint32_t state;

	if (r->status == KV_REFUSED || r->status == KV_UNSURE) {
		c->tries++;
		if (out_of_time(c) || r->status == KV_REFUSED)
			entry_call_deny(c, 503, RETRY_AFTER_S, "the store does not answer");
		else
			cancel(c);
		return;
	}
	if (!visible(c, r, &p)) {
		event_log(EV_CANCEL, "job=%s status=410", c->id);
		answer(c, 410, NULL);
		return;
	}
	state = p.state;
	fields_clear(&wl_progress_fields, &p);
	if (wl_state_ended(state)) {
		event_log(EV_CANCEL, "job=%s status=200 state=%s", c->id, wl_state_name(state));
		answer(c, 200, NULL);
		return;
	}
	xasprintf(&key, KEY_CANCEL "%s", c->id);
	t.expect[0] = (struct kv_expect){PF_CONFIG_KEY, config->revision};
	t.write[0] = (struct kv_write){key, "", 0, 0};
	kv_commit(c->entry->p->kv, &t, cancelled, c);
}

/* Cancel a job: read it, then write the wish. */
static void cancel(struct entry_call *c)
{
	AUTOFREE char *key = NULL;

	xasprintf(&key, KEY_PROGRESS "%s", c->id);
	kv_get(c->entry->p->kv, key, KV_READ_EXACT, cancel_read, c);
}

/* Answer with the depth of a queue. */
static void answer_depth(struct entry_call *c)
{
	uint64_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(c->entry->queue_depth, c->queue));
	AUTOFREE char *body = pf_depth_body(n);

	answer(c, 200, body);
}

static void ask_depth(struct wl_entry *e, const char *after);

/* One page of the progress records was read: count those that have not begun. */
static void depth_read(const struct kv_result *r, void *arg)
{
	struct wl_entry *e = arg;
	g_autofree char *last = NULL;
	g_autoptr(GPtrArray) waiters = NULL;

	for (size_t i = 0; r->status == KV_OK && i < r->items_len; i++) {
		const struct kv_item *it = &r->items[i];
		struct wl_progress p = {0};
		gsize n;

		if (!fields_decode(
			    &wl_progress_fields, &p, it->value.data, it->value.len, NULL))
			continue;
		if (p.state == WL_QUEUED && p.queue != NULL) {
			n = GPOINTER_TO_SIZE(g_hash_table_lookup(e->queue_depth_next, p.queue));
			g_hash_table_replace(e->queue_depth_next, g_strdup(p.queue),
				GSIZE_TO_POINTER(n + 1));
		}
		fields_clear(&wl_progress_fields, &p);
	}
	if (r->status == KV_OK && r->more && r->items_len > 0) {
		last = g_strdup(r->items[r->items_len - 1].key);
		ask_depth(e, last);
		return;
	}
	e->queue_depth_reading = false;
	if (r->status == KV_OK) {
		g_hash_table_destroy(e->queue_depth);
		e->queue_depth = e->queue_depth_next;
		e->queue_depth_at = loop_now(e->p->loop);
	} else {
		g_hash_table_destroy(e->queue_depth_next);
	}
	e->queue_depth_next = NULL;
	waiters = g_steal_pointer(&e->queue_depth_waiters);
	e->queue_depth_waiters = g_ptr_array_new();
	for (guint i = 0; i < waiters->len; i++) {
		if (r->status == KV_OK)
			answer_depth(waiters->pdata[i]);
		else
			entry_call_deny(waiters->pdata[i], 503, RETRY_AFTER_S,
				"the store does not answer");
	}
}

/* Count the jobs that have not begun; a cheap read, as the count may be a little old. */
static void ask_depth(struct wl_entry *e, const char *after)
{
	if (e->queue_depth_next == NULL)
		e->queue_depth_next =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->queue_depth_reading = true;
	kv_list(e->p->kv, KEY_PROGRESS, after, KV_READ_STALE, depth_read, e);
}

/* Answer for a queue's depth now or once it has been counted. */
static void begin_depth(struct entry_call *c)
{
	struct wl_entry *e = c->entry;

	if (e->queue_depth_at != 0 &&
		loop_now(e->p->loop) - e->queue_depth_at < DEPTH_MAX_AGE) {
		answer_depth(c);
		return;
	}
	g_ptr_array_add(e->queue_depth_waiters, c);
	if (!e->queue_depth_reading)
		ask_depth(e, NULL);
}

/* Whose call it is; false where it was answered. */
static bool identify(
	struct entry_call *c, const struct wl_config *config, const struct wl_queue *q)
{
	const struct wl_org *org = wl_config_key(config, c->key);

	if (org == NULL && !q->open) {
		entry_call_deny(c, 401, 0, "the key is not known");
		return false;
	}
	c->org = org != NULL ? xstrdup(org->name) : NULL;
	return true;
}

/* Serve a call by the configuration, which has been proved. */
static void serve(struct entry_call *c, const struct wl_config *config)
{
	const struct wl_queue *q = wl_config_route(config, c->host, c->path);
	AUTOFREE char *key = NULL;
	const char *rest;

	if (q == NULL) {
		entry_call_deny(c, 404, 0, "there is no such queue");
		return;
	}
	rest = c->path + strlen(q->prefix);
	c->kind = pf_call_kind(http_method(c->request), rest);
	if (!identify(c, config, q))
		return;
	c->queue = xstrdup(q->name);
	if (c->id == NULL)
		c->id = g_ascii_strdown(rest, (gssize)strnlen(rest, WL_ID_LEN + 1));
	switch (c->kind) {
	case PF_CALL_SUBMIT:
		begin_submit(c, q);
		return;
	case PF_CALL_CANCEL:
		cancel(c);
		return;
	case PF_CALL_STATE:
		xasprintf(&key, KEY_PROGRESS "%s", c->id);
		kv_get(c->entry->p->kv, key, KV_READ_EXACT, state_read, c);
		return;
	case PF_CALL_DEPTH:
		begin_depth(c);
		return;
	case PF_CALL_OTHER:
		entry_call_deny(c, 405, 0, "there is no such call");
		return;
	}
}

/* The configuration is proved, or cannot be. */
static void proved(void *arg)
{
	struct entry_call *c = arg;
	struct config_feed *feed = c->entry->feed;
	const struct wl_config *config = config_feed_get(feed);

	if (config == NULL || config_feed_verified_at(feed) < c->arrived - CONFIG_SLACK) {
		entry_call_deny(c, 503, RETRY_AFTER_S, "the configuration cannot be confirmed");
		return;
	}
	serve(c, config);
}

/* Whether the store is known not to answer, so that nothing need be tried. */
static bool store_is_down(const struct wl_entry *e)
{
	return kv_silence(e->p->kv) > STORE_SILENCE;
}

/* Route a call: a submission is checked by its own transaction, others by a recent proof. */
void entry_call_route(struct entry_call *c)
{
	const struct wl_config *config = config_feed_get(c->entry->feed);

	if (store_is_down(c->entry) && !c->outcome_unknown) {
		entry_call_deny(c, 503, RETRY_AFTER_S, "the store does not answer");
		return;
	}
	if (strcmp(http_method(c->request), "POST") == 0 && config != NULL &&
		wl_config_route(config, c->host, c->path) != NULL &&
		wl_config_key(config, c->key) != NULL) {
		serve(c, config);
		return;
	}
	config_feed_refresh(c->entry->feed, c->arrived - CONFIG_SLACK, proved, c);
}
