#ifndef DP_WL_DAEMON_H
#define DP_WL_DAEMON_H

#include "base.h"
#include "kv.h"
#include "platform.h"
#include "transport.h"
#include "workload.h"

/*
 * The daemon of the workload scheduler. "wl" is short for workload: struct wl, and what is
 * declared with it in workload.h, is the scheduler core. This folder's wl-*.c files give it a
 * store, a network and a clock.
 *
 * Terms used in these files:
 * - A node is a VM on which an agent and a worker run, named by the setting node. A node has
 *   expired once it was out of reach for so long that nothing can still be running there
 *   (wl_nodes_expired).
 * - A term is the numbered period in which one agent is the coordinator. A higher term replaces
 *   all lower ones. A worker's fencing token rises with it (worker_fence).
 * - A store lease is the store's: the coordinator's key expires with it. All other leases are
 *   those of runs: the worker ends a run whose lease is not renewed.
 */

/*
 * Store keys. The coordinator watches all keys below the inbox prefix: jobs and cancellations,
 * which entries write, and the term, which a campaigning agent writes. The term is there so
 * that a replaced coordinator learns of its successor from the watch.
 */
#define KEY_INBOX	     "dp/in/"
#define KEY_JOB		     "dp/in/job/"
#define KEY_CANCEL	     "dp/in/cancel/"
#define KEY_TERM	     "dp/in/term"
#define KEY_PROGRESS	     "dp/state/" /* wl_progress of a job, by its id */
#define KEY_COORDINATOR_ADDR "dp/lead"
#define KEY_NODE	     "dp/node/" /* exists while the node may run tasks */

/*
 * The cancellation of a stored job is KEY_CANCEL and the job's id; its value is this and the
 * name of the job's organisation. That of a job that isn't stored yet has a dot and a hash of
 * the owner behind the id, as several callers may cancel the same one, and its value is a
 * wl_owner. Entries of earlier versions write KEY_CANCEL and the id for both, with this and the
 * caller's organisation for a job that isn't stored, and else with an empty value.
 */
#define CANCEL_BY "by "

/*
 * What the parts of a process share, whatever its role. The process itself, with its role and
 * signals, is struct wl_daemon in wl-process.c.
 */
struct wl_process {
	struct loop *loop;
	struct pf_settings settings;
	struct http_client *http;
	struct kv *kv;
	struct keyring *keys;
	struct wl_detour *detour; /* entries only */
	struct budget *budget;	  /* of all that clients and peers can make grow */
	unsigned int connections_max;
};

/* wl-config-feed.c: the newest configuration, and when it was last verified as such. */
struct config_feed;
struct config_feed *config_feed_new(
	struct wl_process *p, int64_t period, loop_fn *on_change, void *arg);
void config_feed_free(struct config_feed *f);
const struct wl_config *config_feed_get(const struct config_feed *f);
/* Time since the last successful verification; INT64_MAX before the first. */
int64_t config_feed_age(const struct config_feed *f);
/*
 * When the request was sent whose reply last verified the configuration, on the loop's clock; 0
 * before the first.
 */
int64_t config_feed_verified_at(const struct config_feed *f);
/*
 * Takes the result of a store call that was conditional on the configuration: a success
 * verifies it, a conflict may hold a newer document.
 */
void config_feed_apply_result(struct config_feed *f, const struct kv_result *r);
/*
 * Has the configuration verified by a request sent at or after since, then calls fn; calls it
 * at once if this is already the case. fn is also called if the store can't be reached, without
 * a verification, so it has to look at config_feed_verified_at.
 */
void config_feed_refresh(struct config_feed *f, int64_t since, loop_fn *fn, void *arg);

/* wl-evacuation-feed.c: the evacuated zones, for the coordinator. */
struct evacuation_feed;
/* All evacuated zones, by a request that was sent at read_at; valid during the call. */
typedef void evacuation_fn(
	void *arg, int64_t read_at, const struct wl_zone *zones, uint32_t zones_len);
struct evacuation_feed *evacuation_feed_new(struct wl_process *p, evacuation_fn *fn, void *arg);
void evacuation_feed_free(struct evacuation_feed *f);

/*
 * wl-detour.c: relays an entry's store calls through the coordinator's process, which forwards
 * them to the store. This relay is called a detour; kv_uses_detour tells whether it is in use.
 */
struct wl_detour;
struct wl_detour *wl_detour_new(struct wl_process *p);
/* Tells the coordinator's process of a key of the inbox that this entry has stored. */
void wl_detour_note_stored(struct wl_detour *d, const char *key);

/* wl-relay.c: the other end of a detour, in the agent. */
struct wl_relay;
struct wl_relay *wl_relay_new(struct wl_process *p, struct peer_net *net);
/* Relays a store call of a peer, or answers it with 503 if too many are under way. */
void wl_relay_call(struct wl_relay *r, peer_id peer, const struct wl_store_call *s);
void wl_relay_free(struct wl_relay *r);

/* wl-entry.c */
struct wl_entry;
struct wl_entry *wl_entry_new(struct wl_process *p, GError **err);
void wl_entry_stop(struct wl_entry *e);
bool wl_entry_idle(const struct wl_entry *e);
void wl_entry_free(struct wl_entry *e);

/* wl-entry-job.c: a caller's request that is not answered yet. */
struct entry_call {
	struct wl_entry *entry;
	struct http_request *request;
	enum pf_call_kind kind;
	char *host;
	char *path;
	char *api_key; /* from the Authorization header */
	struct wl_spec spec;
	char *id;
	const char *queue; /* a copy, as the configuration may be replaced during the call */
	char *org;
	char *address;		 /* wl_queue_address */
	int64_t config_revision; /* of the configuration by which the call was routed */
	int64_t arrived;
	int64_t deadline;
	unsigned int tries;
	bool outcome_unknown; /* a write got no usable reply; the job may have been stored */
};
struct wl_entry {
	struct wl_process *p;
	struct config_feed *feed;
	struct http_server *caller_server;
	struct http_server *ready_server;
	struct loop_timer *timer;
	unsigned int open; /* calls not answered yet */
	bool ready;
	bool stopping;
	int64_t stop_at;
	/* Number of jobs per queue that have not started, as of queue_depth_at. */
	GHashTable *queue_depth;
	GHashTable *queue_depth_partial; /* the count that is under way, page by page */
	int64_t queue_depth_at;
	bool queue_depth_reading;
	/* The store lease of early cancellations, and when it ends at the earliest. */
	int64_t cancel_lease;
	int64_t cancel_lease_until;
	GPtrArray *queue_depth_waiters; /* entry_calls that wait for the count under way */
};
void entry_call_route(struct entry_call *c);
void entry_call_reply_error(
	struct entry_call *c, int status, int retry_after_s, const char *reason);

/* wl-coord.c: the coordinator, which runs in the agent that holds the term. */
struct wl_coord;
struct wl_coord_events {
	/* The term is lost; the agent that created the coordinator has to free it. */
	void (*term_lost)(void *arg);
	void *arg;
};
/* store_lease is the id of the store lease with which the term was acquired. */
struct wl_coord *wl_coord_new(struct wl_process *p, uint64_t term, int64_t term_revision,
	int64_t store_lease, const struct wl_coord_events *ev);
void wl_coord_free(struct wl_coord *c);
void wl_coord_stop(struct wl_coord *c);
bool wl_coord_idle(const struct wl_coord *c);
uint64_t wl_coord_term(const struct wl_coord *c);
/* Handles a message that an agent has sent. */
void wl_coord_handle_message(
	struct wl_coord *c, struct peer_net *net, peer_id peer, struct wl_msg *m);
/* An entry has stored a key of the inbox: it is read unless the watch tells of it soon. */
void wl_coord_note_stored(struct wl_coord *c, const char *key);
void wl_coord_handle_peer_closed(struct wl_coord *c, peer_id peer);

/* wl-coord-records.c: writes job progress and the list of nodes to the store. */
struct record_writer;
struct record_events {
	/* A transaction that was sent at a time, and requires the term, has succeeded. */
	void (*confirmed)(int64_t sent, void *arg);
	void (*stored)(void *arg);
	/* Another job has been accepted under the id of a job that was removed. */
	void (*replaced)(const char *id, void *arg);
	void (*term_lost)(void *arg);
	void *arg;
};
struct record_writer *record_writer_new(struct wl_process *p, struct wl *scheduler,
	int64_t term_revision, const struct record_events *ev);
void record_writer_free(struct record_writer *r);
void record_writer_mark_dirty(
	struct record_writer *r, const char *id, enum wl_store_urgency urgency);
/* Notes a revision in the store that the job's progress record has at least. */
void record_writer_note_revision(struct record_writer *r, const char *id, int64_t revision);
void record_writer_remove_job(struct record_writer *r, const char *id);
/*
 * Whether a job's key, as read at a revision, is of a job that was removed since: an answer of
 * the store may have been under way for as long as a call takes.
 */
bool record_writer_was_removed(const struct record_writer *r, const char *id, int64_t revision);
void record_writer_set_node(struct record_writer *r, const char *node, bool present);
/* Whether a node's key is in the store, and no write that may remove it is left. */
bool record_writer_has_node(const struct record_writer *r, const char *node);
/* Notes that a node's key was found in the store. */
void record_writer_add_stored_node(struct record_writer *r, const char *node, int64_t revision);
/* Writes the changes that wait for later ones without further delay. */
void record_writer_flush(struct record_writer *r);
bool record_writer_idle(const struct record_writer *r);

/* wl-agent.c */
struct wl_agent;
/*
 * Whether the item, at KEY_COORDINATOR_ADDR, was written by a coordinator: it holds an address
 * and expires with a store lease. Another writer's names nobody, and may never go away.
 */
bool wl_names_coordinator(const struct kv_item *it);
struct wl_agent *wl_agent_new(struct wl_process *p, GError **err);
void wl_agent_stop(struct wl_agent *a);
bool wl_agent_idle(const struct wl_agent *a);
void wl_agent_free(struct wl_agent *a);

/* wl-worker.c: the agent's client for the worker on the same VM. */
struct wl_worker;
struct wl_worker_events {
	/*
	 * The worker's lists of runs were received. covers is the ordinal up to which the
	 * outcome of every start was known when the lists were requested, and sent_ns is the
	 * time of that request.
	 */
	void (*report)(const struct wl_report *r, void *arg);
	void (*answer)(const struct wl_answer_note *a, void *arg);
	/* The worker has seen a higher fencing token than this agent's. */
	void (*fenced)(void *arg);
	void *arg;
};
struct wl_worker *wl_worker_new(
	struct wl_process *p, const struct wl_worker_events *ev, GError **err);
void wl_worker_free(struct wl_worker *w);
bool wl_worker_idle(const struct wl_worker *w);
/*
 * Sets the coordinator's term, 0 for none. A change drops all pending starts: their outcome is
 * not reported.
 */
void wl_worker_set_term(struct wl_worker *w, uint64_t term);
/*
 * Each start of a task has an ordinal. Those up to this one have arrived, or were lost in
 * transit and will not arrive.
 */
void wl_worker_note_start_ordinal(struct wl_worker *w, uint64_t ordinal);
/* The worker's speed as the coordinator knows it, to be kept for the next coordinator. */
void wl_worker_note_speed(struct wl_worker *w, const struct wl_speed *s);
/*
 * The agent's authority: until this time, on the loop's clock in ns, it may have tasks started
 * and the leases of runs renewed for the coordinator. See AUTHORITY_MAX.
 */
void wl_worker_set_authority(struct wl_worker *w, int64_t until);
/* Carry out an order of the coordinator. */
void wl_worker_start_tasks(struct wl_worker *w, const struct wl_start_order *o);
void wl_worker_stop_run(struct wl_worker *w, const struct wl_stop_order *o);
void wl_worker_pace_run(struct wl_worker *w, const struct wl_pace_order *o);
/* The ends of runs up to this number are stored; the worker may forget them. */
void wl_worker_ack_ends(struct wl_worker *w, const struct wl_stored *s);

/*
 * How long an agent may renew the leases of runs after the store last confirmed the
 * coordinator's term. Long enough to cover a takeover and a usual outage of the store. The last
 * lease may be granted at the end of this time, so a task on an unreachable agent may be
 * started elsewhere only after this time and the longest lease, with margins:
 * wl_limits.silence_max, set in wl-coord.c.
 */
#define AUTHORITY_MAX (4 * NSEC_PER_SEC)
/*
 * Margins on the longest lease of a run: for message delay, and, as a part of the lease, for a
 * worker whose clock runs up to 2% slow.
 */
#define RUN_LEASE_MARGIN   (400 * NSEC_PER_MSEC)
#define SLOW_CLOCK_DIVISOR 50 /* adds 1/50 of the lease */

#endif
