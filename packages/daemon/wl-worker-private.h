#ifndef DP_WL_WORKER_PRIVATE_H
#define DP_WL_WORKER_PRIVATE_H

#include "wl-daemon.h"

/* Declarations shared by the files wl-worker*.c. */

/* A start order whose outcome is not known yet. */
struct pending_start {
	struct wl_worker *worker;
	guint position; /* in wl_worker.pending_starts */
	uint64_t ordinal;
	uint64_t term;
	char *instance;
	char *task;
	uint32_t attempt;
	/* Kept to send the start again. */
	char *payload;
	char *checkpoint;
	char *ticket; /* from the approval service; the worker checks it */
	int64_t received_at;
	unsigned int sends_used;
	bool stop_ordered; /* it must not be sent again */
	/*
	 * When the start was last sent. Set again when a stop that was to void it has failed.
	 * For a start that this process never sent: when this process sent the stop that is to
	 * void the start.
	 */
	int64_t last_try_at;
	bool unanswered; /* a send has had no answer */
	/* The latest deadline that a send carried, on the worker's clock; 0 if not known. */
	int64_t deadline_ms;
	/* Reported once the start is known not to have run. */
	enum wl_answer refusal;
	/*
	 * The first lists requested after this time decide whether a refused start is voided.
	 * 0: lists that come UNLISTED_START_WAIT after the last try do.
	 */
	int64_t void_lists_after;
	bool outcome_unknown; /* to be found out from the worker's lists */
	bool call_pending;
	/*
	 * A start is void once the worker can't carry it out any more; it may have done so
	 * before, which its lists show. The start becomes void when the worker confirms a stop
	 * of this attempt, or answers a repeated start with PF_REPLY_STALE_ATTEMPT. This is
	 * the loop time of that answer; 0 before.
	 */
	int64_t voided_at;
	bool dropped;
};

struct wl_worker {
	struct wl_process *p;
	struct wl_worker_events events;
	struct http_server *server;
	unsigned int calls_pending;
	bool freed;
	/* The last heartbeat that was not outdated; its id is NULL before the first. */
	struct pf_heartbeat heartbeat;
	int64_t heartbeat_at;
	/* The last one that was overtaken, and how many there were in a row, in their order. */
	int64_t overtaken_sequence;
	unsigned int overtaken_run;
	int64_t settings_read_at; /* when the settings were last looked up for the service */
	int64_t spoke_at;	  /* the last heartbeat, also if it was outdated */
	/* It has said that it leaves, and is asked whether it still answers. */
	bool leaving;
	bool left; /* it has left */
	/* Reported as gone: it is silent, and every lease that it may have has run out. */
	bool lost;
	int64_t heard_at;	 /* the last heartbeat or answer */
	int64_t lease_end_at;	 /* when every lease that the worker may have has run out */
	unsigned int unanswered; /* renewals in a row that had no answer */
	char *instance; /* the worker's id and start time; worker_instance in messages */
	int64_t instance_started_at;
	int64_t previous_started_at; /* of the instance before; 0 for none */
	uint64_t instance_count;     /* instances seen so far */
	uint64_t instance_rank;	     /* see worker_fence */
	uint64_t rank_step;	     /* by how much a refusal as fenced has raised the rank */
	bool replaced;		     /* an instance with another id answers in its place */
	/* The worker's clock as of clock_at on the agent's; clock_at is 0 if unknown. */
	int64_t clock_ms;
	int64_t clock_at;
	uint64_t term;		 /* the coordinator's; 0 for none */
	int64_t authority_until; /* see wl_worker_set_authority */
	uint64_t last_start_ordinal;
	struct wl_speed speed; /* of some instance of the worker */
	/* The worker numbers the runs that have ended. */
	uint64_t ends_stored; /* the coordinator has stored those up to this number */
	uint64_t ends_listed; /* the worker has listed those up to this number */
	bool ends_left;	      /* it may have more ends than its last answer has listed */
	GPtrArray *pending_starts;
	/* Orders that wait for others to be answered, and how many are under way. */
	GQueue queued_starts;
	GQueue queued_stops;
	unsigned int orders_in_flight;
	/*
	 * The renewal: a single call that renews the leases, if they may be, and requests the
	 * worker's lists of runs.
	 */
	bool renewal_pending;
	bool renewal_granted;		  /* it has a deadline */
	bool renewal_answered;		  /* by the current instance, the last one */
	uint64_t renewal_settled_ordinal; /* worker_settled_ordinal when it was sent */
	int64_t renewal_sent_at;
	struct loop_timer *renewal_timer;
	/* Bytes of long checkpoints that may be sent, as of a time, and the run that is next.
	 */
	int64_t checkpoint_allowance;
	int64_t checkpoint_allowance_at;
	uint32_t next_checkpoint;
	int64_t checkpoint_log_at; /* when a refused one may be logged again */
};

/* A stop order that the worker has not answered yet. */
struct pending_stop {
	char *task;
	uint32_t attempt;
	unsigned int send_count;
};

/* A call to the worker and the order that it carries, if any. */
struct worker_call {
	struct wl_worker *worker;
	struct pending_start *start;
	struct pending_stop *stop;
	uint64_t fence;
	uint64_t instance_count; /* worker.instance_count when it was sent */
};

/* wl-worker.c */
/* The fencing token of calls to the worker: rises with the term and with each instance. */
uint64_t worker_fence(const struct wl_worker *w);
/* Handles a call that the worker has refused as fenced. */
void worker_handle_fenced(struct wl_worker *w, const struct worker_call *wc);
/* Sends a call; s is the start that it concerns, or NULL. */
void worker_send_call(struct wl_worker *w, struct http_call *c, struct pending_start *s,
	void (*done)(struct http_call *call, void *arg));
/* Notes that the worker may have got a lease by a call that was sent at a time. */
void worker_note_lease(struct wl_worker *w, const struct http_call *c, int64_t sent_at);
/* The latest expiry of a lease granted now, in ms on the worker's clock; 0 if none may be. */
int64_t worker_lease_deadline(const struct wl_worker *w);

/* wl-worker-checkpoint.c */
/* Takes from the lists what would make the report of them too large. */
void worker_limit_checkpoints(struct wl_worker *w, int64_t now, struct pf_reply *r);

/* wl-worker-order.c: starts and stops until their outcome is known. */
/* Drops all orders: their outcome is not reported, and those that wait are not sent. */
void worker_drop_orders(struct wl_worker *w);
/* The ordinal up to which the outcome of every start is known. */
uint64_t worker_settled_ordinal(const struct wl_worker *w);
/*
 * Looks for the starts of unknown outcome in the worker's lists, which were requested at
 * requested_at. One that stays missing is voided, and reported as refused once lists requested
 * after that don't show it either.
 */
void worker_resolve_unknown_starts(
	struct wl_worker *w, const struct pf_reply *r, int64_t requested_at);
bool worker_has_unknown_starts(const struct wl_worker *w);

#endif
