#ifndef DP_AGENT_CORE_H
#define DP_AGENT_CORE_H

#include "protocol.h"

/*
 * The agent's state machine, which decides what runs on one worker. It reads no clock and does
 * no I/O: messages, upstream results and the time are passed in, and calls go out through
 * agent_ports. Times are monotonic nanoseconds.
 */

/* A reservation that is not started within this time ends. */
#define AGENT_RESERVE_LEASE_NS (10 * NSEC_PER_SEC)
/* Unused: heartbeats of gang members are sent at each agent_core_tick. */
#define AGENT_GANG_BEAT_NS NSEC_PER_SEC
/* A gang member that hears no heartbeat for this long stops. */
#define AGENT_GANG_LEASE_NS (5 * NSEC_PER_SEC)
/* How long a member is kept after its end was acknowledged. */
#define AGENT_ENDED_TTL_NS (60 * NSEC_PER_SEC)

/* The upstream as it announced itself last. */
struct agent_upstream {
	bool known;	 /* has announced itself at least once */
	bool leaving;	 /* takes no new work */
	int64_t expires; /* when the announcement lapses */
	char *addr;
	char *worker;
	char *rack;
	char *zone;
	uint32_t accelerators;
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint32_t memory_mb;
	uint32_t usage_percent; /* only passed on to the coordinator */
};

/* A member of a job that is reserved, running, stopping or ended on this worker. */
struct agent_member {
	struct member_record record;
	int64_t reserved_until;
	int64_t started_at;
	int64_t ended_at;
	int64_t stop_deadline;	 /* when the task is stopped again, with STOP_NOW */
	bool acked;		 /* the coordinator has acknowledged the end */
	bool stop_sent;		 /* the task was asked to stop, not just to checkpoint */
	bool never_started;	 /* stopped while reserved (not if that expired); never read */
	int64_t gang_last_heard; /* last reply of member 0 */
	int64_t *gang_last_seen; /* member 0 only: last heartbeat of each, INT64_MAX if done */
	struct bytes checkpoint;
};

/* Callbacks to the transport and the upstream. */
struct agent_ports {
	/* Sends to the coordinator; drops the message if there is none. */
	void (*send)(void *arg, const struct msg *m);
	/* Sends to the agent of another member of a gang. */
	void (*send_gang)(void *arg, const char *addr, const struct msg *m);
	/* Start a member's task on the upstream, or ask the upstream to stop it. */
	void (*start_task)(void *arg, const struct agent_member *m);
	void (*stop_task)(void *arg, const struct agent_member *m, enum stop_mode mode);
	void *arg;
};

struct agent_core;
struct agent_core *agent_core_new(const struct agent_ports *ports);
void agent_core_free(struct agent_core *a);
uint64_t agent_core_term(const struct agent_core *a);
const struct agent_upstream *agent_core_upstream(const struct agent_core *a);
bool agent_core_adopt_term(struct agent_core *a, int64_t now, uint64_t term);
void agent_core_lost_coordinator(struct agent_core *a);
void agent_core_upstream_announced(
	struct agent_core *a, int64_t now, const struct agent_upstream *u);
void agent_core_upstream_leaving(struct agent_core *a, int64_t now);
void agent_core_drain(struct agent_core *a);
void agent_core_report(struct agent_core *a, int64_t now);
void agent_core_message(struct agent_core *a, int64_t now, const struct msg *m);
/* Handles the heartbeat of another member, and answers it to the address reply_to. */
void agent_core_gang_beat(
	struct agent_core *a, int64_t now, const struct msg_gang_beat *m, const char *reply_to);
/* Handles the answer of member 0 to a heartbeat that a member here has sent. */
void agent_core_gang_beat_reply(
	struct agent_core *a, int64_t now, const struct msg_gang_beat *m);
void agent_core_task_ended(struct agent_core *a, int64_t now, const char *job, uint32_t attempt,
	enum member_end end, const struct job_result *result);
void agent_core_checkpointed(struct agent_core *a, int64_t now, const char *job,
	uint32_t attempt, const struct bytes *state);
void agent_core_tick(struct agent_core *a, int64_t now);
size_t agent_core_live_members(const struct agent_core *a);
size_t agent_core_unacked_ends(const struct agent_core *a);
uint32_t agent_core_busy_accelerators(const struct agent_core *a);
bool agent_core_serving(const struct agent_core *a, int64_t now);

#endif
