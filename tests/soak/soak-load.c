#include "soak.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A caller gives up on an answer after this, and asks again with the same id. */
#define CALL_LIMIT (3 * NSEC_PER_SEC)
#define TRIES	   5
/* An accepted job must be known everywhere after this. */
#define VISIBLE (3 * NSEC_PER_SEC)

/* One call to an entry; the status, 0 where no answer came. */
int load_http_call(
	const char *method, const char *addr, const char *id, const char *body, char **out)
{
	AUTOFREE char *url = NULL;
	struct http_call *c;
	int status;

	xasprintf(&url, "http://%s/proofs/%s", addr, id);
	c = http_call_new(method, url);
	c->timeout = CALL_LIMIT;
	http_call_header(c, "Host", "shop.example");
	http_call_header(c, "Authorization", "Token good-key");
	if (body != NULL)
		c->body = bytes_copy(body, strlen(body));
	http_call_run(c);
	status = c->error != NULL ? 0 : c->status;
	if (out != NULL)
		*out = g_strndup(c->answer.data ? c->answer.data : "", c->answer.len);
	http_call_free(c);
	return status;
}

/* An entry, drawn by a caller. */
static const char *any_addr(struct soak *soak, GRand *r)
{
	return soak->nodes[g_rand_int_range(r, 0, SOAK_ENTRIES)].call_addr;
}

/* A job of random shape; some are gangs, some have a second step. */
static char *any_body(GRand *r)
{
	int acc = 1 << g_rand_int_range(r, 0, 4);
	int count = g_rand_int_range(r, 1, acc == 8 ? 3 : 5);
	int ms = g_rand_int_range(r, 50, 1500);
	bool gang = g_rand_int_range(r, 0, 3) == 0;
	bool second = g_rand_int_range(r, 0, 4) == 0;
	/* All steps ask for what the payload tells the stand-in. */
	g_autofree char *tail = g_strdup_printf(",{\"count\":1,\"gpu\":%d,\"after\":[0]}", acc);

	return g_strdup_printf("{\"spec\":\"%d %d\",\"steps\":[{\"count\":%d,\"gpu\":%d,"
			       "\"estimated_ms\":%d,\"gang_scheduled\":%s}%s]}",
		ms, acc, count, acc, ms, gang ? "true" : "false", second ? tail : "");
}

/* Hand a job in as a patient caller does. */
static void hand_in(struct soak *soak, GRand *r, struct soak_job *j)
{
	bool unsure = false;

	for (int try = 0; try < TRIES && !j->accepted; try++) {
		int status = load_http_call("POST", any_addr(soak, r), j->id, j->body, NULL);

		if (status == 200) {
			j->accepted = true;
			j->accepted_at = now_ns();
			return;
		}
		/* A refusal holds for good only where no other try may have been taken. */
		if (status == 503 || status == 429) {
			if (!unsure && g_rand_int_range(r, 0, 3) == 0) {
				j->refused = true;
				return;
			}
		} else {
			unsure = true;
		}
		usleep((useconds_t)g_rand_int_range(r, 50000, 400000));
	}
	j->refused = !unsure;
}

/* The state that an entry tells, or NULL. */
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

/* Look a job up, or cancel it. */
static void look_back(struct soak *soak, GRand *r, struct soak_job *j)
{
	if (g_rand_int_range(r, 0, 8) == 0) {
		/* An unanswered cancellation may have been carried out. */
		j->cancelled = true;
		load_http_call("DELETE", any_addr(soak, r), j->id, NULL, NULL);
	} else if (now_ns() - j->accepted_at > VISIBLE &&
		   load_http_call("GET", any_addr(soak, r), j->id, NULL, NULL) == 410) {
		__atomic_fetch_add(&soak->forgotten, 1, __ATOMIC_RELAXED);
		fprintf(stderr, "job %s was accepted and is not known\n", j->id);
	}
}

struct caller {
	struct soak *soak;
	GRand *rand;
	unsigned int number;
};

/* One caller, until the time is over. */
static void *caller_thread(void *arg)
{
	struct caller *c = arg;
	GPtrArray *mine = g_ptr_array_new();

	for (unsigned int n = 1; now_ns() < c->soak->end_at; n++) {
		struct soak_job *j = xcalloc(1, sizeof(*j));

		g_snprintf(j->id, sizeof(j->id), "%08x%08x", c->number, n);
		j->body = any_body(c->rand);
		hand_in(c->soak, c->rand, j);
		pthread_mutex_lock(&c->soak->lock);
		g_ptr_array_add(c->soak->jobs, j);
		pthread_mutex_unlock(&c->soak->lock);
		if (j->accepted)
			g_ptr_array_add(mine, j);
		if (mine->len > 0 && g_rand_int_range(c->rand, 0, 3) == 0)
			look_back(c->soak, c->rand,
				mine->pdata[g_rand_int_range(c->rand, 0, (gint32)mine->len)]);
		usleep((useconds_t)g_rand_int_range(c->rand, 50000, 500000));
	}
	g_ptr_array_unref(mine);
	g_rand_free(c->rand);
	free(c);
	return NULL;
}

/* Start the callers. */
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
