#ifndef DP_AGENT_PRIVATE_H
#define DP_AGENT_PRIVATE_H

#include "daemon.h"

#define AGENT_TICK (500 * NSEC_PER_MSEC)

/* Where the agent is with its coordinator. */
enum link_state {
	LINK_NONE,
	LINK_ASKING,
	LINK_DIALLING,
	LINK_GREETED,
	LINK_READY
};

struct link {
	enum link_state state;
	peer_id peer;
	char *addr;
	uint64_t term;
	int64_t next_try;
	int64_t heard;
	uint32_t failures;
	uint64_t config_revision;
};

/* The coordinator that this process hosts, with its work on the store. */
struct host {
	struct coord *coord;
	struct cell_term term;
	struct config_snapshot config;
	int64_t renewed;
	int64_t last_tick;
	int64_t config_checked;
	bool renewing;
	bool writing;
	bool saving_roster;
	bool loading;
	bool store_up;
	int64_t write_after;
};

struct agent {
	struct process *p;
	struct peer_net *net;
	struct http_server *http;
	struct http_client *client;
	struct agent_core *core;
	struct loop_timer *tick;
	struct loop_timer *coord_tick;
	char *cell;
	char *name;
	char *addr;
	uint64_t incarnation;
	int64_t lease;
	bool stopping;
	int64_t hand_over_at;
	bool ready;
	struct link link;
	struct host host;
	GHashTable *gang_peers;
	GHashTable *inbound;
};

/* agent-link.c: the way to the coordinator. */
void link_tick(struct agent *a, int64_t now);
bool link_is_peer(const struct agent *a, peer_id peer);
void link_opened(struct agent *a);
void link_message(struct agent *a, int64_t now, const struct msg *m);
void link_closed(struct agent *a, int64_t now);
bool link_send(struct agent *a, const struct msg *m);
void link_clear(struct agent *a);

/* agent-host.c: this process as coordinator. */
void host_start(struct agent *a, int64_t now, struct cell_term *term, GPtrArray *records);
void host_tick(void *arg);
void host_step_down(struct agent *a, const char *why);
void host_release(struct agent *a);
void host_clear(struct agent *a);

/* agent-upstream.c */
void upstream_start_task(void *arg, const struct agent_member *m);
void upstream_stop_task(void *arg, const struct agent_member *m, enum stop_mode mode);
void upstream_request(struct http_request *r, void *arg);

/* agent.c */
struct coord *agent_make_coord(struct agent *a);
bool agent_send_peer(struct agent *a, peer_id peer, const struct msg *m);

#endif
