#ifndef DP_WL_WORKER_PRIVATE_H
#define DP_WL_WORKER_PRIVATE_H

#include "wl-daemon.h"

#include <pthread.h>

/* What wl-worker.c and wl-worker-order.c share. */

/* A start whose outcome is not known yet. */
struct open_start {
	struct wl_worker *worker;
	uint64_t ordinal;
	uint64_t term;
	char *life;
	char *task;
	uint32_t attempt;
	/* What it is sent again with. */
	char *payload;
	char *checkpoint;
	char *ticket;
	unsigned int sends;
	int64_t sent;
	bool unsure;	    /* no answer came */
	bool calling;	    /* a call for it is under way */
	int64_t void_since; /* the stop was answered: it will not start any more */
	bool dropped;
};

struct wl_worker {
	struct wl_process *p;
	struct wl_worker_events ev;
	struct http_server *server;
	unsigned int calls;
	bool freed;
	/* What its last report said; id is NULL before the first. */
	pthread_mutex_t lock;
	struct pf_heartbeat beat;
	struct pf_heartbeat beat_next;
	bool beat_posted;
	int64_t beat_at;
	bool left;
	char *life;
	int64_t instance_started_at;
	/* Its clock, as of when an answer with it came. */
	int64_t clock_ms;
	int64_t clock_at;
	uint64_t term;
	int64_t authority;
	uint64_t last_ordinal;
	uint64_t ends_stored;
	/* The last end that the worker has listed. */
	uint64_t ends_listed;
	GPtrArray *open;
	bool holding;
	uint64_t hold_covers;
	int64_t hold_sent;
	struct loop_timer *hold_timer;
};

/* A stop on its way to the worker. */
struct open_stop {
	char *task;
	uint32_t attempt;
	unsigned int sends;
};

/* One call to the worker, with what its answer is for. */
struct worker_call {
	struct wl_worker *worker;
	struct open_start *start;
	struct open_stop *stop;
	uint64_t term;
};

/* wl-worker.c */
/* Send a call; start is what its answer is for, or NULL. */
void worker_send_call(struct wl_worker *w, struct http_call *c, struct open_start *s,
	void (*done)(struct http_call *call, void *arg));
/* Until when leases may be granted, on the worker's clock in ms; 0 where they may not. */
int64_t worker_lease_deadline(const struct wl_worker *w);

/* wl-worker-order.c: starts and stops until their outcome is known. */
/* Forget an open start; one with a call under way is freed when that ends. */
void worker_open_drop(struct wl_worker *w, struct open_start *s);
/* Up to which start all outcomes are known. */
uint64_t worker_covers(const struct wl_worker *w);
/* See to the starts without an answer, by lists that were asked for at a time. */
void worker_settle_unsure(struct wl_worker *w, const struct pf_reply *r, int64_t asked);
/* Whether some start waits for its outcome. */
bool worker_has_unsure(const struct wl_worker *w);

#endif
