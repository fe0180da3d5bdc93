#include "workload.h"

#include <string.h>

static const char *const state_names[] = {
	"queued", "running", "completed", "failed", "cancelled"};
static const char *const end_names[] = {
	"done", "failed", "stopped", "lapsed", "broken", "alone", "other"};
static const char *const answer_names[] = {
	"running", "old", "room", "ticket", "refused", "unhealthy"};

const char *wl_state_name(uint32_t s)
{
	return s < ARRAY_LEN(state_names) ? state_names[s] : "unknown";
}

/* Whether a job in this state has ended: completed, failed or cancelled. */
bool wl_state_ended(uint32_t s)
{
	return s >= WL_COMPLETED;
}

const char *wl_end_name(uint32_t e)
{
	return e < ARRAY_LEN(end_names) ? end_names[e] : "unknown";
}

const char *wl_answer_name(uint32_t a)
{
	return a < ARRAY_LEN(answer_names) ? answer_names[a] : "unknown";
}

/* Whether an id is 16 hexadecimal digits. */
bool wl_id_valid(const char *id)
{
	return id != NULL && strlen(id) == WL_ID_LEN &&
	       strspn(id, "0123456789abcdefABCDEF") == WL_ID_LEN;
}

/* Validates one step; number is its index in the job. */
static bool check_step(const struct wl_step *s, uint32_t number, GError **err)
{
	const char *names[] = {s->label, s->data_rack, s->image};

	if (s->count == 0 || s->count > WL_TASKS_MAX) {
		error_set(err, ERR_INVALID, "step %u: its count must be 1 to %d", number,
			WL_TASKS_MAX);
		return false;
	}
	for (uint32_t i = 0; i < s->after_len; i++) {
		if (s->after[i].step >= number) {
			error_set(err, ERR_INVALID,
				"step %u: waits for a step that is not earlier", number);
			return false;
		}
	}
	for (size_t i = 0; i < ARRAY_LEN(names); i++) {
		if (names[i] != NULL && strlen(names[i]) > WL_NAME_MAX) {
			error_set(err, ERR_INVALID, "step %u: a name is too long", number);
			return false;
		}
	}
	return true;
}

/* Whether all occurrences are due at times that fit into nanoseconds. */
static bool times_valid(const struct wl_spec *s)
{
	const int64_t max = INT64_MAX / NSEC_PER_MSEC;

	return s->repetitions <= WL_REPETITIONS_MAX && s->interval_ms >= 0 &&
	       s->start_at_ms >= 0 && s->start_at_ms <= max &&
	       s->interval_ms <= (max - s->start_at_ms) / MAX(s->repetitions, 1);
}

/* Validates a submitted job; the error describes the first violation. */
bool wl_spec_check(const struct wl_spec *s, GError **err)
{
	uint64_t tasks = 0;

	if (!wl_id_valid(s->id)) {
		error_set(err, ERR_INVALID, "an id is 16 hexadecimal digits");
		return false;
	}
	if (s->steps_len == 0 || s->steps_len > WL_STEPS_MAX) {
		error_set(err, ERR_INVALID, "a job has 1 to %d steps", WL_STEPS_MAX);
		return false;
	}
	if (!times_valid(s)) {
		error_set(err, ERR_INVALID, "its times are out of range");
		return false;
	}
	for (uint32_t i = 0; i < s->steps_len; i++) {
		if (!check_step(&s->steps[i], i, err))
			return false;
		tasks += s->steps[i].count;
	}
	if (tasks > WL_TASKS_MAX) {
		error_set(err, ERR_INVALID, "more than %d tasks", WL_TASKS_MAX);
		return false;
	}
	return true;
}

struct wl_owner wl_spec_owner(const struct wl_spec *s)
{
	return (struct wl_owner){.org = s->org, .queue = s->queue, .address = s->address};
}

struct wl_owner wl_progress_owner(const struct wl_progress *p)
{
	return (struct wl_owner){.org = p->org, .queue = p->queue, .address = p->address};
}

/*
 * Whether two owners are the same. A queue stays the same one if the configuration changes
 * either its name or its address. On an open queue an API key is optional, so that a missing
 * organisation there stands for any.
 */
bool wl_owner_same(const struct wl_owner *a, const struct wl_owner *b)
{
	bool same_queue = g_strcmp0(a->queue, b->queue) == 0 ||
			  (a->address != NULL && g_strcmp0(a->address, b->address) == 0);

	return same_queue && (a->org == NULL || b->org == NULL || strcmp(a->org, b->org) == 0);
}

/* Encodes what the caller has written of a job. */
static struct bytes encode_submitted(const struct wl_spec *s)
{
	const struct wl_spec submitted = {.payload = s->payload,
		.steps = s->steps,
		.steps_len = s->steps_len,
		.repetitions = s->repetitions,
		.start_at_ms = s->start_at_ms,
		.interval_ms = s->interval_ms};

	return fields_encode(&wl_spec_fields, &submitted);
}

bool wl_spec_same(const struct wl_spec *a, const struct wl_spec *b)
{
	const struct wl_owner owner_a = wl_spec_owner(a);
	const struct wl_owner owner_b = wl_spec_owner(b);
	struct bytes text_a = encode_submitted(a);
	struct bytes text_b = encode_submitted(b);
	bool same = wl_owner_same(&owner_a, &owner_b) && text_a.len == text_b.len &&
		    memcmp(text_a.data, text_b.data, text_a.len) == 0;

	bytes_clear(&text_a);
	bytes_clear(&text_b);
	return same;
}
