#include "state.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Stands in for the users' platform in tests: its store, and workers that run tasks under
 * leases. One process; all of it runs on one loop. POST /control on the store changes how it
 * behaves: {"down":true}, {"drop_answers":3}, {"crash":"WORKER"}, {"late_orders":2},
 * {"lost_starts":1} and {"lost_holds":1}, which are carried out and never answered,
 * {"mute":"WORKER"}, which carries out calls and answers none; the answer counts calls and
 * starts and tells what must not have happened. A task's payload is
 * "MILLISECONDS ACCELERATORS".
 *
 * standin-platform STORE CONFIG [door=ADDR] WORKER=APP,CONTROL ...
 *
 * A door is a second address of the store; {"door":false} has it refuse all that come by it.
 */

#define ACCELERATORS 8 /* of each worker */
#define MUTE_BEAT_MS 2500
#define LATE_BY_MS   2500 /* a late order is carried out after this */
#define TICK	     (20 * NSEC_PER_MSEC)
#define BEAT_PERIOD  (300 * NSEC_PER_MSEC)
#define LEASE_MAX    6000
#define EVENTS_MAX   1000

struct item {
	char *key;
	char *value; /* base64, as on the wire */
	int64_t revision;
	int64_t lease;
	bool deleted;
};
struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t until;
};
/* A call that waits: a watch, or a look at a worker. */
struct waiting {
	struct http_request *request;
	struct worker *worker;
	char *prefix;
	int64_t after;
	int64_t until;
};
struct run {
	char *task;
	json_int_t attempt;
	json_int_t accelerators;
	int64_t left;
	int64_t stop_at;
};
/* An order that gets no answer and is carried out later. */
struct late_order {
	struct worker *worker;
	json_t *start;
	int64_t at;
};
struct worker {
	char *name;
	char *app;
	char *control;
	struct http_server *server;
	int64_t born;
	int64_t sequence;
	int64_t next_beat;
	int64_t lease_until;
	json_int_t fence;
	json_int_t ended;
	GPtrArray *runs;
	GHashTable *done;    /* number of the end by task, of ends that are not noted yet */
	GHashTable *highest; /* by task, the last attempt that was stopped or ended here */
	json_t *finished;
	unsigned int started;
	bool mute;
};

static struct loop *loop;
static struct http_client *client;
static GPtrArray *items;   /* newest state by key */
static GPtrArray *history; /* all changes */
static GArray *leases;
static GPtrArray *waits;
static GPtrArray *workers;
static int64_t revision = 1;
static int64_t next_lease = 100;
static bool down;
static bool door_shut;
static json_int_t drop_answers;
static json_int_t late_orders;
static json_int_t lost_starts;
static json_int_t lost_holds;
static GPtrArray *late;
/* What the system has done: jobs that began, tasks whose end was noted, and what was wrong. */
static GHashTable *begun;
static GHashTable *settled;
static json_t *wrong;
static unsigned int calls;

static int64_t now_ms(void)
{
	return loop_now(loop) / NSEC_PER_MSEC;
}

/* Answer with JSON; owns o. */
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

/* Write or remove (value NULL) one key at the revision. */
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

/* Answer a watch, where there is something or its time is over. */
static bool watch_answer(struct waiting *w)
{
	json_t *events = json_array();

	for (guint i = 0; i < history->len && json_array_size(events) < EVENTS_MAX; i++) {
		const struct item *it = history->pdata[i];

		if (it->revision > w->after && g_str_has_prefix(it->key, w->prefix))
			json_array_append_new(events, item_json(it));
	}
	if (json_array_size(events) == 0 && now_ms() < w->until) {
		json_decref(events);
		return false;
	}
	reply(w->request, 200,
		json_pack("{s:o,s:I}", "events", events, "at", (json_int_t)revision));
	return true;
}

/* The lists of a worker, with its clock. */
static json_t *worker_json(const struct worker *w)
{
	json_t *running = json_array();

	for (guint i = 0; i < w->runs->len; i++) {
		const struct run *r = w->runs->pdata[i];

		json_array_append_new(running, json_pack("[s,I,s,i,i]", r->task, r->attempt, "",
						       (int)(now_ms() / 20 % 100), 0));
	}
	return json_pack("{s:I,s:I,s:o,s:O}", "clock_ms", (json_int_t)now_ms(), "born",
		(json_int_t)w->born, "running", running, "finished", w->finished);
}

/* Answer a call on a worker, unless nothing is to reach the caller. */
static void worker_reply(const struct worker *w, struct http_request *r, int status, json_t *o)
{
	if (!w->mute) {
		reply(r, status, o);
		return;
	}
	json_decref(o);
	http_reply(r, 500, NULL, "", 0);
}

static bool look_answer(struct waiting *w)
{
	if (json_array_size(w->worker->finished) == 0 && now_ms() < w->until)
		return false;
	if (lost_holds > 0)
		lost_holds--;
	else
		worker_reply(w->worker, w->request, 200, worker_json(w->worker));
	return true;
}

/* Answer those that have waited long enough or for long enough. */
static void answer_waits(void)
{
	for (guint i = waits->len; i > 0; i--) {
		struct waiting *w = waits->pdata[i - 1];

		if (w->worker != NULL ? !look_answer(w) : !watch_answer(w))
			continue;
		g_ptr_array_remove_index(waits, i - 1);
		free(w->prefix);
		free(w);
	}
}

/* kv-txn */
static void do_txn(struct http_request *r, const json_t *in)
{
	const json_t *expect = json_object_get(in, "expect");
	const json_t *write = json_object_get(in, "write");
	const json_t *removed = json_object_get(in, "remove");
	json_t *seen = json_array();
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
	if (!holds) {
		reply(r, 412, json_pack("{s:o}", "items", seen));
		return;
	}
	json_decref(seen);
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
	if (drop_answers > 0 && json_array_size(write) > 0) {
		/* Done, and not answered in any way that can be read. */
		drop_answers--;
		http_reply(r, 500, NULL, "", 0);
	} else {
		reply(r, 200, json_pack("{s:I}", "revision", (json_int_t)revision));
	}
	answer_waits();
}

/* kv-range */
static void do_range(struct http_request *r, const char *prefix)
{
	json_t *list = json_array();

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

/* End a lease with its keys. */
static void lease_drop(int64_t id)
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
	answer_waits();
}

/* Calls on leases. */
static void do_lease(struct http_request *r, const char *what, const json_t *in)
{
	struct lease *l;

	if (strcmp(what, "kv-lease") == 0) {
		struct lease made = {.id = next_lease++,
			.ttl_ms = json_integer_value(json_object_get(in, "ttl_ms"))};

		made.until = now_ms() + made.ttl_ms;
		g_array_append_val(leases, made);
		reply(r, 200,
			json_pack("{s:I,s:I}", "lease", (json_int_t)made.id, "ttl_ms",
				(json_int_t)made.ttl_ms));
		return;
	}
	l = lease_find(g_ascii_strtoll(strchr(what, '/') + 1, NULL, 10));
	if (l == NULL) {
		reply(r, 404, json_object());
		return;
	}
	if (g_str_has_prefix(what, "kv-lease-end/"))
		lease_drop(l->id);
	else
		l->until = now_ms() + l->ttl_ms;
	reply(r, 200, json_object());
}

/* Note what must not have happened. */
static void note_wrong(const char *what, const char *of)
{
	json_array_append_new(
		wrong, json_sprintf("%s %s at %lld", what, of, (long long)now_ms()));
}

/* Forget all that a worker is and has: it starts again. */
static void worker_crash(struct worker *w)
{
	w->born = now_ms();
	w->fence = 0;
	w->ended = 0;
	w->lease_until = 0;
	g_ptr_array_set_size(w->runs, 0);
	g_hash_table_remove_all(w->highest);
	g_hash_table_remove_all(w->done);
	for (guint i = late->len; i > 0; i--) {
		if (((struct late_order *)late->pdata[i - 1])->worker == w)
			g_ptr_array_remove_index(late, i - 1);
	}
	json_array_clear(w->finished);
	/* A mute worker does not tell of its new life at once either. */
	w->next_beat = w->mute ? now_ms() + MUTE_BEAT_MS : 0;
}

/* Ids of the jobs of which something was started. */
static json_t *begun_json(void)
{
	json_t *out = json_array();
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, begun);
	while (g_hash_table_iter_next(&it, &id, NULL))
		json_array_append_new(out, json_string(id));
	return out;
}

/* Change how the stand-in behaves, or tell how often it was called. */
static void do_control(struct http_request *r, const json_t *in)
{
	const char *crash = json_string_value(json_object_get(in, "crash"));
	const char *mute = json_string_value(json_object_get(in, "mute"));
	json_t *started = json_object();

	if (json_object_get(in, "down") != NULL)
		down = json_is_true(json_object_get(in, "down"));
	if (json_object_get(in, "door") != NULL)
		door_shut = !json_is_true(json_object_get(in, "door"));
	if (json_object_get(in, "drop_answers") != NULL)
		drop_answers = json_integer_value(json_object_get(in, "drop_answers"));
	if (json_object_get(in, "late_orders") != NULL)
		late_orders = json_integer_value(json_object_get(in, "late_orders"));
	if (json_object_get(in, "lost_holds") != NULL)
		lost_holds = json_integer_value(json_object_get(in, "lost_holds"));
	if (json_object_get(in, "lost_starts") != NULL)
		lost_starts = json_integer_value(json_object_get(in, "lost_starts"));
	for (guint i = 0; i < workers->len; i++) {
		struct worker *w = workers->pdata[i];

		if (mute != NULL)
			w->mute = strcmp(mute, w->name) == 0;
		if (crash != NULL && strcmp(crash, w->name) == 0)
			worker_crash(w);
		json_object_set_new(started, w->name, json_integer(w->started));
	}
	reply(r, 200,
		json_pack("{s:i,s:o,s:o,s:O}", "calls", (int)calls, "started", started, "begun",
			begun_json(), "wrong", wrong));
}

/* A call on the store, on the loop. */
static void store_call(void *arg)
{
	struct http_request *r = ((void **)arg)[0];
	char *prefix = ((void **)arg)[1];
	char *after = ((void **)arg)[2];
	char *wait = ((void **)arg)[3];
	bool by_door = ((void **)arg)[4] != NULL;
	const char *path = http_path(r);
	const char *what = g_str_has_prefix(path, "/v1/") ? path + 4 : path;
	const struct bytes *body = http_body(r);
	json_t *in = json_loadb(body->data, body->len, 0, NULL);
	const struct item *it;

	if (strcmp(path, "/control") == 0) {
		do_control(r, in);
	} else if (down || (by_door && door_shut)) {
		reply(r, 503, json_object());
	} else if (strcmp(what, "kv-key") == 0) {
		calls++;
		it = item_find(prefix);
		reply(r, it != NULL ? 200 : 404, it != NULL ? item_json(it) : json_object());
	} else if (strcmp(what, "kv-range") == 0) {
		calls++;
		do_range(r, prefix);
	} else if (strcmp(what, "kv-txn") == 0) {
		calls++;
		do_txn(r, in);
	} else if (strcmp(what, "kv-watch") == 0) {
		struct waiting *w = xcalloc(1, sizeof(*w));

		calls++;
		w->request = r;
		w->prefix = xstrdup(prefix);
		w->after = g_ascii_strtoll(after, NULL, 10);
		w->until = now_ms() + g_ascii_strtoll(wait, NULL, 10);
		g_ptr_array_add(waits, w);
		answer_waits();
	} else {
		calls++;
		do_lease(r, what, in);
	}
	json_decref(in);
	free(prefix);
	free(after);
	free(wait);
	free(arg);
}

/* A call on the store, on a thread of the server: queries are read here. */
static void on_store(struct http_request *r, void *arg)
{
	void **pack = xcalloc(5, sizeof(*pack));
	const char *key = http_query(r, "key");

	pack[4] = arg;
	pack[0] = r;
	pack[1] = xstrdup(key != NULL ? key : http_query(r, "prefix"));
	pack[2] = xstrdup(http_query(r, "after") ? http_query(r, "after") : "0");
	pack[3] = xstrdup(http_query(r, "wait_ms") ? http_query(r, "wait_ms") : "0");
	loop_post(loop, store_call, pack);
}

/* An attempt was stopped or has ended: no start up to it is carried out any more. */
static void note_highest(struct worker *w, const char *task, json_int_t attempt)
{
	json_int_t *was = g_hash_table_lookup(w->highest, task);
	json_int_t *now = g_new(json_int_t, 1);

	*now = MAX(attempt, was != NULL ? *was : 0);
	g_hash_table_replace(w->highest, g_strdup(task), now);
}

/* A run is over. */
static void run_end(struct worker *w, struct run *r, const char *how)
{
	note_highest(w, r->task, r->attempt);
	if (strcmp(how, "done") == 0)
		g_hash_table_replace(
			w->done, g_strdup(r->task), GSIZE_TO_POINTER((gsize)w->ended + 1));
	json_array_append_new(w->finished,
		json_pack("[I,s,I,s,s]", ++w->ended, r->task, r->attempt, how, ""));
	g_ptr_array_remove(w->runs, r);
}

/* Whether a start breaks a promise: run twice, again after its end, or over the capacity. */
static void check_start(const struct worker *w, const char *task, const char *payload)
{
	char *rest;
	json_int_t used;

	g_ascii_strtoll(payload, &rest, 10);
	used = g_ascii_strtoll(rest, NULL, 10);
	g_hash_table_add(begun, g_strndup(task, 16));
	if (g_hash_table_contains(settled, task))
		note_wrong("started after its end was noted:", task);
	for (guint i = 0; i < workers->len; i++) {
		const struct worker *other = workers->pdata[i];

		for (guint k = 0; k < other->runs->len; k++) {
			const struct run *r = other->runs->pdata[k];

			if (strcmp(r->task, task) == 0)
				note_wrong("runs twice:", task);
			used += other == w ? r->accelerators : 0;
		}
	}
	if (used > ACCELERATORS)
		note_wrong("over its accelerators:", w->name);
}

/* Ends up to a number were noted: their tasks must never start again. */
static void note_settled(const struct worker *w, json_int_t seen)
{
	GHashTableIter it;
	gpointer task;
	gpointer number;

	g_hash_table_iter_init(&it, w->done);
	while (g_hash_table_iter_next(&it, &task, &number)) {
		if ((json_int_t)GPOINTER_TO_SIZE(number) > seen)
			continue;
		g_hash_table_add(settled, g_strdup(task));
		g_hash_table_iter_remove(&it);
	}
}

/* Start: the payload is how many milliseconds the task works. True where it runs then. */
static bool run_start(struct worker *w, const json_t *in)
{
	const char *task = json_string_value(json_object_get(in, "task"));
	json_int_t attempt = json_integer_value(json_object_get(in, "attempt"));
	const json_int_t *highest = g_hash_table_lookup(w->highest, task);
	char *accelerators;
	struct run *r;

	for (guint i = 0; i < w->runs->len; i++) {
		r = w->runs->pdata[i];
		if (strcmp(r->task, task) == 0 && r->attempt == attempt)
			return true;
	}
	if (highest != NULL && attempt <= *highest)
		return false;
	if (json_integer_value(json_object_get(in, "fencing_token")) < w->fence ||
		json_integer_value(json_object_get(in, "deadline_ms")) < now_ms())
		return false;
	check_start(w, task, json_string_value(json_object_get(in, "spec")));
	r = xcalloc(1, sizeof(*r));
	r->task = xstrdup(task);
	r->attempt = attempt;
	r->left = g_ascii_strtoll(
		json_string_value(json_object_get(in, "spec")), &accelerators, 10);
	r->accelerators = g_ascii_strtoll(accelerators, NULL, 10);
	g_ptr_array_add(w->runs, r);
	w->started++;
	w->lease_until =
		MAX(w->lease_until, json_integer_value(json_object_get(in, "deadline_ms")));
	return true;
}

/* A start that was asked for, now or, without an answer, later. */
static void worker_start(struct worker *w, struct http_request *q, const json_t *in)
{
	if (late_orders > 0) {
		struct late_order *o = xcalloc(1, sizeof(*o));

		late_orders--;
		o->worker = w;
		o->start = json_deep_copy(in);
		o->at = now_ms() + LATE_BY_MS;
		g_ptr_array_add(late, o);
		http_reply(q, 500, NULL, "", 0);
		return;
	}
	if (lost_starts > 0) {
		lost_starts--;
		run_start(w, in);
		return;
	}
	if (run_start(w, in))
		worker_reply(w, q, 200, worker_json(w));
	else
		worker_reply(w, q, 409,
			json_pack("{s:s,s:I}", "reason", "old", "clock_ms",
				(json_int_t)now_ms()));
}

/* Carry out the late orders that are due. */
static void run_late(void)
{
	for (guint i = late->len; i > 0; i--) {
		struct late_order *o = late->pdata[i - 1];

		if (now_ms() < o->at)
			continue;
		run_start(o->worker, o->start);
		json_decref(o->start);
		free(o);
		g_ptr_array_remove_index(late, i - 1);
	}
}

/* A call on a worker, on the loop. */
static void worker_call(void *arg)
{
	struct http_request *q = ((void **)arg)[0];
	struct worker *w = ((void **)arg)[1];
	const struct bytes *body = http_body(q);
	json_t *in = json_loadb(body->data, body->len, 0, NULL);
	json_int_t fence = json_integer_value(json_object_get(in, "fencing_token"));
	const char *path = http_path(q);

	free(arg);
	if (fence < w->fence) {
		worker_reply(w, q, 409,
			json_pack("{s:s,s:I}", "reason", "fence", "clock_ms",
				(json_int_t)now_ms()));
	} else if (strcmp(path, "/v1/run-start") == 0) {
		worker_start(w, q, in);
	} else if (strcmp(path, "/v1/run-stop") == 0) {
		const char *task = json_string_value(json_object_get(in, "task"));

		note_highest(w, task, json_integer_value(json_object_get(in, "attempt")));
		for (guint i = 0; i < w->runs->len; i++) {
			struct run *r = w->runs->pdata[i];

			if (strcmp(r->task, task) == 0)
				r->stop_at = now_ms() + 100;
		}
		worker_reply(w, q, 200, worker_json(w));
	} else {
		struct waiting *h = xcalloc(1, sizeof(*h));
		json_int_t seen = json_integer_value(json_object_get(in, "last_seen"));

		note_settled(w, seen);
		while (json_array_size(w->finished) > 0 &&
			json_integer_value(json_array_get(json_array_get(w->finished, 0), 0)) <=
				seen)
			json_array_remove(w->finished, 0);
		w->lease_until = MAX(w->lease_until,
			MIN(json_integer_value(json_object_get(in, "deadline_ms")),
				now_ms() + LEASE_MAX));
		h->request = q;
		h->worker = w;
		h->until = now_ms() + json_integer_value(json_object_get(in, "wait_ms"));
		g_ptr_array_add(waits, h);
		answer_waits();
	}
	w->fence = MAX(w->fence, fence);
	json_decref(in);
}

static void on_worker(struct http_request *r, void *arg)
{
	void **pack = xcalloc(2, sizeof(*pack));

	pack[0] = r;
	pack[1] = arg;
	loop_post(loop, worker_call, pack);
}

static void beat_done(struct http_call *c, void *arg)
{
	(void)arg;
	http_call_free(c);
}

/* Report to the agent beside the worker. */
static void beat(struct worker *w)
{
	AUTOFREE char *url = NULL;
	json_t *o = json_pack("{s:s,s:s,s:s,s:I,s:I,s:{s:i,s:i,s:i},s:[s,s]}", "service",
		"proofing", "zone", "z1", "state", "ready", "sequence",
		(json_int_t)++w->sequence, "born", (json_int_t)w->born, "capacity", "cpu",
		32000, "task_memory_mb", 64000, "gpu", ACCELERATORS, "labels", "a", "r1-1");
	struct http_call *c;

	xasprintf(&url, "http://%s/v1/instances/%s", w->control, w->name);
	c = http_call_new("PUT", url);
	c->body.data = json_dumps(o, JSON_COMPACT);
	c->body.len = strlen(c->body.data);
	c->timeout = NSEC_PER_SEC;
	c->done = beat_done;
	json_decref(o);
	http_client_send(client, c);
}

/* Time passes. */
static void tick(void *arg)
{
	(void)arg;
	run_late();
	for (guint i = 0; i < workers->len; i++) {
		struct worker *w = workers->pdata[i];

		for (guint k = w->runs->len; k > 0; k--) {
			struct run *r = w->runs->pdata[k - 1];

			r->left -= TICK / NSEC_PER_MSEC;
			if (now_ms() > w->lease_until)
				run_end(w, r, "lapsed");
			else if (r->stop_at != 0 && now_ms() >= r->stop_at)
				run_end(w, r, "stopped");
			else if (r->left <= 0)
				run_end(w, r, "done");
		}
		if (now_ms() >= w->next_beat) {
			w->next_beat = now_ms() + BEAT_PERIOD / NSEC_PER_MSEC;
			beat(w);
		}
	}
	for (guint i = leases->len; i > 0; i--) {
		const struct lease *l = &g_array_index(leases, struct lease, i - 1);

		if (!down && now_ms() > l->until)
			lease_drop(l->id);
	}
	answer_waits();
}

/* WORKER=APP,CONTROL */
static void add_worker(const char *text, const struct http_limits *limits)
{
	struct worker *w = xcalloc(1, sizeof(*w));
	g_auto(GStrv) name = g_strsplit(text, "=", 2);
	g_auto(GStrv) addrs = g_strsplit(name[1] != NULL ? name[1] : "", ",", 2);

	w->name = xstrdup(name[0]);
	w->app = xstrdup(addrs[0]);
	w->control = xstrdup(addrs[1]);
	w->runs = g_ptr_array_new();
	w->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->finished = json_array();
	w->born = now_ms();
	w->server = http_server_new(w->app, limits, on_worker, w, NULL);
	if (w->server == NULL) {
		fprintf(stderr, "standin-platform: no server at %s\n", w->app);
		exit(1);
	}
	g_ptr_array_add(workers, w);
}

int main(int argc, char **argv)
{
	const struct http_limits limits = {.body_max = 1 << 20,
		.connections_max = 256,
		.idle_timeout_s = 60,
		.threads = 1};
	g_autofree char *config = NULL;
	g_autofree char *encoded = NULL;
	gsize len;
	struct http_server *s;

	signal(SIGPIPE, SIG_IGN);
	if (argc < 3 || !g_file_get_contents(argv[2], &config, &len, NULL)) {
		fprintf(stderr, "usage: standin-platform STORE CONFIG [door=ADDR] "
				"WORKER=APP,CONTROL ...\n");
		return 2;
	}
	loop = loop_new(&clock_system);
	client = http_client_new(loop);
	items = g_ptr_array_new();
	history = g_ptr_array_new();
	waits = g_ptr_array_new();
	late = g_ptr_array_new();
	begun = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	settled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	wrong = json_array();
	workers = g_ptr_array_new();
	leases = g_array_new(FALSE, FALSE, sizeof(struct lease));
	encoded = g_base64_encode((guchar *)config, len);
	item_set("op/config", encoded, 0);
	for (int i = 3; i < argc; i++) {
		if (g_str_has_prefix(argv[i], "door="))
			http_server_new(
				argv[i] + strlen("door="), &limits, on_store, &door_shut, NULL);
		else
			add_worker(argv[i], &limits);
	}
	s = http_server_new(argv[1], &limits, on_store, NULL, NULL);
	if (s == NULL)
		return 1;
	printf("ready %s\n", http_server_addr(s));
	fflush(stdout);
	loop_timer_add(loop, TICK, TICK, tick, NULL);
	loop_run(loop);
	return 0;
}
