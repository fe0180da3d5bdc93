#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

COUNTER(accepted_total, "damaskpath_jobs_accepted_total", "Jobs accepted.");
COUNTER(refused_total, "damaskpath_jobs_refused_total", "Submissions refused.");
COUNTER(id_taken_total, "damaskpath_jobs_id_taken_total",
	"Submissions refused because another job has the id.");
COUNTER(outcome_unknown_total, "damaskpath_jobs_unsure_total",
	"Submissions of which it is not known whether they were accepted.");
HISTOGRAM(submit_seconds, "damaskpath_submit_seconds", "Time to answer a submission.");
HISTOGRAM(state_seconds, "damaskpath_state_seconds", "Time to answer for a job's state.");

/* A configuration verified this long before a call's arrival still counts as current. */
#define CONFIG_VERIFY_SLACK (300 * NSEC_PER_MSEC)
/*
 * Most tries of a call. A try is a failed write of a job or of a cancellation, or a failed read
 * of the state of a job to cancel. A write that fails because the configuration has changed
 * counts once; the routing that follows does not count. Other failed reads (of a state that is
 * asked for, of queue depths, of the configuration) don't count either. A submission is given
 * up earlier, after the second write without an answer.
 */
#define STORE_TRIES_MAX 6
/*
 * Timeouts of the first write of a submission and of its retries: the short first one detects a
 * lost answer early, the longer one covers the slowest answers of a slow store.
 */
#define FIRST_SUBMIT_TIMEOUT (350 * NSEC_PER_MSEC)
#define SUBMIT_RETRY_TIMEOUT (600 * NSEC_PER_MSEC)
/* A store that has answered nothing for this long is considered down. */
#define STORE_DOWN_TIMEOUT (600 * NSEC_PER_MSEC)
#define RETRY_AFTER_S	   1
#define RETRY_AFTER_MAX_S  4
/* A count of the queue depths is reused for this long. */
#define QUEUE_DEPTH_AGE_MAX (700 * NSEC_PER_MSEC)

/*
 * How long the cancellation of a job that the store doesn't have is kept, at least and at most.
 * A write of the job that got no answer is carried out within seconds.
 */
#define EARLY_CANCEL_KEEP_MIN (30 * NSEC_PER_SEC)
#define EARLY_CANCEL_KEEP_MS  60000

static void store_job(struct entry_call *c);
static void cancel_job(struct entry_call *c);

static void entry_call_free(struct entry_call *c)
{
	c->entry->open--;
	free(c->host);
	free(c->path);
	free(c->api_key);
	free(c->id);
	free(c->org);
	free(c->address);
	free((char *)c->queue);
	fields_clear(&wl_spec_fields, &c->spec);
	free(c);
}

/* Answers a call and frees it. */
static void reply(struct entry_call *c, int status, const char *body)
{
	if (c->entry->stopping)
		http_reply_header(c->request, "Connection", "close");
	if (body != NULL)
		http_reply_text(c->request, status, "application/json", body);
	else
		http_reply(c->request, status, NULL, "", 0);
	entry_call_free(c);
}

/*
 * Retry-After for an outage of the store: the seconds it has lasted so far, as it is likely to
 * last as long again, and callers retry only a few times.
 */
static int outage_retry_after_s(const struct wl_entry *e)
{
	int64_t age = config_feed_age(e->feed);

	return age == INT64_MAX ? 1 : (int)MIN(age / NSEC_PER_SEC, RETRY_AFTER_MAX_S);
}

/* Answers with an error; retry_after_s is 0 if a retry doesn't help. */
void entry_call_reply_error(
	struct entry_call *c, int status, int retry_after_s, const char *reason)
{
	AUTOFREE char *body = NULL;
	g_autofree char *after = NULL;

	/* A refusal would say that the job doesn't run. */
	if (c->kind == PF_CALL_SUBMIT && c->outcome_unknown && status != 504) {
		status = 504;
		retry_after_s = RETRY_AFTER_S;
	}
	event_log(EV_DENY, "path=%s status=%d reason=\"%s\" config_age_ms=%" PRId64, c->path,
		status, reason,
		MIN(config_feed_age(c->entry->feed) / NSEC_PER_MSEC, (int64_t)1000000));
	if (c->kind == PF_CALL_SUBMIT)
		counter_add(status == 504 ? &outcome_unknown_total : &refused_total, 1);
	if (retry_after_s > 0)
		after = g_strdup_printf(
			"%d", MAX(retry_after_s, outage_retry_after_s(c->entry)));
	if (after != NULL)
		http_reply_header(c->request, "Retry-After", after);
	xasprintf(&body, "{\"reason\":\"%s\"}", reason);
	reply(c, status, body);
}

/* Whether the call's tries or its time are used up. */
static bool retries_exhausted(const struct entry_call *c)
{
	return c->tries >= STORE_TRIES_MAX || loop_now(c->entry->p->loop) >= c->deadline;
}

/* Routes the call again, after the configuration by which it was routed was replaced. */
static void reroute(struct entry_call *c)
{
	free((char *)c->queue);
	free(c->org);
	free(c->address);
	free(c->id);
	c->queue = NULL;
	c->org = NULL;
	c->address = NULL;
	c->id = NULL;
	entry_call_route(c);
}

/* Who calls, as the owner of a job; the strings stay the call's. */
static struct wl_owner call_owner(const struct entry_call *c)
{
	return (struct wl_owner){
		.org = c->org, .queue = (char *)c->queue, .address = c->address};
}

/* Tells the coordinator of a key that was stored for a call. */
static void note_stored(const struct entry_call *c, const char *prefix)
{
	AUTOFREE char *key = NULL;

	xasprintf(&key, "%s%s", prefix, c->id);
	wl_detour_note_stored(c->entry->p->detour, key);
}

/* What is stored under the id of a submission. */
enum id_use {
	ID_FREE,
	ID_SAME_JOB,  /* this submission */
	ID_OTHER_JOB, /* one of another owner, or another one of this caller's */
	ID_UNREADABLE
};

/* What the conflict of a submission tells of its id. */
static enum id_use read_id_use(const struct entry_call *c, const struct kv_result *r)
{
	for (size_t i = 0; i < r->items_len; i++) {
		const struct kv_item *it = &r->items[i];
		struct wl_spec stored = {0};
		g_autoptr(GError) err = NULL;
		bool same;

		if (!g_str_has_prefix(it->key, KEY_JOB) || it->revision == 0)
			continue;
		if (!fields_decode(
			    &wl_spec_fields, &stored, it->value.data, it->value.len, &err)) {
			event_log(EV_BAD_INPUT, "from=store what=\"%s: %s\"", it->key,
				err->message);
			return ID_UNREADABLE;
		}
		same = wl_spec_same(&stored, &c->spec);
		fields_clear(&wl_spec_fields, &stored);
		return same ? ID_SAME_JOB : ID_OTHER_JOB;
	}
	return ID_FREE;
}

/*
 * Refuses a submission whose id another job has: workers know runs by the id alone, so that two
 * jobs can't share one. The id is free again once that job has ended and its record is removed.
 */
static void refuse_taken_id(struct entry_call *c)
{
	counter_add(&id_taken_total, 1);
	entry_call_reply_error(c, 429,
		(int)(c->entry->p->settings.ended_retention / NSEC_PER_SEC),
		"another job has this id");
}

/* Answers a submission that is stored now, or was by an earlier call. */
static void reply_accepted(struct entry_call *c, const char *reason)
{
	int64_t took = loop_now(c->entry->p->loop) - c->arrived;

	event_log(EV_SUBMIT,
		"job=%s queue=%s org=%s status=200 reason=%s config=%" PRId64
		" took_ms=%" PRId64,
		c->id, c->queue, c->org ? c->org : "-", reason, c->config_revision,
		took / NSEC_PER_MSEC);
	counter_add(&accepted_total, 1);
	note_stored(c, KEY_JOB);
	histogram_add(&submit_seconds, took);
	reply(c, 200, NULL);
}

static void on_submit_stored(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;
	enum id_use use;
	bool config_changed = false;

	config_feed_apply_result(c->entry->feed, r);
	for (size_t i = 0; i < r->items_len; i++) {
		const struct kv_item *it = &r->items[i];

		if (strcmp(it->key, PF_CONFIG_KEY) == 0)
			config_changed = it->revision != c->config_revision;
	}
	switch (r->status) {
	case KV_OK:
		reply_accepted(c, "stored");
		return;
	case KV_CONFLICT:
		use = read_id_use(c, r);
		if (use != ID_FREE && !config_changed) {
			if (use == ID_SAME_JOB)
				reply_accepted(c, "known");
			else if (use == ID_OTHER_JOB)
				refuse_taken_id(c);
			else
				entry_call_reply_error(c, 503, RETRY_AFTER_S,
					"the job under this id can't be read");
			return;
		}
		/* Earlier writes of this call required an older configuration too. */
		if (use == ID_FREE && config_changed)
			c->outcome_unknown = false;
		c->tries++;
		if (retries_exhausted(c))
			entry_call_reply_error(
				c, 503, RETRY_AFTER_S, "the configuration keeps changing");
		else
			reroute(c);
		return;
	case KV_REFUSED:
	case KV_NOT_FOUND:
		if (!c->outcome_unknown) {
			entry_call_reply_error(c, 503, RETRY_AFTER_S, "the store refuses");
			return;
		}
		break;
	case KV_OUTCOME_UNKNOWN:
		if (c->outcome_unknown)
			c->tries = STORE_TRIES_MAX;
		c->outcome_unknown = true;
		break;
	}
	c->tries++;
	if (retries_exhausted(c))
		entry_call_reply_error(
			c, 504, RETRY_AFTER_S, "it is not known whether it was stored");
	else
		store_job(c);
}

/*
 * Stores a job, on condition that it is new and that the configuration by which the call was
 * routed is still in force.
 */
static void store_job(struct entry_call *c)
{
	struct wl_progress progress = {.state = WL_QUEUED,
		.queue = (char *)c->queue,
		.org = c->org,
		.address = c->address};
	struct bytes spec = fields_encode(&wl_spec_fields, &c->spec);
	struct bytes progress_record = fields_encode(&wl_progress_fields, &progress);
	AUTOFREE char *job_key = NULL;
	AUTOFREE char *progress_key = NULL;
	struct kv_txn t = {.expect_len = 2, .write_len = 2};

	xasprintf(&job_key, KEY_JOB "%s", c->id);
	xasprintf(&progress_key, KEY_PROGRESS "%s", c->id);
	t.expect[0] = (struct kv_condition){PF_CONFIG_KEY, c->config_revision};
	t.expect[1] = (struct kv_condition){job_key, 0};
	t.write[0] = (struct kv_write){job_key, spec.data, spec.len, 0};
	t.write[1] =
		(struct kv_write){progress_key, progress_record.data, progress_record.len, 0};
	t.timeout = c->outcome_unknown ? SUBMIT_RETRY_TIMEOUT : FIRST_SUBMIT_TIMEOUT;
	kv_commit(c->entry->p->kv, &t, on_submit_stored, c);
	bytes_clear(&spec);
	bytes_clear(&progress_record);
}

/*
 * Begins a submission by a call whose queue and organisation are set. Parses the job at the
 * first routing; sets its queue, service and organisation at each.
 */
static void begin_submit(struct entry_call *c, const struct wl_queue *q)
{
	g_autoptr(GError) err = NULL;

	free(c->spec.id);
	c->spec.id = xstrdup(c->id);
	if (c->spec.steps == NULL) {
		if (!pf_job_parse(http_body(c->request), &c->spec, &err)) {
			entry_call_reply_error(c, 400, 0, err->message);
			return;
		}
		c->spec.accepted_ms = clock_wall(loop_clock(c->entry->p->loop)) / NSEC_PER_MSEC;
	} else if (!wl_spec_check(&c->spec, &err)) {
		entry_call_reply_error(c, 400, 0, err->message);
		return;
	}
	free(c->spec.queue);
	free(c->spec.service);
	free(c->spec.org);
	free(c->spec.address);
	c->spec.queue = xstrdup(c->queue);
	c->spec.service = xstrdup(q->service);
	c->spec.org = xstrdup(c->org);
	c->spec.address = xstrdup(c->address);
	wl_queue_settings(q, &c->spec.settings);
	store_job(c);
}

/* What a caller may see of a job. */
enum progress_view {
	PROGRESS_VISIBLE,
	PROGRESS_HIDDEN, /* there is no such job, or it is another owner's */
	PROGRESS_UNREADABLE
};

/* Decodes the progress of a caller's job. */
static enum progress_view decode_progress(
	const struct entry_call *c, const struct kv_result *r, struct wl_progress *p)
{
	const struct wl_owner caller = call_owner(c);
	struct wl_owner owner;
	g_autoptr(GError) err = NULL;

	if (r->status == KV_NOT_FOUND)
		return PROGRESS_HIDDEN;
	if (r->items_len == 0)
		return PROGRESS_UNREADABLE;
	if (!fields_decode(&wl_progress_fields, p, r->items[0].value.data,
		    r->items[0].value.len, &err)) {
		event_log(EV_BAD_INPUT, "from=store what=\"%s: %s\"", r->items[0].key,
			err->message);
		return PROGRESS_UNREADABLE;
	}
	owner = wl_progress_owner(p);
	if (wl_owner_same(&owner, &caller))
		return PROGRESS_VISIBLE;
	fields_clear(&wl_progress_fields, p);
	return PROGRESS_HIDDEN;
}

static void on_state_read(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;
	struct wl_progress p = {0};
	AUTOFREE char *body = NULL;
	uint32_t state;

	if (r->status == KV_REFUSED || r->status == KV_OUTCOME_UNKNOWN) {
		entry_call_reply_error(c, 503, RETRY_AFTER_S, "the store does not answer");
		return;
	}
	histogram_add(&state_seconds, loop_now(c->entry->p->loop) - c->arrived);
	switch (decode_progress(c, r, &p)) {
	case PROGRESS_VISIBLE:
		break;
	case PROGRESS_HIDDEN:
		event_log(EV_QUERY, "job=%s status=410", c->id);
		reply(c, 410, NULL);
		return;
	case PROGRESS_UNREADABLE:
		entry_call_reply_error(c, 503, RETRY_AFTER_S, "the job can't be read");
		return;
	}
	state = p.state;
	fields_clear(&wl_progress_fields, &p);
	event_log(EV_QUERY, "job=%s status=200 state=%s", c->id, wl_state_name(state));
	body = pf_state_body(state);
	reply(c, 200, body);
}

static void on_cancel_stored(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;

	config_feed_apply_result(c->entry->feed, r);
	if (r->status == KV_OK) {
		event_log(EV_CANCEL, "job=%s status=200", c->id);
		note_stored(c, KEY_CANCEL);
		reply(c, 200, NULL);
		return;
	}
	c->tries++;
	if (retries_exhausted(c) || r->status == KV_REFUSED)
		entry_call_reply_error(c, 503, RETRY_AFTER_S, "the store does not answer");
	else if (r->status == KV_CONFLICT)
		reroute(c);
	else
		cancel_job(c);
}

/* What follows KEY_CANCEL in the key of an early cancellation. */
static char *early_cancel_name(const struct entry_call *c)
{
	const char *org = c->org != NULL ? c->org : "";
	char *out;

	xasprintf(&out, "%s.%016" PRIx64, c->id,
		(uint64_t)XXH64(
			c->queue, strlen(c->queue), XXH64(org, strlen(org), c->org != NULL)));
	return out;
}

static void on_early_cancel_stored(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;
	AUTOFREE char *key = NULL;
	AUTOFREE char *name = early_cancel_name(c);

	config_feed_apply_result(c->entry->feed, r);
	if (r->status == KV_OK) {
		event_log(EV_CANCEL, "job=%s status=410", c->id);
		xasprintf(&key, KEY_CANCEL "%s", name);
		wl_detour_note_stored(c->entry->p->detour, key);
		reply(c, 410, NULL);
		return;
	}
	/* The store lease has ended. */
	if (r->status == KV_NOT_FOUND)
		c->entry->cancel_lease = 0;
	c->tries++;
	if (retries_exhausted(c) || r->status == KV_REFUSED)
		entry_call_reply_error(c, 503, RETRY_AFTER_S, "the store does not answer");
	else if (r->status == KV_CONFLICT)
		reroute(c);
	else
		cancel_job(c);
}

/*
 * Stores the cancellation of a job that the store doesn't have, for a time: a submission
 * without an answer may be carried out after this.
 */
static void store_early_cancel(struct entry_call *c)
{
	const struct wl_owner owner = call_owner(c);
	struct bytes value = fields_encode(&wl_owner_fields, &owner);
	struct kv_txn t = {.expect_len = 2, .write_len = 1};
	AUTOFREE char *name = early_cancel_name(c);
	AUTOFREE char *key = NULL;
	AUTOFREE char *progress_key = NULL;

	xasprintf(&key, KEY_CANCEL "%s", name);
	xasprintf(&progress_key, KEY_PROGRESS "%s", c->id);
	t.expect[0] = (struct kv_condition){PF_CONFIG_KEY, c->config_revision};
	t.expect[1] = (struct kv_condition){progress_key, 0};
	t.write[0] = (struct kv_write){key, value.data, value.len, c->entry->cancel_lease};
	kv_commit(c->entry->p->kv, &t, on_early_cancel_stored, c);
	bytes_clear(&value);
}

static void on_cancel_lease_granted(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;

	if (r->status != KV_OK) {
		entry_call_reply_error(c, 503, RETRY_AFTER_S, "the store does not answer");
		return;
	}
	c->entry->cancel_lease = r->lease;
	c->entry->cancel_lease_until = r->sent + r->ttl_ms * NSEC_PER_MSEC;
	store_early_cancel(c);
}

/* Cancels a job that the store doesn't have, under a store lease that is left to expire. */
static void begin_early_cancel(struct entry_call *c)
{
	struct wl_entry *e = c->entry;

	if (e->cancel_lease != 0 &&
		e->cancel_lease_until - loop_now(e->p->loop) >= EARLY_CANCEL_KEEP_MIN)
		store_early_cancel(c);
	else
		kv_lease_grant(e->p->kv, EARLY_CANCEL_KEEP_MS, on_cancel_lease_granted, c);
}

/* Stores the request to cancel, unless the job is another's or has ended. */
static void on_cancel_state_read(const struct kv_result *r, void *arg)
{
	struct entry_call *c = arg;
	struct wl_progress p = {0};
	AUTOFREE char *key = NULL;
	AUTOFREE char *value = NULL;
	struct kv_txn t = {.expect_len = 1, .write_len = 1};
	uint32_t state;

	if (r->status == KV_REFUSED || r->status == KV_OUTCOME_UNKNOWN) {
		c->tries++;
		if (retries_exhausted(c) || r->status == KV_REFUSED)
			entry_call_reply_error(
				c, 503, RETRY_AFTER_S, "the store does not answer");
		else
			cancel_job(c);
		return;
	}
	if (r->status == KV_NOT_FOUND) {
		begin_early_cancel(c);
		return;
	}
	switch (decode_progress(c, r, &p)) {
	case PROGRESS_VISIBLE:
		break;
	case PROGRESS_HIDDEN:
		event_log(EV_CANCEL, "job=%s status=410", c->id);
		reply(c, 410, NULL);
		return;
	case PROGRESS_UNREADABLE:
		entry_call_reply_error(c, 503, RETRY_AFTER_S, "the job can't be read");
		return;
	}
	state = p.state;
	xasprintf(&value, "%s%s", CANCEL_BY, p.org != NULL ? p.org : "");
	fields_clear(&wl_progress_fields, &p);
	if (wl_state_ended(state)) {
		event_log(EV_CANCEL, "job=%s status=200 state=%s", c->id, wl_state_name(state));
		reply(c, 200, NULL);
		return;
	}
	xasprintf(&key, KEY_CANCEL "%s", c->id);
	t.expect[0] = (struct kv_condition){PF_CONFIG_KEY, c->config_revision};
	t.write[0] = (struct kv_write){key, value, strlen(value), 0};
	kv_commit(c->entry->p->kv, &t, on_cancel_stored, c);
}

/* Cancels a job; its state is read first. */
static void cancel_job(struct entry_call *c)
{
	AUTOFREE char *key = NULL;

	xasprintf(&key, KEY_PROGRESS "%s", c->id);
	kv_get(c->entry->p->kv, key, KV_READ_LINEARIZABLE, on_cancel_state_read, c);
}

static void reply_depth(struct entry_call *c)
{
	uint64_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(c->entry->queue_depth, c->queue));
	AUTOFREE char *body = pf_depth_body(n);

	reply(c, 200, body);
}

static void read_depth_page(struct wl_entry *e, const char *after);

/* The name by which the configuration knows a waiting job's queue, which may be renamed. */
static const char *depth_queue(const struct wl_entry *e, const struct wl_progress *p)
{
	const struct wl_config *config = config_feed_get(e->feed);

	if (config == NULL || p->address == NULL || wl_config_queue(config, p->queue) != NULL)
		return p->queue;
	for (guint i = 0; i < config->queues->len; i++) {
		const struct wl_queue *q = config->queues->pdata[i];
		AUTOFREE char *address = wl_queue_address(q);

		if (strcmp(address, p->address) == 0)
			return q->name;
	}
	return p->queue;
}

/* Counts the jobs that have not started in one page of the progress records. */
static void on_depth_page_read(const struct kv_result *r, void *arg)
{
	struct wl_entry *e = arg;
	g_autoptr(GPtrArray) waiters = NULL;

	for (size_t i = 0; r->status == KV_OK && i < r->items_len; i++) {
		const struct kv_item *it = &r->items[i];
		struct wl_progress p = {0};
		gsize n;

		if (!fields_decode(
			    &wl_progress_fields, &p, it->value.data, it->value.len, NULL))
			continue;
		if (p.state == WL_QUEUED && p.queue != NULL) {
			const char *queue = depth_queue(e, &p);

			n = GPOINTER_TO_SIZE(
				g_hash_table_lookup(e->queue_depth_partial, queue));
			g_hash_table_replace(e->queue_depth_partial, g_strdup(queue),
				GSIZE_TO_POINTER(n + 1));
		}
		fields_clear(&wl_progress_fields, &p);
	}
	if (r->status == KV_OK && r->has_more) {
		read_depth_page(e, r->last_key);
		return;
	}
	e->queue_depth_reading = false;
	if (r->status == KV_OK) {
		g_hash_table_destroy(e->queue_depth);
		e->queue_depth = e->queue_depth_partial;
		e->queue_depth_at = loop_now(e->p->loop);
	} else {
		g_hash_table_destroy(e->queue_depth_partial);
	}
	e->queue_depth_partial = NULL;
	waiters = g_steal_pointer(&e->queue_depth_waiters);
	e->queue_depth_waiters = g_ptr_array_new();
	for (guint i = 0; i < waiters->len; i++) {
		if (r->status == KV_OK)
			reply_depth(waiters->pdata[i]);
		else
			entry_call_reply_error(waiters->pdata[i], 503, RETRY_AFTER_S,
				"the store does not answer");
	}
}

/* Reads the next page of progress records; a stale read is cheap and recent enough here. */
static void read_depth_page(struct wl_entry *e, const char *after)
{
	if (e->queue_depth_partial == NULL)
		e->queue_depth_partial =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->queue_depth_reading = true;
	kv_list(e->p->kv, KEY_PROGRESS, after, KV_READ_STALE, on_depth_page_read, e);
}

/* Answers with a queue's depth, from the last count or once it is counted again. */
static void begin_depth(struct entry_call *c)
{
	struct wl_entry *e = c->entry;

	if (e->queue_depth_at != 0 &&
		loop_now(e->p->loop) - e->queue_depth_at < QUEUE_DEPTH_AGE_MAX) {
		reply_depth(c);
		return;
	}
	g_ptr_array_add(e->queue_depth_waiters, c);
	if (!e->queue_depth_reading)
		read_depth_page(e, NULL);
}

/* Sets the call's organisation, if it has one; false if the key was refused and the call
 * answered. */
static bool authenticate(
	struct entry_call *c, const struct wl_config *config, const struct wl_queue *q)
{
	const struct wl_org *org = wl_config_org_by_key(config, c->api_key);

	if (org == NULL && !q->open) {
		entry_call_reply_error(c, 401, 0, "the key is not known");
		return false;
	}
	c->org = org != NULL ? xstrdup(org->name) : NULL;
	return true;
}

/* Carries out a call by the given configuration. */
static void dispatch(struct entry_call *c, const struct wl_config *config)
{
	const struct wl_queue *q = wl_config_route(config, c->host, c->path);
	AUTOFREE char *key = NULL;
	const char *rest;

	if (q == NULL) {
		entry_call_reply_error(c, 404, 0, "there is no such queue");
		return;
	}
	c->config_revision = config->revision;
	rest = c->path + strlen(q->prefix);
	c->kind = pf_call_kind(http_method(c->request), rest);
	if (!authenticate(c, config, q))
		return;
	c->queue = xstrdup(q->name);
	c->address = wl_queue_address(q);
	c->id = g_ascii_strdown(rest, -1);
	if ((c->kind == PF_CALL_STATE || c->kind == PF_CALL_CANCEL) && !wl_id_valid(c->id)) {
		event_log(EV_QUERY, "job=- status=410");
		reply(c, 410, NULL);
		return;
	}
	switch (c->kind) {
	case PF_CALL_SUBMIT:
		begin_submit(c, q);
		return;
	case PF_CALL_CANCEL:
		cancel_job(c);
		return;
	case PF_CALL_STATE:
		xasprintf(&key, KEY_PROGRESS "%s", c->id);
		kv_get(c->entry->p->kv, key, KV_READ_LINEARIZABLE, on_state_read, c);
		return;
	case PF_CALL_DEPTH:
		begin_depth(c);
		return;
	case PF_CALL_OTHER:
		entry_call_reply_error(c, 405, 0, "there is no such call");
		return;
	}
}

static void on_config_refreshed(void *arg)
{
	struct entry_call *c = arg;
	struct config_feed *feed = c->entry->feed;
	const struct wl_config *config = config_feed_get(feed);

	if (config == NULL ||
		config_feed_verified_at(feed) < c->arrived - CONFIG_VERIFY_SLACK) {
		entry_call_reply_error(
			c, 503, RETRY_AFTER_S, "the configuration cannot be confirmed");
		return;
	}
	dispatch(c, config);
}

/* Whether the store is down, so that trying a call would only take time. */
static bool store_is_down(const struct wl_entry *e)
{
	return kv_unanswered_ns(e->p->kv) > STORE_DOWN_TIMEOUT;
}

/*
 * Routes a call. A POST with a known queue and API key is dispatched at once: the transaction
 * that stores it verifies the configuration. All other calls wait until the configuration was
 * verified recently.
 */
void entry_call_route(struct entry_call *c)
{
	const struct wl_config *config = config_feed_get(c->entry->feed);

	if (store_is_down(c->entry) && !c->outcome_unknown) {
		entry_call_reply_error(c, 503, RETRY_AFTER_S, "the store does not answer");
		return;
	}
	if (strcmp(http_method(c->request), "POST") == 0 && config != NULL &&
		wl_config_route(config, c->host, c->path) != NULL &&
		wl_config_org_by_key(config, c->api_key) != NULL) {
		dispatch(c, config);
		return;
	}
	config_feed_refresh(
		c->entry->feed, c->arrived - CONFIG_VERIFY_SLACK, on_config_refreshed, c);
}
