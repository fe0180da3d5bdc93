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
static bool id_valid(const char *id)
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

	if (!id_valid(s->id)) {
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
