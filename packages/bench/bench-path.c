#include "state.h"

#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Load test of the request path. Callers on separate threads send requests with unique payloads
 * through the given entries, or directly to an upstream, and check that each answer is complete
 * and their own. With a rate, send times are fixed in advance (open loop), so that latencies
 * include the time that a request waits to be sent.
 */

#define REQUEST_TIMEOUT_NS (60 * NSEC_PER_SEC)
#define START_DELAY_NS	   (50 * NSEC_PER_MSEC)
#define ROUNDS		   3

struct target {
	char **addrs;
	bool direct; /* upstreams rather than entries */
};

struct caller {
	const struct target *target;
	int index;
	int requests;
	int64_t begin_ns;
	int64_t interval_ns; /* between requests; 0 sends each after the previous answer */
	int sleep_max_ms;
	GArray *latencies_ms;
	uint64_t crossed; /* answers with another payload than the request's */
	uint64_t lost;	  /* requests without an answer */
	uint64_t refused; /* answers with a status other than 200 */
};

/* Returns the payload of one request, which is unique. */
static char *make_payload(const struct caller *c, int i, GRand *r)
{
	return g_strdup_printf("{\"sleep_ms\":%d,\"caller\":%d,\"request\":%d}",
		c->sleep_max_ms > 0 ? g_rand_int_range(r, 0, c->sleep_max_ms + 1) : 0, c->index,
		i);
}

/* Sends one request, due at due_ns, and checks its answer. */
static void send_request(struct caller *c, int i, GRand *r, int64_t due_ns)
{
	g_autofree char *payload = make_payload(c, i, r);
	guint n = g_strv_length(c->target->addrs);
	const char *addr = c->target->addrs[(guint)(c->index + i) % n];
	g_autofree char *url =
		g_strdup_printf("http://%s%s", addr, c->target->direct ? "/tasks" : "/v1/jobs");
	struct http_call *call = http_call_new("POST", url);
	double latency_ms;

	if (c->target->direct) {
		char id[32];

		snprintf(id, sizeof(id), "d%d.%d", c->index, i);
		http_call_header(call, "Damaskpath-Job", id);
		call->body = bytes_copy(payload, strlen(payload));
	} else {
		json_t *o = json_pack("{s:s,s:s,s:b,s:i,s:s}", "organisation", "alpha", "class",
			"urgent", "idempotent", 1, "accelerators", 0, "payload", payload);

		call->body.data = json_dumps(o, JSON_COMPACT);
		call->body.len = strlen(call->body.data);
		json_decref(o);
	}
	call->timeout = REQUEST_TIMEOUT_NS;
	http_call_run(call);
	latency_ms = (double)(clock_now(&clock_system) - due_ns) / (double)NSEC_PER_MSEC;
	g_array_append_val(c->latencies_ms, latency_ms);
	if (call->error != NULL)
		c->lost++;
	else if (call->status != 200)
		c->refused++;
	else if (call->answer.len != strlen(payload) ||
		 memcmp(call->answer.data, payload, call->answer.len) != 0)
		c->crossed++;
	http_call_free(call);
}

static void *caller_thread(void *arg)
{
	struct caller *c = arg;
	GRand *r = g_rand_new_with_seed((guint32)c->index);

	for (int i = 0; i < c->requests; i++) {
		int64_t now = clock_now(&clock_system);
		int64_t due_ns = c->interval_ns > 0 ? c->begin_ns + i * c->interval_ns : now;

		if (due_ns > now)
			usleep((useconds_t)((due_ns - now) / 1000));
		send_request(c, i, r, due_ns);
	}
	g_rand_free(r);
	return NULL;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(GArray *sorted, double q)
{
	return sorted->len > 0 ? g_array_index(sorted, double,
					 MIN((guint)(q * sorted->len), sorted->len - 1))
			       : 0;
}

/*
 * Runs callers against a target and prints a row. Returns the number of answers that were lost
 * or crossed.
 */
static uint64_t run_load(const char *name, const struct target *t, int callers, int requests,
	int rate_per_s, int sleep_max_ms)
{
	struct caller *c = xcalloc((size_t)callers, sizeof(*c));
	pthread_t *threads = xcalloc((size_t)callers, sizeof(*threads));
	GArray *latencies_ms = g_array_new(FALSE, TRUE, sizeof(double));
	int64_t begin_ns = clock_now(&clock_system) + START_DELAY_NS;
	uint64_t crossed = 0, lost = 0, refused = 0;
	double seconds;

	for (int i = 0; i < callers; i++) {
		c[i] = (struct caller){.target = t,
			.index = i,
			.requests = requests,
			.begin_ns = begin_ns,
			.sleep_max_ms = sleep_max_ms,
			.interval_ns = rate_per_s > 0
					       ? (int64_t)callers * NSEC_PER_SEC / rate_per_s
					       : 0};
		c[i].begin_ns += rate_per_s > 0 ? i * NSEC_PER_SEC / rate_per_s : 0;
		c[i].latencies_ms = g_array_new(FALSE, TRUE, sizeof(double));
		pthread_create(&threads[i], NULL, caller_thread, &c[i]);
	}
	for (int i = 0; i < callers; i++) {
		pthread_join(threads[i], NULL);
		g_array_append_vals(
			latencies_ms, c[i].latencies_ms->data, c[i].latencies_ms->len);
		crossed += c[i].crossed;
		lost += c[i].lost;
		refused += c[i].refused;
		g_array_unref(c[i].latencies_ms);
	}
	seconds = (double)(clock_now(&clock_system) - begin_ns) / (double)NSEC_PER_SEC;
	g_array_sort(latencies_ms, compare_doubles);
	printf("path target=%s callers=%d requests=%u rate_per_s=%.0f offered_per_s=%d "
	       "p50_ms=%.3f "
	       "p99_ms=%.3f p999_ms=%.3f crossed=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT
	       " refused=%" G_GUINT64_FORMAT "\n",
		name, callers, latencies_ms->len, latencies_ms->len / seconds, rate_per_s,
		quantile(latencies_ms, 0.5), quantile(latencies_ms, 0.99),
		quantile(latencies_ms, 0.999), crossed, lost, refused);
	fflush(stdout);
	g_array_unref(latencies_ms);
	free(c);
	free(threads);
	return crossed + lost;
}

/* usage: bench-path ENTRY[,ENTRY...] UPSTREAM */
int main(int argc, char **argv)
{
	struct target via_entries = {.direct = false};
	struct target direct = {.direct = true};
	uint64_t failures = 0;

	if (argc < 3) {
		fprintf(stderr, "usage: bench-path ENTRY[,ENTRY...] UPSTREAM\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	via_entries.addrs = g_strsplit(argv[1], ",", -1);
	direct.addrs = g_strsplit(argv[2], ",", -1);
	for (int round = 0; round < ROUNDS; round++) {
		failures += run_load("direct", &direct, 1, 300, 0, 0);
		failures += run_load("damaskpath", &via_entries, 1, 300, 0, 0);
		failures += run_load("direct", &direct, 64, 60, 0, 0);
		failures += run_load("damaskpath", &via_entries, 64, 60, 0, 0);
		failures += run_load("direct", &direct, 16, 100, 400, 0);
		failures += run_load("damaskpath", &via_entries, 16, 100, 400, 0);
	}
	failures += run_load("damaskpath-delayed", &via_entries, 1000, 3, 0, 300);
	printf("bench-path crossed_or_lost=%" G_GUINT64_FORMAT "\n", failures);
	return failures == 0 ? 0 : 1;
}
