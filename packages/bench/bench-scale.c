#include "agent-core.h"
#include "sched.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Measures what a coordinator and an agent cost against the number of agents, and what a
 * decision costs against cell size and queue length. The coordinator, an entry and the store
 * stand-in are real processes; the other agents are real connections of this process, each
 * with the agent core behind it.
 */

#define SETTLE_TIME  (5 * NSEC_PER_SEC)
#define MEASURE_TIME (10 * NSEC_PER_SEC)
#define DIR_MAX	     256

struct fake {
	struct scale *scale;
	struct agent_core *core;
	peer_id peer;
	char name[32];
	uint64_t incarnation;
	uint64_t config;
};

struct scale {
	struct loop *loop;
	struct peer_net *net;
	struct fake *fakes;
	size_t len;
	char *coordinator;
};

/* What a process has used. */
struct usage {
	double cpu_s;
	double rss_mb;
	double bytes;
	double store_calls;
};

static void port_send(void *arg, const struct msg *m)
{
	struct fake *f = arg;
	struct bytes b = msg_encode(m);

	peer_send(f->scale->net, f->peer, b.data, b.len);
	bytes_clear(&b);
}

static void port_gang(void *arg, const char *addr, const struct msg *m)
{
	(void)arg;
	(void)addr;
	(void)m;
}

static void port_start(void *arg, const struct agent_member *m)
{
	struct fake *f = arg;
	struct job_result r = {.status = 200};

	agent_core_task_ended(f->core, loop_now(f->scale->loop), m->record.spec.id,
		m->record.attempt, MEMBER_END_DONE, &r);
}

static void port_stop(void *arg, const struct agent_member *m, enum stop_mode mode)
{
	(void)arg;
	(void)m;
	(void)mode;
}

/* Find the fake agent of a connection. */
static struct fake *by_peer(struct scale *s, peer_id peer)
{
	for (size_t i = 0; i < s->len; i++) {
		if (s->fakes[i].peer == peer)
			return &s->fakes[i];
	}
	return NULL;
}

static void on_opened(void *arg, peer_id peer, bool dialled)
{
	struct fake *f = by_peer(arg, peer);
	struct msg m = {.kind = MSG_HELLO};

	(void)dialled;
	m.hello = (struct msg_hello){.role = ROLE_AGENT,
		.name = f->name,
		.addr = "127.0.0.1:1",
		.zone = "z",
		.incarnation = f->incarnation};
	port_send(f, &m);
}

static void on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct scale *s = arg;
	struct fake *f = by_peer(s, peer);
	struct msg m;

	if (f == NULL || !msg_decode(&m, body, len, NULL))
		return;
	if (m.kind == MSG_WELCOME)
		agent_core_adopt_term(f->core, loop_now(s->loop), m.welcome.term);
	else if (m.kind == MSG_BEAT_ACK)
		f->config = m.beat_ack.config_revision;
	else
		agent_core_message(f->core, loop_now(s->loop), &m);
	msg_clear(&m);
}

static void on_closed(void *arg, peer_id peer, const GError *why)
{
	(void)arg;
	(void)peer;
	(void)why;
}

/* Each second: beats of all fake agents. */
static void beat(void *arg)
{
	struct scale *s = arg;

	for (size_t i = 0; i < s->len; i++) {
		struct fake *f = &s->fakes[i];
		struct msg m = {.kind = MSG_BEAT,
			.beat = {.term = agent_core_term(f->core),
				.config_revision = f->config}};

		agent_core_tick(f->core, loop_now(s->loop));
		port_send(f, &m);
	}
}

static void stop_loop(void *arg)
{
	loop_stop(arg);
}

/* Run the loop for a while. */
static void run_for(struct scale *s, int64_t time)
{
	loop_timer_add(s->loop, time, 0, stop_loop, s->loop);
	loop_run(s->loop);
}

/* Start a program with its error output in a file. */
static pid_t launch(const char *log, char *const argv[])
{
	pid_t pid = fork();

	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (freopen(log, "a", stderr) == NULL ||
			freopen("/dev/null", "a", stdout) == NULL)
			_exit(127);
		execv(argv[0], argv);
		_exit(127);
	}
	return pid;
}

/* The text of a URL, or NULL. */
static char *fetch(const char *method, const char *url, const char *body)
{
	struct http_call *c = http_call_new(method, url);
	char *text = NULL;

	if (body != NULL)
		c->body = bytes_copy(body, strlen(body));
	c->timeout = 5 * NSEC_PER_SEC;
	http_call_run(c);
	if (c->status == 200)
		text = bytes_copy(c->answer.data, c->answer.len).data;
	http_call_free(c);
	return text;
}

/* The sum of the counters whose names begin so. */
static double counter_sum(const char *text, const char *prefix)
{
	g_auto(GStrv) lines = g_strsplit(text != NULL ? text : "", "\n", -1);
	double sum = 0;

	for (size_t i = 0; lines[i] != NULL; i++) {
		const char *space = strrchr(lines[i], ' ');

		if (g_str_has_prefix(lines[i], prefix) && space != NULL)
			sum += g_ascii_strtod(space, NULL);
	}
	return sum;
}

/* Read what a process has used. */
static struct usage read_usage(pid_t pid, const char *metrics)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", pid);
	g_autofree char *text = NULL;
	AUTOFREE char *counters = fetch("GET", metrics, NULL);
	struct usage u = {0};
	unsigned long user = 0;
	unsigned long sys = 0;
	long rss = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) && strrchr(text, ')') != NULL)
		sscanf(strrchr(text, ')') + 1,
			" %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d %*d %*d %*d "
			"%*d %*d %*u %*u %ld",
			&user, &sys, &rss);
	u.cpu_s = (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
	u.rss_mb = (double)rss * (double)sysconf(_SC_PAGESIZE) / 1048576.0;
	u.bytes = counter_sum(counters, "damaskpath_peer_bytes_");
	u.store_calls = counter_sum(counters, "damaskpath_store_calls_total");
	return u;
}

/* Print one figure. */
static void row(const char *what, double n, double value, const char *unit)
{
	printf("scale what=%s n=%.0f value=%.5g unit=%s\n", what, n, value, unit);
	fflush(stdout);
}

/* Least squares; prints slope, intercept and the largest residual. */
static void fit(
	const char *what, const double *x, const double *y, size_t len, const char *unit)
{
	double mx = 0, my = 0, sxy = 0, sxx = 0, worst = 0;
	double slope;

	for (size_t i = 0; i < len; i++) {
		mx += x[i] / (double)len;
		my += y[i] / (double)len;
	}
	for (size_t i = 0; i < len; i++) {
		sxy += (x[i] - mx) * (y[i] - my);
		sxx += (x[i] - mx) * (x[i] - mx);
	}
	slope = sxx > 0 ? sxy / sxx : 0;
	for (size_t i = 0; i < len; i++)
		worst = MAX(worst, ABS(y[i] - my - slope * (x[i] - mx)));
	printf("slope what=%s per_unit=%.5g base=%.5g residual_max=%.3g unit=%s\n", what, slope,
		my - slope * mx, worst, unit);
	fflush(stdout);
}

/* Connect n fake agents with their workers. */
static void connect_fakes(struct scale *s, size_t n)
{
	s->fakes = xcalloc(n, sizeof(*s->fakes));
	for (size_t i = 0; i < n; i++) {
		struct fake *f = &s->fakes[i];
		struct agent_ports ports = {port_send, port_gang, port_start, port_stop, f};
		struct agent_upstream u = {.expires = INT64_MAX,
			.addr = "127.0.0.1:1",
			.accelerators = 2,
			.slots = 32,
			.connections = 64,
			.cores = 32,
			.memory_mb = 65536};
		char rack[32];

		f->scale = s;
		snprintf(f->name, sizeof(f->name), "fake%zu", i);
		snprintf(rack, sizeof(rack), "rack%zu", i / 3);
		f->incarnation = i + 1;
		f->core = agent_core_new(&ports);
		u.worker = f->name;
		u.rack = rack;
		u.zone = "z";
		agent_core_upstream_announced(f->core, loop_now(s->loop), &u);
		s->len = i + 1;
		f->peer = peer_dial(s->net, s->coordinator, NULL);
	}
}

/* A free loopback address. */
static char *free_addr(void)
{
	char *addr = NULL;

	close(addr_listen("127.0.0.1:0", &addr, NULL));
	return addr;
}

/* Measure a coordinator, an entry and an agent without work against n agents. */
static void measure_cell(
	const char *bin, size_t n, double *cpu, double *rss, double *bytes, double *entry_cpu)
{
	struct scale s = {.loop = loop_new(&clock_system)};
	struct keyring *keys = keyring_parse("damaskpath-development", NULL);
	struct peer_events events = {on_opened, on_message, on_closed, &s};
	g_autofree char *store = free_addr();
	g_autofree char *peer = free_addr();
	g_autofree char *http = free_addr();
	g_autofree char *entry = free_addr();
	char words[8][DIR_MAX];
	char metrics[DIR_MAX];
	char entry_metrics[DIR_MAX];
	struct usage a, b, ea, eb;
	pid_t pids[3];
	double seconds = (double)MEASURE_TIME / (double)NSEC_PER_SEC;

	snprintf(words[0], DIR_MAX, "%s/standin-store", bin);
	snprintf(words[1], DIR_MAX, "%s/damaskpathd", bin);
	snprintf(words[2], DIR_MAX, "--store=http://%s", store);
	snprintf(words[3], DIR_MAX, "--peer=%s", peer);
	snprintf(words[4], DIR_MAX, "--agent-http=%s", http);
	snprintf(words[5], DIR_MAX, "--http=%s", entry);
	snprintf(metrics, DIR_MAX, "http://%s/metrics", http);
	snprintf(entry_metrics, DIR_MAX, "http://%s/metrics", entry);
	pids[0] = launch("/dev/null", (char *[]){words[0], store, NULL});
	usleep(200000);
	pids[1] = launch("/dev/null", (char *[]){words[1], "agent", words[2], words[3],
					      words[4], "--cell=cell-1", NULL});
	pids[2] = launch("/dev/null", (char *[]){words[1], "entry", words[2], words[5], NULL});
	sleep(2);
	s.coordinator = peer;
	s.net = peer_net_new(s.loop, keys, &events);
	connect_fakes(&s, n);
	loop_timer_add(s.loop, NSEC_PER_SEC, NSEC_PER_SEC, beat, &s);
	run_for(&s, SETTLE_TIME);
	a = read_usage(pids[1], metrics);
	ea = read_usage(pids[2], entry_metrics);
	run_for(&s, MEASURE_TIME);
	b = read_usage(pids[1], metrics);
	eb = read_usage(pids[2], entry_metrics);
	*cpu = 100 * (b.cpu_s - a.cpu_s) / seconds;
	*rss = b.rss_mb;
	*bytes = (b.bytes - a.bytes) / seconds;
	*entry_cpu = 100 * (eb.cpu_s - ea.cpu_s) / seconds;
	row("coordinator_cpu", (double)n, *cpu, "percent_of_core");
	row("coordinator_rss", (double)n, *rss, "MB");
	row("coordinator_bytes", (double)n, *bytes, "bytes_per_s");
	row("coordinator_store_calls", (double)n, (b.store_calls - a.store_calls) / seconds,
		"calls_per_s");
	row("entry_cpu_idle", (double)n, *entry_cpu, "percent_of_core");
	row("entry_rss", (double)n, eb.rss_mb, "MB");
	row("entry_bytes", (double)n, (eb.bytes - ea.bytes) / seconds, "bytes_per_s");
	row("entry_store_calls", (double)n, (eb.store_calls - ea.store_calls) / seconds,
		"calls_per_s");
	for (size_t i = 0; i < 3; i++) {
		kill(pids[i], SIGKILL);
		waitpid(pids[i], NULL, 0);
	}
	for (size_t i = 0; i < s.len; i++)
		agent_core_free(s.fakes[i].core);
	free(s.fakes);
	peer_net_free(s.net);
	loop_free(s.loop);
	keyring_free(keys);
}

/* Time one pass of the core over a full cell with a queue. */
static void measure_decision(uint32_t workers, uint32_t queue)
{
	struct sched *s = sched_new(SCHED_POLICY_FULL, 1);
	int64_t now = NSEC_PER_SEC;
	int64_t began;
	int passes = 0;

	for (uint32_t i = 0; i < workers; i++) {
		char name[16];
		char rack[16];
		struct sched_worker_spec spec = {name, rack, {8, 8, 32, 65536}};

		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 3);
		sched_worker_up(s, now, &spec);
	}
	for (uint32_t i = 0; i < workers + queue; i++) {
		char id[16];
		struct job_spec spec = {.id = id,
			.org = i % 2 ? "a" : "b",
			.accelerators = i < workers ? 8 : 1 + i % 8,
			.adjacency = ADJACENCY_WORKER,
			.idempotent = true,
			.run_time_ms = 1000 + (int64_t)(i * 7919 % 100000)};
		struct sched_action a;

		snprintf(id, sizeof(id), "j%u", i);
		sched_submit(s, now, &spec, NULL);
		if (i + 1 != workers)
			continue;
		sched_run(s, now);
		while (sched_next(s, &a)) {
			if (a.kind == SCHED_ACTION_PLACE)
				sched_started(s, now, a.job, a.attempt);
			sched_action_clear(&a);
		}
	}
	began = clock_now(&clock_system);
	while (passes < 5 ||
		(clock_now(&clock_system) - began < NSEC_PER_SEC / 5 && passes < 200)) {
		now += 100 * NSEC_PER_MSEC;
		sched_run(s, now);
		passes++;
	}
	printf("scale what=decision_pass n=%u queue=%u value=%.5g unit=ms\n", workers, queue,
		(double)(clock_now(&clock_system) - began) / 1e6 / passes);
	fflush(stdout);
	sched_free(s);
}

/* usage: bench-scale BIN */
int main(int argc, char **argv)
{
	static const size_t sizes[] = {11, 30, 100, 300};
	static const uint32_t cells[] = {11, 100, 300};
	static const uint32_t queues[] = {10, 1000, 10000, 100000};
	double x[ARRAY_LEN(sizes)], cpu[ARRAY_LEN(sizes)], rss[ARRAY_LEN(sizes)];
	double bytes[ARRAY_LEN(sizes)], entry[ARRAY_LEN(sizes)];
	const char *bin = argc > 1 ? argv[1] : "build/release";

	signal(SIGPIPE, SIG_IGN);
	log_set_level(LOG_LEVEL_ERROR);
	for (size_t i = 0; i < ARRAY_LEN(sizes); i++) {
		x[i] = (double)sizes[i];
		measure_cell(bin, sizes[i], &cpu[i], &rss[i], &bytes[i], &entry[i]);
	}
	fit("coordinator_cpu_per_agent", x, cpu, ARRAY_LEN(sizes), "percent_of_core");
	fit("coordinator_rss_per_agent", x, rss, ARRAY_LEN(sizes), "MB");
	fit("coordinator_bytes_per_agent", x, bytes, ARRAY_LEN(sizes), "bytes_per_s");
	fit("entry_cpu_per_agent", x, entry, ARRAY_LEN(sizes), "percent_of_core");
	for (size_t c = 0; c < ARRAY_LEN(cells); c++) {
		for (size_t q = 0; q < ARRAY_LEN(queues); q++)
			measure_decision(cells[c], queues[q]);
	}
	return 0;
}
