#include "state.h"

#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Callers on threads of their own, each with payloads that nobody else sends, over the given
 * entries, or straight to an upstream. Each checks that it gets its own whole answer. With a
 * rate the arrivals are fixed in advance (open loop), so that time spent waiting to be sent is
 * counted.
 */

struct target {
	char **addrs;
	bool direct;
};

struct caller {
	const struct target *target;
	int index;
	int requests;
	int64_t begin;
	int64_t interval;
	int sleep_max;
	GArray *times;
	uint64_t crossed;
	uint64_t lost;
	uint64_t refused;
};

/* The payload of one request: nobody else's. */
static char *payload_of(const struct caller *c, int i, GRand *r)
{
	return g_strdup_printf("{\"sleep_ms\":%d,\"caller\":%d,\"request\":%d}",
		c->sleep_max > 0 ? g_rand_int_range(r, 0, c->sleep_max + 1) : 0, c->index, i);
}

/* Send one request and check its answer. */
static void request(struct caller *c, int i, GRand *r, int64_t due)
{
	g_autofree char *payload = payload_of(c, i, r);
	guint n = g_strv_length(c->target->addrs);
	const char *addr = c->target->addrs[(guint)(c->index + i) % n];
	g_autofree char *url =
		g_strdup_printf("http://%s%s", addr, c->target->direct ? "/tasks" : "/v1/jobs");
	struct http_call *call = http_call_new("POST", url);
	double ms;

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
	call->timeout = 60 * NSEC_PER_SEC;
	http_call_run(call);
	ms = (double)(clock_now(&clock_system) - due) / (double)NSEC_PER_MSEC;
	g_array_append_val(c->times, ms);
	if (call->error != NULL)
		c->lost++;
	else if (call->status != 200)
		c->refused++;
	else if (call->answer.len != strlen(payload) ||
		 memcmp(call->answer.data, payload, call->answer.len) != 0)
		c->crossed++;
	http_call_free(call);
}

/* One caller. */
static void *caller_thread(void *arg)
{
	struct caller *c = arg;
	GRand *r = g_rand_new_with_seed((guint32)c->index);

	for (int i = 0; i < c->requests; i++) {
		int64_t now = clock_now(&clock_system);
		int64_t due = c->interval > 0 ? c->begin + i * c->interval : now;

		if (due > now)
			usleep((useconds_t)((due - now) / 1000));
		request(c, i, r, due);
	}
	g_rand_free(r);
	return NULL;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(GArray *all, double q)
{
	return all->len > 0
		       ? g_array_index(all, double, MIN((guint)(q * all->len), all->len - 1))
		       : 0;
}

/* Run callers against a target and print a row. */
static uint64_t run(const char *name, const struct target *t, int callers, int requests,
	int rate, int sleep_max)
{
	struct caller *c = xcalloc((size_t)callers, sizeof(*c));
	pthread_t *threads = xcalloc((size_t)callers, sizeof(*threads));
	GArray *all = g_array_new(FALSE, TRUE, sizeof(double));
	int64_t begin = clock_now(&clock_system) + 50 * NSEC_PER_MSEC;
	uint64_t crossed = 0, lost = 0, refused = 0;
	double seconds;

	for (int i = 0; i < callers; i++) {
		c[i] = (struct caller){.target = t,
			.index = i,
			.requests = requests,
			.begin = begin,
			.sleep_max = sleep_max,
			.interval = rate > 0 ? (int64_t)callers * NSEC_PER_SEC / rate : 0};
		c[i].begin += rate > 0 ? i * NSEC_PER_SEC / rate : 0;
		c[i].times = g_array_new(FALSE, TRUE, sizeof(double));
		pthread_create(&threads[i], NULL, caller_thread, &c[i]);
	}
	for (int i = 0; i < callers; i++) {
		pthread_join(threads[i], NULL);
		g_array_append_vals(all, c[i].times->data, c[i].times->len);
		crossed += c[i].crossed;
		lost += c[i].lost;
		refused += c[i].refused;
		g_array_unref(c[i].times);
	}
	seconds = (double)(clock_now(&clock_system) - begin) / (double)NSEC_PER_SEC;
	g_array_sort(all, compare);
	printf("path target=%s callers=%d requests=%u rate_per_s=%.0f offered_per_s=%d "
	       "p50_ms=%.3f "
	       "p99_ms=%.3f p999_ms=%.3f crossed=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT
	       " refused=%" G_GUINT64_FORMAT "\n",
		name, callers, all->len, all->len / seconds, rate, quantile(all, 0.5),
		quantile(all, 0.99), quantile(all, 0.999), crossed, lost, refused);
	fflush(stdout);
	g_array_unref(all);
	free(c);
	free(threads);
	return crossed + lost;
}

/* usage: bench-path ENTRY[,ENTRY...] UPSTREAM */
int main(int argc, char **argv)
{
	struct target ours = {.direct = false};
	struct target direct = {.direct = true};
	uint64_t bad = 0;

	if (argc < 3) {
		fprintf(stderr, "usage: bench-path ENTRY[,ENTRY...] UPSTREAM\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	ours.addrs = g_strsplit(argv[1], ",", -1);
	direct.addrs = g_strsplit(argv[2], ",", -1);
	for (int round = 0; round < 3; round++) {
		bad += run("direct", &direct, 1, 300, 0, 0);
		bad += run("damaskpath", &ours, 1, 300, 0, 0);
		bad += run("direct", &direct, 64, 60, 0, 0);
		bad += run("damaskpath", &ours, 64, 60, 0, 0);
		bad += run("direct", &direct, 16, 100, 400, 0);
		bad += run("damaskpath", &ours, 16, 100, 400, 0);
	}
	bad += run("damaskpath-delayed", &ours, 1000, 3, 0, 300);
	printf("bench-path crossed_or_lost=%" G_GUINT64_FORMAT "\n", bad);
	return bad == 0 ? 0 : 1;
}
