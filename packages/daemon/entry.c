#include "entry-private.h"

#include <stdlib.h>
#include <string.h>

#define ENTRY_TICK (200 * NSEC_PER_MSEC)

/* Several times a second. */
static void on_tick(void *arg)
{
	struct entry *e = arg;
	int64_t now = loop_now(e->p->loop);

	config_tick(e, now);
	links_tick(e, now);
	jobs_check_timeouts(e, now);
	queries_check_timeouts(e, now);
}

/* Start an entry. */
struct entry *entry_new(struct process *p, GError **err)
{
	struct entry *e = xcalloc(1, sizeof(*e));
	struct peer_events events = {link_on_opened, link_on_message, link_on_closed, e};
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
	e->answer_timeout = options_number(o, "answer-timeout");
	e->coordinator_timeout = options_number(o, "coordinator-timeout");
	e->open_max = (uint32_t)options_number(o, "open-max");
	e->store_up = true;
	e->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
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
	e->timer = loop_timer_add(p->loop, ENTRY_TICK, ENTRY_TICK, on_tick, e);
	log_info("entry", "Entry %s is up. http=%s", e->name, http_server_addr(e->http));
	return e;
}

/* Begin a graceful stop: not ready, no new connections; answers still go out. */
void entry_stop(struct entry *e)
{
	__atomic_store_n(&e->stopping, true, __ATOMIC_RELAXED);
}

/* Whether no caller waits any more. */
bool entry_idle(const struct entry *e)
{
	return LIST_EMPTY(&e->open_jobs) && g_hash_table_size(e->queries) == 0 &&
	       http_server_open(e->http) == 0;
}

/* Answer whoever still waits, at the end of a stop that hit its limit. */
static void drop_open(struct entry *e)
{
	struct open_job *j;

	while ((j = LIST_FIRST(&e->open_jobs)) != NULL) {
		LIST_REMOVE(j, link);
		http_reply_outcome(j->request, ERR_DRAINING,
			"this entry is stopping; ask another one for the job", !j->sent, 1,
			NULL);
		open_job_free(j);
	}
}

/* Stop at once. */
void entry_free(struct entry *e)
{
	if (e == NULL)
		return;
	drop_open(e);
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

/* Where callers reach the entry. */
const char *entry_http_addr(const struct entry *e)
{
	return http_server_addr(e->http);
}
