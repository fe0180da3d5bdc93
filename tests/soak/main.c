#include "soak.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * The real programs as separate processes under random faults, on stand-ins of the users'
 * platform: soak BIN-FOLDER SEED [SECONDS]. Ends with one line of counts; 0 where all holds.
 */

#define SECONDS_DEFAULT 15
#define START_LIMIT	(20 * NSEC_PER_SEC)
#define STOP_LIMIT	(8 * NSEC_PER_SEC)

int64_t now_ns(void)
{
	return clock_now(&clock_system);
}

/* A process failed. */
void fail(struct scenario *s, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	s->t.failed++;
}

const char *any_entry(struct scenario *s)
{
	(void)s;
	return NULL;
}

/* The port of an address. */
static int port_of(const char *addr)
{
	return atoi(strrchr(addr, ':') + 1);
}

/* Write a settings file; more holds further fields. */
static char *write_settings(
	const struct soak *soak, const char *name, const char *store, char *more)
{
	g_autofree char *peers = free_addr();
	int port = port_of(peers);
	g_autofree char *text =
		g_strdup_printf("{\"node_name\":\"%s\",\"ip\":\"127.0.0.1\",\"zone\":\"z1\","
				"\"internal_port_range\":[%d,%d],\"platform\":{\"address\":\"%"
				"s\",\"min_ttl_ms\":1000},"
				"\"bounds\":{\"max_hold_ms\":6000,\"grace_period_s\":6},%s}",
			name, port, port, store, more);
	char *path = g_strdup_printf("%s/%s.json", soak->scenario.dir, name);

	g_file_set_contents(path, text, -1, NULL);
	g_free(more);
	return path;
}

/* Start one process of the system. */
static void start_node(struct soak *soak, struct soak_node *n, const char *name,
	const char *role, const char *path)
{
	char **argv = g_new0(char *, 3);

	argv[0] = g_strdup_printf("%s/damaskpathd", soak->scenario.bin);
	argv[1] = g_strdup(role);
	n->proc = proc_start_node(&soak->scenario, name, argv, path);
}

/* Start an entry behind a relay to the store. */
static void start_entry(struct soak *soak, struct soak_node *n, int number)
{
	g_autofree char *store = NULL;
	g_autofree char *name = g_strdup_printf("entry-%d", number);
	g_autofree char *path = NULL;

	n->is_entry = true;
	n->store_relay = relay_new(soak->platform_addr, &store);
	n->call_addr = free_addr();
	n->ready_addr = free_addr();
	path = write_settings(soak, name, store,
		g_strdup_printf(
			"\"listen_addresses\":{\"frontend_addr\":\"%s\",\"ready\":\"%s\"}",
			n->call_addr, n->ready_addr));
	start_node(soak, n, name, "workload-entry", path);
}

/* Start an agent behind relays to the store and to its worker. */
static void start_agent(struct soak *soak, struct soak_node *n, int number, const char *app,
	const char *control)
{
	g_autofree char *store = NULL;
	g_autofree char *worker = NULL;
	g_autofree char *name = g_strdup_printf("agent-%d", number);
	g_autofree char *path = NULL;

	n->store_relay = relay_new(soak->platform_addr, &store);
	n->worker_relay = relay_new(app, &worker);
	path = write_settings(soak, name, store,
		g_strdup_printf("\"app\":\"%s\",\"listen_addresses\":{\"control\":\"%s\"}",
			worker, control));
	start_node(soak, n, name, "workload-agent", path);
}

/* Start the stand-in of the platform and the system on it. */
static void start_all(struct soak *soak)
{
	char **argv = g_new0(char *, 4 + SOAK_WORKERS);
	char *app[SOAK_WORKERS];
	char *control[SOAK_WORKERS];

	soak->platform_addr = free_addr();
	argv[0] = g_strdup_printf("%s/standin-platform", soak->scenario.bin);
	argv[1] = g_strdup(soak->platform_addr);
	argv[2] = g_strdup("regress/platform/config.json");
	for (int i = 0; i < SOAK_WORKERS; i++) {
		app[i] = free_addr();
		control[i] = free_addr();
		argv[3 + i] = g_strdup_printf("w%d=%s,%s", i + 1, app[i], control[i]);
	}
	soak->platform = proc_start(&soak->scenario, "platform", argv);
	for (int i = 0; i < SOAK_ENTRIES; i++)
		start_entry(soak, &soak->nodes[i], i + 1);
	for (int i = 0; i < SOAK_WORKERS; i++) {
		start_agent(soak, &soak->nodes[SOAK_ENTRIES + i], i + 1, app[i], control[i]);
		g_free(app[i]);
		g_free(control[i]);
	}
}

/* Wait until an entry takes calls. */
static void await_ready(struct soak *soak)
{
	int64_t limit = now_ns() + START_LIMIT;

	while (load_http_call("GET", soak->nodes[0].call_addr, "0000000000000000", NULL,
		       NULL) != 410) {
		if (now_ns() > limit) {
			fail(&soak->scenario, "no entry answers");
			return;
		}
		usleep(50000);
	}
}

/* Stop all; a process that does not end in time, or ends with a code, is a failure. */
static void stop_all(struct soak *soak)
{
	for (size_t i = 0; i < ARRAY_LEN(soak->nodes); i++)
		proc_signal(&soak->scenario, soak->nodes[i].proc, SIGTERM);
	for (size_t i = 0; i < ARRAY_LEN(soak->nodes); i++) {
		int code = proc_reap(soak->nodes[i].proc, STOP_LIMIT);

		if (code != 0)
			fail(&soak->scenario, "%s ended with code %d",
				soak->nodes[i].proc->name, code);
	}
	proc_signal(&soak->scenario, soak->platform, SIGKILL);
}

int main(int argc, char **argv)
{
	struct soak soak = {.scenario = {.bin = argc > 1 ? argv[1] : ""}};
	unsigned int seed = argc > 2 ? (unsigned int)strtoul(argv[2], NULL, 10) : 1;
	int64_t span = (argc > 3 ? atoi(argv[3]) : SECONDS_DEFAULT) * NSEC_PER_SEC;
	pthread_t callers[SOAK_CALLERS];
	struct fault_injector *faults;
	unsigned int bad;

	if (argc < 2) {
		fprintf(stderr, "usage: soak BIN-FOLDER SEED [SECONDS]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	soak.scenario.dir = g_dir_make_tmp("damaskpath-soak-XXXXXX", NULL);
	soak.scenario.procs = g_ptr_array_new();
	soak.rand = g_rand_new_with_seed(seed);
	soak.jobs = g_ptr_array_new();
	pthread_mutex_init(&soak.lock, NULL);
	start_all(&soak);
	await_ready(&soak);
	soak.end_at = now_ns() + span;
	load_start(&soak, callers);
	faults = fault_injector_new(&soak);
	while (now_ns() < soak.end_at) {
		fault_injector_step(faults);
		proc_watch(&soak.scenario);
		usleep(20000);
	}
	fault_injector_stop(faults);
	for (size_t i = 0; i < SOAK_CALLERS; i++)
		pthread_join(callers[i], NULL);
	printf("soak seed=%u ", seed);
	bad = check_invariants(&soak, stdout);
	stop_all(&soak);
	printf(" stop_failed=%u\n", soak.scenario.t.failed);
	bad += soak.scenario.t.failed;
	if (bad > 0)
		printf("soak seed=%u failed; files in %s\n", seed, soak.scenario.dir);
	return bad > 0 ? 1 : 0;
}
