/*
 * A stand-in of the users' platform for the cases of this review: the metadata store, the
 * operator and the workers, in one process, on loopback addresses and the real clock. It does
 * what PROTOCOL.md says of them, and the disruptions that a case orders by POST /control on the
 * store's address:
 *
 *   {"cmd":"config","file":F}            the operator writes op/config
 *   {"cmd":"lose","key":K,"late_ms":N,"count":C}
 *         the next C transactions that write or remove a key that begins with K are not
 * answered; they are done at once (N = 0) or N ms later, if their condition holds then
 *   {"cmd":"leave","worker":W,"down_ms":N}   the worker drains and leaves; the next one comes
 *   {"cmd":"crash","worker":W,"down_ms":N,"gpu":G,"labels":[..],"same_id":B}  it crashes;
 *         the next one comes, of another kind and under the same id if that is said
 *   {"cmd":"delay_beat","worker":W,"ms":N}   the worker's next status report arrives N ms late
 *   {"cmd":"unhealthy","worker":W,"on":B}    the worker answers starts with 503 and does
 * nothing
 *   {"cmd":"overload","worker":W,"late_ms":N,"ms":M}  the worker leaves its next start
 * unanswered and carries it out N ms later; the starts in the M ms after it are answered with
 * 503
 *   {"cmd":"dump"}                       running work, counts and what was seen of broken rules
 *
 * The text of a job ("spec") is "MILLISECONDS GPUS [LABEL] [FAILS]" of each of its work items;
 * the first FAILS runs of a work item end as failed. The label "-" stands for none.
 *
 * platform RECORD STORE-ADDR WORKER=APP-ADDR,CONTROL-ADDR,GPUS,LABEL ...
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BEAT_MS	    1500 /* heartbeat_interval_ms */
#define HOLD_MAX_MS 6000 /* max_hold_ms */
#define STOP_MS	    100	 /* a stop takes this long; stop_timeout_ms is 400 */
#define STORE_MS    4	 /* the store's time for an answer */
#define DRAIN_MS    2100 /* drain_timeout_ms is 2000 */
#define PAGE	    500
#define MAX_ITEMS   4096
#define MAX_EVENTS  65536
#define MAX_LEASES  1024
#define MAX_RUNS    256
#define MAX_WORKERS 16
#define NO_ANSWER   (-1)

struct item {
	char *key;
	char *value;
	long rev, created, lease;
};
struct event {
	char *key;
	char *value; /* NULL: deleted */
	long rev, created, lease;
};
struct lease {
	long id, ttl;
	int64_t until;
};
struct run {
	char task[96];
	long attempt;
	int64_t began, duration, stop_at;
	long gpu, fails;
	char label[32];
};
struct worker {
	char name[32], id[64], app[64], control[64], labels[4][32];
	int labels_n;
	long gpu, sequence, fence, last_end;
	int overload_late_ms, overload_ms; /* of a start that is to be carried out late */
	int64_t busy_until;
	int64_t born_wall, born, lease_until; /* lease_until on the worker's clock */
	bool up, draining, unhealthy, keep_id;
	int life, id_number,
		delay_beat_ms; /* the number in its id, which may be that of an earlier life */
	struct run runs[MAX_RUNS];
	int runs_n;
	json_t *finished, *rejects; /* rejects: task -> highest attempt stopped or ended */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct item items[MAX_ITEMS];
static int items_n;
static struct event events[MAX_EVENTS];
static int events_n;
static struct lease leases[MAX_LEASES];
static int leases_n;
static long revision = 10, next_lease = 1000;
static struct worker workers[MAX_WORKERS];
static int workers_n;
static char lose_key[128];
static int lose_count, lose_late_ms;
static json_t *broken, *starts, *done_acked, *failed; /* failed: runs of a task that failed */
static long config_ack_ms;
static FILE *record;
static int64_t t0;

static int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

__attribute__((format(printf, 1, 2))) static void note(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	fprintf(record, "%8.3f platform ", (double)(wall_ms() - t0) / 1000);
	vfprintf(record, fmt, ap);
	fputc('\n', record);
	fflush(record);
	va_end(ap);
}

__attribute__((format(printf, 1, 2))) static void breaks(const char *fmt, ...)
{
	char text[400];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	json_array_append_new(broken, json_string(text));
	note("BROKEN %s", text);
}

/* ---- the store ---- */

static struct item *find(const char *key)
{
	for (int i = 0; i < items_n; i++)
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	return NULL;
}

static void add_event(const struct item *it, bool deleted)
{
	if (events_n == MAX_EVENTS)
		abort();
	events[events_n++] = (struct event){strdup(it->key), deleted ? NULL : strdup(it->value),
		revision, it->created, it->lease};
}

static void put(const char *key, const char *value, long lease)
{
	struct item *it = find(key);

	if (it == NULL) {
		if (items_n == MAX_ITEMS)
			abort();
		it = &items[items_n++];
		*it = (struct item){strdup(key), NULL, 0, revision, 0};
	}
	free(it->value);
	it->value = strdup(value != NULL ? value : "");
	it->rev = revision;
	it->lease = lease;
	add_event(it, false);
}

static void drop(const char *key)
{
	struct item *it = find(key);

	if (it == NULL)
		return;
	add_event(it, true);
	free(it->key);
	free(it->value);
	*it = items[--items_n];
}

static json_t *item_json(const char *key, const char *value, long rev, long created, long lease)
{
	if (value == NULL)
		return json_pack(
			"{s:s,s:I,s:b}", "key", key, "revision", (json_int_t)rev, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value", value, "revision",
		(json_int_t)rev, "created", (json_int_t)created, "lease", (json_int_t)lease);
}

static struct lease *lease_find(long id)
{
	for (int i = 0; i < leases_n; i++)
		if (leases[i].id == id)
			return &leases[i];
	return NULL;
}

static void lease_end(long id)
{
	struct lease *l = lease_find(id);

	if (l == NULL)
		return;
	*l = leases[--leases_n];
	revision++;
	for (int i = items_n; i > 0; i--)
		if (items[i - 1].lease == id)
			drop(items[i - 1].key);
	pthread_cond_broadcast(&changed);
}

/* Carries out a transaction; returns the status and its body. */
static int txn(const json_t *in, json_t **out)
{
	const json_t *expect = json_object_get(in, "expect");
	const json_t *write = json_object_get(in, "write");
	const json_t *removed = json_object_get(in, "remove");
	json_t *seen = json_array();
	bool holds = true;
	size_t i;
	json_t *e;

	json_array_foreach((json_t *)expect, i, e) {
		const char *key = json_string_value(json_object_get(e, "key"));
		const struct item *it = find(key);

		holds = holds && json_integer_value(json_object_get(e, "revision")) ==
					 (it != NULL ? it->rev : 0);
		json_array_append_new(seen,
			it != NULL
				? item_json(it->key, it->value, it->rev, it->created, it->lease)
				: json_pack("{s:s,s:i}", "key", key, "revision", 0));
	}
	if (!holds) {
		*out = json_pack("{s:o}", "items", seen);
		return 412;
	}
	json_decref(seen);
	json_array_foreach((json_t *)write, i, e) {
		long lease = (long)json_integer_value(json_object_get(e, "lease"));

		if (lease != 0 && lease_find(lease) == NULL) {
			*out = json_object();
			return 404;
		}
	}
	if (json_array_size(write) + json_array_size(removed) > 0)
		revision++;
	json_array_foreach((json_t *)write, i, e)
		put(json_string_value(json_object_get(e, "key")),
			json_string_value(json_object_get(e, "value")),
			(long)json_integer_value(json_object_get(e, "lease")));
	json_array_foreach((json_t *)removed, i, e)
		drop(json_string_value(e));
	pthread_cond_broadcast(&changed);
	*out = json_pack("{s:I}", "revision", (json_int_t)revision);
	return 200;
}

/* Whether a transaction writes or removes a key that begins with lose_key. */
static const char *touches(const json_t *in)
{
	size_t i;
	json_t *e;

	json_array_foreach(json_object_get(in, "write"), i, e) {
		const char *key = json_string_value(json_object_get(e, "key"));

		if (strncmp(key, lose_key, strlen(lose_key)) == 0)
			return key;
	}
	json_array_foreach(json_object_get(in, "remove"), i, e) {
		if (strncmp(json_string_value(e), lose_key, strlen(lose_key)) == 0)
			return json_string_value(e);
	}
	return NULL;
}

struct late {
	json_t *in;
	int ms;
	char *key;
};

static void *late_txn(void *arg)
{
	struct late *l = arg;
	json_t *out = NULL;
	int status;

	usleep((useconds_t)l->ms * 1000);
	pthread_mutex_lock(&lock);
	status = txn(l->in, &out);
	note("store carries out the unanswered transaction on %s now: %d", l->key, status);
	pthread_mutex_unlock(&lock);
	json_decref(out);
	json_decref(l->in);
	free(l->key);
	free(l);
	return NULL;
}

static void spawn(void *(*fn)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, fn, arg) != 0)
		abort();
	pthread_detach(t);
}

static void wait_until(int64_t until)
{
	struct timespec ts = {.tv_sec = until / 1000, .tv_nsec = until % 1000 * 1000000};

	pthread_cond_timedwait(&changed, &lock, &ts);
}

static int by_key(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key, ((const struct item *)b)->key);
}

static int control(const json_t *in, json_t **out);

static const char *query(const char *q, const char *name, char *buf, size_t len)
{
	size_t n = strlen(name);

	for (const char *p = q; p != NULL && *p != '\0';
		p = strchr(p, '&') != NULL ? strchr(p, '&') + 1 : NULL) {
		size_t k = 0;

		if (strncmp(p, name, n) != 0 || p[n] != '=')
			continue;
		for (p += n + 1; *p != '\0' && *p != '&' && k + 1 < len; p++) {
			unsigned int c;

			if (*p == '%' && sscanf(p + 1, "%2x", &c) == 1) {
				buf[k++] = (char)c;
				p += 2;
			} else {
				buf[k++] = *p;
			}
		}
		buf[k] = '\0';
		return buf;
	}
	buf[0] = '\0';
	return buf;
}

static int store_call(
	const char *method, const char *path, const char *q, const json_t *in, json_t **out)
{
	char a[512], b[512];
	const char *call = strncmp(path, "/v1/", 4) == 0 ? path + 4 : path;
	const char *hit;

	(void)method;
	if (strcmp(path, "/control") == 0)
		return control(in, out);
	if (strcmp(call, "kv-key") == 0) {
		const struct item *it = find(query(q, "key", a, sizeof(a)));

		*out = it == NULL
			       ? json_object()
			       : item_json(it->key, it->value, it->rev, it->created, it->lease);
		json_object_set_new(*out, "at", json_integer(revision));
		return it == NULL ? 404 : 200;
	}
	if (strcmp(call, "kv-range") == 0) {
		json_t *list = json_array();
		bool more = false;

		query(q, "prefix", a, sizeof(a));
		query(q, "after", b, sizeof(b));
		qsort(items, (size_t)items_n, sizeof(items[0]), by_key);
		for (int i = 0; i < items_n && !more; i++) {
			if (strncmp(items[i].key, a, strlen(a)) != 0 ||
				strcmp(items[i].key, b) <= 0)
				continue;
			if (json_array_size(list) == PAGE)
				more = true;
			else
				json_array_append_new(list,
					item_json(items[i].key, items[i].value, items[i].rev,
						items[i].created, items[i].lease));
		}
		*out = json_pack("{s:o,s:b,s:I}", "items", list, "has_more", more, "at",
			(json_int_t)revision);
		return 200;
	}
	if (strcmp(call, "kv-watch") == 0) {
		json_t *list = json_array();
		long after = strtol(query(q, "after", b, sizeof(b)), NULL, 10);
		int64_t until = now_ms() + strtol(query(q, "wait_ms", b, sizeof(b)), NULL, 10);

		query(q, "prefix", a, sizeof(a));
		for (;;) {
			for (int i = 0; i < events_n; i++)
				if (events[i].rev > after &&
					strncmp(events[i].key, a, strlen(a)) == 0)
					json_array_append_new(
						list, item_json(events[i].key, events[i].value,
							      events[i].rev, events[i].created,
							      events[i].lease));
			if (json_array_size(list) > 0 || now_ms() >= until)
				break;
			wait_until(until);
		}
		*out = json_pack("{s:o,s:I}", "events", list, "at", (json_int_t)revision);
		return 200;
	}
	if (strcmp(call, "kv-txn") == 0) {
		hit = lose_count > 0 ? touches(in) : NULL;
		if (hit != NULL) {
			struct late *l = calloc(1, sizeof(*l));

			lose_count--;
			note("store loses the answer of a transaction on %s; it is done %d ms "
			     "later",
				hit, lose_late_ms);
			*l = (struct late){json_deep_copy(in), lose_late_ms, strdup(hit)};
			spawn(late_txn, l);
			return NO_ANSWER;
		}
		return txn(in, out);
	}
	if (strcmp(call, "kv-lease") == 0) {
		struct lease *l = &leases[leases_n++];

		if (leases_n == MAX_LEASES)
			abort();
		l->id = next_lease++;
		l->ttl = (long)json_integer_value(json_object_get(in, "ttl_ms"));
		l->until = now_ms() + l->ttl;
		*out = json_pack(
			"{s:I,s:I}", "lease", (json_int_t)l->id, "ttl_ms", (json_int_t)l->ttl);
		return 200;
	}
	if (strncmp(call, "kv-keep/", 8) == 0 || strncmp(call, "kv-lease-end/", 13) == 0) {
		long id = strtol(strchr(call, '/') + 1, NULL, 10);
		struct lease *l = lease_find(id);

		*out = json_object();
		if (l == NULL)
			return 404;
		if (call[3] == 'k')
			l->until = now_ms() + l->ttl;
		else
			lease_end(id);
		return 200;
	}
	return 404;
}

/* ---- the workers ---- */

static int64_t worker_clock(const struct worker *w)
{
	return now_ms() - w->born + 1000;
}

static void reject(struct worker *w, const char *task, long attempt)
{
	if (json_integer_value(json_object_get(w->rejects, task)) < attempt)
		json_object_set_new(w->rejects, task, json_integer(attempt));
}

static void run_end(struct worker *w, int i, const char *how)
{
	struct run r = w->runs[i];

	reject(w, r.task, r.attempt);
	json_array_append_new(w->finished, json_pack("[I,s,I,s,s]", (json_int_t)++w->last_end,
						   r.task, (json_int_t)r.attempt, how, ""));
	if (strcmp(how, "failed") == 0)
		json_object_set_new(failed, r.task,
			json_integer(json_integer_value(json_object_get(failed, r.task)) + 1));
	note("%s END %s attempt %ld %s", w->name, r.task, r.attempt, how);
	w->runs[i] = w->runs[--w->runs_n];
	pthread_cond_broadcast(&changed);
}

/* The checks of a start: TWICE, LIMIT and ROUTE as RULES.md has them. */
static void check_start(const struct worker *w, const struct run *r)
{
	long used = r->gpu;

	if (json_object_get(done_acked, r->task) != NULL)
		breaks("TWICE: %s starts on %s after its end was taken note of", r->task,
			w->name);
	for (int i = 0; i < workers_n; i++) {
		for (int k = 0; k < workers[i].runs_n; k++) {
			const struct run *o = &workers[i].runs[k];

			if (workers[i].up && strcmp(o->task, r->task) == 0)
				breaks("TWICE: %s attempt %ld starts on %s while attempt %ld "
				       "runs on %s",
					r->task, r->attempt, w->name, o->attempt,
					workers[i].name);
			if (&workers[i] == w)
				used += o->gpu;
		}
	}
	if (used > w->gpu)
		breaks("LIMIT: %s attempt %ld brings %s to %ld of %ld gpu", r->task, r->attempt,
			w->name, used, w->gpu);
	for (int i = 0; r->label[0] != '\0' && r->label[0] != '-' && i <= w->labels_n; i++) {
		if (i == w->labels_n)
			breaks("ROUTE: %s starts on %s, which lacks the label %s", r->task,
				w->name, r->label);
		else if (strcmp(w->labels[i], r->label) == 0)
			break;
	}
}

static int worker_call(struct worker *w, const char *path, const char *instance,
	const json_t *in, json_t **out);

struct late_start {
	struct worker *w;
	json_t *in;
	char *instance;
	int ms, life;
};

static void *late_start(void *arg)
{
	struct late_start *l = arg;
	json_t *out = NULL;
	int status;

	usleep((useconds_t)l->ms * 1000);
	pthread_mutex_lock(&lock);
	if (l->w->up && l->w->life == l->life) {
		note("%s carries out the unanswered start of %s now", l->w->name,
			json_string_value(json_object_get(l->in, "task")));
		status = worker_call(l->w, "/v1/run-start", l->instance, l->in, &out);
		note("%s: %d", l->w->name, status);
	}
	pthread_mutex_unlock(&lock);
	json_decref(out);
	json_decref(l->in);
	free(l->instance);
	free(l);
	return NULL;
}

static json_t *worker_body(const struct worker *w)
{
	return json_pack("{s:I,s:I}", "clock_ms", (json_int_t)worker_clock(w), "born",
		(json_int_t)w->born_wall);
}

static json_t *refusal(const struct worker *w, const char *reason)
{
	json_t *o = worker_body(w);

	json_object_set_new(o, "reason", json_string(reason));
	return o;
}

static void take_deadline(struct worker *w, const json_t *in)
{
	int64_t d = json_integer_value(json_object_get(in, "deadline_ms"));

	if (d > worker_clock(w) + HOLD_MAX_MS)
		d = worker_clock(w) + HOLD_MAX_MS;
	if (d > w->lease_until)
		w->lease_until = d;
}

static int worker_call(struct worker *w, const char *path, const char *instance,
	const json_t *in, json_t **out)
{
	long fence = (long)json_integer_value(json_object_get(in, "fencing_token"));
	const char *task = json_string_value(json_object_get(in, "task"));
	long attempt = (long)json_integer_value(json_object_get(in, "attempt"));
	int life = w->life;

	if (!w->up)
		return NO_ANSWER;
	if (instance != NULL && strcmp(instance, w->id) != 0) {
		*out = worker_body(w);
		return 421;
	}
	if (fence < w->fence) {
		*out = refusal(w, "fence");
		return 409;
	}
	w->fence = fence;
	if (strcmp(path, "/v1/run-start") == 0) {
		struct run r = {.attempt = attempt, .began = now_ms()};

		for (int i = 0; i < w->runs_n; i++) {
			if (strcmp(w->runs[i].task, task) == 0 &&
				w->runs[i].attempt == attempt) {
				*out = worker_body(w);
				return 200;
			}
		}
		if (w->overload_late_ms > 0) {
			struct late_start *l = calloc(1, sizeof(*l));

			*l = (struct late_start){w, json_deep_copy(in),
				instance != NULL ? strdup(instance) : NULL, w->overload_late_ms,
				w->life};
			note("%s leaves the start of %s attempt %ld unanswered", w->name, task,
				attempt);
			w->busy_until = now_ms() + w->overload_ms;
			w->overload_late_ms = 0;
			spawn(late_start, l);
			return NO_ANSWER;
		}
		if (w->unhealthy || now_ms() < w->busy_until) {
			note("%s answers 503 to the start of %s attempt %ld", w->name, task,
				attempt);
			*out = worker_body(w);
			return 503;
		}
		if (json_integer_value(json_object_get(w->rejects, task)) >= attempt) {
			take_deadline(w, in);
			*out = refusal(w, "old");
			return 409;
		}
		if (json_integer_value(json_object_get(in, "deadline_ms")) <= worker_clock(w)) {
			*out = refusal(w, "late");
			return 409;
		}
		snprintf(r.task, sizeof(r.task), "%s", task);
		sscanf(json_string_value(json_object_get(in, "spec")), "%ld %ld %31s %ld",
			&r.duration, &r.gpu, r.label, &r.fails);
		/* What was failed before counts against FAILS. */
		r.fails -= (long)json_integer_value(json_object_get(failed, task));
		check_start(w, &r);
		take_deadline(w, in);
		if (w->runs_n == MAX_RUNS)
			abort();
		w->runs[w->runs_n++] = r;
		note("%s START %s attempt %ld fence %ld", w->name, task, attempt, fence);
		json_object_set_new(starts, task,
			json_integer(json_integer_value(json_object_get(starts, task)) + 1));
		*out = worker_body(w);
		return 200;
	}
	if (strcmp(path, "/v1/run-stop") == 0) {
		reject(w, task, attempt);
		for (int i = 0; i < w->runs_n; i++)
			if (strcmp(w->runs[i].task, task) == 0 &&
				w->runs[i].attempt <= attempt && w->runs[i].stop_at == 0)
				w->runs[i].stop_at = now_ms() + STOP_MS;
		note("%s STOP %s attempt %ld", w->name, task, attempt);
		*out = worker_body(w);
		return 200;
	}
	if (strcmp(path, "/v1/hold") == 0) {
		int64_t until = now_ms() + json_integer_value(json_object_get(in, "wait_ms"));
		json_int_t seen = json_integer_value(json_object_get(in, "last_seen"));
		json_t *running = json_array();

		take_deadline(w, in);
		while (json_array_size(w->finished) > 0) {
			json_t *e = json_array_get(w->finished, 0);

			if (json_integer_value(json_array_get(e, 0)) > seen)
				break;
			if (strcmp(json_string_value(json_array_get(e, 3)), "done") == 0)
				json_object_set_new(done_acked,
					json_string_value(json_array_get(e, 1)), json_true());
			json_array_remove(w->finished, 0);
		}
		while (json_array_size(w->finished) == 0 && now_ms() < until && w->life == life)
			wait_until(until);
		if (w->life != life || !w->up) {
			json_decref(running);
			return NO_ANSWER;
		}
		for (int i = 0; i < w->runs_n; i++) {
			const struct run *r = &w->runs[i];
			int64_t percent = (now_ms() - r->began) * 100 / (r->duration + 1);

			json_array_append_new(running,
				json_pack("[s,I,s,I,i]", r->task, (json_int_t)r->attempt, "",
					(json_int_t)(percent > 99 ? 99 : percent), 0));
		}
		*out = worker_body(w);
		json_object_set_new(*out, "running", running);
		json_object_set_new(*out, "finished", json_deep_copy(w->finished));
		return 200;
	}
	*out = worker_body(w);
	return 404;
}

/* ---- HTTP ---- */

static bool parse_addr(const char *text, struct sockaddr_in *a)
{
	char host[64];
	const char *colon = strrchr(text, ':');

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	memset(a, 0, sizeof(*a));
	a->sin_family = AF_INET;
	a->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, host, &a->sin_addr) == 1 &&
	       (ntohl(a->sin_addr.s_addr) >> 24) == 127;
}

struct conn {
	int fd;
	struct worker *worker; /* NULL: the store */
};

static bool send_all(int fd, const char *p, size_t n)
{
	while (n > 0) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

		if (k <= 0)
			return false;
		p += k;
		n -= (size_t)k;
	}
	return true;
}

static char *header(char *head, const char *name)
{
	size_t n = strlen(name);

	for (char *p = strstr(head, "\r\n"); p != NULL; p = strstr(p, "\r\n")) {
		p += 2;
		if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
			p += n + 1;
			while (*p == ' ')
				p++;
			return strndup(p, strcspn(p, "\r\n"));
		}
	}
	return NULL;
}

static void *serve(void *arg)
{
	struct conn *c = arg;
	char *buf = NULL;
	size_t len = 0;

	for (;;) {
		char *end = NULL, *h, *q, *text, *instance;
		char method[16], path[1024], head[256];
		size_t head_len, want;
		json_t *in, *out = NULL;
		int status;

		while (buf == NULL || (end = strstr(buf, "\r\n\r\n")) == NULL) {
			ssize_t n;

			buf = realloc(buf, len + 65537);
			n = recv(c->fd, buf + len, 65536, 0);
			if (n <= 0)
				goto out;
			len += (size_t)n;
			buf[len] = '\0';
		}
		head_len = (size_t)(end - buf) + 4;
		*end = '\0';
		h = header(buf, "Content-Length");
		want = h != NULL ? strtoul(h, NULL, 10) : 0;
		free(h);
		instance = header(buf, "Expected-Instance");
		if (sscanf(buf, "%15s %1023s", method, path) != 2)
			goto out;
		while (len < head_len + want) {
			ssize_t n;

			buf = realloc(buf, head_len + want + 65537);
			n = recv(c->fd, buf + len, 65536, 0);
			if (n <= 0)
				goto out;
			len += (size_t)n;
			buf[len] = '\0';
		}
		in = json_loadb(buf + head_len, want, 0, NULL);
		if (in == NULL)
			in = json_object();
		memmove(buf, buf + head_len + want, len - head_len - want + 1);
		len -= head_len + want;
		buf[len] = '\0';
		q = strchr(path, '?');
		if (q != NULL)
			*q++ = '\0';
		if (c->worker == NULL && strcmp(path, "/control") != 0)
			usleep(STORE_MS * 1000);
		pthread_mutex_lock(&lock);
		status = c->worker != NULL ? worker_call(c->worker, path, instance, in, &out)
					   : store_call(method, path, q, in, &out);
		text = out != NULL ? json_dumps(out, JSON_COMPACT) : strdup("{}");
		json_decref(out);
		pthread_mutex_unlock(&lock);
		json_decref(in);
		free(instance);
		if (status == NO_ANSWER) {
			/* The channel returns nothing further. */
			char sink[4096];

			free(text);
			while (recv(c->fd, sink, sizeof(sink), 0) > 0)
				;
			goto out;
		}
		snprintf(head, sizeof(head),
			"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: "
			"%zu\r\n\r\n",
			status, strlen(text));
		if (!send_all(c->fd, head, strlen(head)) ||
			!send_all(c->fd, text, strlen(text))) {
			free(text);
			goto out;
		}
		free(text);
	}
out:
	close(c->fd);
	free(buf);
	free(c);
	return NULL;
}

struct listener {
	int fd;
	struct worker *worker;
};

static void *accept_all(void *arg)
{
	struct listener *l = arg;

	for (;;) {
		struct conn *c = calloc(1, sizeof(*c));

		c->fd = accept(l->fd, NULL, NULL);
		c->worker = l->worker;
		if (c->fd >= 0)
			spawn(serve, c);
	}
	return NULL;
}

static void listen_on(const char *addr, struct worker *w)
{
	struct sockaddr_in a;
	struct listener *l = calloc(1, sizeof(*l));
	int one = 1;

	l->worker = w;
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!parse_addr(addr, &a) || bind(l->fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
		listen(l->fd, 128) != 0) {
		fprintf(stderr, "platform: cannot listen on %s\n", addr);
		exit(2);
	}
	spawn(accept_all, l);
}

/* Sends a request to an agent; returns the status, 0 for no answer within a second. */
static int call_agent(const char *addr, const char *method, const char *path, const char *body)
{
	struct sockaddr_in a;
	struct timeval second = {.tv_sec = 1};
	char head[512], answer[256];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int status = 0;
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof(second));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof(second));
	if (parse_addr(addr, &a) && connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0) {
		snprintf(head, sizeof(head),
			"%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\nConnection: close\r\n\r\n",
			method, path, addr, strlen(body));
		if (send_all(fd, head, strlen(head)) && send_all(fd, body, strlen(body)) &&
			(n = recv(fd, answer, sizeof(answer) - 1, 0)) > 0) {
			answer[n] = '\0';
			sscanf(answer, "HTTP/1.1 %d", &status);
		}
	}
	close(fd);
	return status;
}

static char *beat_body(struct worker *w)
{
	json_t *labels = json_array();
	json_t *o;
	char *text;

	for (int i = 0; i < w->labels_n; i++)
		json_array_append_new(labels, json_string(w->labels[i]));
	o = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:o,s:I,s:I,s:I}",
		"service", "proofing", "address", w->app, "zone", "z1", "version", "v1",
		"slots", 8, "state", w->draining ? "draining" : "ready", "cold_remaining_ms", 0,
		"capacity", "cpu", 32000, "task_memory_mb", 64000, "gpu", (int)w->gpu, "labels",
		labels, "clock_ms", (json_int_t)worker_clock(w), "sequence",
		(json_int_t)++w->sequence, "born", (json_int_t)w->born_wall);
	if (w->draining)
		json_object_set_new(o, "drain_remaining_ms", json_integer(DRAIN_MS));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

struct beat {
	char control[64], path[128], name[32], *body;
	int delay_ms;
};

static void *send_beat(void *arg)
{
	struct beat *b = arg;
	int status;

	if (b->delay_ms > 0)
		usleep((useconds_t)b->delay_ms * 1000);
	status = call_agent(b->control, "PUT", b->path, b->body);
	pthread_mutex_lock(&lock);
	if (b->delay_ms > 0)
		note("%s status report that was %d ms under way: %d %s %s", b->name,
			b->delay_ms, status, b->path, b->body);
	pthread_mutex_unlock(&lock);
	free(b->body);
	free(b);
	return NULL;
}

/* Sends a status report; the caller holds the lock. */
static void beat(struct worker *w)
{
	struct beat *b = calloc(1, sizeof(*b));

	memcpy(b->control, w->control, sizeof(b->control));
	memcpy(b->name, w->name, sizeof(b->name));
	snprintf(b->path, sizeof(b->path), "/v1/instances/%s", w->id);
	b->body = beat_body(w);
	b->delay_ms = w->delay_beat_ms;
	if (w->delay_beat_ms > 0)
		note("%s status report is under way for long: %s", w->name, b->body);
	w->delay_beat_ms = 0;
	spawn(send_beat, b);
}

/* Begins a new life of a worker; the caller holds the lock. */
static void begin_life(struct worker *w)
{
	w->life++;
	w->born = now_ms();
	w->born_wall = wall_ms();
	if (!w->keep_id)
		w->id_number++;
	w->keep_id = false;
	snprintf(w->id, sizeof(w->id), "i-%s-%d", w->name, w->id_number);
	w->sequence = w->fence = w->last_end = 0;
	w->lease_until = 0;
	w->runs_n = 0;
	w->draining = false;
	json_decref(w->finished);
	json_decref(w->rejects);
	w->finished = json_array();
	w->rejects = json_object();
	w->up = true;
	note("%s begins its life %s with %ld gpu", w->name, w->id, w->gpu);
}

static void *live(void *arg)
{
	struct worker *w = arg;
	int64_t next = 0;

	for (;;) {
		usleep(10000);
		pthread_mutex_lock(&lock);
		for (int i = w->runs_n; w->up && i > 0; i--) {
			struct run *r = &w->runs[i - 1];

			if (worker_clock(w) > w->lease_until)
				run_end(w, i - 1, "lapsed");
			else if (r->stop_at != 0 && now_ms() >= r->stop_at)
				run_end(w, i - 1, "stopped");
			else if (now_ms() - r->began >= r->duration)
				run_end(w, i - 1, r->fails > 0 ? "failed" : "done");
		}
		if (w->up && (now_ms() >= next || w->sequence == 0)) {
			next = now_ms() + BEAT_MS;
			beat(w);
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

struct change {
	struct worker *w;
	int down_ms;
	bool planned;
};

/* Takes a worker away, with notice or without, and begins its next life after a while. */
static void *take_away(void *arg)
{
	struct change *c = arg;
	struct worker *w = c->w;
	char path[128];
	int status;

	pthread_mutex_lock(&lock);
	if (c->planned) {
		w->draining = true;
		beat(w);
		note("%s drains", w->name);
		pthread_mutex_unlock(&lock);
		usleep(DRAIN_MS * 1000);
		pthread_mutex_lock(&lock);
	}
	snprintf(path, sizeof(path), "/v1/instances/%s", w->id);
	w->up = false;
	w->life++;
	w->runs_n = 0;
	pthread_cond_broadcast(&changed);
	if (c->planned) {
		pthread_mutex_unlock(&lock);
		status = call_agent(w->control, "DELETE", path, "");
		pthread_mutex_lock(&lock);
		note("%s leaves: %d", w->name, status);
	} else {
		note("%s crashes", w->name);
	}
	pthread_mutex_unlock(&lock);
	usleep((useconds_t)c->down_ms * 1000);
	pthread_mutex_lock(&lock);
	begin_life(w);
	pthread_mutex_unlock(&lock);
	free(c);
	return NULL;
}

static char *base64(const char *data, size_t n)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = calloc(1, (n + 2) / 3 * 4 + 1);
	size_t k = 0;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)data[i] << 16 |
			     (i + 1 < n ? (uint32_t)(uint8_t)data[i + 1] << 8 : 0) |
			     (i + 2 < n ? (uint32_t)(uint8_t)data[i + 2] : 0);

		out[k++] = digits[v >> 18];
		out[k++] = digits[v >> 12 & 63];
		out[k++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		out[k++] = i + 2 < n ? digits[v & 63] : '=';
	}
	return out;
}

static int control(const json_t *in, json_t **out)
{
	const char *cmd = json_string_value(json_object_get(in, "cmd"));
	const char *name = json_string_value(json_object_get(in, "worker"));
	struct worker *w = NULL;

	*out = json_object();
	for (int i = 0; name != NULL && i < workers_n; i++)
		if (strcmp(workers[i].name, name) == 0)
			w = &workers[i];
	if (strcmp(cmd, "config") == 0) {
		json_t *file =
			json_load_file(json_string_value(json_object_get(in, "file")), 0, NULL);
		char *text = json_dumps(file, JSON_COMPACT);
		char *value = base64(text, strlen(text));

		revision++;
		put("op/config", value, 0);
		pthread_cond_broadcast(&changed);
		config_ack_ms = (long)(wall_ms() - t0);
		note("operator's configuration is acknowledged: version %d",
			(int)json_integer_value(json_object_get(file, "version")));
		json_decref(file);
		free(text);
		free(value);
	} else if (strcmp(cmd, "lose") == 0) {
		snprintf(lose_key, sizeof(lose_key), "%s",
			json_string_value(json_object_get(in, "key")));
		lose_count = (int)json_integer_value(json_object_get(in, "count"));
		lose_late_ms = (int)json_integer_value(json_object_get(in, "late_ms"));
	} else if (strcmp(cmd, "leave") == 0 || strcmp(cmd, "crash") == 0) {
		struct change *c = calloc(1, sizeof(*c));
		const json_t *labels = json_object_get(in, "labels");

		c->w = w;
		c->planned = cmd[0] == 'l';
		w->keep_id = json_is_true(json_object_get(in, "same_id"));
		c->down_ms = (int)json_integer_value(json_object_get(in, "down_ms"));
		if (json_object_get(in, "gpu") != NULL)
			w->gpu = (long)json_integer_value(json_object_get(in, "gpu"));
		if (labels != NULL) {
			w->labels_n = (int)json_array_size(labels);
			for (int i = 0; i < w->labels_n; i++)
				snprintf(w->labels[i], sizeof(w->labels[i]), "%s",
					json_string_value(json_array_get(labels, (size_t)i)));
		}
		spawn(take_away, c);
	} else if (strcmp(cmd, "delay_beat") == 0) {
		w->delay_beat_ms = (int)json_integer_value(json_object_get(in, "ms"));
		beat(w);
	} else if (strcmp(cmd, "overload") == 0) {
		w->overload_late_ms = (int)json_integer_value(json_object_get(in, "late_ms"));
		w->overload_ms = (int)json_integer_value(json_object_get(in, "ms"));
	} else if (strcmp(cmd, "unhealthy") == 0) {
		w->unhealthy = json_is_true(json_object_get(in, "on"));
		note("%s is %s", w->name, w->unhealthy ? "unhealthy" : "healthy");
	}
	json_object_set(*out, "broken", broken);
	json_object_set(*out, "starts", starts);
	json_object_set_new(*out, "config_ack_ms", json_integer(config_ack_ms));
	json_object_set_new(*out, "at_ms", json_integer(wall_ms() - t0));
	{
		json_t *running = json_object();
		json_t *keys = json_array();

		for (int i = 0; i < workers_n; i++)
			for (int k = 0; k < workers[i].runs_n; k++)
				json_object_set_new(running, workers[i].runs[k].task,
					json_string(workers[i].name));
		for (int i = 0; i < items_n; i++)
			json_array_append_new(keys, json_string(items[i].key));
		json_object_set_new(*out, "running", running);
		json_object_set_new(*out, "keys", keys);
	}
	return 200;
}

static void *expire_leases(void *arg)
{
	for (;;) {
		usleep(20000);
		pthread_mutex_lock(&lock);
		for (int i = leases_n; i > 0; i--)
			if (now_ms() > leases[i - 1].until)
				lease_end(leases[i - 1].id);
		pthread_mutex_unlock(&lock);
	}
	return arg;
}

int main(int argc, char **argv)
{
	pthread_condattr_t attr;

	signal(SIGPIPE, SIG_IGN);
	if (argc < 4)
		return 2;
	record = fopen(argv[1], "a");
	t0 = getenv("REVIEW_T0") != NULL ? strtoll(getenv("REVIEW_T0"), NULL, 10) : wall_ms();
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &attr);
	broken = json_array();
	starts = json_object();
	done_acked = json_object();
	failed = json_object();
	for (int i = 3; i < argc && workers_n < MAX_WORKERS; i++) {
		struct worker *w = &workers[workers_n++];

		if (sscanf(argv[i], "%31[^=]=%63[^,],%63[^,],%ld,%31s", w->name, w->app,
			    w->control, &w->gpu, w->labels[0]) != 5)
			return 2;
		snprintf(w->labels[1], sizeof(w->labels[1]), "r1-1");
		w->labels_n = 2;
		begin_life(w);
		listen_on(w->app, w);
		spawn(live, w);
	}
	listen_on(argv[2], NULL);
	spawn(expire_leases, NULL);
	for (;;)
		pause();
}
