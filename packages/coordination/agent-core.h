#ifndef DP_AGENT_CORE_H
#define DP_AGENT_CORE_H

#include "protocol.h"

/*
 * The authority for what runs on one worker. It reads no clock and does no input or output:
 * messages, upstream results and the time come in, and calls go out through the ports.
 */

#define AGENT_RESERVE_LEASE (10 * NSEC_PER_SEC)
#define AGENT_GANG_BEAT	    NSEC_PER_SEC
#define AGENT_GANG_LEASE    (5 * NSEC_PER_SEC)
#define AGENT_ENDED_KEPT    (60 * NSEC_PER_SEC)

struct agent_upstream {
	bool known;
	bool leaving;
	int64_t expires;
	char *addr;
	char *worker;
	char *rack;
	char *zone;
	uint32_t accelerators;
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint32_t memory_mb;
	uint32_t usage_percent;
};

struct agent_member {
	struct member_record record;
	int64_t reserved_until;
	int64_t started_at;
	int64_t ended_at;
	int64_t stop_by;
	bool acked;
	bool stop_sent;
	bool never_started;
	int64_t gang_heard;
	int64_t *gang_seen;
	struct bytes checkpoint;
};

struct agent_ports {
	/* To the coordinator; dropped while there is none. */
	void (*send)(void *arg, const struct msg *m);
	/* To the agent of another member of a gang. */
	void (*send_gang)(void *arg, const char *addr, const struct msg *m);
	/* Begin, or ask to end, the upstream's task of a member. */
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
void agent_core_announce(struct agent_core *a, int64_t now, const struct agent_upstream *u);
void agent_core_leave(struct agent_core *a, int64_t now);
void agent_core_drain(struct agent_core *a);
void agent_core_report(struct agent_core *a, int64_t now);
void agent_core_message(struct agent_core *a, int64_t now, const struct msg *m);
void agent_core_gang_beat(
	struct agent_core *a, int64_t now, const struct msg_gang_beat *m, const char *reply_to);
void agent_core_gang_answer(struct agent_core *a, int64_t now, const struct msg_gang_beat *m);
void agent_core_task_ended(struct agent_core *a, int64_t now, const char *job, uint32_t attempt,
	enum member_end end, const struct job_result *result);
void agent_core_checkpointed(struct agent_core *a, int64_t now, const char *job,
	uint32_t attempt, const struct bytes *state);
void agent_core_tick(struct agent_core *a, int64_t now);
size_t agent_core_live(const struct agent_core *a);
size_t agent_core_unacked(const struct agent_core *a);
uint32_t agent_core_busy(const struct agent_core *a);
bool agent_core_serving(const struct agent_core *a, int64_t now);

#endif
