#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* The configuration is proved anew after this. */
#define CONFIG_PERIOD (700 * NSEC_PER_MSEC)
/*
 * An entry takes new callers while its proof is at most so old: one that is cut off from the
 * store leaves the rotation before its callers have used up their tries there.
 */
#define READY_MAX_AGE (1000 * NSEC_PER_MSEC)
#define READY_PERIOD  (100 * NSEC_PER_MSEC)
/* A call without a deadline of its caller is given up after this. */
#define CALL_LIMIT (2500 * NSEC_PER_MSEC)
/* Time of a caller's deadline that is kept for the answer to reach it. */
#define CALL_MARGIN (150 * NSEC_PER_MSEC)
/* After the signal to stop, new callers may still come until the balancer has noticed. */
#define STOP_LINGER (2500 * NSEC_PER_MSEC)

#define BODY_MAX	(512 * 1024)
#define CONNECTIONS_MAX 3500
#define IDLE_TIMEOUT_S	60

/* The loop's part of a new call. */
static void call_begin(void *arg)
{
	struct entry_call *c = arg;

	c->entry->open++;
	entry_call_route(c);
}

/* A caller's request, on a thread of the server. */
static void on_request(struct http_request *r, void *arg)
{
	struct wl_entry *e = arg;
	struct entry_call *c = xcalloc(1, sizeof(*c));
	const char *limit = http_header(r, PF_DEADLINE_HEADER);
	int64_t given = limit != NULL ? g_ascii_strtoll(limit, NULL, 10) * NSEC_PER_MSEC : 0;

	c->entry = e;
	c->request = r;
	c->host = xstrdup(http_header(r, "Host"));
	c->path = xstrdup(http_path(r));
	c->key = pf_api_key_parse(http_header(r, "Authorization"));
	c->arrived = clock_now(loop_clock(e->p->loop));
	c->deadline = c->arrived +
		      (given > CALL_MARGIN ? MIN(given - CALL_MARGIN, CALL_LIMIT) : CALL_LIMIT);
	loop_post(e->p->loop, call_begin, c);
}

/* The balancer's health check. */
static void on_ready(struct http_request *r, void *arg)
{
	struct wl_entry *e = arg;
	bool ready = __atomic_load_n(&e->ready, __ATOMIC_RELAXED);

	if (strcmp(http_path(r), PF_READY_PATH) != 0)
		http_reply(r, 404, NULL, "", 0);
	else
		http_reply(r, ready ? 200 : 503, NULL, "", 0);
}

/* Whether new callers may come. */
static void update_ready(void *arg)
{
	struct wl_entry *e = arg;
	int64_t age = config_feed_age(e->feed);
	bool ready = !e->stopping && config_feed_get(e->feed) != NULL && age < READY_MAX_AGE &&
		     !kv_detoured(e->p->kv);

	if (ready == e->ready)
		return;
	__atomic_store_n(&e->ready, ready, __ATOMIC_RELAXED);
	event_log(EV_READY, "ready=%d config_age_ms=%" PRId64, ready,
		MIN(age / NSEC_PER_MSEC, (int64_t)1000000));
}

/* Another configuration. */
static void on_config(void *arg)
{
	update_ready(arg);
}

/* Serve callers. */
struct wl_entry *wl_entry_new(struct wl_process *p, GError **err)
{
	const struct http_limits limits = {.body_max = BODY_MAX,
		.connections_max = CONNECTIONS_MAX,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.threads = 1};
	const struct http_limits few = {.body_max = 4096,
		.connections_max = 64,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.threads = 1};
	struct wl_entry *e;

	if (p->settings.client_addr == NULL || p->settings.readiness_addr == NULL) {
		error_set(err, ERR_INVALID, "the settings file names no address for callers");
		return NULL;
	}
	e = xcalloc(1, sizeof(*e));
	e->p = p;
	e->queue_depth = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->queue_depth_waiters = g_ptr_array_new();
	e->feed = config_feed_new(p, CONFIG_PERIOD, on_config, e);
	e->caller_server =
		http_server_new(p->settings.client_addr, &limits, on_request, e, err);
	if (e->caller_server != NULL)
		e->ready_server =
			http_server_new(p->settings.readiness_addr, &few, on_ready, e, err);
	if (e->ready_server == NULL) {
		wl_entry_free(e);
		return NULL;
	}
	e->timer = loop_timer_add(p->loop, READY_PERIOD, READY_PERIOD, update_ready, e);
	return e;
}

/* Begin to stop: the balancer is told first, callers that still come are served. */
void wl_entry_stop(struct wl_entry *e)
{
	e->stopping = true;
	e->stop_at = loop_now(e->p->loop) + STOP_LINGER;
	update_ready(e);
}

/* Whether all callers have been answered and no more are expected. */
bool wl_entry_idle(const struct wl_entry *e)
{
	return e->stopping && loop_now(e->p->loop) >= e->stop_at && e->open == 0 &&
	       http_server_open(e->caller_server) == 0;
}

/* Free an entry that is idle. */
void wl_entry_free(struct wl_entry *e)
{
	if (e == NULL)
		return;
	http_server_free(e->caller_server);
	http_server_free(e->ready_server);
	config_feed_free(e->feed);
	if (e->timer != NULL)
		loop_timer_del(e->p->loop, e->timer);
	g_hash_table_destroy(e->queue_depth);
	g_ptr_array_unref(e->queue_depth_waiters);
	free(e);
}
