#include "state.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

/*
 * A simulation of the users' platform for tests: its metadata store, and workers that run tasks
 * under leases, in one process and on one loop.
 *
 * standin-platform STORE CONFIG [door=ADDR] WORKER=APP,CONTROL[,ZONE] ...
 *
 * A worker without ZONE is in z1. door=ADDR opens a second address of the store. The payload of
 * a task is "MILLISECONDS ACCELERATORS", or "crash": the worker crashes just after the start
 * and is down for a while. POST /control on the store injects faults. All fields are optional:
 *
 *   {"down":true}        the store answers 503 to every call, and leases don't expire
 *   {"door":false}       the store answers 503 to calls on its second address
 *   {"deaf_watches":true} watches on the store tell of no change; what they answer at the end
 * of their time says that there was none
 *   {"compact":true}     the store forgets its history: watches from before that get 410
 *   {"drop_answers":3}   the next 3 transactions that write a key are committed and answered
 *                        with 500; those that only remove keys are answered as usual
 *   {"late_txns":2}      the next 2 transactions that write a key are answered with 500 and
 *                        carried out later, if their conditions hold then
 *   {"config":{...}}     a new configuration
 *   {"config_after_drop":{...}} the same, right after the next dropped answer
 *   {"crash":"WORKER"}   the worker loses its state and starts again under its id; what
 *                        late_orders delays is carried out by the new life
 *   {"born_ms":-5000}    moves the start times that workers report from their next start on
 *   {"resize":"WORKER", "accelerators":4}  the worker has another capacity from now on
 *   {"frozen":"WORKER"}  the worker goes on with its runs, answers no call and sends no
 *                        heartbeats, until "frozen" names another or none
 *   {"quiet":"WORKER"}   the worker sends no heartbeats, until "quiet" names another or none
 *   {"old_reports":"WORKER"} each heartbeat of the worker is followed by an overtaken one and
 *                        one of its previous life, both with all accelerators, until this
 *                        names another or none
 *   {"leave_report":"WORKER"} the worker's agent is told that the worker leaves; by itself, as
 * if that came late, or with "gone", as it should
 *   {"mute":"WORKER"}    the worker carries out calls and answers them with 500, until
 *                        "mute" names another worker or none that exists
 *   {"gone":"WORKER"}    the worker loses its state, sends no heartbeats, and answers calls
 * with 500 without carrying them out, until "gone" names another or none
 *   {"left":"WORKER"}    the worker's agent is told that it leaves, and nobody listens at the
 * worker's address until "left" names another or none
 *   {"late_orders":2}    the next 2 starts are answered with 500 and carried out later
 *   {"busy":true}        all workers answer starts with 503 and don't carry them out
 *   {"late_ms":8000}     how much later late_orders carries them out
 *   {"refuse_stops":true} the workers answer stops with 503
 *   {"crash_on_stop":1}  the worker that gets the next stop doesn't answer it, crashes, and at
 * once reports as a new life
 *   {"lost_starts":1}    the next start is carried out and never answered
 *   {"refuse_starts":1}  the next start after those that the faults above concern is answered
 *                        with "refuse_status" (503) and "refuse_reason", and not carried out
 *   {"lost_holds":1}     the next lease renewal is carried out and never answered
 *   {"odd_items":true}   a watch tells of an item that can't be read, and each list begins with
 * a page that holds only such items
 *   {"odd_rows":true}    the workers' lists have a row each that can't be read
 *   {"hold_ends":true}   runs don't end by themselves until this is false
 *   {"checkpoint_bytes":96} runs save checkpoints of this length from now on, two a second
 *   {"evacuate":"ZONE"}  the operator's key for an evacuated zone is written; with "odd", its
 *                        value can't be read
 *   {"take_back":"ZONE"} the key is removed
 *   {"evacuation_ms":3000} how long after the key is written a start in the zone is right
 *                        (5000)
 *   {"paused":"WORKER"}  the worker's agent stood still until now: starts on the worker in an
 *                        evacuated zone aren't judged for CONTACT_TIMEOUT_MS
 *   {"lost_lists":3}     the next 3 lists of evacuated zones are answered with 500
 *   {"bare_lists":true}  lists of evacuated zones are answered with 200 and an empty object
 *
 * The answer to POST /control has the number of calls to the store ("calls"), of lease renewals
 * ("renewals"), of starts on each worker ("started") and of starts with a checkpoint
 * ("resumed"), the jobs that had a task started
 * ("begun"), and every violation of what the scheduler guarantees ("wrong"). A start in an
 * evacuated zone is judged by when it was sent, so those that the network or late_orders delay
 * are not violations.
 */

/* Of a call: the largest value in base64, and the rest of the transaction. */
#define BODY_MAX	      (2 << 20)
#define VALUE_MAX	      1048576 /* bytes */
#define ACCELERATORS	      8	      /* of each worker */
#define MUTE_CRASH_SILENCE_MS 2500    /* after a mute worker crashes, until its heartbeat */
#define CRASH_DELAY_MS	      10      /* from the start of a task that crashes its worker */
#define CRASH_DOWN_MS	      1500    /* until the worker is back */
#define STOP_DURATION_MS      100     /* from a stop call until the run ends */
#define OLD_REPORT_DELAY_MS   60      /* of a report of old_reports after a heartbeat */
#define START_DELAY_MS	      2500    /* of the starts that late_orders delays, by default */
#define TXN_DELAY_MS	      2500    /* of the transactions that late_txns delays */
#define TICK		      (20 * NSEC_PER_MSEC)
#define HEARTBEAT_PERIOD      (300 * NSEC_PER_MSEC)
#define LEASE_MAX_MS	      6000
#define WATCH_EVENTS_MAX      1000
/* Time after the key of an evacuated zone is written in which starts there are right. */
#define EVACUATION_MAX_MS  5000
#define CONTACT_TIMEOUT_MS 4000 /* of the rule on evacuated zones */
#define EVACUATION_PREFIX  "op/evacuate/"
#define LISTED_ENDS_MAX	   500 /* the first of the ends that aren't acknowledged */
#define JOB_ID_LEN	   16  /* a task's name begins with the id of its job */

/* Members ending in _ms are times of now_ms(), except the durations ttl_ms and remaining_ms. */
struct item {
	char *key;
	char *value; /* in base64, as it is sent */
	int64_t revision;
	int64_t lease;
	bool deleted;
	bool odd; /* its value is sent as a number */
};
struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t until_ms;
};
/* A long poll: a watch on the store, or, if worker is set, a lease renewal on a worker. */
struct pending_request {
	struct http_request *request;
	struct worker *worker;
	char *prefix;
	int64_t after_revision;
	int64_t until_ms;
};
struct run {
	char *task;
	json_int_t attempt;
	json_int_t accelerators;
	int64_t remaining_ms;
	int64_t stop_at_ms;
};
/* A start that was answered with 500 and is carried out later. */
struct delayed_start {
	struct worker *worker;
	json_t *start;
	int64_t due_ms;
};
/* A transaction that was answered with 500 and is carried out later. */
struct delayed_txn {
	json_t *txn;
	int64_t due_ms;
};
struct worker {
	char *name;
	char *app;
	char *control;
	char *zone;
	struct http_server *server;
	int64_t instance_started_at; /* sent as "born"; now_ms() moved by born_offset_ms */
	int64_t previous_started_at; /* of the life before, 0 for none */
	json_int_t accelerators;
	int64_t sequence;
	int64_t next_heartbeat_ms;
	int64_t crash_at_ms; /* 0 for never */
	int64_t down_until_ms;
	int64_t lease_until_ms;
	json_int_t fence;
	json_int_t last_end;
	GPtrArray *runs;
	/* By task: number of its "done" end until it is acknowledged; other ends are not kept.
	 */
	GHashTable *unacked_ends;
	GHashTable *last_attempts; /* by task: last attempt that was stopped or ended here */
	json_t *finished;
	unsigned int started;
	bool mute;
	bool gone;
	bool left;		   /* atomic: also read by the server's thread */
	unsigned int calls_posted; /* atomic: on their way to the loop */
	bool frozen;
	bool quiet;
	bool old_reports;
	int64_t contact_from_ms; /* until then, starts in an evacuated zone aren't judged */
	int64_t old_report_ms;	 /* when the next of old_reports is due; 0 for none */
};

static const struct http_limits server_limits = {
	.body_max = BODY_MAX, .connections_max = 256, .idle_timeout_s = 60, .threads = 1};
static struct loop *loop;
static struct http_client *client;
static GPtrArray *items;   /* current items */
static GPtrArray *history; /* all changes, for watches */
static GArray *leases;
static GPtrArray *pending_requests;
static GPtrArray *workers;
static int64_t revision = 1;
static int64_t compacted_at; /* watches from an earlier revision get 410 */
static int64_t next_lease = 100;
static bool down;
static int64_t down_since_ms;
static bool odd_rows;
static bool hold_ends;
static json_int_t checkpoint_bytes;
static GHashTable *checkpoints; /* hashes of all that were told */
static unsigned int resumed;
static bool odd_items;
static bool deaf_watches;
static json_int_t lists_to_lose;
static bool bare_lists;
static int64_t evacuation_max_ms = EVACUATION_MAX_MS;
static GHashTable *evacuated_at; /* by zone: when its key was written, in ms */
static bool second_addr_down;
static json_int_t txn_answers_to_drop;
static json_int_t txns_to_delay;
static GPtrArray *delayed_txns;
static json_t *config_after_drop;
static bool busy;
static json_int_t starts_to_delay;
static json_int_t start_answers_to_drop;
static int64_t start_delay_ms = START_DELAY_MS;
static bool refuse_stops;
static json_int_t crashes_on_stop;
static unsigned int renewals;
static json_int_t starts_to_refuse;
static int refuse_status;
static char *refuse_reason;
static json_int_t renewal_answers_to_drop;
static GPtrArray *delayed_starts;
static int64_t born_offset_ms;
/* Records for the checks of tests. */
static GHashTable *started_jobs;     /* jobs that had a task started */
static GHashTable *acked_done_tasks; /* tasks whose "done" end was acknowledged */
static json_t *violations;
static unsigned int calls; /* calls to the store, without those answered 503 */

static int64_t now_ms(void)
{
	return loop_now(loop) / NSEC_PER_MSEC;
}

/* Answers with JSON; takes ownership of o. */
static void reply(struct http_request *r, int status, json_t *o)
{
	AUTOFREE char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	http_reply_text(r, status, "application/json", text);
}

static json_t *item_json(const struct item *it)
{
	if (it->deleted)
		return json_pack("{s:s,s:I,s:b}", "key", it->key, "revision",
			(json_int_t)it->revision, "deleted", 1);
	if (it->odd)
		return json_pack("{s:s,s:i,s:I}", "key", it->key, "value", 7, "revision",
			(json_int_t)it->revision);
	return json_pack("{s:s,s:s,s:I,s:I}", "key", it->key, "value", it->value, "revision",
		(json_int_t)it->revision, "lease", (json_int_t)it->lease);
}

static struct item *item_find(const char *key)
{
	for (guint i = 0; i < items->len; i++) {
		struct item *it = items->pdata[i];

		if (strcmp(it->key, key) == 0 && !it->deleted)
			return it;
	}
	return NULL;
}

/* Sets a key at the current revision, or deletes it if value is NULL. */
static void item_set(const char *key, const char *value, int64_t lease)
{
	struct item *old = item_find(key);
	struct item *it = xcalloc(1, sizeof(*it));

	if (old == NULL && value == NULL) {
		free(it);
		return;
	}
	if (old != NULL)
		g_ptr_array_remove(items, old);
	it->key = xstrdup(key);
	it->value = xstrdup(value);
	it->revision = revision;
	it->lease = lease;
	it->deleted = value == NULL;
	g_ptr_array_add(history, it);
	if (value != NULL)
		g_ptr_array_add(items, it);
}

/* Answers a watch if there are events or its time is over. */
static bool answer_watch(struct pending_request *w)
{
	json_t *events = json_array();

	if (w->after_revision < compacted_at) {
		json_decref(events);
		reply(w->request, 410, json_object());
		return true;
	}
	for (guint i = 0;
		!deaf_watches && i < history->len && json_array_size(events) < WATCH_EVENTS_MAX;
		i++) {
		const struct item *it = history->pdata[i];

		if (it->revision > w->after_revision && g_str_has_prefix(it->key, w->prefix))
			json_array_append_new(events, item_json(it));
	}
	if (json_array_size(events) == 0 && now_ms() < w->until_ms) {
		json_decref(events);
		return false;
	}
	reply(w->request, 200,
		json_pack("{s:o,s:I}", "events", events, "at", (json_int_t)revision));
	return true;
}

/*
 * The hash of a checkpoint of a task, or of another task of its step, as the members of a gang
 * share theirs; freed by the caller.
 */
static int64_t *checkpoint_hash(const char *task, const char *text)
{
	size_t step_len = (size_t)(strrchr(task, '.') - task);
	int64_t *hash = g_new(int64_t, 1);

	*hash = (int64_t)XXH64(text, strlen(text), XXH64(task, step_len, 0));
	return hash;
}

/* The present checkpoint of a task's run; freed by the caller. */
static char *checkpoint_text(const char *task)
{
	GString *text;

	if (checkpoint_bytes == 0)
		return g_strdup("");
	text = g_string_new(NULL);
	g_string_printf(text, "%s@%" PRId64 ".", task, now_ms() / 500);
	while ((json_int_t)text->len < checkpoint_bytes)
		g_string_append_c(text, (char)('a' + text->len % 26));
	g_string_truncate(text, (gsize)checkpoint_bytes);
	g_hash_table_add(checkpoints, checkpoint_hash(task, text->str));
	return g_string_free(text, FALSE);
}

/*
 * A worker's lists of running and finished tasks, with its clock. The progress of a run is not
 * simulated: all report the same percentage, which counts from 0 to 99 and starts again.
 */
static json_t *worker_json(const struct worker *w)
{
	json_t *running = json_array();
	json_t *finished = json_array();

	for (size_t i = 0; i < MIN(json_array_size(w->finished), LISTED_ENDS_MAX); i++)
		json_array_append(finished, json_array_get(w->finished, i));
	for (guint i = 0; i < w->runs->len; i++) {
		const struct run *r = w->runs->pdata[i];
		g_autofree char *saved = checkpoint_text(r->task);

		json_array_append_new(running, json_pack("[s,I,s,i,i]", r->task, r->attempt,
						       saved, (int)(now_ms() / 20 % 100), 0));
	}
	if (odd_rows) {
		json_array_append_new(running, json_pack("[i,n]", 7));
		json_array_append_new(finished, json_pack("[s,[]]", "odd"));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)now_ms(), "born",
		(json_int_t)w->instance_started_at, "running", running, "finished", finished);
}

/* The answer to a start or a stop. */
static json_t *order_json(const struct worker *w)
{
	return json_pack("{s:I,s:I}", "clock_ms", (json_int_t)now_ms(), "born",
		(json_int_t)w->instance_started_at);
}

/* Answers a call to a worker; a mute worker answers 500 without a body. */
static void worker_reply(const struct worker *w, struct http_request *r, int status, json_t *o)
{
	if (!w->mute) {
		reply(r, status, o);
		return;
	}
	json_decref(o);
	http_reply(r, 500, NULL, "", 0);
}

/*
 * Answers a lease renewal if tasks have finished or its time is over, or drops the answer if a
 * fault asks for that; returns whether the request is dealt with.
 */
static bool answer_lease_renewal(struct pending_request *w)
{
	if (json_array_size(w->worker->finished) == 0 && now_ms() < w->until_ms &&
		!w->worker->left)
		return false;
	if (w->worker->left || now_ms() < w->worker->down_until_ms)
		http_reply(w->request, 500, NULL, "", 0);
	else if (renewal_answers_to_drop > 0)
		renewal_answers_to_drop--;
	else
		worker_reply(w->worker, w->request, 200, worker_json(w->worker));
	return true;
}

/* Answers the long polls that have something to report or whose time is over. */
static void answer_pending_requests(void)
{
	for (guint i = pending_requests->len; i > 0; i--) {
		struct pending_request *w = pending_requests->pdata[i - 1];

		if (w->worker != NULL ? !answer_lease_renewal(w) : !answer_watch(w))
			continue;
		g_ptr_array_remove_index(pending_requests, i - 1);
		free(w->prefix);
		free(w);
	}
}

/* Puts a configuration in force. */
static void set_config(const json_t *config)
{
	AUTOFREE char *text = json_dumps(config, JSON_COMPACT);
	g_autofree char *encoded = g_base64_encode((guchar *)text, strlen(text));

	revision++;
	item_set("op/config", encoded, 0);
	answer_pending_requests();
}

/* Writes the key of an evacuated zone, as the operator does. */
static void evacuate(const char *zone, bool odd)
{
	g_autofree char *key = g_strconcat(EVACUATION_PREFIX, zone, NULL);
	int64_t *at = g_new(int64_t, 1);

	revision++;
	item_set(key, "", 0);
	item_find(key)->odd = odd;
	*at = now_ms();
	if (!g_hash_table_contains(evacuated_at, zone))
		g_hash_table_insert(evacuated_at, g_strdup(zone), at);
	else
		g_free(at);
	answer_pending_requests();
}

/* Removes the key of an evacuated zone. */
static void take_back(const char *zone)
{
	g_autofree char *key = g_strconcat(EVACUATION_PREFIX, zone, NULL);

	revision++;
	item_set(key, NULL, 0);
	g_hash_table_remove(evacuated_at, zone);
	answer_pending_requests();
}

/* Whether a transaction writes or removes keys that only the operator may. */
static bool is_forbidden(const json_t *in)
{
	const json_t *write = json_object_get(in, "write");
	const json_t *removed = json_object_get(in, "remove");
	bool forbidden = false;

	for (size_t i = 0; i < json_array_size(write); i++)
		forbidden |= g_str_has_prefix(
			json_string_value(json_object_get(json_array_get(write, i), "key")),
			EVACUATION_PREFIX);
	for (size_t i = 0; i < json_array_size(removed); i++)
		forbidden |= g_str_has_prefix(
			json_string_value(json_array_get(removed, i)), EVACUATION_PREFIX);
	return forbidden;
}

/* Whether a transaction writes a value that is longer than the store takes. */
static bool has_long_value(const json_t *in)
{
	const json_t *write = json_object_get(in, "write");

	for (size_t i = 0; i < json_array_size(write); i++) {
		const json_t *value = json_object_get(json_array_get(write, i), "value");

		if (json_string_length(value) > (VALUE_MAX + 2) / 3 * 4)
			return true;
	}
	return false;
}

/* Carries out a transaction if its conditions hold; seen gets the state of their keys. */
static bool txn_execute(const json_t *in, json_t *seen)
{
	const json_t *expect = json_object_get(in, "expect");
	const json_t *write = json_object_get(in, "write");
	const json_t *removed = json_object_get(in, "remove");
	bool holds = true;

	for (size_t i = 0; i < json_array_size(expect); i++) {
		const json_t *e = json_array_get(expect, i);
		const char *key = json_string_value(json_object_get(e, "key"));
		const struct item *it = item_find(key);

		holds = holds && json_integer_value(json_object_get(e, "revision")) ==
					 (it != NULL ? it->revision : 0);
		json_array_append_new(
			seen, it != NULL ? item_json(it)
					 : json_pack("{s:s,s:i}", "key", key, "revision", 0));
	}
	if (!holds)
		return false;
	if (json_array_size(write) + json_array_size(removed) > 0)
		revision++;
	for (size_t i = 0; i < json_array_size(write); i++) {
		const json_t *e = json_array_get(write, i);

		item_set(json_string_value(json_object_get(e, "key")),
			json_string_value(json_object_get(e, "value")),
			json_integer_value(json_object_get(e, "lease")));
	}
	for (size_t i = 0; i < json_array_size(removed); i++)
		item_set(json_string_value(json_array_get(removed, i)), NULL, 0);
	return true;
}

/* Answers a transaction without carrying it out, which run_delayed_txns does later. */
static void delay_txn(struct http_request *r, const json_t *in)
{
	struct delayed_txn *d = xcalloc(1, sizeof(*d));

	txns_to_delay--;
	d->txn = json_deep_copy(in);
	d->due_ms = now_ms() + TXN_DELAY_MS;
	g_ptr_array_add(delayed_txns, d);
	http_reply(r, 500, NULL, "", 0);
}

/* Carries out the delayed transactions that are due. */
static void run_delayed_txns(void)
{
	for (guint i = delayed_txns->len; i > 0; i--) {
		struct delayed_txn *d = delayed_txns->pdata[i - 1];
		json_t *seen = json_array();

		if (now_ms() >= d->due_ms) {
			txn_execute(d->txn, seen);
			json_decref(d->txn);
			free(d);
			g_ptr_array_remove_index(delayed_txns, i - 1);
		}
		json_decref(seen);
	}
}

/* kv-txn: writes and removes keys if all conditions hold. */
static void handle_txn(struct http_request *r, const json_t *in)
{
	const json_t *write = json_object_get(in, "write");
	json_t *seen;

	if (is_forbidden(in)) {
		reply(r, 403, json_object());
		return;
	}
	if (has_long_value(in)) {
		reply(r, 413, json_object());
		return;
	}
	if (txns_to_delay > 0 && json_array_size(write) > 0) {
		delay_txn(r, in);
		return;
	}
	seen = json_array();
	if (!txn_execute(in, seen)) {
		reply(r, 412, json_pack("{s:o}", "items", seen));
		return;
	}
	json_decref(seen);
	if (txn_answers_to_drop > 0 && json_array_size(write) > 0) {
		/* Committed, but the caller cannot tell from the answer. */
		txn_answers_to_drop--;
		http_reply(r, 500, NULL, "", 0);
		if (config_after_drop != NULL)
			set_config(config_after_drop);
		json_decref(config_after_drop);
		config_after_drop = NULL;
	} else {
		reply(r, 200, json_pack("{s:I}", "revision", (json_int_t)revision));
	}
	answer_pending_requests();
}

/* The first page of a list, with an item whose value is a number and one without a key. */
static void reply_odd_page(struct http_request *r, const char *prefix)
{
	json_t *list = json_array();

	json_array_append_new(list, json_sprintf("%s", "no object"));
	json_array_append_new(
		list, json_pack("{s:o,s:i,s:i}", "key", json_sprintf("%s!", prefix), "value", 7,
			      "revision", 1));
	json_array_append_new(list, json_pack("{s:s,s:i}", "value", "", "revision", 1));
	reply(r, 200,
		json_pack("{s:o,s:b,s:I}", "items", list, "has_more", 1, "at",
			(json_int_t)revision));
}

/* kv-range: lists the items with a prefix, all but odd ones on one page. */
static void handle_range(struct http_request *r, const char *prefix, const char *after)
{
	json_t *list = json_array();

	if (strcmp(prefix, EVACUATION_PREFIX) == 0 && (bare_lists || lists_to_lose > 0)) {
		json_decref(list);
		reply(r, lists_to_lose > 0 ? 500 : 200, json_object());
		lists_to_lose -= lists_to_lose > 0;
		return;
	}
	if (odd_items && strcmp(after, "0") == 0) {
		json_decref(list);
		reply_odd_page(r, prefix);
		return;
	}
	for (guint i = 0; i < items->len; i++) {
		const struct item *it = items->pdata[i];

		if (g_str_has_prefix(it->key, prefix))
			json_array_append_new(list, item_json(it));
	}
	reply(r, 200,
		json_pack("{s:o,s:b,s:I}", "items", list, "has_more", 0, "at",
			(json_int_t)revision));
}

static struct lease *lease_find(int64_t id)
{
	for (guint i = 0; i < leases->len; i++) {
		if (g_array_index(leases, struct lease, i).id == id)
			return &g_array_index(leases, struct lease, i);
	}
	return NULL;
}

/* Ends a lease and deletes its keys. */
static void lease_end(int64_t id)
{
	revision++;
	for (guint i = items->len; i > 0; i--) {
		const struct item *it = items->pdata[i - 1];

		if (it->lease == id)
			item_set(it->key, NULL, 0);
	}
	for (guint i = leases->len; i > 0; i--) {
		if (g_array_index(leases, struct lease, i - 1).id == id)
			g_array_remove_index(leases, i - 1);
	}
	answer_pending_requests();
}

/* Grants, renews or ends a lease. */
static void handle_lease(struct http_request *r, const char *call, const json_t *in)
{
	struct lease *l;

	if (strcmp(call, "kv-lease") == 0) {
		struct lease made = {.id = next_lease++,
			.ttl_ms = json_integer_value(json_object_get(in, "ttl_ms"))};

		made.until_ms = now_ms() + made.ttl_ms;
		g_array_append_val(leases, made);
		reply(r, 200,
			json_pack("{s:I,s:I}", "lease", (json_int_t)made.id, "ttl_ms",
				(json_int_t)made.ttl_ms));
		return;
	}
	l = lease_find(g_ascii_strtoll(strchr(call, '/') + 1, NULL, 10));
	if (l == NULL) {
		reply(r, 404, json_object());
		return;
	}
	if (g_str_has_prefix(call, "kv-lease-end/"))
		lease_end(l->id);
	else
		l->until_ms = now_ms() + l->ttl_ms;
	reply(r, 200, json_object());
}

/* Records a violation with the task or worker that it concerns. */
static void record_violation(const char *violation, const char *subject)
{
	json_array_append_new(violations,
		json_sprintf("%s %s at %lld", violation, subject, (long long)now_ms()));
}

/* Resets a worker to the state of a new instance; delayed starts will reach that one. */
static void worker_crash(struct worker *w)
{
	w->previous_started_at = w->instance_started_at;
	w->instance_started_at = now_ms() + born_offset_ms;
	w->sequence = 0;
	w->fence = 0;
	w->last_end = 0;
	w->lease_until_ms = 0;
	g_ptr_array_set_size(w->runs, 0);
	g_hash_table_remove_all(w->last_attempts);
	g_hash_table_remove_all(w->unacked_ends);
	json_array_clear(w->finished);
	/* A mute worker also delays the heartbeat that announces its new instance. */
	w->next_heartbeat_ms = w->mute ? now_ms() + MUTE_CRASH_SILENCE_MS : 0;
}

/* The ids of the jobs that had a task started. */
static json_t *started_jobs_json(void)
{
	json_t *out = json_array();
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, started_jobs);
	while (g_hash_table_iter_next(&it, &id, NULL))
		json_array_append_new(out, json_string(id));
	return out;
}

/* Has the history hold an item of the inbox that can't be read. */
static void add_odd_item(void)
{
	struct item *it = xcalloc(1, sizeof(*it));

	it->key = xstrdup("dp/in/odd");
	it->revision = ++revision;
	it->odd = true;
	g_ptr_array_add(history, it);
}

/* Starts or ends an outage of the store, for which the leases pause. */
static void set_down(bool is_down)
{
	if (is_down && !down)
		down_since_ms = now_ms();
	for (guint i = 0; !is_down && down && i < leases->len; i++)
		g_array_index(leases, struct lease, i).until_ms += now_ms() - down_since_ms;
	down = is_down;
}

/* Has the next starts refused, if a call asks for that. */
static void set_refusals(const json_t *in)
{
	const json_t *status = json_object_get(in, "refuse_status");

	if (json_object_get(in, "refuse_starts") == NULL)
		return;
	starts_to_refuse = json_integer_value(json_object_get(in, "refuse_starts"));
	refuse_status = status != NULL ? (int)json_integer_value(status) : 503;
	free(refuse_reason);
	refuse_reason = xstrdup(json_string_value(json_object_get(in, "refuse_reason")));
}

/* Applies what a call asks for that concerns evacuated zones. */
static void set_evacuations(const json_t *in)
{
	const char *zone = json_string_value(json_object_get(in, "evacuate"));
	const char *paused = json_string_value(json_object_get(in, "paused"));

	if (json_object_get(in, "evacuation_ms") != NULL)
		evacuation_max_ms = json_integer_value(json_object_get(in, "evacuation_ms"));
	if (json_object_get(in, "lost_lists") != NULL)
		lists_to_lose = json_integer_value(json_object_get(in, "lost_lists"));
	if (json_object_get(in, "bare_lists") != NULL)
		bare_lists = json_is_true(json_object_get(in, "bare_lists"));
	if (zone != NULL)
		evacuate(zone, json_is_true(json_object_get(in, "odd")));
	zone = json_string_value(json_object_get(in, "take_back"));
	if (zone != NULL)
		take_back(zone);
	for (guint i = 0; i < workers->len; i++) {
		struct worker *w = workers->pdata[i];

		if (g_strcmp0(paused, w->name) == 0)
			w->contact_from_ms = now_ms() + CONTACT_TIMEOUT_MS;
	}
}

static void heartbeat_done(struct http_call *c, void *arg)
{
	(void)arg;
	http_call_free(c);
}

/* Tells a worker's agent that the worker leaves. */
static void send_leave_report(const struct worker *w)
{
	AUTOFREE char *url = NULL;
	struct http_call *c;

	xasprintf(&url, "http://%s/v1/instances/%s", w->control, w->name);
	c = http_call_new("DELETE", url);
	c->timeout = NSEC_PER_SEC;
	c->done = heartbeat_done;
	http_client_send(client, c);
}

/* Applies the faults that a call asks for and reports counts and violations. */
static void handle_control(struct http_request *r, const json_t *in)
{
	const char *crash = json_string_value(json_object_get(in, "crash"));
	const char *mute = json_string_value(json_object_get(in, "mute"));
	const char *gone = json_string_value(json_object_get(in, "gone"));
	const char *left = json_string_value(json_object_get(in, "left"));
	const char *frozen = json_string_value(json_object_get(in, "frozen"));
	const char *quiet = json_string_value(json_object_get(in, "quiet"));
	const char *resize = json_string_value(json_object_get(in, "resize"));
	const char *old_reports = json_string_value(json_object_get(in, "old_reports"));
	const char *leave_report = json_string_value(json_object_get(in, "leave_report"));
	json_t *started = json_object();

	if (json_object_get(in, "down") != NULL)
		set_down(json_is_true(json_object_get(in, "down")));
	if (json_object_get(in, "door") != NULL)
		second_addr_down = !json_is_true(json_object_get(in, "door"));
	if (json_is_true(json_object_get(in, "compact")))
		compacted_at = ++revision;
	if (json_object_get(in, "drop_answers") != NULL)
		txn_answers_to_drop = json_integer_value(json_object_get(in, "drop_answers"));
	if (json_object_get(in, "config") != NULL)
		set_config(json_object_get(in, "config"));
	if (json_object_get(in, "config_after_drop") != NULL)
		config_after_drop = json_deep_copy(json_object_get(in, "config_after_drop"));
	if (json_object_get(in, "late_txns") != NULL)
		txns_to_delay = json_integer_value(json_object_get(in, "late_txns"));
	if (json_object_get(in, "busy") != NULL)
		busy = json_is_true(json_object_get(in, "busy"));
	if (json_object_get(in, "late_orders") != NULL)
		starts_to_delay = json_integer_value(json_object_get(in, "late_orders"));
	if (json_object_get(in, "deaf_watches") != NULL)
		deaf_watches = json_is_true(json_object_get(in, "deaf_watches"));
	if (json_object_get(in, "odd_items") != NULL)
		odd_items = json_is_true(json_object_get(in, "odd_items"));
	if (json_is_true(json_object_get(in, "odd_items")))
		add_odd_item();
	if (json_object_get(in, "odd_rows") != NULL)
		odd_rows = json_is_true(json_object_get(in, "odd_rows"));
	if (json_object_get(in, "checkpoint_bytes") != NULL)
		checkpoint_bytes = json_integer_value(json_object_get(in, "checkpoint_bytes"));
	if (json_object_get(in, "hold_ends") != NULL)
		hold_ends = json_is_true(json_object_get(in, "hold_ends"));
	if (json_object_get(in, "lost_holds") != NULL)
		renewal_answers_to_drop = json_integer_value(json_object_get(in, "lost_holds"));
	if (json_object_get(in, "lost_starts") != NULL)
		start_answers_to_drop = json_integer_value(json_object_get(in, "lost_starts"));
	if (json_object_get(in, "late_ms") != NULL)
		start_delay_ms = json_integer_value(json_object_get(in, "late_ms"));
	if (json_object_get(in, "crash_on_stop") != NULL)
		crashes_on_stop = json_integer_value(json_object_get(in, "crash_on_stop"));
	if (json_object_get(in, "refuse_stops") != NULL)
		refuse_stops = json_is_true(json_object_get(in, "refuse_stops"));
	set_refusals(in);
	set_evacuations(in);
	if (json_object_get(in, "born_ms") != NULL)
		born_offset_ms = json_integer_value(json_object_get(in, "born_ms"));
	for (guint i = 0; i < workers->len; i++) {
		struct worker *w = workers->pdata[i];

		if (quiet != NULL)
			w->quiet = strcmp(quiet, w->name) == 0;
		if (old_reports != NULL)
			w->old_reports = strcmp(old_reports, w->name) == 0;
		if (resize != NULL && strcmp(resize, w->name) == 0)
			w->accelerators =
				json_integer_value(json_object_get(in, "accelerators"));
		if (frozen != NULL)
			w->frozen = strcmp(frozen, w->name) == 0;
		if (mute != NULL)
			w->mute = strcmp(mute, w->name) == 0;
		if ((crash != NULL && strcmp(crash, w->name) == 0) ||
			(gone != NULL && strcmp(gone, w->name) == 0) ||
			(left != NULL && strcmp(left, w->name) == 0))
			worker_crash(w);
		if (left != NULL)
			__atomic_store_n(
				&w->left, strcmp(left, w->name) == 0, __ATOMIC_SEQ_CST);
		if (left != NULL && w->left)
			send_leave_report(w);
		if (gone != NULL)
			w->gone = strcmp(gone, w->name) == 0;
		if (leave_report != NULL && strcmp(leave_report, w->name) == 0)
			send_leave_report(w);
		json_object_set_new(started, w->name, json_integer(w->started));
	}
	reply(r, 200,
		json_pack("{s:i,s:i,s:i,s:o,s:o,s:O}", "renewals", (int)renewals, "calls",
			(int)calls, "resumed", (int)resumed, "started", started, "begun",
			started_jobs_json(), "wrong", violations));
}

/* Handles a call to the store, on the loop. */
static void handle_store_call(void *arg)
{
	struct http_request *r = ((void **)arg)[0];
	char *prefix = ((void **)arg)[1];
	char *after = ((void **)arg)[2];
	char *wait = ((void **)arg)[3];
	bool by_second_addr = ((void **)arg)[4] != NULL;
	const char *path = http_path(r);
	const char *call = g_str_has_prefix(path, "/v1/") ? path + 4 : path;
	const struct bytes *body = http_body(r);
	json_t *in = json_loadb(body->data, body->len, 0, NULL);
	const struct item *it;

	if (strcmp(path, "/control") == 0) {
		handle_control(r, in);
	} else if (down || (by_second_addr && second_addr_down)) {
		reply(r, 503, json_object());
	} else if (strcmp(call, "kv-key") == 0) {
		calls++;
		it = item_find(prefix);
		reply(r, it != NULL ? 200 : 404, it != NULL ? item_json(it) : json_object());
	} else if (strcmp(call, "kv-range") == 0) {
		calls++;
		handle_range(r, prefix, after);
	} else if (strcmp(call, "kv-txn") == 0) {
		calls++;
		handle_txn(r, in);
	} else if (strcmp(call, "kv-watch") == 0) {
		struct pending_request *w = xcalloc(1, sizeof(*w));

		calls++;
		w->request = r;
		w->prefix = xstrdup(prefix);
		w->after_revision = g_ascii_strtoll(after, NULL, 10);
		w->until_ms = now_ms() + g_ascii_strtoll(wait, NULL, 10);
		g_ptr_array_add(pending_requests, w);
		answer_pending_requests();
	} else {
		calls++;
		handle_lease(r, call, in);
	}
	json_decref(in);
	free(prefix);
	free(after);
	free(wait);
	free(arg);
}

/*
 * Passes a call to the loop. Runs on a thread of the server and copies the query, as http_query
 * may be called only before this function returns.
 */
static void on_store_request(struct http_request *r, void *arg)
{
	void **args = xcalloc(5, sizeof(*args));
	const char *key = http_query(r, "key");

	args[4] = arg;
	args[0] = r;
	args[1] = xstrdup(key != NULL ? key : http_query(r, "prefix"));
	args[2] = xstrdup(http_query(r, "after") ? http_query(r, "after") : "0");
	args[3] = xstrdup(http_query(r, "wait_ms") ? http_query(r, "wait_ms") : "0");
	loop_post(loop, handle_store_call, args);
}

/*
 * Records an attempt that was stopped or has ended; starts of this and of earlier attempts are
 * refused from now on.
 */
static void record_attempt(struct worker *w, const char *task, json_int_t attempt)
{
	json_int_t *old = g_hash_table_lookup(w->last_attempts, task);
	json_int_t *last = g_new(json_int_t, 1);

	*last = MAX(attempt, old != NULL ? *old : 0);
	g_hash_table_replace(w->last_attempts, g_strdup(task), last);
}

/* Ends a run and adds it to the finished tasks. */
static void run_end(struct worker *w, struct run *r, const char *how)
{
	g_autofree char *saved = checkpoint_text(r->task);

	record_attempt(w, r->task, r->attempt);
	if (strcmp(how, "done") == 0)
		g_hash_table_replace(w->unacked_ends, g_strdup(r->task),
			GSIZE_TO_POINTER((gsize)w->last_end + 1));
	json_array_append_new(
		w->finished, json_pack("[I,s,I,s,s]", ++w->last_end, r->task, r->attempt, how,
				     strcmp(how, "done") == 0 ? "" : saved));
	g_ptr_array_remove(w->runs, r);
}

/*
 * Records a violation if the task is running on any worker already, was started after its
 * "done" end was acknowledged, or exceeds the worker's accelerators.
 */
static void check_start(const struct worker *w, const char *task, const char *payload)
{
	char *rest;
	json_int_t used;

	g_ascii_strtoll(payload, &rest, 10);
	used = g_ascii_strtoll(rest, NULL, 10);
	g_hash_table_add(started_jobs, g_strndup(task, JOB_ID_LEN));
	if (g_hash_table_contains(acked_done_tasks, task))
		record_violation("started after its end was acknowledged:", task);
	for (guint i = 0; i < workers->len; i++) {
		const struct worker *other = workers->pdata[i];

		for (guint k = 0; k < other->runs->len; k++) {
			const struct run *r = other->runs->pdata[k];

			if (strcmp(r->task, task) == 0)
				record_violation("already running on a worker:", task);
			used += other == w ? r->accelerators : 0;
		}
	}
	if (used > w->accelerators)
		record_violation("accelerators overcommitted on worker", w->name);
}

/*
 * Records a violation if a start was sent to an evacuated zone too late. The agent sets its
 * deadline LEASE_MAX_MS after the sending, on the worker's clock.
 */
static void check_zone(const struct worker *w, const json_t *start)
{
	const int64_t *at = g_hash_table_lookup(evacuated_at, w->zone);
	int64_t sent_ms =
		json_integer_value(json_object_get(start, "deadline_ms")) - LEASE_MAX_MS;

	if (at != NULL && sent_ms > *at + evacuation_max_ms && now_ms() >= w->contact_from_ms)
		record_violation("started in an evacuated zone:",
			json_string_value(json_object_get(start, "task")));
}

/*
 * Records that ends up to a number were acknowledged: tasks that ended as "done" must never
 * start again.
 */
static void record_acked_ends(const struct worker *w, json_int_t seen)
{
	GHashTableIter it;
	gpointer task;
	gpointer number;

	g_hash_table_iter_init(&it, w->unacked_ends);
	while (g_hash_table_iter_next(&it, &task, &number)) {
		if ((json_int_t)GPOINTER_TO_SIZE(number) > seen)
			continue;
		g_hash_table_add(acked_done_tasks, g_strdup(task));
		g_hash_table_iter_remove(&it);
	}
}

/* Records a violation if a start carries a checkpoint that no run of its step has saved. */
static void check_checkpoint(const json_t *start)
{
	const char *task = json_string_value(json_object_get(start, "task"));
	const char *text = json_string_value(json_object_get(start, "checkpoint"));
	g_autofree int64_t *hash = text != NULL ? checkpoint_hash(task, text) : NULL;

	if (text == NULL)
		return;
	resumed++;
	if (!g_hash_table_contains(checkpoints, hash))
		record_violation("started from a checkpoint that is not its own:", task);
}

/*
 * Starts a run; returns true if it runs now, also if it was running before this call. Refuses
 * an attempt that was stopped or has ended, a low fencing token and a deadline that has passed.
 */
static bool run_start(struct worker *w, const json_t *in)
{
	const char *task = json_string_value(json_object_get(in, "task"));
	json_int_t attempt = json_integer_value(json_object_get(in, "attempt"));
	const json_int_t *last = g_hash_table_lookup(w->last_attempts, task);
	char *accelerators;
	struct run *r;

	for (guint i = 0; i < w->runs->len; i++) {
		r = w->runs->pdata[i];
		if (strcmp(r->task, task) == 0 && r->attempt == attempt)
			return true;
	}
	if (last != NULL && attempt <= *last)
		return false;
	if (json_integer_value(json_object_get(in, "fencing_token")) < w->fence ||
		json_integer_value(json_object_get(in, "deadline_ms")) < now_ms())
		return false;
	check_start(w, task, json_string_value(json_object_get(in, "spec")));
	check_zone(w, in);
	check_checkpoint(in);
	r = xcalloc(1, sizeof(*r));
	r->task = xstrdup(task);
	r->attempt = attempt;
	r->remaining_ms = g_ascii_strtoll(
		json_string_value(json_object_get(in, "spec")), &accelerators, 10);
	r->accelerators = g_ascii_strtoll(accelerators, NULL, 10);
	if (strcmp(json_string_value(json_object_get(in, "spec")), "crash") == 0) {
		r->remaining_ms = CRASH_DOWN_MS;
		w->crash_at_ms = now_ms() + CRASH_DELAY_MS;
	}
	g_ptr_array_add(w->runs, r);
	w->started++;
	w->lease_until_ms =
		MAX(w->lease_until_ms, json_integer_value(json_object_get(in, "deadline_ms")));
	return true;
}

/* Handles a start; refuses it, delays it or drops its answer if a fault asks for that. */
static void worker_start(struct worker *w, struct http_request *q, const json_t *in)
{
	if (busy) {
		reply(q, 503, json_object());
		return;
	}
	if (starts_to_delay > 0) {
		struct delayed_start *d = xcalloc(1, sizeof(*d));

		starts_to_delay--;
		d->worker = w;
		d->start = json_deep_copy(in);
		d->due_ms = now_ms() + start_delay_ms;
		g_ptr_array_add(delayed_starts, d);
		http_reply(q, 500, NULL, "", 0);
		return;
	}
	if (start_answers_to_drop > 0) {
		start_answers_to_drop--;
		run_start(w, in);
		return;
	}
	if (starts_to_refuse > 0) {
		starts_to_refuse--;
		worker_reply(w, q, refuse_status,
			json_pack("{s:s,s:I}", "reason",
				refuse_reason != NULL ? refuse_reason : "", "clock_ms",
				(json_int_t)now_ms()));
		return;
	}
	if (run_start(w, in))
		worker_reply(w, q, 200, order_json(w));
	else
		/* The reason is "old" whatever run_start refused the start for. */
		worker_reply(w, q, 409,
			json_pack("{s:s,s:I}", "reason", "old", "clock_ms",
				(json_int_t)now_ms()));
}

/* Carries out the delayed starts that are due. */
static void run_delayed_starts(void)
{
	for (guint i = delayed_starts->len; i > 0; i--) {
		struct delayed_start *d = delayed_starts->pdata[i - 1];

		if (now_ms() < d->due_ms)
			continue;
		run_start(d->worker, d->start);
		json_decref(d->start);
		free(d);
		g_ptr_array_remove_index(delayed_starts, i - 1);
	}
}

/* Handles a call to a worker, on the loop. */
static void handle_worker_call(void *arg)
{
	struct http_request *q = ((void **)arg)[0];
	struct worker *w = ((void **)arg)[1];
	const struct bytes *body = http_body(q);
	json_t *in = json_loadb(body->data, body->len, 0, NULL);
	json_int_t fence = json_integer_value(json_object_get(in, "fencing_token"));
	const char *path = http_path(q);

	free(arg);
	__atomic_fetch_sub(&w->calls_posted, 1, __ATOMIC_SEQ_CST);
	if (w->frozen) {
		/* The call is never answered. */
	} else if (w->gone || w->left || now_ms() < w->down_until_ms) {
		http_reply(q, 500, NULL, "", 0);
	} else if (fence < w->fence) {
		worker_reply(w, q, 409,
			json_pack("{s:s,s:I}", "reason", "fence", "clock_ms",
				(json_int_t)now_ms()));
	} else if (strcmp(path, "/v1/run-start") == 0) {
		worker_start(w, q, in);
	} else if (strcmp(path, "/v1/run-stop") == 0 && crashes_on_stop > 0) {
		crashes_on_stop--;
		worker_crash(w);
		w->next_heartbeat_ms = 0;
	} else if (strcmp(path, "/v1/run-stop") == 0 && refuse_stops) {
		worker_reply(w, q, 503, json_pack("{s:I}", "clock_ms", (json_int_t)now_ms()));
	} else if (strcmp(path, "/v1/run-stop") == 0) {
		const char *task = json_string_value(json_object_get(in, "task"));

		record_attempt(w, task, json_integer_value(json_object_get(in, "attempt")));
		for (guint i = 0; i < w->runs->len; i++) {
			struct run *r = w->runs->pdata[i];

			if (strcmp(r->task, task) == 0)
				r->stop_at_ms = now_ms() + STOP_DURATION_MS;
		}
		worker_reply(w, q, 200, order_json(w));
	} else {
		/* Any other path, also /v1/pace, counts as a lease renewal, /v1/hold. */
		struct pending_request *h = xcalloc(1, sizeof(*h));
		json_int_t seen = json_integer_value(json_object_get(in, "last_seen"));

		renewals++;
		record_acked_ends(w, seen);
		while (json_array_size(w->finished) > 0 &&
			json_integer_value(json_array_get(json_array_get(w->finished, 0), 0)) <=
				seen)
			json_array_remove(w->finished, 0);
		w->lease_until_ms = MAX(w->lease_until_ms,
			MIN(json_integer_value(json_object_get(in, "deadline_ms")),
				now_ms() + LEASE_MAX_MS));
		h->request = q;
		h->worker = w;
		h->until_ms = now_ms() + json_integer_value(json_object_get(in, "wait_ms"));
		g_ptr_array_add(pending_requests, h);
		answer_pending_requests();
	}
	w->fence = MAX(w->fence, fence);
	json_decref(in);
}

static void on_worker_request(struct http_request *r, void *arg)
{
	struct worker *w = arg;
	void **args;

	__atomic_fetch_add(&w->calls_posted, 1, __ATOMIC_SEQ_CST);
	if (__atomic_load_n(&w->left, __ATOMIC_SEQ_CST)) {
		__atomic_fetch_sub(&w->calls_posted, 1, __ATOMIC_SEQ_CST);
		http_reply(r, 500, NULL, "", 0);
		return;
	}
	args = xcalloc(2, sizeof(*args));
	args[0] = r;
	args[1] = arg;
	loop_post(loop, handle_worker_call, args);
}

/* Whether a call to a worker waits to be answered. */
static bool has_pending_call(const struct worker *w)
{
	for (guint i = 0; i < pending_requests->len; i++) {
		if (((struct pending_request *)pending_requests->pdata[i])->worker == w)
			return true;
	}
	return false;
}

/* Closes the address of a worker that has left, once no call is under way, or opens it again.
 */
static void update_listener(struct worker *w)
{
	if (w->left && w->server != NULL && !has_pending_call(w) &&
		__atomic_load_n(&w->calls_posted, __ATOMIC_SEQ_CST) == 0) {
		http_server_free(w->server);
		w->server = NULL;
	}
	if (!w->left && w->server == NULL)
		w->server = http_server_new(w->app, &server_limits, on_worker_request, w, NULL);
}

/* Sends a heartbeat of a life of a worker to its agent. */
static void send_heartbeat(
	const struct worker *w, int64_t started_at, int64_t sequence, json_int_t accelerators)
{
	AUTOFREE char *url = NULL;
	json_t *o = json_pack("{s:s,s:s,s:s,s:I,s:I,s:{s:i,s:i,s:I},s:[s,s]}", "service",
		"proofing", "zone", w->zone, "state", "ready", "sequence", (json_int_t)sequence,
		"born", (json_int_t)started_at, "capacity", "cpu", 32000, "task_memory_mb",
		64000, "gpu", accelerators, "labels", "a", "r1-1");
	struct http_call *c;

	xasprintf(&url, "http://%s/v1/instances/%s", w->control, w->name);
	c = http_call_new("PUT", url);
	c->body.data = json_dumps(o, JSON_COMPACT);
	c->body.len = strlen(c->body.data);
	c->timeout = NSEC_PER_SEC;
	c->done = heartbeat_done;
	json_decref(o);
	http_client_send(client, c);
}

/*
 * Carries out delayed starts, ends runs and store leases that are due, sends heartbeats and
 * answers long polls.
 */
static void tick(void *arg)
{
	(void)arg;
	run_delayed_starts();
	run_delayed_txns();
	for (guint i = 0; i < workers->len; i++) {
		struct worker *w = workers->pdata[i];

		if (w->crash_at_ms != 0 && now_ms() >= w->crash_at_ms) {
			worker_crash(w);
			w->crash_at_ms = 0;
			w->down_until_ms = now_ms() + CRASH_DOWN_MS;
			w->instance_started_at = w->down_until_ms + born_offset_ms;
		}
		for (guint k = w->runs->len; k > 0; k--) {
			struct run *r = w->runs->pdata[k - 1];

			r->remaining_ms -= TICK / NSEC_PER_MSEC;
			if (now_ms() > w->lease_until_ms)
				run_end(w, r, "lapsed");
			else if (r->stop_at_ms != 0 && now_ms() >= r->stop_at_ms)
				run_end(w, r, "stopped");
			else if (r->remaining_ms <= 0 && !hold_ends)
				run_end(w, r, "done");
		}
		update_listener(w);
		if (!w->gone && !w->left && !w->frozen && !w->quiet &&
			now_ms() >= MAX(w->next_heartbeat_ms, w->down_until_ms)) {
			w->next_heartbeat_ms = now_ms() + HEARTBEAT_PERIOD / NSEC_PER_MSEC;
			send_heartbeat(
				w, w->instance_started_at, ++w->sequence, w->accelerators);
			if (w->old_reports)
				w->old_report_ms = now_ms() + OLD_REPORT_DELAY_MS;
		}
		if (w->old_report_ms != 0 && now_ms() >= w->old_report_ms) {
			w->old_report_ms = 0;
			send_heartbeat(w, w->previous_started_at, 1000, ACCELERATORS);
			send_heartbeat(
				w, w->instance_started_at, w->sequence - 1, ACCELERATORS);
		}
	}
	for (guint i = leases->len; i > 0; i--) {
		const struct lease *l = &g_array_index(leases, struct lease, i - 1);

		if (!down && now_ms() > l->until_ms)
			lease_end(l->id);
	}
	answer_pending_requests();
}

/* Adds a worker from an argument WORKER=APP,CONTROL[,ZONE]. */
static void add_worker(const char *text)
{
	struct worker *w = xcalloc(1, sizeof(*w));
	g_auto(GStrv) name = g_strsplit(text, "=", 2);
	g_auto(GStrv) addrs = g_strsplit(name[1] != NULL ? name[1] : "", ",", 3);

	w->name = xstrdup(name[0]);
	w->app = xstrdup(addrs[0]);
	w->control = xstrdup(addrs[1]);
	w->zone = xstrdup(addrs[1] != NULL && addrs[2] != NULL ? addrs[2] : "z1");
	w->runs = g_ptr_array_new();
	w->unacked_ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->last_attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->finished = json_array();
	w->instance_started_at = now_ms();
	w->accelerators = ACCELERATORS;
	w->server = http_server_new(w->app, &server_limits, on_worker_request, w, NULL);
	if (w->server == NULL) {
		fprintf(stderr, "standin-platform: cannot listen on %s\n", w->app);
		exit(1);
	}
	g_ptr_array_add(workers, w);
}

int main(int argc, char **argv)
{
	g_autofree char *config = NULL;
	g_autofree char *encoded = NULL;
	gsize len;
	struct http_server *s;

	signal(SIGPIPE, SIG_IGN);
	if (argc < 3 || !g_file_get_contents(argv[2], &config, &len, NULL)) {
		fprintf(stderr, "usage: standin-platform STORE CONFIG [door=ADDR] "
				"WORKER=APP,CONTROL[,ZONE] ...\n");
		return 2;
	}
	loop = loop_new(&clock_system);
	client = http_client_new(loop);
	items = g_ptr_array_new();
	history = g_ptr_array_new();
	checkpoints = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	pending_requests = g_ptr_array_new();
	delayed_starts = g_ptr_array_new();
	delayed_txns = g_ptr_array_new();
	evacuated_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	started_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	acked_done_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	violations = json_array();
	workers = g_ptr_array_new();
	leases = g_array_new(FALSE, FALSE, sizeof(struct lease));
	encoded = g_base64_encode((guchar *)config, len);
	item_set("op/config", encoded, 0);
	for (int i = 3; i < argc; i++) {
		if (g_str_has_prefix(argv[i], "door="))
			http_server_new(argv[i] + strlen("door="), &server_limits,
				on_store_request, &second_addr_down, NULL);
		else
			add_worker(argv[i]);
	}
	s = http_server_new(argv[1], &server_limits, on_store_request, NULL, NULL);
	if (s == NULL)
		return 1;
	printf("ready %s\n", http_server_addr(s));
	fflush(stdout);
	loop_timer_add(loop, TICK, TICK, tick, NULL);
	loop_run(loop);
	return 0;
}
