#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* How often the configuration is verified against the store. */
#define CONFIG_CHECK_PERIOD (700 * NSEC_PER_MSEC)
/*
 * An entry is ready while its configuration was verified within this time. An entry that loses
 * the store then leaves the load balancer's rotation before its callers run out of retries.
 */
#define READY_CONFIG_AGE_MAX (1000 * NSEC_PER_MSEC)
#define READY_CHECK_PERIOD   (100 * NSEC_PER_MSEC)
/*
 * The longest time for a call. If its caller gives a timeout, that less REPLY_MARGIN applies if
 * it is shorter; a caller's timeout of REPLY_MARGIN or less is ignored.
 */
#define CALL_TIMEOUT   (2500 * NSEC_PER_MSEC)
#define TIMEOUT_MAX_MS 60000 /* a longer one is no different */
/* Part of the caller's deadline that is reserved for the answer to arrive. */
#define REPLY_MARGIN (150 * NSEC_PER_MSEC)
/* New calls may arrive this long after the signal to stop, until the balancer notices. */
#define STOP_DELAY (2500 * NSEC_PER_MSEC)

#define BODY_MAX       (512 * 1024) /* bytes */
#define IDLE_TIMEOUT_S 60
/* A job that is submitted is held as parsed, as encoded for the store and in the store's
 * request. */
#define CALL_FACTOR 3
/* The health check has its own budget, so that callers can't use up its memory. */
#define READY_CONNECTIONS_MAX 64
#define READY_BUDGET	      ((size_t)4 * 1024 * 1024)

/* Starts a call, on the loop. */
static void begin_call(void *arg)
{
	struct entry_call *c = arg;

	c->entry->open++;
	entry_call_route(c);
}

/* Receives a caller's request, on a thread of the server. */
static void on_request(struct http_request *r, void *arg)
{
	struct wl_entry *e = arg;
	struct entry_call *c = xcalloc(1, sizeof(*c));
	const char *header = http_header(r, PF_DEADLINE_HEADER);
	int64_t timeout_ms = header != NULL ? g_ascii_strtoll(header, NULL, 10) : 0;
	int64_t timeout = CLAMP(timeout_ms, 0, TIMEOUT_MAX_MS) * NSEC_PER_MSEC;

	c->entry = e;
	c->request = r;
	c->host = xstrdup(http_header(r, "Host"));
	c->path = xstrdup(http_path(r));
	c->api_key = pf_api_key_parse(http_header(r, "Authorization"));
	c->arrived = clock_now(loop_clock(e->p->loop));
	c->deadline =
		c->arrived + (timeout > REPLY_MARGIN ? MIN(timeout - REPLY_MARGIN, CALL_TIMEOUT)
						     : CALL_TIMEOUT);
	loop_post(e->p->loop, begin_call, c);
}

/* Answers the load balancer's health check, on a thread of the server. */
static void on_readiness_request(struct http_request *r, void *arg)
{
	struct wl_entry *e = arg;
	bool ready = __atomic_load_n(&e->ready, __ATOMIC_RELAXED);

	if (strcmp(http_path(r), PF_READY_PATH) != 0)
		http_reply(r, 404, NULL, "", 0);
	else
		http_reply(r, ready ? 200 : 503, NULL, "", 0);
}

/*
 * Updates what the health check answers, by which the load balancer sends callers here or not.
 * Calls that arrive are served in any case.
 */
static void update_ready(void *arg)
{
	struct wl_entry *e = arg;
	int64_t age = config_feed_age(e->feed);
	bool ready = !e->stopping && config_feed_get(e->feed) != NULL &&
		     age < READY_CONFIG_AGE_MAX && !kv_uses_detour(e->p->kv);

	if (ready == e->ready)
		return;
	__atomic_store_n(&e->ready, ready, __ATOMIC_RELAXED);
	event_log(EV_READY, "ready=%d config_age_ms=%" PRId64, ready,
		MIN(age / NSEC_PER_MSEC, (int64_t)1000000));
}

static void on_config_changed(void *arg)
{
	update_ready(arg);
}

struct wl_entry *wl_entry_new(struct wl_process *p, GError **err)
{
	const struct http_limits caller_limits = {.body_max = BODY_MAX,
		/* A call has a connection to the store besides its caller's. */
		.connections_max = p->connections_max / 2,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.threads = 1,
		.budget = p->budget,
		.header_timeout_s = HTTP_HEADER_TIMEOUT_S,
		.body_timeout_s = HTTP_BODY_TIMEOUT_S,
		.call_factor = CALL_FACTOR};
	const struct http_limits ready_limits = {.body_max = 4096, /* bytes */
		.connections_max = READY_CONNECTIONS_MAX,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.threads = 1,
		.budget = budget_new(READY_BUDGET),
		.header_timeout_s = HTTP_HEADER_TIMEOUT_S,
		.body_timeout_s = HTTP_BODY_TIMEOUT_S};
	struct wl_entry *e;

	if (p->settings.client_addr == NULL || p->settings.readiness_addr == NULL) {
		error_set(err, ERR_INVALID,
			"the settings file lacks the client or the readiness address");
		return NULL;
	}
	e = xcalloc(1, sizeof(*e));
	e->p = p;
	e->queue_depth = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->queue_depth_waiters = g_ptr_array_new();
	e->feed = config_feed_new(p, CONFIG_CHECK_PERIOD, on_config_changed, e);
	e->caller_server =
		http_server_new(p->settings.client_addr, &caller_limits, on_request, e, err);
	if (e->caller_server != NULL)
		e->ready_server = http_server_new(p->settings.readiness_addr, &ready_limits,
			on_readiness_request, e, err);
	if (e->ready_server == NULL) {
		wl_entry_free(e);
		return NULL;
	}
	e->timer = loop_timer_add(
		p->loop, READY_CHECK_PERIOD, READY_CHECK_PERIOD, update_ready, e);
	return e;
}

/* Begins to stop: fails the health check first, and still serves calls that arrive. */
void wl_entry_stop(struct wl_entry *e)
{
	e->stopping = true;
	e->stop_at = loop_now(e->p->loop) + STOP_DELAY;
	update_ready(e);
}

/*
 * Whether all calls are answered and no more are expected. http_server_open_requests is the
 * number of requests that are being read or answered.
 */
bool wl_entry_idle(const struct wl_entry *e)
{
	return e->stopping && loop_now(e->p->loop) >= e->stop_at && e->open == 0 &&
	       http_server_open_requests(e->caller_server) == 0;
}

/* The entry must be idle. */
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
