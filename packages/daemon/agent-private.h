#ifndef DP_AGENT_PRIVATE_H
#define DP_AGENT_PRIVATE_H

#include "daemon.h"

#define AGENT_TICK_PERIOD_NS (500 * NSEC_PER_MSEC)

/* State of the connection to the coordinator. */
enum link_state {
	LINK_DISCONNECTED,
	LINK_LOOKUP,
	LINK_CONNECTING,
	LINK_HELLO_SENT,
	LINK_READY
};

/* The connection to the coordinator. Times are in nanoseconds on the loop's clock. */
struct link {
	enum link_state state;
	peer_id peer;
	char *addr;
	uint64_t term;
	int64_t next_retry_at;
	int64_t last_received_at;
	uint32_t failures;
	/* Edit number of the coordinator's configuration; not a revision of the store. */
	uint64_t config_revision;
};

/*
 * The coordinator that this process hosts, if any, and its pending store calls. "Host" never
 * means a machine here. Times are in nanoseconds on the loop's clock.
 */
struct host {
	struct coord *coord;
	struct cell_term term;
	struct config_snapshot config;
	int64_t lease_renewed_at;
	int64_t last_tick_at;
	int64_t config_checked_at;
	bool renewing;
	bool writing;
	bool saving_roster; /* names and incarnations of the agents, see coord_roster */
	bool loading_config;
	bool store_up;
	int64_t write_retry_at; /* neither records nor the roster are written before */
};

struct agent {
	struct process *p;
	struct peer_net *net;
	struct http_server *http;
	struct http_client *client;
	struct agent_core *core;
	struct loop_timer *tick_timer;
	struct loop_timer *coord_timer;
	char *cell;
	char *name;
	char *addr;
	uint64_t incarnation;
	int64_t lease_ns;
	bool stopping;
	int64_t handover_not_before; /* in nanoseconds on the loop's clock */
	/* Read by the HTTP thread, so only accessed atomically. */
	bool ready;
	struct link link;
	struct host host;
	/*
	 * Connections dialled to send heartbeats of gangs. An agent that runs a gang's member
	 * other than member 0 dials the agent that runs member 0. Address to peer_id.
	 */
	GHashTable *gang_peers;
	/* Peers of the hosted coordinator: a set of peer_id. */
	GHashTable *coord_peers;
};

/* agent-link.c: the connection to the coordinator. */
void link_tick(struct agent *a, int64_t now);
bool link_owns_peer(const struct agent *a, peer_id peer);
void link_peer_opened(struct agent *a);
void link_handle_message(struct agent *a, int64_t now, const struct msg *m);
void link_peer_closed(struct agent *a, int64_t now);
bool link_send(struct agent *a, const struct msg *m);
void link_clear(struct agent *a);

/* agent-host.c: hosts the coordinator in this process. */
void host_start(struct agent *a, int64_t now, struct cell_term *term, GPtrArray *records);
void host_tick(void *arg);
void host_step_down(struct agent *a, const char *why);
void host_release(struct agent *a);
void host_clear(struct agent *a);

/* agent-upstream.c: HTTP to and from the upstream. */
void upstream_start_task(void *arg, const struct agent_member *m);
void upstream_stop_task(void *arg, const struct agent_member *m, enum stop_mode mode);
void upstream_handle_request(struct http_request *r, void *arg);

/* agent.c */
struct coord *agent_create_coord(struct agent *a);
bool agent_send_peer(struct agent *a, peer_id peer, const struct msg *m);

#endif
