#include "state.h"

#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

/*
 * A fake upstream for tests: announces itself to an agent and runs tasks that only sleep. The
 * start and the end of each task are printed, so that tests can count runs. A task's payload
 * may be JSON; all fields are optional:
 *
 *   {"sleep_ms":N}        the task ends after N ms; the default is 0
 *   {"fail":true}         it ends with 500 instead of 200
 *   {"refuse":true}       it is not started and answered with 503 "not begun"
 *   {"ignore_stop":true}  a stop is answered, but the task runs on
 *   {"tag":"TEXT"}        TEXT is printed with its start and end; "-" by default
 *
 * The response to a task that runs to its end echoes the payload; a stopped task is answered
 * with 409 "stopped".
 */

#define ANNOUNCE_PERIOD_NS (NSEC_PER_SEC)
/* From the signal to the first check for running tasks, and between checks. */
#define DRAIN_CHECK_DELAY_NS  (300 * NSEC_PER_MSEC)
#define DRAIN_CHECK_PERIOD_NS (100 * NSEC_PER_MSEC)

struct task {
	char *name;
	char *job;
	char *tag;
	struct http_request *request;
	struct loop_timer *timer;
	struct bytes payload;
	char *content_type;
	bool ignore_stop;
	bool fail;
	int64_t started_at;
};

struct standin {
	struct loop *loop;
	struct http_client *client;
	struct http_server *http;
	char *agent;
	char *worker;
	char *rack;
	int accelerators;
	int slots; /* most tasks at once, as announced; not enforced here */
	int cores;
	int memory_mb;
	bool fail_all;
	bool draining;
	GHashTable *tasks;
	int signal_fd;
};

static struct standin standin;

/* Prints an event of a task: the event, the task's name, its tag and the loop time in ns. */
static void print_task_event(const char *event, const struct task *t)
{
	printf("%s %s %s %lld\n", event, t->name, t->tag, (long long)loop_now(standin.loop));
	fflush(stdout);
}

/* Value destructor of the task table. */
static void task_free(void *p)
{
	struct task *t = p;

	free(t->name);
	free(t->job);
	free(t->tag);
	free(t->content_type);
	bytes_clear(&t->payload);
	free(t);
}

/* Responds to the request of a task and removes the task. */
static void finish_task(struct task *t, int status, const char *event)
{
	loop_timer_del(standin.loop, t->timer);
	print_task_event(event, t);
	http_reply(t->request, status,
		t->content_type != NULL ? t->content_type : "application/octet-stream",
		t->payload.data, t->payload.len);
	g_hash_table_remove(standin.tasks, t->name);
}

static void on_task_timer(void *arg)
{
	struct task *t = arg;

	finish_task(t, t->fail ? 500 : 200, t->fail ? "failed" : "done");
}

/* Starts a task, or rejects it with 503. Called on the loop. */
static void start_task(void *arg)
{
	struct task *t = arg;
	json_t *o = json_loadb(t->payload.data, t->payload.len, 0, NULL);
	int64_t sleep_ms = json_integer_value(json_object_get(o, "sleep_ms"));
	bool refuse = json_is_true(json_object_get(o, "refuse"));

	t->tag = xstrdup(json_is_string(json_object_get(o, "tag"))
				 ? json_string_value(json_object_get(o, "tag"))
				 : "-");
	t->fail = standin.fail_all || json_is_true(json_object_get(o, "fail"));
	t->ignore_stop = json_is_true(json_object_get(o, "ignore_stop"));
	json_decref(o);
	if (refuse || standin.draining) {
		http_reply_text(t->request, 503, "text/plain", "not begun\n");
		task_free(t);
		return;
	}
	print_task_event("begin", t);
	t->started_at = loop_now(standin.loop);
	g_hash_table_replace(standin.tasks, t->name, t);
	t->timer = loop_timer_add(standin.loop, sleep_ms * NSEC_PER_MSEC, 0, on_task_timer, t);
}

/*
 * A command for a task, from a call to /tasks/NAME/COMMAND: stop, checkpoint, or any other
 * name, such as throttle, which is answered and does nothing.
 */
struct task_command {
	struct http_request *request;
	char *task_name;
	char *command;
};

/* Carries out a command for a task. Called on the loop. */
static void run_command(void *arg)
{
	struct task_command *c = arg;
	struct task *t = g_hash_table_lookup(standin.tasks, c->task_name);

	if (t == NULL) {
		http_reply_text(c->request, 404, "text/plain", "no such task\n");
	} else if (strcmp(c->command, "stop") == 0) {
		http_reply_text(c->request, 200, "text/plain", "ok\n");
		if (!t->ignore_stop) {
			bytes_clear(&t->payload);
			t->payload = bytes_copy("stopped\n", 8);
			finish_task(t, 409, "stopped");
		}
	} else if (strcmp(c->command, "checkpoint") == 0) {
		char state[64];
		int len = snprintf(state, sizeof(state), "{\"ran_ms\":%lld}",
			(long long)((loop_now(standin.loop) - t->started_at) / NSEC_PER_MSEC));

		http_reply(c->request, 200, "application/json", state, (size_t)len);
	} else {
		http_reply_text(c->request, 200, "text/plain", "ok\n");
	}
	free(c->task_name);
	free(c->command);
	free(c);
}

/* Handles a call to /tasks, with any method: posts the start of a task to the loop. */
static void handle_task(struct http_request *r)
{
	struct task *t = xcalloc(1, sizeof(*t));
	const char *job = http_header(r, "Damaskpath-Job");
	const char *attempt = http_header(r, "Damaskpath-Attempt");
	const char *member = http_header(r, "Damaskpath-Member");

	t->request = r;
	t->job = xstrdup(job != NULL ? job : "none");
	xasprintf(&t->name, "%s-%s-%s", t->job, attempt != NULL ? attempt : "0",
		member != NULL ? member : "0");
	t->content_type = xstrdup(http_header(r, "Content-Type"));
	t->payload = bytes_copy(http_body(r)->data, http_body(r)->len);
	loop_post(standin.loop, start_task, t);
}

static void handle_request(struct http_request *r, void *arg)
{
	const char *path = http_path(r);

	(void)arg;
	if (strcmp(path, "/tasks") == 0) {
		handle_task(r);
	} else if (g_str_has_prefix(path, "/tasks/") && strrchr(path, '/') > path + 6) {
		struct task_command *c = xcalloc(1, sizeof(*c));
		const char *slash = strrchr(path, '/');

		c->request = r;
		c->task_name = bytes_copy(path + 7, (size_t)(slash - path - 7)).data;
		c->command = xstrdup(slash + 1);
		loop_post(standin.loop, run_command, c);
	} else {
		http_reply_text(r, 404, "text/plain", "no such path\n");
	}
}

static void free_announce_call(struct http_call *c, void *arg)
{
	(void)arg;
	http_call_free(c);
}

/* Registers this upstream with the agent, or deregisters it if it is draining. */
static void announce(void *arg)
{
	AUTOFREE char *url = NULL;
	struct http_call *c;
	json_t *o;

	(void)arg;
	xasprintf(&url, "http://%s/v1/upstream", standin.agent);
	c = http_call_new(standin.draining ? "DELETE" : "POST", url);
	o = json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:f}", "address",
		http_server_addr(standin.http), "worker", standin.worker, "rack", standin.rack,
		"accelerators", standin.accelerators, "slots", standin.slots, "connections", 64,
		"cores", standin.cores, "memory_mb", standin.memory_mb, "ttl_s", 3.0);
	c->body.data = json_dumps(o, JSON_COMPACT);
	c->body.len = strlen(c->body.data);
	json_decref(o);
	c->timeout = NSEC_PER_SEC;
	c->done = free_announce_call;
	http_client_send(standin.client, c);
}

/* Ends the process once no task is left. */
static void check_idle(void *arg)
{
	(void)arg;
	if (g_hash_table_size(standin.tasks) == 0)
		loop_stop(standin.loop);
}

/* Deregisters and lets running tasks finish before the process ends. */
static void on_signal(uint32_t events, void *arg)
{
	struct signalfd_siginfo info;

	(void)events;
	(void)arg;
	if (read(standin.signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	standin.draining = true;
	announce(NULL);
	loop_timer_add(
		standin.loop, DRAIN_CHECK_DELAY_NS, DRAIN_CHECK_PERIOD_NS, check_idle, NULL);
}

static bool parse_args(int argc, char **argv, char **http)
{
	struct arg_str *listen = arg_str0(NULL, "http", "IP:PORT", "address for tasks");
	struct arg_str *agent = arg_str1(NULL, "agent", "IP:PORT", "agent to announce to");
	struct arg_str *worker = arg_str1(NULL, "worker", "NAME", "name of the worker");
	struct arg_str *rack = arg_str1(NULL, "rack", "NAME", "rack of the worker");
	struct arg_int *accelerators = arg_int0(NULL, "accelerators", "N", "accelerators");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "most tasks at once");
	struct arg_int *cores = arg_int0(NULL, "cores", "N", "cores");
	struct arg_lit *fail = arg_lit0(NULL, "fail-all", "fail every task");
	struct arg_end *end = arg_end(8);
	void *table[] = {listen, agent, worker, rack, accelerators, slots, cores, fail, end};

	accelerators->ival[0] = 8;
	slots->ival[0] = 8;
	cores->ival[0] = 32;
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, "standin-upstream");
		return false;
	}
	*http = xstrdup(listen->count > 0 ? listen->sval[0] : "127.0.0.1:0");
	standin.agent = xstrdup(agent->sval[0]);
	standin.worker = xstrdup(worker->sval[0]);
	standin.rack = xstrdup(rack->sval[0]);
	standin.accelerators = accelerators->ival[0];
	standin.slots = slots->ival[0];
	standin.cores = cores->ival[0];
	standin.memory_mb = 65536;
	standin.fail_all = fail->count > 0;
	arg_freetable(table, ARRAY_LEN(table));
	return true;
}

int main(int argc, char **argv)
{
	struct http_limits limits = {.body_max = 2 * 1024 * 1024,
		.connections_max = 1024,
		.idle_timeout_s = 0,
		.threads = 2};
	g_autoptr(GError) err = NULL;
	AUTOFREE char *http = NULL;
	sigset_t set;

	if (!parse_args(argc, argv, &http))
		return 2;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	standin.signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	standin.tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	standin.loop = loop_new(&clock_system);
	standin.client = http_client_new(standin.loop);
	standin.http = http_server_new(http, &limits, handle_request, NULL, &err);
	if (standin.http == NULL) {
		fprintf(stderr, "standin-upstream: %s\n", err->message);
		return 1;
	}
	loop_add_fd(standin.loop, standin.signal_fd, EPOLLIN, on_signal, NULL);
	loop_timer_add(standin.loop, 0, ANNOUNCE_PERIOD_NS, announce, NULL);
	printf("ready %s\n", http_server_addr(standin.http));
	fflush(stdout);
	loop_run(standin.loop);
	_exit(0);
}
