#include "field-macros.h"
#include "protocol.h"

#include <stdlib.h>
#include <string.h>

static const struct field job_spec_list[] = {
	TEXT(job_spec, id),
	TEXT(job_spec, org),
	TEXT(job_spec, class_name),
	U32(job_spec, priority),
	BOOL(job_spec, urgent),
	TEXT(job_spec, kind),
	TEXT(job_spec, key),
	TEXT(job_spec, fingerprint),
	U32(job_spec, accelerators),
	U32(job_spec, adjacency),
	U32(job_spec, cores),
	U32(job_spec, memory_mb),
	BOOL(job_spec, idempotent),
	BOOL(job_spec, checkpoint),
	BOOL(job_spec, durable),
	I64(job_spec, run_time_ms),
	I64(job_spec, deadline_ms),
	I64(job_spec, submitted_wall_ms),
	TEXT(job_spec, payload_type),
	BYTES(job_spec, payload),
};
const struct field_table job_spec_fields = TABLE(job_spec);

static const struct field job_result_list[] = {
	U32(job_result, outcome),
	U32(job_result, error),
	BOOL(job_result, not_run),
	U32(job_result, retry_after_s),
	TEXT(job_result, detail),
	U32(job_result, status),
	TEXT(job_result, type),
	BYTES(job_result, body),
};
const struct field_table job_result_fields = TABLE(job_result);

static const struct field msg_hello_list[] = {
	U32(msg_hello, role),
	TEXT(msg_hello, name),
	TEXT(msg_hello, addr),
	TEXT(msg_hello, zone),
	U64(msg_hello, incarnation),
	U64(msg_hello, term),
};
static const struct field_table msg_hello_fields = TABLE(msg_hello);

static const struct field msg_welcome_list[] = {
	U64(msg_welcome, term),
	TEXT(msg_welcome, cell),
	U32(msg_welcome, heartbeat_ms),
	U32(msg_welcome, lease_ms),
	U64(msg_welcome, config_revision),
	U32(msg_welcome, grace_ms),
};
static const struct field_table msg_welcome_fields = TABLE(msg_welcome);

static const struct field msg_report_list[] = {
	U64(msg_report, term),
	TEXT(msg_report, worker),
	TEXT(msg_report, rack),
	TEXT(msg_report, zone),
	U32(msg_report, accelerators),
	U32(msg_report, slots),
	U32(msg_report, connections),
	U32(msg_report, cores),
	U32(msg_report, memory_mb),
	BOOL(msg_report, serving),
	BOOL(msg_report, draining),
};
static const struct field_table msg_report_fields = TABLE(msg_report);

static const struct field member_record_list[] = {
	STRUCT(member_record, spec, job_spec),
	U32(member_record, attempt),
	U32(member_record, member),
	U32(member_record, size),
	U32(member_record, accelerators),
	U32(member_record, state),
	U32(member_record, end),
	I64(member_record, running_ms),
	STRUCT(member_record, result, job_result),
	TEXT(member_record, roster),
};
const struct field_table member_record_fields = TABLE(member_record);

static const struct field msg_inventory_list[] = {
	U64(msg_inventory, term),
	LIST(msg_inventory, members, member_record),
};
static const struct field_table msg_inventory_fields = TABLE(msg_inventory);

static const struct field msg_beat_list[] = {
	U64(msg_beat, term),
	U32(msg_beat, members),
	U32(msg_beat, busy_accelerators),
	U32(msg_beat, usage_percent),
	U64(msg_beat, config_revision),
};
static const struct field_table msg_beat_fields = TABLE(msg_beat);

static const struct field msg_beat_ack_list[] = {
	U64(msg_beat_ack, term),
	U64(msg_beat_ack, config_revision),
	U32(msg_beat_ack, grace_ms),
	TEXT(msg_beat_ack, successors),
};
static const struct field_table msg_beat_ack_fields = TABLE(msg_beat_ack);

static const struct field msg_reserve_list[] = {
	U64(msg_reserve, term),
	STRUCT(msg_reserve, spec, job_spec),
	U32(msg_reserve, attempt),
	U32(msg_reserve, member),
	U32(msg_reserve, size),
	U32(msg_reserve, accelerators),
	BOOL(msg_reserve, start),
	TEXT(msg_reserve, roster),
	BYTES(msg_reserve, checkpoint),
};
static const struct field_table msg_reserve_fields = TABLE(msg_reserve);

static const struct field msg_reserved_list[] = {
	U64(msg_reserved, term),
	TEXT(msg_reserved, job),
	U32(msg_reserved, attempt),
	U32(msg_reserved, member),
	BOOL(msg_reserved, ok),
	TEXT(msg_reserved, reason),
};
static const struct field_table msg_reserved_fields = TABLE(msg_reserved);

static const struct field msg_start_list[] = {
	U64(msg_start, term),
	TEXT(msg_start, job),
	U32(msg_start, attempt),
	TEXT(msg_start, roster),
};
static const struct field_table msg_start_fields = TABLE(msg_start);

static const struct field msg_stop_list[] = {
	U64(msg_stop, term),
	TEXT(msg_stop, job),
	U32(msg_stop, attempt),
	U32(msg_stop, mode),
	U32(msg_stop, grace_ms),
};
static const struct field_table msg_stop_fields = TABLE(msg_stop);

static const struct field msg_ended_list[] = {
	U64(msg_ended, term),
	TEXT(msg_ended, job),
	U32(msg_ended, attempt),
	U32(msg_ended, member),
	U32(msg_ended, end),
	STRUCT(msg_ended, result, job_result),
	BYTES(msg_ended, checkpoint),
};
static const struct field_table msg_ended_fields = TABLE(msg_ended);

static const struct field msg_ended_ack_list[] = {
	U64(msg_ended_ack, term),
	TEXT(msg_ended_ack, job),
	U32(msg_ended_ack, attempt),
};
static const struct field_table msg_ended_ack_fields = TABLE(msg_ended_ack);

static const struct field msg_gang_beat_list[] = {
	TEXT(msg_gang_beat, job),
	U32(msg_gang_beat, attempt),
	U32(msg_gang_beat, member),
	BOOL(msg_gang_beat, alive),
	BOOL(msg_gang_beat, done),
};
static const struct field_table msg_gang_beat_fields = TABLE(msg_gang_beat);

static const struct field msg_submit_list[] = {
	STRUCT(msg_submit, spec, job_spec),
	BOOL(msg_submit, resubmitted),
	U64(msg_submit, last_term),
	BOOL(msg_submit, wait),
};
static const struct field_table msg_submit_fields = TABLE(msg_submit);

static const struct field msg_answer_list[] = {
	TEXT(msg_answer, job),
	U64(msg_answer, term),
	U64(msg_answer, request),
	BOOL(msg_answer, accepted_only),
	STRUCT(msg_answer, result, job_result),
	BOOL(msg_answer, returned),
};
static const struct field_table msg_answer_fields = TABLE(msg_answer);

static const struct field msg_cancel_list[] = {
	TEXT(msg_cancel, job),
	TEXT(msg_cancel, org),
	U64(msg_cancel, request),
};
static const struct field_table msg_cancel_fields = TABLE(msg_cancel);

static const struct field msg_query_list[] = {
	U64(msg_query, request),
	TEXT(msg_query, query_type),
	TEXT(msg_query, arg),
	TEXT(msg_query, org),
};
static const struct field_table msg_query_fields = TABLE(msg_query);

static const struct field msg_reply_list[] = {
	U64(msg_reply, request),
	U32(msg_reply, error),
	BOOL(msg_reply, failed),
	TEXT(msg_reply, json),
};
static const struct field_table msg_reply_fields = TABLE(msg_reply);

static const struct field msg_summary_list[] = {
	U64(msg_summary, term),
	TEXT(msg_summary, cell),
	U32(msg_summary, workers),
	U32(msg_summary, free_accelerators),
	U32(msg_summary, largest_worker),
	U32(msg_summary, largest_rack),
	U32(msg_summary, queued),
	U32(msg_summary, running),
	U32(msg_summary, oldest_queued_ms),
	U64(msg_summary, config_revision),
};
static const struct field_table msg_summary_fields = TABLE(msg_summary);

/* Name and field table of each message kind; kinds without a table are unknown. */
static const struct msg_type {
	const char *name;
	const struct field_table *fields;
} msg_types[MSG_KIND_END] = {
	[MSG_HELLO] = {"hello", &msg_hello_fields},
	[MSG_WELCOME] = {"welcome", &msg_welcome_fields},
	[MSG_REPORT] = {"report", &msg_report_fields},
	[MSG_INVENTORY] = {"inventory", &msg_inventory_fields},
	[MSG_BEAT] = {"beat", &msg_beat_fields},
	[MSG_BEAT_ACK] = {"beat_ack", &msg_beat_ack_fields},
	[MSG_RESERVE] = {"reserve", &msg_reserve_fields},
	[MSG_RESERVED] = {"reserved", &msg_reserved_fields},
	[MSG_START] = {"start", &msg_start_fields},
	[MSG_STOP] = {"stop", &msg_stop_fields},
	[MSG_ENDED] = {"ended", &msg_ended_fields},
	[MSG_ENDED_ACK] = {"ended_ack", &msg_ended_ack_fields},
	[MSG_GANG_BEAT] = {"gang_beat", &msg_gang_beat_fields},
	[MSG_SUBMIT] = {"submit", &msg_submit_fields},
	[MSG_ANSWER] = {"answer", &msg_answer_fields},
	[MSG_CANCEL] = {"cancel", &msg_cancel_fields},
	[MSG_QUERY] = {"query", &msg_query_fields},
	[MSG_REPLY] = {"reply", &msg_reply_fields},
	[MSG_SUMMARY] = {"summary", &msg_summary_fields},
};

/* Whether a kind byte from the wire stands for a message of this version. */
static bool is_known_kind(uint32_t kind)
{
	return kind < MSG_KIND_END && msg_types[kind].fields != NULL;
}

/* Return the name of a kind for log lines; "unknown" for an unknown one. */
const char *msg_name(enum msg_kind kind)
{
	return is_known_kind(kind) ? msg_types[kind].name : "unknown";
}

/* Encode a message: one byte for the kind, then the encoded fields. */
struct bytes msg_encode(const struct msg *m)
{
	struct bytes fields = fields_encode(msg_types[m->kind].fields, &m->hello);
	struct bytes out = {.data = xmalloc(fields.len + 1), .len = fields.len + 1};

	*(uint8_t *)out.data = (uint8_t)m->kind;
	memcpy((uint8_t *)out.data + 1, fields.data, fields.len);
	bytes_clear(&fields);
	return out;
}

/* Decode a message; on success the caller frees it with msg_clear. */
bool msg_decode(struct msg *m, const void *data, size_t len, GError **err)
{
	const uint8_t *p = data;

	memset(m, 0, sizeof(*m));
	if (len < 1 || !is_known_kind(p[0])) {
		error_set(err, ERR_PROTOCOL, "a message of unknown kind");
		return false;
	}
	m->kind = (enum msg_kind)p[0];
	return fields_decode(msg_types[m->kind].fields, &m->hello, p + 1, len - 1, err);
}

/* Free the memory that a message's fields own. */
void msg_clear(struct msg *m)
{
	if (is_known_kind(m->kind))
		fields_clear(msg_types[m->kind].fields, &m->hello);
}
