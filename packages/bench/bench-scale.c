#include "agent-core.h"
#include "sched.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Measures the cost of a coordinator and an entry by number of agents, and the cost of a
 * scheduling pass by cell size and queue length. The coordinator with its agent, the entry and
 * the store stand-in are separate processes. The agents are simulated in this process: each has
 * its own connection and agent core.
 */

#define SETTLE_TIME_NS	 (5 * NSEC_PER_SEC)
#define MEASURE_TIME_NS	 (10 * NSEC_PER_SEC)
#define ARG_LEN_MAX	 256 /* bytes */
#define HTTP_TIMEOUT_NS	 (5 * NSEC_PER_SEC)
#define STORE_START_US	 200000
#define DAEMON_START_S	 2
#define WORKERS_PER_RACK 3
#define PASSES_MIN	 5
#define PASSES_MAX	 200
#define PASSES_TIME_NS	 (NSEC_PER_SEC / 5)
#define PASS_INTERVAL_NS (100 * NSEC_PER_MSEC)

struct fake_agent {
	struct bench *bench;
	struct agent_core *core;
	peer_id peer;
	char name[32];
	uint64_t incarnation;
	uint64_t config_revision;
};

struct bench {
	struct loop *loop;
	struct peer_net *net;
	struct fake_agent *agents;
	size_t agents_len;
	char *coordinator_addr;
};

/* Resources that a process has used. */
struct usage {
	double cpu_s;
	double rss_mb;
	double bytes;
	double store_calls;
};

static void port_send(void *arg, const struct msg *m)
{
	struct fake_agent *a = arg;
	struct bytes b = msg_encode(m);

	peer_send(a->bench->net, a->peer, b.data, b.len);
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
	struct fake_agent *a = arg;
	struct job_result r = {.status = 200};

	agent_core_task_ended(a->core, loop_now(a->bench->loop), m->record.spec.id,
		m->record.attempt, MEMBER_END_DONE, &r);
}

static void port_stop(void *arg, const struct agent_member *m, enum stop_mode mode)
{
	(void)arg;
	(void)m;
	(void)mode;
}

/* Finds the simulated agent of a connection. */
static struct fake_agent *find_agent_by_peer(struct bench *b, peer_id peer)
{
	for (size_t i = 0; i < b->agents_len; i++) {
		if (b->agents[i].peer == peer)
			return &b->agents[i];
	}
	return NULL;
}

static void on_opened(void *arg, peer_id peer, bool dialled)
{
	struct fake_agent *a = find_agent_by_peer(arg, peer);
	struct msg m = {.kind = MSG_HELLO};

	(void)dialled;
	m.hello = (struct msg_hello){.role = ROLE_AGENT,
		.name = a->name,
		.addr = "127.0.0.1:1",
		.zone = "z",
		.incarnation = a->incarnation};
	port_send(a, &m);
}

static void on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct bench *b = arg;
	struct fake_agent *a = find_agent_by_peer(b, peer);
	struct msg m;

	if (a == NULL || !msg_decode(&m, body, len, NULL))
		return;
	if (m.kind == MSG_WELCOME)
		agent_core_adopt_term(a->core, loop_now(b->loop), m.welcome.term);
	else if (m.kind == MSG_BEAT_ACK)
		a->config_revision = m.beat_ack.config_revision;
	else
		agent_core_message(a->core, loop_now(b->loop), &m);
	msg_clear(&m);
}

static void on_closed(void *arg, peer_id peer, const GError *why)
{
	(void)arg;
	(void)peer;
	(void)why;
}

/* Sends the heartbeats of all simulated agents. */
static void send_beats(void *arg)
{
	struct bench *b = arg;

	for (size_t i = 0; i < b->agents_len; i++) {
		struct fake_agent *a = &b->agents[i];
		struct msg m = {.kind = MSG_BEAT,
			.beat = {.term = agent_core_term(a->core),
				.config_revision = a->config_revision}};

		agent_core_tick(a->core, loop_now(b->loop));
		port_send(a, &m);
	}
}

static void stop_loop(void *arg)
{
	loop_stop(arg);
}

static void run_loop_for(struct bench *b, int64_t duration_ns)
{
	loop_timer_add(b->loop, duration_ns, 0, stop_loop, b->loop);
	loop_run(b->loop);
}

/* Starts a program with its standard error appended to a file. */
static pid_t start_process(const char *log, char *const argv[])
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

/* Returns the body of a successful response, or NULL. */
static char *fetch_text(const char *method, const char *url, const char *body)
{
	struct http_call *c = http_call_new(method, url);
	char *text = NULL;

	if (body != NULL)
		c->body = bytes_copy(body, strlen(body));
	c->timeout = HTTP_TIMEOUT_NS;
	http_call_run(c);
	if (c->status == 200)
		text = bytes_copy(c->answer.data, c->answer.len).data;
	http_call_free(c);
	return text;
}

/* Returns the sum of all counters whose name has a prefix. */
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

/* Reads the CPU time and memory of a process from /proc and its counters from its metrics. */
static struct usage read_usage(pid_t pid, const char *metrics)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", pid);
	g_autofree char *text = NULL;
	AUTOFREE char *counters = fetch_text("GET", metrics, NULL);
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

static void print_figure(const char *what, double n, double value, const char *unit)
{
	printf("scale what=%s n=%.0f value=%.5g unit=%s\n", what, n, value, unit);
	fflush(stdout);
}

/* Fits a line by least squares; prints slope, intercept and the largest residual. */
static void print_linear_fit(
	const char *what, const double *x, const double *y, size_t len, const char *unit)
{
	double mean_x = 0, mean_y = 0, sxy = 0, sxx = 0, residual_max = 0;
	double slope;

	for (size_t i = 0; i < len; i++) {
		mean_x += x[i] / (double)len;
		mean_y += y[i] / (double)len;
	}
	for (size_t i = 0; i < len; i++) {
		sxy += (x[i] - mean_x) * (y[i] - mean_y);
		sxx += (x[i] - mean_x) * (x[i] - mean_x);
	}
	slope = sxx > 0 ? sxy / sxx : 0;
	for (size_t i = 0; i < len; i++)
		residual_max = MAX(residual_max, ABS(y[i] - mean_y - slope * (x[i] - mean_x)));
	printf("slope what=%s per_unit=%.5g base=%.5g residual_max=%.3g unit=%s\n", what, slope,
		mean_y - slope * mean_x, residual_max, unit);
	fflush(stdout);
}

/* Connects n simulated agents, each with a worker. */
static void connect_agents(struct bench *b, size_t n)
{
	b->agents = xcalloc(n, sizeof(*b->agents));
	for (size_t i = 0; i < n; i++) {
		struct fake_agent *a = &b->agents[i];
		struct agent_ports ports = {port_send, port_gang, port_start, port_stop, a};
		struct agent_upstream u = {.expires = INT64_MAX,
			.addr = "127.0.0.1:1",
			.accelerators = 2,
			.slots = 32,
			.connections = 64,
			.cores = 32,
			.memory_mb = 65536};
		char rack[32];

		a->bench = b;
		snprintf(a->name, sizeof(a->name), "fake%zu", i);
		snprintf(rack, sizeof(rack), "rack%zu", i / WORKERS_PER_RACK);
		a->incarnation = i + 1;
		a->core = agent_core_new(&ports);
		u.worker = a->name;
		u.rack = rack;
		u.zone = "z";
		agent_core_upstream_announced(a->core, loop_now(b->loop), &u);
		b->agents_len = i + 1;
		a->peer = peer_dial(b->net, b->coordinator_addr, NULL);
	}
}

/* Returns a loopback address with a free port. */
static char *unused_addr(void)
{
	char *addr = NULL;

	close(addr_listen("127.0.0.1:0", &addr, NULL));
	return addr;
}

/* Measures an idle coordinator, which is also an agent, and an idle entry with n agents. */
static void measure_cell(
	const char *bin, size_t n, double *cpu, double *rss, double *bytes, double *entry_cpu)
{
	struct bench b = {.loop = loop_new(&clock_system)};
	struct keyring *keys = keyring_parse("damaskpath-development", NULL);
	struct peer_events events = {on_opened, on_message, on_closed, &b};
	g_autofree char *store = unused_addr();
	g_autofree char *peer = unused_addr();
	g_autofree char *http = unused_addr();
	g_autofree char *entry = unused_addr();
	char args[8][ARG_LEN_MAX];
	char metrics[ARG_LEN_MAX];
	char entry_metrics[ARG_LEN_MAX];
	struct usage before, after, entry_before, entry_after;
	pid_t pids[3];
	double seconds = (double)MEASURE_TIME_NS / (double)NSEC_PER_SEC;

	snprintf(args[0], ARG_LEN_MAX, "%s/standin-store", bin);
	snprintf(args[1], ARG_LEN_MAX, "%s/damaskpathd", bin);
	snprintf(args[2], ARG_LEN_MAX, "--store=http://%s", store);
	snprintf(args[3], ARG_LEN_MAX, "--peer=%s", peer);
	snprintf(args[4], ARG_LEN_MAX, "--agent-http=%s", http);
	snprintf(args[5], ARG_LEN_MAX, "--http=%s", entry);
	snprintf(metrics, ARG_LEN_MAX, "http://%s/metrics", http);
	snprintf(entry_metrics, ARG_LEN_MAX, "http://%s/metrics", entry);
	pids[0] = start_process("/dev/null", (char *[]){args[0], store, NULL});
	usleep(STORE_START_US);
	pids[1] = start_process("/dev/null",
		(char *[]){args[1], "agent", args[2], args[3], args[4], "--cell=cell-1", NULL});
	pids[2] = start_process(
		"/dev/null", (char *[]){args[1], "entry", args[2], args[5], NULL});
	sleep(DAEMON_START_S);
	b.coordinator_addr = peer;
	b.net = peer_net_new(b.loop, keys, &events);
	connect_agents(&b, n);
	loop_timer_add(b.loop, NSEC_PER_SEC, NSEC_PER_SEC, send_beats, &b);
	run_loop_for(&b, SETTLE_TIME_NS);
	before = read_usage(pids[1], metrics);
	entry_before = read_usage(pids[2], entry_metrics);
	run_loop_for(&b, MEASURE_TIME_NS);
	after = read_usage(pids[1], metrics);
	entry_after = read_usage(pids[2], entry_metrics);
	*cpu = 100 * (after.cpu_s - before.cpu_s) / seconds;
	*rss = after.rss_mb;
	*bytes = (after.bytes - before.bytes) / seconds;
	*entry_cpu = 100 * (entry_after.cpu_s - entry_before.cpu_s) / seconds;
	print_figure("coordinator_cpu", (double)n, *cpu, "percent_of_core");
	print_figure("coordinator_rss", (double)n, *rss, "MB");
	print_figure("coordinator_bytes", (double)n, *bytes, "bytes_per_s");
	print_figure("coordinator_store_calls", (double)n,
		(after.store_calls - before.store_calls) / seconds, "calls_per_s");
	print_figure("entry_cpu_idle", (double)n, *entry_cpu, "percent_of_core");
	print_figure("entry_rss", (double)n, entry_after.rss_mb, "MB");
	print_figure("entry_bytes", (double)n,
		(entry_after.bytes - entry_before.bytes) / seconds, "bytes_per_s");
	print_figure("entry_store_calls", (double)n,
		(entry_after.store_calls - entry_before.store_calls) / seconds, "calls_per_s");
	for (size_t i = 0; i < 3; i++) {
		kill(pids[i], SIGKILL);
		waitpid(pids[i], NULL, 0);
	}
	for (size_t i = 0; i < b.agents_len; i++)
		agent_core_free(b.agents[i].core);
	free(b.agents);
	peer_net_free(b.net);
	loop_free(b.loop);
	keyring_free(keys);
}

/* Measures the mean time of a scheduling pass over a full cell with a queue. */
static void measure_pass(uint32_t workers, uint32_t queue)
{
	struct sched *s = sched_new(SCHED_POLICY_FULL, 1);
	int64_t now = NSEC_PER_SEC;
	int64_t begin_ns;
	int passes = 0;

	for (uint32_t i = 0; i < workers; i++) {
		char name[16];
		char rack[16];
		struct sched_worker_spec spec = {name, rack,
			{.accelerators = 8, .slots = 8, .cores = 32, .memory_mb = 65536}};

		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / WORKERS_PER_RACK);
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
	begin_ns = clock_now(&clock_system);
	while (passes < PASSES_MIN ||
		(clock_now(&clock_system) - begin_ns < PASSES_TIME_NS && passes < PASSES_MAX)) {
		now += PASS_INTERVAL_NS;
		sched_run(s, now);
		passes++;
	}
	printf("scale what=decision_pass n=%u queue=%u value=%.5g unit=ms\n", workers, queue,
		(double)(clock_now(&clock_system) - begin_ns) / 1e6 / passes);
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
	print_linear_fit(
		"coordinator_cpu_per_agent", x, cpu, ARRAY_LEN(sizes), "percent_of_core");
	print_linear_fit("coordinator_rss_per_agent", x, rss, ARRAY_LEN(sizes), "MB");
	print_linear_fit(
		"coordinator_bytes_per_agent", x, bytes, ARRAY_LEN(sizes), "bytes_per_s");
	print_linear_fit("entry_cpu_per_agent", x, entry, ARRAY_LEN(sizes), "percent_of_core");
	for (size_t c = 0; c < ARRAY_LEN(cells); c++) {
		for (size_t q = 0; q < ARRAY_LEN(queues); q++)
			measure_pass(cells[c], queues[q]);
	}
	return 0;
}
