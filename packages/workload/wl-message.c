#include "workload.h"
#include "field-macros.h"

#include <stdlib.h>
#include <string.h>

/*
 * Field tables of the structs that are stored or sent. Fields are encoded in table order, so
 * new fields may only be appended.
 */

static const struct field wl_step_ref_list[] = {U32(wl_step_ref, step)};
static const struct field_table wl_step_ref_fields = TABLE(wl_step_ref);

static const struct field wl_step_list[] = {
	U32(wl_step, count),
	U32(wl_step, cores_m),
	U32(wl_step, memory_mb),
	U32(wl_step, accelerators),
	U32(wl_step, estimate_ms),
	LIST(wl_step, after, wl_step_ref),
	BOOL(wl_step, checkpoints),
	BOOL(wl_step, gang),
	BOOL(wl_step, rack_local),
	BOOL(wl_step, long_running),
	BOOL(wl_step, filler),
	BOOL(wl_step, copies),
	TEXT(wl_step, label),
	TEXT(wl_step, data_rack),
	TEXT(wl_step, image),
	U32(wl_step, per_worker_max),
	U32(wl_step, latency_max_ms),
	U32(wl_step, unavailable_max),
};
static const struct field_table wl_step_fields = TABLE(wl_step);

static const struct field wl_settings_list[] = {
	U32(wl_settings, priority),
	U32(wl_settings, attempts_max),
	U32(wl_settings, stretch_milli),
	I64(wl_settings, target_ms),
	BOOL(wl_settings, approval),
};
static const struct field_table wl_settings_fields = TABLE(wl_settings);

static const struct field wl_spec_list[] = {
	TEXT(wl_spec, id),
	TEXT(wl_spec, queue),
	TEXT(wl_spec, service),
	TEXT(wl_spec, org),
	TEXT(wl_spec, payload),
	LIST(wl_spec, steps, wl_step),
	U32(wl_spec, repetitions),
	I64(wl_spec, start_at_ms),
	I64(wl_spec, interval_ms),
	I64(wl_spec, accepted_ms),
	STRUCT(wl_spec, settings, wl_settings),
	TEXT(wl_spec, address),
};
const struct field_table wl_spec_fields = TABLE(wl_spec);

static const struct field wl_mark_list[] = {
	U32(wl_mark, occurrence),
	U32(wl_mark, step),
	U32(wl_mark, index),
	BOOL(wl_mark, done),
	U32(wl_mark, failures),
	U32(wl_mark, failed_attempt),
	TEXT(wl_mark, checkpoint),
	TEXT(wl_mark, node),
	U32(wl_mark, attempt),
	U32(wl_mark, crashes),
	U32(wl_mark, crashed_attempt),
	BOOL(wl_mark, crash_uncertain),
};
static const struct field_table wl_mark_fields = TABLE(wl_mark);

static const struct field wl_progress_list[] = {
	U32(wl_progress, state),
	TEXT(wl_progress, queue),
	TEXT(wl_progress, org),
	I64(wl_progress, ended_ms),
	LIST(wl_progress, marks, wl_mark),
	STRUCT(wl_progress, settings, wl_settings),
	TEXT(wl_progress, address),
	U32(wl_progress, first_attempt),
};
const struct field_table wl_progress_fields = TABLE(wl_progress);

static const struct field wl_owner_list[] = {
	TEXT(wl_owner, org),
	TEXT(wl_owner, queue),
	TEXT(wl_owner, address),
};
const struct field_table wl_owner_fields = TABLE(wl_owner);

static const struct field wl_run_list[] = {
	TEXT(wl_run, task),
	U32(wl_run, attempt),
	TEXT(wl_run, checkpoint),
	U32(wl_run, percent),
	U32(wl_run, figure),
};
static const struct field_table wl_run_fields = TABLE(wl_run);

static const struct field wl_ended_list[] = {
	U64(wl_ended, number),
	TEXT(wl_ended, task),
	U32(wl_ended, attempt),
	U32(wl_ended, how),
	TEXT(wl_ended, checkpoint),
};
static const struct field_table wl_ended_fields = TABLE(wl_ended);

static const struct field wl_text_list[] = {TEXT(wl_text, text)};
static const struct field_table wl_text_fields = TABLE(wl_text);

static const struct field wl_report_list[] = {
	U64(wl_report, term),
	TEXT(wl_report, node),
	TEXT(wl_report, worker_instance),
	TEXT(wl_report, service),
	TEXT(wl_report, rack),
	LIST(wl_report, labels, wl_text),
	U32(wl_report, cores_m),
	U32(wl_report, memory_mb),
	U32(wl_report, accelerators),
	BOOL(wl_report, draining),
	U32(wl_report, leaves_in_ms),
	BOOL(wl_report, left),
	U64(wl_report, covers),
	LIST(wl_report, runs, wl_run),
	LIST(wl_report, ends, wl_ended),
	U64(wl_report, sent_ns),
	BOOL(wl_report, partial),
	U32(wl_report, cold_ms),
	I64(wl_report, speed.milli),
	U32(wl_report, speed.variance_milli),
	U32(wl_report, speed.instance_hash),
};
static const struct field_table wl_report_fields = TABLE(wl_report);

static const struct field wl_start_list[] = {
	U64(wl_start, ordinal),
	TEXT(wl_start, task),
	U32(wl_start, attempt),
	TEXT(wl_start, checkpoint),
	TEXT(wl_start, ticket),
};
static const struct field_table wl_start_fields = TABLE(wl_start);

static const struct field wl_start_order_list[] = {
	U64(wl_start_order, term),
	TEXT(wl_start_order, worker_instance),
	TEXT(wl_start_order, payload),
	LIST(wl_start_order, starts, wl_start),
};
static const struct field_table wl_start_order_fields = TABLE(wl_start_order);

static const struct field wl_stop_order_list[] = {
	U64(wl_stop_order, term),
	TEXT(wl_stop_order, worker_instance),
	TEXT(wl_stop_order, task),
	U32(wl_stop_order, attempt),
	U64(wl_stop_order, ordinal),
};
static const struct field_table wl_stop_order_fields = TABLE(wl_stop_order);

static const struct field wl_pace_order_list[] = {
	U64(wl_pace_order, term),
	TEXT(wl_pace_order, worker_instance),
	TEXT(wl_pace_order, task),
	U32(wl_pace_order, attempt),
	U32(wl_pace_order, percent),
};
static const struct field_table wl_pace_order_fields = TABLE(wl_pace_order);

static const struct field wl_answer_note_list[] = {
	U64(wl_answer_note, term),
	TEXT(wl_answer_note, worker_instance),
	U64(wl_answer_note, ordinal),
	TEXT(wl_answer_note, task),
	U32(wl_answer_note, attempt),
	U32(wl_answer_note, answer),
};
static const struct field_table wl_answer_note_fields = TABLE(wl_answer_note);

static const struct field wl_lead_beat_list[] = {
	U64(wl_lead_beat, term),
	U32(wl_lead_beat, age_ms),
	BOOL(wl_lead_beat, stopping),
	U64(wl_lead_beat, echo_ns),
	U64(wl_lead_beat, ordinal),
	I64(wl_lead_beat, speed.milli),
	U32(wl_lead_beat, speed.variance_milli),
	U32(wl_lead_beat, speed.instance_hash),
};
static const struct field_table wl_lead_beat_fields = TABLE(wl_lead_beat);

static const struct field wl_hello_list[] = {
	TEXT(wl_hello, node),
	TEXT(wl_hello, zone),
	U64(wl_hello, term),
};
static const struct field_table wl_hello_fields = TABLE(wl_hello);

static const struct field wl_stored_list[] = {
	U64(wl_stored, term),
	TEXT(wl_stored, worker_instance),
	U64(wl_stored, number),
};
static const struct field_table wl_stored_fields = TABLE(wl_stored);

static const struct field wl_ping_list[] = {
	U64(wl_ping, term),
	U64(wl_ping, sent_ns),
};
static const struct field_table wl_ping_fields = TABLE(wl_ping);

static const struct field wl_store_call_list[] = {
	U64(wl_store_call, number),
	TEXT(wl_store_call, method),
	TEXT(wl_store_call, path),
	BYTES(wl_store_call, body),
	U32(wl_store_call, timeout_ms),
};
static const struct field_table wl_store_call_fields = TABLE(wl_store_call);

static const struct field wl_store_reply_list[] = {
	U64(wl_store_reply, number),
	U32(wl_store_reply, status),
	BYTES(wl_store_reply, body),
};
static const struct field_table wl_store_reply_fields = TABLE(wl_store_reply);

static const struct field wl_inbox_note_list[] = {TEXT(wl_inbox_note, key)};
static const struct field_table wl_inbox_note_fields = TABLE(wl_inbox_note);

/* Field table of each message kind. */
static const struct field_table *const msg_tables[WL_MSG_END] = {
	[WL_MSG_HELLO] = &wl_hello_fields,
	[WL_MSG_LEAD_BEAT] = &wl_lead_beat_fields,
	[WL_MSG_REPORT] = &wl_report_fields,
	[WL_MSG_ANSWER] = &wl_answer_note_fields,
	[WL_MSG_START] = &wl_start_order_fields,
	[WL_MSG_STOP] = &wl_stop_order_fields,
	[WL_MSG_PACE] = &wl_pace_order_fields,
	[WL_MSG_STORED] = &wl_stored_fields,
	[WL_MSG_PING] = &wl_ping_fields,
	[WL_MSG_STORE_CALL] = &wl_store_call_fields,
	[WL_MSG_STORE_REPLY] = &wl_store_reply_fields,
	[WL_MSG_INBOX_NOTE] = &wl_inbox_note_fields,
};

/*
 * Encodes a message: its kind as one byte, then its fields. The caller frees the result.
 *
 * Here and below, &m->hello is the address of the union and so of the member for m->kind.
 */
struct bytes wl_msg_encode(const struct wl_msg *m)
{
	struct bytes body = fields_encode(msg_tables[m->kind], &m->hello);
	struct bytes out = {.len = body.len + 1};
	uint8_t *data = xmalloc(out.len);

	data[0] = (uint8_t)m->kind;
	memcpy(data + 1, body.data, body.len);
	out.data = data;
	bytes_clear(&body);
	return out;
}

/* Decodes a message into m, which must be zeroed. */
bool wl_msg_decode(struct wl_msg *m, const void *data, size_t len, GError **err)
{
	const uint8_t *p = data;

	if (len < 1 || p[0] >= WL_MSG_END || msg_tables[p[0]] == NULL) {
		error_set(err, ERR_PROTOCOL, "unknown message kind");
		return false;
	}
	m->kind = (enum wl_msg_kind)p[0];
	return fields_decode(msg_tables[m->kind], &m->hello, p + 1, len - 1, err);
}

/* Frees the contents of a message, but not the message itself. */
void wl_msg_clear(struct wl_msg *m)
{
	if (m->kind < WL_MSG_END && msg_tables[m->kind] != NULL)
		fields_clear(msg_tables[m->kind], &m->hello);
}
