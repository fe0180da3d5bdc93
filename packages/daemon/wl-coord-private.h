#ifndef DP_WL_COORD_PRIVATE_H
#define DP_WL_COORD_PRIVATE_H

#include "wl-daemon.h"

/* What wl-coord.c and wl-coord-inbox.c share. */

/* An agent that has introduced itself. */
struct member {
	char *node;
	struct peer_net *net;
	peer_id peer;
	int64_t heard;
	struct wl_msg held; /* a report that waits until the node's record is stored */
	bool has_held;
};

struct wl_coord {
	struct wl_process *p;
	struct wl_coord_events ev;
	struct wl *wl;
	struct record_writer *records;
	struct config_feed *feed;
	uint64_t term;
	int64_t term_revision;
	int64_t lease;
	int64_t confirmed;
	bool keeping;
	bool loaded;
	bool stopping;
	bool lost;
	bool freed;
	unsigned int calls;
	int64_t watch_at;
	bool listing;
	GHashTable *states;  /* stored progress by job id, until its job is read */
	GHashTable *cancels; /* ids of jobs to be cancelled once they are read */
	GPtrArray *members;
	struct loop_timer *keep_timer;
	struct loop_timer *sweep_timer;
	struct loop_timer *pass_timer;
	int64_t pass_ended;
	int64_t pass_took;
	struct loop_timer *watch_timer;
	unsigned int jobs;
};

/* wl-coord.c */
/* A call of ours has ended; false where the coordinator is only waiting to be freed. */
bool coord_call_ended(struct wl_coord *c);
/* Stop coordinating; the owner frees us. */
void coord_lose(struct wl_coord *c, const char *why);
/* Decide soon, if something came that may let work start. */
void coord_pass_soon(struct wl_coord *c);
/* Take the reports of agents that came before the jobs were read. */
void coord_take_held(struct wl_coord *c);

/* wl-coord-inbox.c: read what the store has, then follow what entries write. */
void inbox_load(struct wl_coord *c);

#endif
