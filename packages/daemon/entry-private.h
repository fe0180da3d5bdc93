#ifndef DP_ENTRY_PRIVATE_H
#define DP_ENTRY_PRIVATE_H

#include "daemon.h"

/* Times named ..._at and ..._since are in nanoseconds on the loop's clock. */

/*
 * The configuration, the cells and the number of running entries, as last loaded from the
 * store. Published by RCU, so that HTTP threads read it without a lock.
 */
struct entry_view {
	struct doc *doc;
	struct config_snapshot config;
	/* Of struct cell_term: each cell with a term key, even if no agent holds the term. */
	GPtrArray *cells;
	uint32_t entries_count; /* entries that hold a lease */
};

/*
 * A cell and the connection to its coordinator. Functions named cell_link_* are the entry's;
 * the agent's link_* are for its one connection to its own coordinator.
 */
struct cell_link {
	char *name;
	char *addr;
	uint64_t term; /* newest term known from the store or a welcome */
	peer_id peer;
	bool connected;
	bool ready;	     /* the coordinator has sent its welcome */
	uint64_t ready_term; /* term in that welcome */
	int64_t next_dial_at;
	int64_t last_received_at;
	struct msg_summary summary; /* the coordinator's latest one; never read */
	bool has_summary;
};

/* A submitted job whose HTTP request has not been answered yet. */
struct open_job {
	struct entry *entry;
	struct http_request *request;
	struct job_spec spec;
	char *cell;
	bool wait; /* answer with the result, not on acceptance */
	bool sent; /* a coordinator may have received the job */
	bool accepted;
	uint64_t last_term; /* term that it was last sent to */
	/*
	 * Both timeouts of the entry count from here: the request's arrival or, if a
	 * coordinator returned the job, the last time that one did.
	 */
	int64_t waiting_since;
	int64_t deadline_at;
	struct open_job *next_same_id; /* another request for the same job id */
	LIST_ENTRY(open_job) link;     /* in entry.open_jobs; unrelated to cell_link */
};

/* A query or cancellation sent to one cell, or to all cells with their replies merged. */
struct open_query {
	struct entry *entry;
	struct http_request *request;
	uint64_t id;
	struct msg msg;
	char *cell;
	bool all_cells; /* cell is NULL: sent to all cells, whose replies are merged */
	uint32_t replies_pending;
	json_t *replies;
	int64_t sent_at;
};

/*
 * The fill of an organisation's rate limiter when it was last refilled; the limit is in struct
 * doc_org. These tokens are not bearer tokens.
 */
struct token_bucket {
	double tokens;
	int64_t refilled_at;
};

struct entry {
	struct process *p;
	struct peer_net *net;
	struct http_server *http;
	struct loop_timer *timer;
	char *name;
	void *view; /* struct entry_view, published by RCU */
	GHashTable *links;
	LIST_HEAD(, open_job) open_jobs;
	GHashTable *jobs_by_id; /* heads of the chains linked by next_same_id */
	GHashTable *queries;
	uint64_t last_query_id;
	int64_t answer_timeout_ns;
	int64_t coordinator_timeout_ns;
	uint32_t open_max;
	uint32_t open_count;
	bool stopping;
	/* The load of the view from the store, see entry-config.c. */
	bool config_loading;
	bool config_reload_pending; /* load again once the current load is done */
	bool store_up;
	int64_t config_loaded_at;
	int64_t lease_renew_started_at; /* start of the latest renewal */
	int64_t lease_id;		/* 0 before the first grant */
	bool lease_in_progress;		/* a grant or renewal runs on the pool */
	pthread_t watch_thread;
	bool watch_started;
	bool watch_stop;
	pthread_mutex_t rate_lock;
	GHashTable *rate_buckets; /* organisation name to struct token_bucket */
};

/* entry-config.c: keeps the view up to date with the store. */
void config_start(struct entry *e);
void config_stop(struct entry *e);
void config_reload(struct entry *e);
void config_tick(struct entry *e, int64_t now);
void view_free(void *view);

/* entry-link.c: connections to the coordinators; on the loop's thread. */
void cell_links_update(struct entry *e, const struct entry_view *v);
void cell_links_tick(struct entry *e, int64_t now);
void cell_link_on_opened(void *arg, peer_id peer, bool dialled);
void cell_link_on_message(void *arg, peer_id peer, const uint8_t *body, size_t len);
void cell_link_on_closed(void *arg, peer_id peer, const GError *why);
struct cell_link *cell_link_find(struct entry *e, const char *cell);
bool cell_link_send(struct entry *e, struct cell_link *l, const struct msg *m);
void cell_link_free(void *link);

/*
 * entry-job.c: open jobs; on the loop's thread. job_on_answer handles the coordinator's answer
 * to a submission: accepted, returned or ended.
 */
void job_open(struct open_job *j);
void job_on_answer(struct entry *e, const struct msg_answer *a);
void jobs_resubmit(struct entry *e, struct cell_link *l);
void jobs_check_timeouts(struct entry *e, int64_t now);
void open_job_free(struct open_job *j);
void reply_job_result(struct http_request *r, const char *job, const struct job_result *res);

/*
 * entry-query.c: queries and cancellations; on the loop's thread. A coordinator replies to them
 * with a msg_reply. Only the result of a job, GET /v1/jobs/ID/result, comes as a msg_answer
 * that carries the query's id: query_on_answer handles it and returns false for other answers.
 */
void query_open(struct open_query *q);
void query_on_reply(struct entry *e, const struct msg_reply *r);
bool query_on_answer(struct entry *e, const struct msg_answer *a);
void queries_check_timeouts(struct entry *e, int64_t now);

/* entry-http.c: routing of HTTP requests; on HTTP threads. */
void entry_request(struct http_request *r, void *arg);

/* entry-submit.c: POST /v1/jobs; on HTTP threads. */
void submit_request(struct entry *e, struct http_request *r, const struct entry_view *v);

/* entry-auth.c: bearer tokens and rate limits. enum auth_kind is not used. */
enum auth_kind {
	AUTH_ORG,
	AUTH_TEAM,
	AUTH_OPERATOR
};
bool auth_org(const struct http_request *r, const struct doc *d, const struct doc_org *o);
bool auth_section_edit(const struct http_request *r, const struct doc *d, const char *section);
bool auth_operator(const struct http_request *r, const struct doc *d);
bool rate_allows(struct entry *e, const struct entry_view *v, const struct doc_org *o);
void auth_warn_open(const struct doc *d);

/* entry-config-http.c: the configuration over HTTP; on HTTP threads and the pool. */
bool config_request(struct entry *e, struct http_request *r, const struct entry_view *v);

#endif
