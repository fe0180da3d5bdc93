#include "entry-private.h"

#include <stdlib.h>
#include <string.h>

#define TICK_PERIOD_NS	 (200 * NSEC_PER_MSEC)
#define STOPPING_RETRY_S 1

/* Runs the periodic work of the entry. */
static void on_timer(void *arg)
{
	struct entry *e = arg;
	int64_t now = loop_now(e->p->loop);

	config_tick(e, now);
	cell_links_tick(e, now);
	jobs_check_timeouts(e, now);
	queries_check_timeouts(e, now);
}

/* Creates an entry and starts serving HTTP. */
struct entry *entry_new(struct process *p, GError **err)
{
	struct entry *e = xcalloc(1, sizeof(*e));
	struct peer_events events = {
		cell_link_on_opened, cell_link_on_message, cell_link_on_closed, e};
	struct options *o = p->options;
	struct http_limits limits = {
		.body_max = (size_t)options_number(o, "body-max"),
		.connections_max = (unsigned int)options_number(o, "connections-max"),
		.connections_per_ip =
			(unsigned int)options_number(o, "connections-per-address"),
		.idle_timeout_s =
			(unsigned int)(options_number(o, "idle-timeout") / NSEC_PER_SEC),
		.threads = (unsigned int)options_number(o, "http-threads"),
	};

	e->p = p;
	e->answer_timeout_ns = options_number(o, "answer-timeout");
	e->coordinator_timeout_ns = options_number(o, "coordinator-timeout");
	e->open_max = (uint32_t)options_number(o, "open-max");
	e->store_up = true;
	e->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cell_link_free);
	e->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	e->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->rate_buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	LIST_INIT(&e->open_jobs);
	pthread_mutex_init(&e->rate_lock, NULL);
	e->net = peer_net_new(p->loop, p->keys, &events);
	e->http = http_server_new(options_string(o, "http"), &limits, entry_request, e, err);
	if (e->http == NULL) {
		entry_free(e);
		return NULL;
	}
	e->name = xstrdup(*options_string(o, "name") ? options_string(o, "name")
						     : http_server_addr(e->http));
	config_start(e);
	e->timer = loop_timer_add(p->loop, TICK_PERIOD_NS, TICK_PERIOD_NS, on_timer, e);
	log_info("entry", "Entry %s started. http=%s", e->name, http_server_addr(e->http));
	return e;
}

/*
 * Begins a graceful stop: /readyz reports not ready and new submissions are refused, but open
 * requests are still answered.
 */
void entry_stop(struct entry *e)
{
	__atomic_store_n(&e->stopping, true, __ATOMIC_RELAXED);
}

/* Returns whether no request is waiting for an answer. */
bool entry_idle(const struct entry *e)
{
	return LIST_EMPTY(&e->open_jobs) && g_hash_table_size(e->queries) == 0 &&
	       http_server_open_requests(e->http) == 0;
}

/* Refuses requests from now on; once this returns, none is being handled. */
void entry_refuse(struct entry *e)
{
	http_server_refuse(e->http);
}

/* Fails the jobs that are still open when a graceful stop reaches its time limit. */
static void fail_open_jobs(struct entry *e)
{
	struct open_job *j;

	while ((j = LIST_FIRST(&e->open_jobs)) != NULL) {
		LIST_REMOVE(j, link);
		http_reply_problem_full(j->request, ERR_DRAINING,
			"this entry is stopping; ask another one for the job", !j->sent,
			STOPPING_RETRY_S, NULL);
		open_job_free(j);
	}
}

/* Stops the entry immediately and frees it. */
void entry_free(struct entry *e)
{
	if (e == NULL)
		return;
	fail_open_jobs(e);
	config_stop(e);
	loop_timer_del(e->p->loop, e->timer);
	http_server_free(e->http);
	peer_net_free(e->net);
	view_free(e->view);
	g_hash_table_destroy(e->links);
	g_hash_table_destroy(e->jobs_by_id);
	g_hash_table_destroy(e->queries);
	g_hash_table_destroy(e->rate_buckets);
	pthread_mutex_destroy(&e->rate_lock);
	free(e->name);
	free(e);
}

/* Returns the address of the HTTP server. */
const char *entry_http_addr(const struct entry *e)
{
	return http_server_addr(e->http);
}
