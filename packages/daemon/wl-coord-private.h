#ifndef DP_WL_COORD_PRIVATE_H
#define DP_WL_COORD_PRIVATE_H

#include "wl-daemon.h"

/* Coordinator state and functions shared by wl-coord.c and wl-coord-inbox.c. */

/* An agent that has sent a hello; peer is PEER_NONE while it is disconnected. */
struct agent_conn {
	char *node;
	struct peer_net *net;
	peer_id peer;
	int64_t last_heard;
	uint64_t last_echo; /* sent_ns of its last report or ping; 0 before the first */
	struct wl_msg pending_report; /* a report deferred until the node's record is stored */
	bool has_pending_report;
};

/* Kinds of the coordinator's work. */
enum coord_work {
	COORD_WORK_PASS,
	COORD_WORK_REPORT,
	COORD_WORK_ANSWER,
	COORD_WORK_STORED, /* the reply to a write of records */
	COORD_WORK_INBOX,
	COORD_WORK_COUNT
};

/* Time spent on each kind of work since the last log line, in nanoseconds. */
struct coord_load {
	int64_t logged_at;
	int64_t busy[COORD_WORK_COUNT];
	int64_t longest[COORD_WORK_COUNT];
	unsigned int times[COORD_WORK_COUNT];
};

struct wl_coord {
	struct wl_process *p;
	struct wl_coord_events ev;
	struct wl *scheduler; /* the scheduler core, workload.h */
	struct record_writer *records;
	struct config_feed *feed;
	struct evacuation_feed *evacuations; /* NULL if zones aren't evacuated */
	struct coord_load load;
	uint64_t term;
	int64_t term_revision;
	int64_t store_lease; /* id of the store lease of the coordinator's key */
	/*
	 * When the store last confirmed the term. After a renewal this is when its request was
	 * sent; until the first one, when the coordinator was created.
	 */
	int64_t term_confirmed_at;
	bool renewing_lease;
	bool loaded;
	bool stopping;
	bool term_lost;
	bool freed;
	unsigned int calls_in_flight;
	int64_t watch_revision;
	bool listing;
	GHashTable *stored_progress; /* encoded progress by job id, for jobs not read yet */
	/* Arrays of the cancellations of jobs that are not read yet, by the job's id. */
	GHashTable *pending_cancels;
	GPtrArray *agents;
	GHashTable *agents_by_node;
	GHashTable *agents_by_peer;
	struct loop_timer *renew_timer;
	struct loop_timer *sweep_timer;
	struct loop_timer *pass_timer;
	int64_t pass_ended;
	int64_t pass_pause;
	/*
	 * Repeats, after a failed store call, the load, the watch of the inbox, or a later
	 * listing of the inbox that became necessary because the watched history was gone.
	 */
	struct loop_timer *inbox_timer;
	unsigned int jobs_read;
	/* Keys of the inbox to read when note_timer expires. */
	GPtrArray *noted_keys;
	struct loop_timer *note_timer;
};

/* wl-coord.c */
/*
 * To be called at the end of each store call: decrements calls_in_flight. Returns false if
 * wl_coord_free was called before; the memory is freed here then if this was the last call.
 */
bool coord_call_ended(struct wl_coord *c);
/* Reports the loss of the term to the agent, which then frees the coordinator. */
void coord_lose_term(struct wl_coord *c, const char *why);
/* Schedules a pass if an event since the last one may allow tasks to start. */
void coord_request_pass(struct wl_coord *c);
/* Processes the reports that agents sent before loading was complete. */
void coord_apply_pending_reports(struct wl_coord *c);

/* wl-coord-load.c */
/* Adds a piece of work that took duration nanoseconds. */
void coord_load_add(struct coord_load *l, enum coord_work work, int64_t duration);
/* Logs what was added since the last line, if that is some seconds ago. */
void coord_load_log(struct coord_load *l, int64_t now, const struct wl *scheduler);

/* wl-coord-inbox.c: loads the state from the store, then watches the inbox keys. */
void inbox_start(struct wl_coord *c);
/* Reads a key of the inbox that the watch may have told of too early. */
void inbox_read_key(struct wl_coord *c, const char *key);

#endif
