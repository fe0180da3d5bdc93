#ifndef DP_PROTOCOL_H
#define DP_PROTOCOL_H

#include "base.h"

/*
 * Limits on a job's fields: lengths in bytes, and the number of accelerators. A key, a
 * decoded payload and the accelerators may reach their limit; a name must be shorter than
 * JOB_NAME_MAX, a payload that is sent as plain text shorter than JOB_PAYLOAD_MAX. JOB_ID_MAX
 * is only used doubled: the id in a request must be shorter than 2 * JOB_ID_MAX.
 */
#define JOB_ID_MAX	     64
#define JOB_NAME_MAX	     64
#define JOB_KEY_MAX	     128
#define JOB_PAYLOAD_MAX	     (1024 * 1024)
#define JOB_ACCELERATORS_MAX 64

/* Locality constraint on a job's accelerators. */
enum adjacency {
	ADJACENCY_ANY,
	ADJACENCY_RACK,
	ADJACENCY_WORKER
};
const char *adjacency_name(enum adjacency a);
bool adjacency_parse(const char *name, enum adjacency *a);

/* How a job ended; OUTCOME_NONE while it has not. */
enum outcome {
	OUTCOME_NONE,
	OUTCOME_DONE,
	OUTCOME_FAILED,
	OUTCOME_CANCELLED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN
};
const char *outcome_name(enum outcome o);
bool outcome_parse(const char *name, enum outcome *o);

/*
 * A job as its caller submitted it. key is the caller's idempotency key and fingerprint the
 * digest of the request body, which detects reuse of a key for another request. priority is
 * that of the job's class: 0 goes first in the queue, a higher number later. durable means
 * that the job is recorded in the store before it is accepted. run_time_ms is the caller's
 * estimate of the run time; it is no limit. deadline_ms is the time left when the message is
 * sent; submitted_wall_ms is wall-clock time.
 */
struct job_spec {
	char *id;
	char *org;
	char *class_name;
	uint32_t priority;
	bool urgent;
	char *kind;
	char *key;
	char *fingerprint;
	uint32_t accelerators;
	uint32_t adjacency;
	uint32_t cores;
	uint32_t memory_mb;
	bool idempotent;
	bool checkpoint;
	bool durable;
	int64_t run_time_ms;
	int64_t deadline_ms;
	int64_t submitted_wall_ms;
	char *payload_type;
	struct bytes payload;
};

/*
 * How a job ended, and the upstream's response (status, type, body) if there was one. outcome
 * is an enum outcome. error is an enum error_kind, which has no value for "no error": it is
 * only valid if the job ended with another outcome than OUTCOME_DONE. not_run means that no
 * attempt has run any part of the job. It is independent of outcome: a cancelled job may not
 * have run, and a job that ends with OUTCOME_NOT_RUN because of its deadline may have run in an
 * earlier attempt.
 */
struct job_result {
	uint32_t outcome;
	uint32_t error;
	bool not_run;
	uint32_t retry_after_s;
	char *detail;
	uint32_t status;
	char *type;
	struct bytes body;
};

enum peer_role {
	ROLE_ENTRY,
	ROLE_AGENT
};

/* First message from the side that opens a connection. */
struct msg_hello {
	uint32_t role;
	char *name;
	char *addr;
	char *zone;
	uint64_t incarnation;
	uint64_t term;
};

/*
 * Reply to a hello; term 0 means that the peer is not a coordinator. config_revision, here and
 * in the other messages, is the number of the last edit of the configuration (config_snapshot
 * in state.h), not a revision of the store. lease_ms and grace_ms are sent, but no receiver
 * reads them.
 */
struct msg_welcome {
	uint64_t term;
	char *cell;
	uint32_t heartbeat_ms;
	uint32_t lease_ms;
	uint64_t config_revision;
	uint32_t grace_ms;
};

/*
 * Capacity and status of an agent's upstream; sent when they change. The smaller of slots and
 * connections is the most members that can be live on the upstream at once; an upstream that
 * announces no connections gets as many as it has slots.
 */
struct msg_report {
	uint64_t term;
	char *worker;
	char *rack;
	char *zone;
	uint32_t accelerators;
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint32_t memory_mb;
	bool serving;
	bool draining;
};

enum member_state {
	MEMBER_RESERVED,
	MEMBER_RUNNING,
	MEMBER_STOPPING,
	MEMBER_ENDED
};

/*
 * One member of a job on an agent, with the job data that a new coordinator needs to take it
 * over. size is the number of members of the gang, roster the agents' addresses separated by
 * commas, in the order of the members. end is an enum member_end, valid in MEMBER_ENDED.
 */
struct member_record {
	struct job_spec spec;
	uint32_t attempt;
	uint32_t member;
	uint32_t size;
	uint32_t accelerators;
	uint32_t state;
	uint32_t end;
	int64_t running_ms;
	struct job_result result;
	char *roster;
};

/* All members that an agent holds, sent when it adopts a term. */
struct msg_inventory {
	uint64_t term;
	struct member_record *members;
	uint32_t members_len;
};

/*
 * Heartbeat of an agent. members is the number of live members; it and busy_accelerators are
 * the agent's own counts, while usage_percent is what the upstream last reported.
 */
struct msg_beat {
	uint64_t term;
	uint32_t members;
	uint32_t busy_accelerators;
	uint32_t usage_percent;
	uint64_t config_revision;
};
/* Reply to a heartbeat. grace_ms is not read; successors is neither set nor read. */
struct msg_beat_ack {
	uint64_t term;
	uint64_t config_revision;
	uint32_t grace_ms;
	char *successors;
};

/*
 * Reserves capacity for a member. start is set if the job has no other members; the member then
 * starts at once, without a msg_start.
 */
struct msg_reserve {
	uint64_t term;
	struct job_spec spec;
	uint32_t attempt;
	uint32_t member;
	uint32_t size;
	uint32_t accelerators;
	bool start;
	char *roster;
	struct bytes checkpoint;
};
struct msg_reserved {
	uint64_t term;
	char *job;
	uint32_t attempt;
	uint32_t member;
	bool ok;
	char *reason;
};
struct msg_start {
	uint64_t term;
	char *job;
	uint32_t attempt;
	char *roster;
};

/* Drop a reservation, stop after saving a checkpoint, or stop immediately. */
enum stop_mode {
	STOP_RELEASE,
	STOP_CHECKPOINT,
	STOP_NOW
};
struct msg_stop {
	uint64_t term;
	char *job;
	uint32_t attempt;
	uint32_t mode;
	uint32_t grace_ms;
};

/*
 * How one member of a job ended. MEMBER_END_UNKNOWN is reported by the agent: its call to the
 * upstream failed after the request may have been sent. MEMBER_END_LOST is set by the
 * coordinator: the agent is gone and the member may have started.
 */
enum member_end {
	MEMBER_END_DONE,
	MEMBER_END_FAILED,
	MEMBER_END_STOPPED,
	MEMBER_END_NEVER_STARTED,
	MEMBER_END_UNKNOWN,
	MEMBER_END_LOST
};
/* member is UINT32_MAX where the agent knows no member of the attempt. */
struct msg_ended {
	uint64_t term;
	char *job;
	uint32_t attempt;
	uint32_t member;
	uint32_t end;
	struct job_result result;
	struct bytes checkpoint;
};
struct msg_ended_ack {
	uint64_t term;
	char *job;
	uint32_t attempt;
};

/*
 * Heartbeat between the agents of a gang. The agents of the members other than 0 send it to the
 * agent of member 0 while their member runs or after it has completed: alive is always true,
 * and done tells that the member has completed. The agent of member 0 replies with the same
 * message, in which it only sets alive: whether member 0 is reserved, running or completed. If
 * it is not, the receiver of the reply stops its running member.
 */
struct msg_gang_beat {
	char *job;
	uint32_t attempt;
	uint32_t member;
	bool alive;
	bool done;
};

/*
 * Entry to coordinator. A job that was sent before is marked as such, since a coordinator of
 * this or an earlier term may have it already; last_term is the term it was last sent to. wait
 * means that the entry waits for the job's result, not only for its acceptance.
 */
struct msg_submit {
	struct job_spec spec;
	bool resubmitted;
	uint64_t last_term;
	bool wait;
};
/*
 * Coordinator to entry, in response to a submission or to a query for a result. request is the
 * id of that query, 0 in the response to a submission. accepted_only means that the job is
 * accepted but has not ended. returned means that the coordinator is about to stop and hands
 * the job back. No agent has received the job, so the next coordinator takes it as a new one.
 */
struct msg_answer {
	char *job;
	uint64_t term;
	uint64_t request;
	bool accepted_only;
	struct job_result result;
	bool returned;
};
struct msg_cancel {
	char *job;
	char *org;
	uint64_t request;
};
struct msg_query {
	uint64_t request;
	char *query_type;
	char *arg;
	char *org;
};
/* error is an enum error_kind, valid only if failed is set; json is then the detail text. */
struct msg_reply {
	uint64_t request;
	uint32_t error;
	bool failed;
	char *json;
};

/*
 * Load of a cell, for the entries. largest_worker and largest_rack are the most free
 * accelerators on one worker and in one rack; as in free_accelerators, draining and quarantined
 * workers don't count. oldest_queued_ms is the age of the oldest queued job.
 */
struct msg_summary {
	uint64_t term;
	char *cell;
	uint32_t workers;
	uint32_t free_accelerators;
	uint32_t largest_worker;
	uint32_t largest_rack;
	uint32_t queued;
	uint32_t running;
	uint32_t oldest_queued_ms;
	uint64_t config_revision;
};

enum msg_kind {
	MSG_HELLO = 1,
	MSG_WELCOME,
	MSG_REPORT,
	MSG_INVENTORY,
	MSG_BEAT,
	MSG_BEAT_ACK,
	MSG_RESERVE,
	MSG_RESERVED,
	MSG_START,
	MSG_STOP,
	MSG_ENDED,
	MSG_ENDED_ACK,
	MSG_GANG_BEAT,
	MSG_SUBMIT,
	MSG_ANSWER,
	MSG_CANCEL,
	MSG_QUERY,
	MSG_REPLY,
	MSG_SUMMARY,
	MSG_KIND_END
};

/* A message of any kind; kind selects the member of the union. */
struct msg {
	enum msg_kind kind;
	union {
		struct msg_hello hello;
		struct msg_welcome welcome;
		struct msg_report report;
		struct msg_inventory inventory;
		struct msg_beat beat;
		struct msg_beat_ack beat_ack;
		struct msg_reserve reserve;
		struct msg_reserved reserved;
		struct msg_start start;
		struct msg_stop stop;
		struct msg_ended ended;
		struct msg_ended_ack ended_ack;
		struct msg_gang_beat gang_beat;
		struct msg_submit submit;
		struct msg_answer answer;
		struct msg_cancel cancel;
		struct msg_query query;
		struct msg_reply reply;
		struct msg_summary summary;
	};
};

/* field.c: encoding, decoding, copying and freeing of structs described by field tables. */
enum field_kind {
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	FIELD_BOOL,
	FIELD_TEXT,
	FIELD_BYTES,
	FIELD_STRUCT,
	FIELD_LIST
};
struct field_table;
struct field {
	enum field_kind kind;
	size_t offset;
	size_t len_offset;
	const struct field_table *nested_table;
};
struct field_table {
	const char *name;
	size_t size;
	const struct field *fields;
	size_t count;
};
struct bytes fields_encode(const struct field_table *t, const void *s);
bool fields_decode(
	const struct field_table *t, void *s, const void *data, size_t len, GError **err);
void fields_clear(const struct field_table *t, void *s);
void fields_copy(const struct field_table *t, void *to, const void *from);

/* message.c */
extern const struct field_table job_spec_fields;
extern const struct field_table job_result_fields;
extern const struct field_table member_record_fields;
const char *msg_name(enum msg_kind kind);
struct bytes msg_encode(const struct msg *m);
bool msg_decode(struct msg *m, const void *data, size_t len, GError **err);
void msg_clear(struct msg *m);

#endif
