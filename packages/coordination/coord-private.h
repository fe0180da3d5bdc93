#ifndef DP_COORD_PRIVATE_H
#define DP_COORD_PRIVATE_H

#include "coord.h"

#define COORD_BEAT_MS	      1000
#define COORD_LEASE_MS	      5000
#define COORD_DEAD_AFTER      (10 * NSEC_PER_SEC)
#define COORD_SUSPECT	      (3 * NSEC_PER_SEC)
#define COORD_SETTLE	      (5 * NSEC_PER_SEC / 2)
#define COORD_UNDECIDED	      (10 * NSEC_PER_SEC)
#define COORD_RESERVE_TIME    (5 * NSEC_PER_SEC)
#define COORD_JOBS_KEPT	      20000
#define COORD_ENDED_KEPT      (900 * NSEC_PER_SEC)
#define COORD_DURABLE_KEPT    (3600 * NSEC_PER_SEC)
#define COORD_BODIES_MAX      (24u * 1024 * 1024)
#define COORD_AUDIT_KEPT      500
#define COORD_GONE_KEPT_MS    (15 * 60 * 1000)
#define COORD_CLOCK_MARGIN_MS 500
#define COORD_TERM_SHIFT      8

struct coord_agent {
	char *name;
	char *addr;
	uint64_t incarnation;
	peer_id peer;
	uint32_t worker;
	bool has_worker;
	bool reported;
	bool inventory;
	bool serving;
	bool dead;
	bool suspected;
	int64_t last_seen;
	uint32_t busy;
	uint32_t usage_percent;
	uint64_t config_revision;
	struct msg_report report;
};

struct coord_member {
	struct coord_agent *agent;
	uint64_t incarnation;
	bool sent;
	bool reserved;
	bool told;
	bool ended;
};

struct coord_job {
	struct job_spec spec;
	job_ref ref;
	bool in_core;
	bool accepting;
	bool undecided;
	bool dispatched;
	bool started;
	bool ended;
	uint32_t attempt;
	uint32_t size;
	struct coord_member members[SCHED_MEMBERS_MAX];
	int64_t reserve_by;
	bool write_before_start;
	GArray *waiters;
	GArray *acks;
	struct job_result result;
	struct bytes checkpoint;
	char *explained;
	int64_t ended_at;
	int64_t ended_wall;
	int64_t submitted_at;
	uint32_t record_attempt;
	char *placed;
	bool dirty;
	bool in_batch;
	bool remove;
	uint64_t version;
	uint64_t written;
	TAILQ_ENTRY(coord_job) ended_entry;
};

/* An agent that waits for the acknowledgement of an end. */
struct coord_ack {
	peer_id peer;
	uint32_t attempt;
};

/* An incarnation of an agent that is no more; wall time in milliseconds. */
struct coord_gone {
	char *name;
	uint64_t incarnation;
	int64_t wall_ms;
};

/* A member that an agent reported while the coordinator settles. */
struct coord_found {
	struct coord_agent *agent;
	struct member_record record;
};

struct coord {
	char *cell;
	struct coord_ports ports;
	struct sched *sched;
	uint64_t term;
	int64_t began;
	int64_t wall;
	int64_t now_at_wall;
	bool settled;
	bool leaving;
	bool store_up;
	uint64_t config_number;
	int64_t grace;
	GHashTable *agents;
	GHashTable *jobs;
	GHashTable *entries;
	GHashTable *old_roster;
	GHashTable *saved_roster;
	GPtrArray *found;
	GPtrArray *gone;
	char *last_saved;
	TAILQ_HEAD(, coord_job) ended;
	uint32_t ended_len;
	uint64_t bodies;
	int64_t last_summary;
	int64_t last_config;
	GQueue audit;
};

/* coord.c */
void coord_note_replaced(struct coord *c, int64_t now, const char *name, uint64_t incarnation);
void coord_note_gone(struct coord *c, int64_t now, const struct coord_agent *a);
int64_t coord_wall(const struct coord *c, int64_t now);
void coord_audit(struct coord *c, int64_t now, const char *what, const char *who,
	const char *job, const char *detail);
uint32_t coord_attempt_floor(const struct coord *c);
bool coord_send(struct coord *c, peer_id peer, const struct msg *m);

/* coord-agent.c */
void agent_record_free(void *p);
struct coord_agent *agent_by_peer(struct coord *c, peer_id peer);
struct coord_agent *agent_by_worker(struct coord *c, uint32_t worker);
void agent_hello(struct coord *c, int64_t now, peer_id peer, const struct msg_hello *h);
void agent_message(struct coord *c, int64_t now, struct coord_agent *a, const struct msg *m);
void agent_lost(struct coord *c, int64_t now, struct coord_agent *a);
void agent_sweep(struct coord *c, int64_t now);
bool agent_same(struct coord *c, const char *name, uint64_t incarnation);

/* coord-job.c */
void job_record_drop(void *p);
struct coord_job *job_find(struct coord *c, const char *id);
struct coord_job *job_add(struct coord *c, int64_t now, const struct job_spec *spec);
void job_submit_core(struct coord *c, int64_t now, struct coord_job *j);
void job_submit(struct coord *c, int64_t now, peer_id peer, const struct msg_submit *m);
void job_cancel(struct coord *c, int64_t now, peer_id peer, const struct msg_cancel *m);
bool job_is_told(const struct coord_job *j);
void job_answer(struct coord *c, struct coord_job *j, peer_id peer);
void job_mark_dirty(struct coord_job *j);
void job_end(struct coord *c, int64_t now, struct coord_job *j, const struct job_result *r);
void job_expire(struct coord *c, int64_t now);

/* coord-run.c */
void run_actions(struct coord *c, int64_t now);
void run_dispatch(struct coord *c, int64_t now, struct coord_job *j);
void run_reserved(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_reserved *m);
void run_take_end(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_ended *m);
void run_ended(struct coord *c, int64_t now, struct coord_agent *a, const struct msg_ended *m);
void run_member_gone(struct coord *c, int64_t now, struct coord_agent *a, bool may_report);
void run_sweep(struct coord *c, int64_t now);
void run_send_stop(
	struct coord *c, peer_id peer, const char *job, uint32_t attempt, enum stop_mode mode);

/* coord-settle.c */
void found_free(void *p);
void settle_forget(struct coord *c, const struct coord_agent *a);
bool settle_ended(struct coord *c, const struct coord_agent *a, const struct msg_ended *m);
void settle_found(struct coord *c, struct coord_agent *a, const struct msg_inventory *inv);
void settle_sweep(struct coord *c, int64_t now);
void settle_load(struct coord *c, int64_t now, GPtrArray *records);
bool settle_all_accounted(struct coord *c, const struct job_spec *spec);

/* coord-query.c */
void query_answer(struct coord *c, int64_t now, peer_id peer, const struct msg_query *q);

#endif
