#ifndef DP_WL_DAEMON_H
#define DP_WL_DAEMON_H

#include "base.h"
#include "kv.h"
#include "platform.h"
#include "transport.h"
#include "workload.h"

/* Keys of ours in the store. What entries write lies under one prefix, which is watched. */
#define KEY_INBOX    "dp/in/"
#define KEY_JOB	     "dp/in/job/"
#define KEY_CANCEL   "dp/in/cancel/"
#define KEY_TERM     "dp/in/term"
#define KEY_PROGRESS "dp/state/"
#define KEY_LEAD     "dp/lead"
#define KEY_NODE     "dp/node/"

/* What a process that serves the platform has. */
struct wl_process {
	struct loop *loop;
	struct pf_settings settings;
	struct http_client *http;
	struct kv *kv;
	struct keyring *keys;
};

/* wl-config-feed.c: the newest configuration and how long ago it was known to be the newest. */
struct config_feed;
struct config_feed *config_feed_new(
	struct wl_process *p, int64_t period, loop_fn *changed, void *arg);
void config_feed_free(struct config_feed *f);
const struct wl_config *config_feed_get(const struct config_feed *f);
/* Age of the last proof; INT64_MAX before the first. */
int64_t config_feed_age(const struct config_feed *f);
/* When the last proof was asked for, on the loop's clock; 0 before the first. */
int64_t config_feed_proved(const struct config_feed *f);
/* A call that depended on the configuration showed what stands there, or that it holds. */
void config_feed_offer(struct config_feed *f, const struct kv_result *r);
/* Have a proof that is newer than since; fn is called with it or when it cannot be had. */
void config_feed_prove(struct config_feed *f, int64_t since, loop_fn *fn, void *arg);

/* wl-detour.c: an entry's way to the store through the coordinator's process. */
struct wl_detour;
struct wl_detour *wl_detour_new(struct wl_process *p);

/* wl-entry.c */
struct wl_entry;
struct wl_entry *wl_entry_new(struct wl_process *p, GError **err);
void wl_entry_stop(struct wl_entry *e);
bool wl_entry_idle(const struct wl_entry *e);
void wl_entry_free(struct wl_entry *e);

/* wl-entry-job.c: one caller's request on its way. */
struct entry_call {
	struct wl_entry *entry;
	struct http_request *request;
	enum pf_call_kind kind;
	char *host;
	char *path;
	char *key;
	struct wl_spec spec;
	char *id;
	const char *queue; /* a copy; the configuration may be replaced meanwhile */
	char *org;
	int64_t arrived;
	int64_t deadline;
	unsigned int tries;
	bool unsure;
};
struct wl_entry {
	struct wl_process *p;
	struct config_feed *feed;
	struct http_server *callers;
	struct http_server *ready_server;
	struct loop_timer *timer;
	unsigned int open;
	bool ready;
	bool stopping;
	int64_t stop_at;
	/* Jobs of each queue that have not begun, as of depth_at. */
	GHashTable *depth;
	GHashTable *depth_next;
	int64_t depth_at;
	bool depth_asked;
	GPtrArray *depth_waiters;
};
void entry_call_route(struct entry_call *c);
void entry_call_deny(struct entry_call *c, int status, int retry_after_s, const char *reason);

/* wl-coord.c: the coordinator, inside the agent that holds the term. */
struct wl_coord;
struct wl_coord_events {
	void (*lost)(void *arg);
	void *arg;
};
struct wl_coord *wl_coord_new(struct wl_process *p, uint64_t term, int64_t term_revision,
	int64_t lease, const struct wl_coord_events *ev);
void wl_coord_free(struct wl_coord *c);
void wl_coord_stop(struct wl_coord *c);
bool wl_coord_idle(const struct wl_coord *c);
uint64_t wl_coord_term(const struct wl_coord *c);
void wl_coord_message(struct wl_coord *c, struct peer_net *net, peer_id peer, struct wl_msg *m);
void wl_coord_closed(struct wl_coord *c, peer_id peer);

/* wl-coord-records.c: progress on its way into the store. */
struct record_writer;
typedef void record_stored_fn(void *arg);
struct record_writer *record_writer_new(struct wl_process *p, struct wl *wl,
	int64_t term_revision, record_stored_fn *on_stored, loop_fn *on_term_lost, void *arg);
void record_writer_free(struct record_writer *r);
void record_writer_mark_dirty(struct record_writer *r, const char *id);
void record_writer_set_revision(struct record_writer *r, const char *id, int64_t revision);
void record_writer_remove_job(struct record_writer *r, const char *id);
void record_writer_set_node(struct record_writer *r, const char *node, bool present);
bool record_writer_has_node(const struct record_writer *r, const char *node);
void record_writer_add_stored_node(struct record_writer *r, const char *node);
bool record_writer_idle(const struct record_writer *r);

/* wl-agent.c */
struct wl_agent;
struct wl_agent *wl_agent_new(struct wl_process *p, GError **err);
void wl_agent_stop(struct wl_agent *a);
bool wl_agent_idle(const struct wl_agent *a);
void wl_agent_free(struct wl_agent *a);

/* wl-worker.c: the worker beside the agent. */
struct wl_worker;
struct wl_worker_events {
	/* Its lists are new; covers and sent_ns are set. */
	void (*report)(const struct wl_report *r, void *arg);
	void (*answer)(const struct wl_answer_note *a, void *arg);
	/* It has seen a higher fence than ours. */
	void (*fenced)(void *arg);
	void *arg;
};
struct wl_worker *wl_worker_new(
	struct wl_process *p, const struct wl_worker_events *ev, GError **err);
void wl_worker_free(struct wl_worker *w);
bool wl_worker_idle(const struct wl_worker *w);
/* Orders are for one term; another term begins without what the last one had open. */
void wl_worker_follow(struct wl_worker *w, uint64_t term);
/* Starts up to this number have come, or were lost on their way and never will. */
void wl_worker_ordered(struct wl_worker *w, uint64_t ordinal);
void wl_worker_authority(struct wl_worker *w, int64_t until);
void wl_worker_start(struct wl_worker *w, const struct wl_start_order *o);
void wl_worker_stop(struct wl_worker *w, const struct wl_stop_order *o);
void wl_worker_pace(struct wl_worker *w, const struct wl_pace_order *o);
void wl_worker_stored(struct wl_worker *w, const struct wl_stored *s);

/*
 * How long an agent renews leases on a coordinator's word after the store last confirmed its
 * term. Long enough for a takeover and an ordinary outage of the store; what runs on an agent
 * that is out of reach waits this and a lease before it may start elsewhere.
 */
#define AUTHORITY_MAX (4 * NSEC_PER_SEC)

#endif
