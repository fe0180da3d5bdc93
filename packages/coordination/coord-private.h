#ifndef DP_COORD_PRIVATE_H
#define DP_COORD_PRIVATE_H

#include "coord.h"

/*
 * Internals of the coordinator.
 *
 * Settling is the recovery after a takeover. To settle a job is to decide what becomes of a job
 * of an earlier term: it is adopted, submitted to the scheduler again, discarded, stopped, or
 * ended as unknown. While coord.settled is false, the coordinator collects the inventories of
 * the agents and places no jobs. Jobs that turn up or are decided later are settled after that
 * phase, at each tick.
 *
 * A listed member is one that an agent's inventory contains. A job record is what the store
 * holds of a durable job, and a member_record is an item of an inventory.
 *
 * Times are in nanoseconds, except those whose names end in _ms. Members named wall or *_wall
 * count from 1970; all other points in time are monotonic.
 */

#define COORD_BEAT_MS			 1000
#define COORD_LEASE_MS			 5000
#define COORD_DEAD_TIMEOUT_NS		 (10 * NSEC_PER_SEC)
#define COORD_SUSPECT_TIMEOUT_NS	 (3 * NSEC_PER_SEC)
#define COORD_SETTLE_TIMEOUT_NS		 (5 * NSEC_PER_SEC / 2)
#define COORD_UNKNOWN_OUTCOME_TIMEOUT_NS (10 * NSEC_PER_SEC)
#define COORD_RESERVE_TIMEOUT_NS	 (5 * NSEC_PER_SEC)
#define COORD_ENDED_JOBS_MAX		 20000
#define COORD_ENDED_JOB_TTL_NS		 (900 * NSEC_PER_SEC)
#define COORD_DURABLE_JOB_TTL_NS	 (3600 * NSEC_PER_SEC)
#define COORD_ENDED_BYTES_MAX		 (24u * 1024 * 1024)
#define COORD_AUDIT_LINES_MAX		 500
#define COORD_DEAD_INCARNATION_TTL_MS	 (15 * 60 * 1000)
/* Tolerated difference between the wall clocks of two machines. */
#define COORD_CLOCK_SKEW_MAX_MS 500
/* A job that is retried in a new term gets attempt numbers above term << shift. */
#define COORD_ATTEMPT_TERM_SHIFT 8

/* An agent, its connection and the worker that it manages. */
struct coord_agent {
	char *name;
	char *addr;
	uint64_t incarnation;
	peer_id peer;
	uint32_t worker; /* handle in the scheduler, valid if has_worker */
	bool has_worker;
	bool report_accepted; /* report is valid: no other connected agent has the worker */
	bool inventory;	      /* has sent its inventory on this connection */
	bool serving;
	bool dead;
	bool suspected;
	int64_t last_seen;
	uint32_t busy;		  /* accelerators in use, from the last heartbeat; never read */
	uint32_t usage_percent;	  /* as announced by the upstream; only shown in queries */
	uint64_t config_revision; /* config_number that the agent has confirmed last */
	struct msg_report report;
};

/* A member of a job's current attempt: what its agent was told about it and has answered. */
struct coord_member {
	struct coord_agent *agent;
	uint64_t incarnation;
	bool sent;	 /* the reservation was sent */
	bool reserved;	 /* the agent confirmed the reservation */
	bool start_sent; /* may have been told to start */
	bool ended;
};

/* A job from its submission until it is dropped from memory. */
struct coord_job {
	struct job_spec spec;
	job_ref ref;
	bool in_sched;	       /* known to the scheduler */
	bool accepting;	       /* not accepted until its record is written */
	bool may_have_started; /* an earlier term may have started it */
	bool dispatched;       /* the reservations of the attempt were sent */
	bool started;	       /* the attempt runs, or has run */
	bool ended;
	uint32_t attempt; /* the current or latest attempt */
	uint32_t size;	  /* number of members of the attempt; 0 after it was aborted */
	/*
	 * The members of the attempt. The index is the member number if this coordinator placed
	 * the attempt; in an adopted job it is the order in which the members were listed.
	 */
	struct coord_member members[SCHED_MEMBERS_MAX];
	int64_t reserve_deadline;
	bool write_before_start; /* dispatched only once its record is written */
	GArray *waiters;	 /* peer_id of entries that wait for the result */
	GArray *acks;		 /* struct coord_ack, sent once the result is stored */
	struct job_result result;
	struct bytes checkpoint;
	char *explanation;
	int64_t ended_at;
	int64_t ended_wall;
	int64_t submitted_at;
	/*
	 * Highest attempt number that this or an earlier term may have used, also kept in the
	 * job record; 0 if the job is known never to have been placed.
	 */
	uint32_t last_attempt;
	char *placed;		  /* agents of the attempt: "NAME/INCARNATION,..." */
	bool dirty;		  /* the stored record is out of date */
	bool in_batch;		  /* in a batch that is being written */
	bool remove;		  /* the record is to be deleted */
	uint64_t version;	  /* counts the changes of the record */
	uint64_t written_version; /* the version stored last; never read */
	TAILQ_ENTRY(coord_job) ended_entry;
};

/*
 * An agent that waits for the acknowledgement of a MSG_ENDED of a durable job. It is sent once
 * the job has ended and its record with the result is written.
 */
struct coord_ack {
	peer_id peer;
	uint32_t attempt;
};

/* An incarnation of an agent that has died or restarted, and when. */
struct dead_incarnation {
	char *name;
	uint64_t incarnation;
	int64_t wall_ms;
};

/* A listed member whose job has not been settled yet. */
struct listed_member {
	struct coord_agent *agent;
	struct member_record record;
};

struct coord {
	char *cell;
	struct coord_ports ports;
	struct sched *sched;
	uint64_t term;
	int64_t term_started_at;
	int64_t wall;	     /* wall time at latest_tick */
	int64_t latest_tick; /* of the last coord_tick, or the start of the term */
	bool settled;	     /* jobs are placed, see above */
	bool handing_over;   /* a planned stop has begun */
	bool store_up;
	uint64_t config_number;	     /* of the current configuration, sent as config_revision */
	int64_t grace;		     /* time a job gets to stop, nanoseconds */
	GHashTable *agents;	     /* name -> struct coord_agent */
	GHashTable *jobs;	     /* id -> struct coord_job */
	GHashTable *entries;	     /* connected entries, see coord.h: set of peer_id */
	GHashTable *previous_roster; /* name -> incarnation, from the previous term */
	GHashTable *saved_roster;    /* name -> incarnation, as stored last */
	GPtrArray *listed_members;   /* struct listed_member */
	GPtrArray *dead_incarnations;
	char *saved_roster_text;
	TAILQ_HEAD(, coord_job) ended; /* oldest first */
	uint32_t ended_len;
	uint64_t ended_bytes; /* size of the results in ended */
	int64_t last_summary;
	int64_t last_config; /* unused */
	GQueue audit;	     /* JSON lines, oldest first */
};

/* coord.c */
void coord_check_agent_restart(
	struct coord *c, int64_t now, const char *name, uint64_t incarnation);
void coord_add_dead_agent(struct coord *c, int64_t now, const struct coord_agent *a);
int64_t coord_wall(const struct coord *c, int64_t now);
void coord_audit(struct coord *c, int64_t now, const char *event, const char *actor,
	const char *subject, const char *detail);
uint32_t coord_attempt_floor(const struct coord *c);
bool coord_send(struct coord *c, peer_id peer, const struct msg *m);

/* coord-agent.c */
void coord_agent_free(void *p);
struct coord_agent *agent_by_peer(struct coord *c, peer_id peer);
struct coord_agent *agent_by_worker(struct coord *c, uint32_t worker);
void agent_hello(struct coord *c, int64_t now, peer_id peer, const struct msg_hello *h);
void agent_message(struct coord *c, int64_t now, struct coord_agent *a, const struct msg *m);
void agent_lost(struct coord *c, int64_t now, struct coord_agent *a);
void agent_check_timeouts(struct coord *c, int64_t now);
bool agent_is_same_incarnation(struct coord *c, const char *name, uint64_t incarnation);

/* coord-job.c */
void coord_job_free(void *p);
struct coord_job *job_find(struct coord *c, const char *id);
struct coord_job *job_add(struct coord *c, int64_t now, const struct job_spec *spec);
void job_submit_to_sched(struct coord *c, int64_t now, struct coord_job *j);
void job_submit(struct coord *c, int64_t now, peer_id peer, const struct msg_submit *m);
void job_cancel(struct coord *c, int64_t now, peer_id peer, const struct msg_cancel *m);
bool job_result_sendable(const struct coord_job *j);
void job_answer(struct coord *c, struct coord_job *j, peer_id peer);
void job_mark_dirty(struct coord_job *j);
void job_end(struct coord *c, int64_t now, struct coord_job *j, const struct job_result *r);
void job_expire(struct coord *c, int64_t now);

/* coord-run.c */
void run_actions(struct coord *c, int64_t now);
void run_dispatch(struct coord *c, int64_t now, struct coord_job *j);
void run_reserved(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_reserved *m);
void run_end_member(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_ended *m);
void run_handle_ended(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_ended *m);
void run_end_missing_members(
	struct coord *c, int64_t now, struct coord_agent *a, bool inventory_handled);
void run_check_timeouts(struct coord *c, int64_t now);
void run_send_stop(
	struct coord *c, peer_id peer, const char *job, uint32_t attempt, enum stop_mode mode);

/* coord-settle.c */
void listed_member_free(void *p);
void settle_drop_inventory(struct coord *c, const struct coord_agent *a);
bool settle_update_listed_end(
	struct coord *c, const struct coord_agent *a, const struct msg_ended *m);
void settle_handle_inventory(
	struct coord *c, struct coord_agent *a, const struct msg_inventory *inv);
void settle_advance(struct coord *c, int64_t now);
void settle_load_records(struct coord *c, int64_t now, GPtrArray *records);
bool settle_all_agents_present(struct coord *c, const struct job_spec *spec);

/* coord-query.c */
void query_answer(struct coord *c, int64_t now, peer_id peer, const struct msg_query *q);

#endif
