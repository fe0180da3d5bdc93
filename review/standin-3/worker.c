/*
 * A worker of the users' platform, one process for one lifetime, as PROTOCOL.md ("Running work
 * items", "Service discovery") describes it. It does not guard its capacity. For the cases of
 * this review only; gangs, advice and paces are not simulated.
 *
 * worker ID APP CONTROL ZONE [NAME=VALUE ...]
 *
 * gpu, cpu, mem: the capacity (8, 32000, 65536). labels: comma separated (a,r1-1). service
 * (proofing). stop_ms: how long a stop takes (300). save_ms: work between checkpoints (1000).
 * checkpoint_len: bytes of a checkpoint (16). drain_ms: time of service after the ack of a
 * draining report (2000). hold_max_ms: longest lease (6000). beat_ms: period of status reports
 * (1500). restore_ms (600).
 *
 * The "spec" of a job says what its work items do: "work MS" ends as done after so much work,
 * "serve MIN MAX" lasts and fails by itself after a random time between the two, never if MAX
 * is 0.
 *
 * SIGUSR1 has the worker drain and leave; SIGKILL is a crash. Each call that changes something
 * and each end of a run is a line on standard output: "UNIX-MS ID WHAT ...".
 */
#include "transport.h"

#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK	   (10 * NSEC_PER_MSEC)
#define LISTED_MAX 500
#define STARTUP_MS 500 /* until a work item that lasts is at work */
#define NO_ACK_MS  4000

struct run {
	char *task;
	json_int_t attempt;
	int64_t total_ms; /* of work; of a work item that lasts until it fails, 0 for never */
	bool lasts;
	int64_t began_ms;
	int64_t done_before_ms; /* work of earlier runs, from the checkpoint */
	bool unreadable;	/* its checkpoint is none that a worker gave out */
	int64_t stop_at_ms;	/* 0: not being stopped */
	bool saves;
};

struct hold {
	struct http_request *request;
	int64_t until_ms;
};

static const char *id;
static const char *control;
static const char *zone;
static const char *service = "proofing";
static const char *labels = "a,r1-1";
static json_int_t gpu = 8;
static json_int_t cpu = 32000;
static json_int_t mem = 65536;
static int64_t stop_ms = 300;
static int64_t save_ms = 1000;
static int64_t restore_ms = 600;
static size_t checkpoint_len = 16;
static int64_t drain_ms = 2000;
static int64_t hold_max_ms = 6000;
static int64_t beat_ms = 1500;

static struct loop *loop;
static struct http_client *client;
static char *own_addr;
static int64_t born_unix_ms;
static int64_t born_ms;
static GPtrArray *runs;
static GPtrArray *holds;
static json_t *finished;
static json_int_t last_end;
static GHashTable *last_attempts; /* by task: highest attempt that was stopped or ended */
static json_int_t fence;
static int64_t lease_until; /* on the worker's clock */
static json_int_t sequence;
static int64_t next_beat_ms;
static bool beat_pending;
static volatile sig_atomic_t drain_asked;
static int64_t drain_since_ms;
static int64_t drain_acked_ms;
static bool leaving;

static int64_t now_ms(void)
{
	return loop_now(loop) / NSEC_PER_MSEC;
}

/* The worker's own steady clock. */
static int64_t clock_ms(void)
{
	return now_ms() - born_ms + 1000;
}

static int64_t unix_ms(void)
{
	return clock_wall(loop_clock(loop)) / NSEC_PER_MSEC;
}

#define say(...)                                                                               \
	do {                                                                                   \
		printf("%" PRId64 " %s ", unix_ms(), id);                                      \
		printf(__VA_ARGS__);                                                           \
		printf("\n");                                                                  \
		fflush(stdout);                                                                \
	} while (0)

static void reply(struct http_request *r, int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	http_reply_text(r, status, "application/json", text);
	free(text);
}

static void reply_clock(struct http_request *r, int status, const char *reason)
{
	json_t *o = json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms());

	if (reason != NULL)
		json_object_set_new(o, "reason", json_string(reason));
	reply(r, status, o);
}

/* Work of a run so far, with that of the runs whose checkpoint it has. */
static int64_t work_done(const struct run *r)
{
	int64_t ran = now_ms() - r->began_ms - (r->done_before_ms > 0 ? restore_ms : 0);

	return r->done_before_ms + MAX(ran, 0);
}

/* The checkpoint for an amount of work, of the length that is set. */
static char *checkpoint_of(int64_t work)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s, "%08" PRIx64, work);
	while (s->len < checkpoint_len)
		g_string_append_c(s, "0123456789abcdef"[(s->len * 7 + (gsize)work) % 16]);
	return g_string_free(s, FALSE);
}

/* Whether a worker gave this checkpoint out; its amount of work goes to *work. */
static bool checkpoint_read(const char *text, int64_t *work)
{
	g_autofree char *same = NULL;

	*work = (int64_t)g_ascii_strtoull(strndupa(text, 8), NULL, 16);
	same = checkpoint_of(*work);
	return strcmp(same, text) == 0;
}

static char *saved_of(const struct run *r, bool stopped)
{
	int64_t work = work_done(r);

	if (!r->saves || r->unreadable)
		return g_strdup("");
	if (!stopped)
		work -= work % save_ms;
	return work > 0 ? checkpoint_of(work) : g_strdup("");
}

static int percent_of(const struct run *r)
{
	if (r->lasts)
		return now_ms() - r->began_ms >= STARTUP_MS ? 100 : 0;
	return (int)MIN(99, work_done(r) * 100 / MAX(r->total_ms, 1));
}

static json_t *lists(void)
{
	json_t *running = json_array();
	json_t *ends = json_array();

	for (size_t i = 0; i < MIN(json_array_size(finished), LISTED_MAX); i++)
		json_array_append(ends, json_array_get(finished, i));
	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = runs->pdata[i];
		g_autofree char *saved = saved_of(r, false);

		json_array_append_new(running,
			json_pack("[s,I,s,i,i]", r->task, r->attempt, saved, percent_of(r), 0));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)clock_ms(), "born",
		(json_int_t)born_unix_ms, "running", running, "finished", ends);
}

static void record_attempt(const char *task, json_int_t attempt)
{
	json_int_t *old = g_hash_table_lookup(last_attempts, task);
	json_int_t *last = g_new(json_int_t, 1);

	*last = MAX(attempt, old != NULL ? *old : 0);
	g_hash_table_replace(last_attempts, g_strdup(task), last);
}

static void run_free(void *arg)
{
	struct run *r = arg;

	g_free(r->task);
	g_free(r);
}

static void run_end(guint i, const char *how)
{
	struct run *r = runs->pdata[i];
	g_autofree char *saved = strcmp(how, "done") == 0 ? g_strdup("") : saved_of(r, true);

	record_attempt(r->task, r->attempt);
	json_array_append_new(finished,
		json_pack("[I,s,I,s,s]", ++last_end, r->task, r->attempt, how, saved));
	say("end task=%s attempt=%lld how=%s saved=%s", r->task, (long long)r->attempt, how,
		saved);
	g_ptr_array_remove_index(runs, i);
}

static void answer_holds(void)
{
	for (guint i = holds->len; i > 0; i--) {
		struct hold *h = holds->pdata[i - 1];

		if (json_array_size(finished) == 0 && now_ms() < h->until_ms)
			continue;
		reply(h->request, 200, lists());
		g_free(h);
		g_ptr_array_remove_index(holds, i - 1);
	}
}

static void take_deadline(const json_t *in)
{
	const json_t *d = json_object_get(in, "deadline_ms");

	if (json_is_integer(d))
		lease_until =
			MAX(lease_until, MIN(json_integer_value(d), clock_ms() + hold_max_ms));
}

static void handle_start(struct http_request *q, const json_t *in)
{
	const char *task = json_string_value(json_object_get(in, "task"));
	const char *spec = json_string_value(json_object_get(in, "spec"));
	const char *saved = json_string_value(json_object_get(in, "checkpoint"));
	json_int_t attempt = json_integer_value(json_object_get(in, "attempt"));
	const json_int_t *last;
	struct run *r;
	long long least = 0;
	long long most = 0;

	if (task == NULL || spec == NULL || attempt < 1) {
		reply_clock(q, 400, NULL);
		return;
	}
	for (guint i = 0; i < runs->len; i++) {
		r = runs->pdata[i];
		if (strcmp(r->task, task) == 0 && r->attempt == attempt) {
			take_deadline(in);
			reply_clock(q, 200, NULL);
			return;
		}
	}
	last = g_hash_table_lookup(last_attempts, task);
	if (last != NULL && attempt <= *last) {
		take_deadline(in);
		say("refuse task=%s attempt=%lld reason=old", task, (long long)attempt);
		reply_clock(q, 409, "old");
		return;
	}
	if (json_integer_value(json_object_get(in, "deadline_ms")) < clock_ms()) {
		say("refuse task=%s attempt=%lld reason=late", task, (long long)attempt);
		reply_clock(q, 409, "late");
		return;
	}
	take_deadline(in);
	r = g_new0(struct run, 1);
	r->task = g_strdup(task);
	r->attempt = attempt;
	r->began_ms = now_ms();
	if (sscanf(spec, "serve %lld %lld", &least, &most) == 2) {
		r->lasts = true;
		r->total_ms = most > 0 ? least + (int64_t)(random_u64() %
							   (uint64_t)MAX(most - least, 1))
				       : 0;
	} else if (sscanf(spec, "work %lld", &least) == 1) {
		r->total_ms = least;
		r->saves = strstr(spec, "saves") != NULL;
	}
	if (saved != NULL && *saved != '\0')
		r->unreadable = !checkpoint_read(saved, &r->done_before_ms);
	g_ptr_array_add(runs, r);
	say("start task=%s attempt=%lld fence=%lld known=%d checkpoint=%s", task,
		(long long)attempt, (long long)fence, !r->unreadable,
		saved != NULL ? saved : "");
	reply_clock(q, 200, NULL);
}

static void handle_stop(struct http_request *q, const json_t *in)
{
	const char *task = json_string_value(json_object_get(in, "task"));
	json_int_t attempt = json_integer_value(json_object_get(in, "attempt"));

	if (task == NULL) {
		reply_clock(q, 400, NULL);
		return;
	}
	record_attempt(task, attempt);
	for (guint i = 0; i < runs->len; i++) {
		struct run *r = runs->pdata[i];

		if (strcmp(r->task, task) != 0 || r->attempt > attempt || r->stop_at_ms != 0)
			continue;
		r->stop_at_ms = now_ms() + stop_ms;
		say("stop task=%s attempt=%lld", task, (long long)attempt);
	}
	reply_clock(q, 200, NULL);
}

static void handle_hold(struct http_request *q, const json_t *in)
{
	json_int_t seen = json_integer_value(json_object_get(in, "last_seen"));
	struct hold *h = g_new0(struct hold, 1);

	take_deadline(in);
	while (json_array_size(finished) > 0 &&
		json_integer_value(json_array_get(json_array_get(finished, 0), 0)) <= seen)
		json_array_remove(finished, 0);
	h->request = q;
	h->until_ms = now_ms() + MIN(json_integer_value(json_object_get(in, "wait_ms")), 2000);
	g_ptr_array_add(holds, h);
	answer_holds();
}

/* A call on its way from a thread of the server to the loop. */
struct received {
	struct http_request *request;
	char *expected; /* the lifetime that it is meant for; NULL for any */
};

static void handle_call(void *arg)
{
	struct received *received = arg;
	struct http_request *q = received->request;
	g_autofree char *expected = received->expected;
	const struct bytes *body = http_body(q);
	json_t *in = json_loadb(body->data != NULL ? body->data : "", body->len, 0, NULL);
	json_int_t f = json_integer_value(json_object_get(in, "fencing_token"));
	const char *path = http_path(q);

	if (expected != NULL && strcmp(expected, id) != 0) {
		reply_clock(q, 421, NULL);
	} else if (f < fence) {
		reply_clock(q, 409, "fence");
	} else {
		fence = f;
		if (strcmp(path, "/v1/run-start") == 0)
			handle_start(q, in);
		else if (strcmp(path, "/v1/run-stop") == 0)
			handle_stop(q, in);
		else if (strcmp(path, "/v1/hold") == 0)
			handle_hold(q, in);
		else
			reply_clock(q, 404, NULL);
	}
	json_decref(in);
	g_free(received);
}

/* Runs on a thread of the server; headers may be read only here. */
static void on_request(struct http_request *r, void *arg)
{
	struct received *received = g_new0(struct received, 1);

	(void)arg;
	received->request = r;
	received->expected = g_strdup(http_header(r, "Expected-Instance"));
	loop_post(loop, handle_call, received);
}

static void beat_done(struct http_call *c, void *arg)
{
	bool draining = arg != NULL;

	beat_pending = false;
	if (c->error == NULL && c->status == 200 && draining && drain_acked_ms == 0) {
		drain_acked_ms = now_ms();
		say("draining acknowledged");
	}
	http_call_free(c);
}

static void left(struct http_call *c, void *arg)
{
	(void)c;
	(void)arg;
	say("left runs=%u", runs->len);
	_exit(0);
}

static struct http_call *report_new(const char *method)
{
	g_autofree char *url = g_strdup_printf("http://%s/v1/instances/%s", control, id);
	struct http_call *c = http_call_new(method, url);

	c->timeout = NSEC_PER_SEC;
	return c;
}

static void send_beat(void)
{
	bool draining = drain_since_ms != 0;
	json_t *list = json_array();
	g_auto(GStrv) names = g_strsplit(labels, ",", -1);
	struct http_call *c;
	json_t *o;

	for (guint i = 0; names[i] != NULL; i++)
		json_array_append_new(list, json_string(names[i]));
	o = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:I,s:{s:I,s:I,s:I},s:o}",
		"service", service, "address", own_addr, "zone", zone, "version", "v1", "slots",
		8, "state", draining ? "draining" : "ready", "cold_remaining_ms", 0, "sequence",
		++sequence, "born", (json_int_t)born_unix_ms, "clock_ms",
		(json_int_t)clock_ms(), "capacity", "cpu", cpu, "task_memory_mb", mem, "gpu",
		gpu, "labels", list);
	if (draining)
		json_object_set_new(o, "drain_remaining_ms",
			json_integer(MAX(0, (drain_acked_ms != 0 ? drain_acked_ms : now_ms()) +
						    drain_ms - now_ms())));
	c = report_new("PUT");
	c->body.data = json_dumps(o, JSON_COMPACT);
	c->body.len = strlen(c->body.data);
	http_call_header(c, "Content-Type", "application/json");
	c->done = beat_done;
	c->arg = draining ? loop : NULL;
	json_decref(o);
	beat_pending = true;
	http_client_send(client, c);
}

static void check_drain(void)
{
	struct http_call *c;

	if (drain_asked && drain_since_ms == 0) {
		drain_since_ms = now_ms();
		next_beat_ms = 0;
		say("draining");
	}
	if (drain_since_ms == 0 || leaving)
		return;
	if (drain_acked_ms != 0 ? now_ms() < drain_acked_ms + drain_ms + 300
				: now_ms() < drain_since_ms + NO_ACK_MS)
		return;
	leaving = true;
	c = report_new("DELETE");
	c->done = left;
	http_client_send(client, c);
}

static void tick(void *arg)
{
	(void)arg;
	for (guint i = runs->len; i > 0; i--) {
		const struct run *r = runs->pdata[i - 1];

		if (clock_ms() > lease_until)
			run_end(i - 1, "lapsed");
		else if (r->stop_at_ms != 0 && now_ms() >= r->stop_at_ms)
			run_end(i - 1, "stopped");
		else if (r->unreadable && now_ms() >= r->began_ms + restore_ms)
			run_end(i - 1, "failed");
		else if (r->lasts && r->total_ms > 0 && now_ms() - r->began_ms >= r->total_ms)
			run_end(i - 1, "failed");
		else if (!r->lasts && !r->unreadable && work_done(r) >= r->total_ms)
			run_end(i - 1, "done");
	}
	answer_holds();
	check_drain();
	if (!leaving && !beat_pending && now_ms() >= next_beat_ms) {
		next_beat_ms = now_ms() + beat_ms;
		send_beat();
	}
}

static void on_signal(int number)
{
	(void)number;
	drain_asked = 1;
}

static void read_setting(const char *text)
{
	const char *value = strchr(text, '=');
	int64_t n = value != NULL ? g_ascii_strtoll(value + 1, NULL, 10) : 0;
	g_autofree char *name = value != NULL ? g_strndup(text, (gsize)(value - text)) : NULL;
	const struct {
		const char *name;
		int64_t *to;
	} numbers[] = {{"stop_ms", &stop_ms}, {"save_ms", &save_ms},
		{"restore_ms", &restore_ms}, {"drain_ms", &drain_ms},
		{"hold_max_ms", &hold_max_ms}, {"beat_ms", &beat_ms}};

	if (name == NULL)
		return;
	for (size_t i = 0; i < ARRAY_LEN(numbers); i++) {
		if (strcmp(name, numbers[i].name) == 0)
			*numbers[i].to = n;
	}
	if (strcmp(name, "gpu") == 0)
		gpu = n;
	if (strcmp(name, "cpu") == 0)
		cpu = n;
	if (strcmp(name, "mem") == 0)
		mem = n;
	if (strcmp(name, "checkpoint_len") == 0)
		checkpoint_len = (size_t)n;
	if (strcmp(name, "labels") == 0)
		labels = value + 1;
	if (strcmp(name, "service") == 0)
		service = value + 1;
}

int main(int argc, char **argv)
{
	const struct http_limits limits = {
		.body_max = 1 << 20, .connections_max = 64, .idle_timeout_s = 60, .threads = 1};

	if (argc < 5) {
		fprintf(stderr, "usage: worker ID APP CONTROL ZONE [NAME=VALUE ...]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	id = argv[1];
	own_addr = argv[2];
	control = argv[3];
	zone = argv[4];
	for (int i = 5; i < argc; i++)
		read_setting(argv[i]);
	loop = loop_new(&clock_system);
	client = http_client_new(loop);
	runs = g_ptr_array_new_with_free_func(run_free);
	holds = g_ptr_array_new();
	finished = json_array();
	last_attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	born_ms = now_ms();
	born_unix_ms = unix_ms();
	if (http_server_new(own_addr, &limits, on_request, NULL, NULL) == NULL) {
		fprintf(stderr, "worker: cannot listen on %s\n", own_addr);
		return 1;
	}
	say("up born=%" PRId64, born_unix_ms);
	loop_timer_add(loop, TICK, TICK, tick, NULL);
	loop_run(loop);
	return 0;
}
