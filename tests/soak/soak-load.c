#include "soak.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A caller retries an unanswered call with the same job id after this. */
#define CALL_TIMEOUT_NS	    (3 * NSEC_PER_SEC)
#define SUBMIT_ATTEMPTS_MAX 5
/* Every entry must know an accepted job after this. */
#define VISIBILITY_TIMEOUT_NS (3 * NSEC_PER_SEC)
#define RUN_TIME_MIN_MS	      50
#define RUN_TIME_MAX_MS	      1500
#define RETRY_DELAY_MIN_US    50000
#define RETRY_DELAY_MAX_US    400000
#define CALLER_DELAY_MIN_US   50000
#define CALLER_DELAY_MAX_US   500000

/* Calls an entry; returns the HTTP status, or 0 if no answer came. */
int load_http_call(
	const char *method, const char *addr, const char *id, const char *body, char **body_out)
{
	AUTOFREE char *url = NULL;
	struct http_call *c;
	int status;

	xasprintf(&url, "http://%s/proofs/%s", addr, id);
	c = http_call_new(method, url);
	c->timeout = CALL_TIMEOUT_NS;
	http_call_header(c, "Host", "shop.example");
	http_call_header(c, "Authorization", "Token good-key");
	if (body != NULL)
		c->body = bytes_copy(body, strlen(body));
	http_call_run(c);
	status = c->error != NULL ? 0 : c->status;
	if (body_out != NULL)
		*body_out = g_strndup(c->answer.data ? c->answer.data : "", c->answer.len);
	http_call_free(c);
	return status;
}

static const char *random_entry_addr(struct soak *soak, GRand *rand)
{
	return soak->nodes[g_rand_int_range(rand, 0, SOAK_ENTRIES)].call_addr;
}

/* Builds a job of random shape: about 1 in 3 is a gang, 1 in 4 has a second step. */
static char *random_job_body(GRand *rand)
{
	int acc = 1 << g_rand_int_range(rand, 0, 4);
	int count = g_rand_int_range(rand, 1, acc == 8 ? 3 : 5);
	int ms = g_rand_int_range(rand, RUN_TIME_MIN_MS, RUN_TIME_MAX_MS);
	bool gang = g_rand_int_range(rand, 0, 3) == 0;
	bool two_steps = g_rand_int_range(rand, 0, 4) == 0;
	/* The stand-in reads the accelerator count from the payload, so all steps use it. */
	g_autofree char *second_step =
		g_strdup_printf(",{\"count\":1,\"gpu\":%d,\"after\":[0]}", acc);

	return g_strdup_printf("{\"spec\":\"%d %d\",\"steps\":[{\"count\":%d,\"gpu\":%d,"
			       "\"estimated_ms\":%d,\"gang_scheduled\":%s}%s]}",
		ms, acc, count, acc, ms, gang ? "true" : "false", two_steps ? second_step : "");
}

/* Submits a job, with retries. */
static void submit_job(struct soak *soak, GRand *rand, struct soak_job *j)
{
	bool outcome_unknown = false;

	for (int attempt = 0; attempt < SUBMIT_ATTEMPTS_MAX && !j->accepted; attempt++) {
		int status = load_http_call(
			"POST", random_entry_addr(soak, rand), j->id, j->body, NULL);

		if (status == 200) {
			j->accepted = true;
			j->accepted_at = now_ns();
			return;
		}
		/* A refusal is final only if no earlier attempt may have been accepted. */
		if (status == 503 || status == 429) {
			if (!outcome_unknown && g_rand_int_range(rand, 0, 3) == 0) {
				j->refused = true;
				return;
			}
		} else {
			outcome_unknown = true;
		}
		usleep((useconds_t)g_rand_int_range(
			rand, RETRY_DELAY_MIN_US, RETRY_DELAY_MAX_US));
	}
	j->refused = !outcome_unknown;
}

/* Returns a job's state from the first entry that answers, "unknown" on 410, or NULL. */
char *load_job_state(struct soak *soak, const char *id)
{
	for (int i = 0; i < SOAK_ENTRIES; i++) {
		g_autofree char *text = NULL;
		int status = load_http_call("GET", soak->nodes[i].call_addr, id, NULL, &text);
		json_t *o = status == 200 ? json_loads(text, 0, NULL) : NULL;
		char *state = g_strdup(json_string_value(json_object_get(o, "state")));

		json_decref(o);
		if (status == 410)
			return g_strdup("unknown");
		if (state != NULL)
			return state;
	}
	return NULL;
}

/* Cancels a job in 1 of 8 cases; otherwise checks that an entry still knows it. */
static void cancel_or_query(struct soak *soak, GRand *rand, struct soak_job *j)
{
	if (g_rand_int_range(rand, 0, 8) == 0) {
		/* Set before the call: a cancellation may take effect without an answer. */
		j->cancelled = true;
		load_http_call("DELETE", random_entry_addr(soak, rand), j->id, NULL, NULL);
	} else if (now_ns() - j->accepted_at > VISIBILITY_TIMEOUT_NS &&
		   load_http_call("GET", random_entry_addr(soak, rand), j->id, NULL, NULL) ==
			   410) {
		__atomic_fetch_add(&soak->forgotten, 1, __ATOMIC_RELAXED);
		fprintf(stderr, "job %s was accepted but an entry does not know it\n", j->id);
	}
}

struct caller {
	struct soak *soak;
	GRand *rand;
	unsigned int number;
};

/* Submits jobs one after another until the soak's end time. */
static void *caller_thread(void *arg)
{
	struct caller *c = arg;
	GPtrArray *accepted_jobs = g_ptr_array_new();

	for (unsigned int n = 1; now_ns() < c->soak->end_at; n++) {
		struct soak_job *j = xcalloc(1, sizeof(*j));

		g_snprintf(j->id, sizeof(j->id), "%08x%08x", c->number, n);
		j->body = random_job_body(c->rand);
		submit_job(c->soak, c->rand, j);
		pthread_mutex_lock(&c->soak->lock);
		g_ptr_array_add(c->soak->jobs, j);
		pthread_mutex_unlock(&c->soak->lock);
		if (j->accepted)
			g_ptr_array_add(accepted_jobs, j);
		if (accepted_jobs->len > 0 && g_rand_int_range(c->rand, 0, 3) == 0)
			cancel_or_query(c->soak, c->rand,
				accepted_jobs->pdata[g_rand_int_range(
					c->rand, 0, (gint32)accepted_jobs->len)]);
		usleep((useconds_t)g_rand_int_range(
			c->rand, CALLER_DELAY_MIN_US, CALLER_DELAY_MAX_US));
	}
	g_ptr_array_unref(accepted_jobs);
	g_rand_free(c->rand);
	free(c);
	return NULL;
}

/* Starts SOAK_CALLERS caller threads. */
void load_start(struct soak *soak, pthread_t *threads)
{
	for (unsigned int i = 0; i < SOAK_CALLERS; i++) {
		struct caller *c = xcalloc(1, sizeof(*c));

		c->soak = soak;
		c->number = i + 1;
		c->rand = g_rand_new_with_seed(g_rand_int(soak->rand));
		if (pthread_create(&threads[i], NULL, caller_thread, c) != 0)
			abort();
	}
}
