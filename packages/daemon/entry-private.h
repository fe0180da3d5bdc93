#ifndef DP_ENTRY_PRIVATE_H
#define DP_ENTRY_PRIVATE_H

#include "daemon.h"

/* What request threads read without a lock: the document and how it came here. */
struct entry_view {
	struct doc *doc;
	struct config_snapshot config;
	GPtrArray *cells;
	uint32_t entries;
};

/* A cell as the store and its coordinator describe it. */
struct cell_link {
	char *name;
	char *addr;
	uint64_t term;
	peer_id peer;
	bool open;
	bool ready;
	uint64_t ready_term;
	int64_t next_dial;
	int64_t heard;
	struct msg_summary summary;
	bool has_summary;
};

/* A job whose caller waits here. */
struct open_job {
	struct entry *entry;
	struct http_request *request;
	struct job_spec spec;
	char *cell;
	bool wait;
	bool sent;
	bool accepted;
	uint64_t last_term;
	int64_t since;
	int64_t deadline_at;
	struct open_job *same;
	LIST_ENTRY(open_job) link;
};

/* A question to one cell or to all, whose answers are put together. */
struct open_query {
	struct entry *entry;
	struct http_request *request;
	uint64_t id;
	struct msg out;
	char *cell;
	bool gather;
	uint32_t expected;
	json_t *parts;
	int64_t since;
};

struct rate {
	double tokens;
	int64_t at;
};

struct entry {
	struct process *p;
	struct peer_net *net;
	struct http_server *http;
	struct loop_timer *tick;
	char *name;
	void *view;
	GHashTable *links;
	LIST_HEAD(, open_job) jobs_head;
	GHashTable *jobs;
	GHashTable *queries;
	uint64_t next_query;
	int64_t answer_timeout;
	int64_t coordinator_timeout;
	uint32_t open_max;
	uint32_t open_count;
	bool stopping;
	bool loading;
	bool load_again;
	bool store_up;
	int64_t loaded_at;
	int64_t lease_at;
	int64_t lease;
	bool leasing;
	pthread_t watch_thread;
	bool watch_started;
	bool watch_stop;
	pthread_mutex_t rates_lock;
	GHashTable *rates;
};

/* entry-config.c: keeping the view up to date. */
void config_start(struct entry *e);
void config_stop(struct entry *e);
void config_refresh(struct entry *e);
void config_tick(struct entry *e, int64_t now);
void view_free(void *view);

/* entry-link.c: connections to the coordinators. */
void links_update(struct entry *e, const struct entry_view *v);
void links_tick(struct entry *e, int64_t now);
void link_on_opened(void *arg, peer_id peer, bool dialled);
void link_on_message(void *arg, peer_id peer, const uint8_t *body, size_t len);
void link_on_closed(void *arg, peer_id peer, const GError *why);
struct cell_link *link_find(struct entry *e, const char *cell);
bool link_send_msg(struct entry *e, struct cell_link *l, const struct msg *m);
void link_free(void *link);

/* entry-job.c: the jobs that callers wait for; on the loop's thread. */
void job_open(struct open_job *j);
void job_on_answer(struct entry *e, const struct msg_answer *a);
void job_resend(struct entry *e, struct cell_link *l);
void job_tick(struct entry *e, int64_t now);
void open_job_free(struct open_job *j);

/* entry-query.c: questions to the coordinators; on the loop's thread. */
void query_open(struct open_query *q);
void query_on_reply(struct entry *e, const struct msg_reply *r);
bool query_on_result(struct entry *e, const struct msg_answer *a);
void query_tick(struct entry *e, int64_t now);
void answer_result(struct http_request *r, const char *job, const struct job_result *res);

/* entry-http.c: requests, on HTTP threads. */
void entry_request(struct http_request *r, void *arg);

/* entry-submit.c */
void submit_request(struct entry *e, struct http_request *r, const struct entry_view *v);

/* entry-auth.c */
enum auth_kind {
	AUTH_ORG,
	AUTH_TEAM,
	AUTH_OPERATOR
};
bool auth_org(const struct http_request *r, const struct doc *d, const struct doc_org *o);
bool auth_team(const struct http_request *r, const struct doc *d, const char *section);
bool auth_operator(const struct http_request *r, const struct doc *d);
bool rate_allows(struct entry *e, const struct entry_view *v, const struct doc_org *o);
void auth_warn_open(const struct doc *d);

/* entry-operator.c: configuration over HTTP, on HTTP threads and the pool. */
bool operator_request(struct entry *e, struct http_request *r, const struct entry_view *v);

#endif
