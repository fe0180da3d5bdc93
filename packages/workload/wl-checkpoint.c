#include "wl-private.h"

#include <inttypes.h>

/*
 * Checkpoints of tasks. A checkpoint is any text that the worker chooses; it is kept as a whole
 * or not at all, as a part of it is no checkpoint. One that is refused leaves the one before,
 * from which the task can be resumed as well.
 */

/* Of a record of progress this much is left for all that is not a checkpoint. */
#define RECORD_MARGIN 65536
/* Checkpoints are stored at least this far apart, and longer ones less often. */
#define STORE_INTERVAL	  (2 * NSEC_PER_SEC)
#define STORE_BYTES_PER_S 262144
/* A longer checkpoint is logged by its length. */
#define LABEL_MAX 64

COUNTER(refused_total, "damaskpath_checkpoints_refused_total",
	"Checkpoints that were too long, or for which there was no memory.");
COUNTER(left_out_total, "damaskpath_checkpoints_left_out_total",
	"Checkpoints left out of records that would be too large for the store.");

/* The task that keeps a task's checkpoint: the members of a gang share that of the first. */
static struct wl_task *keeper(struct wl_task *t)
{
	return t->unit->step->gang ? &t->unit->tasks[0] : t;
}

/* The checkpoint that a task resumes from; empty for none. */
const char *task_checkpoint(const struct wl_task *t)
{
	const char *text = keeper((struct wl_task *)t)->checkpoint;

	return text != NULL ? text : "";
}

/* A checkpoint for the log, freed by the caller. */
char *checkpoint_label(const char *text)
{
	size_t len = text != NULL ? strlen(text) : 0;

	return len > LABEL_MAX ? g_strdup_printf("%zu-bytes", len)
			       : g_strdup(len > 0 ? text : "");
}

/* Why a checkpoint can't be kept in place of another; NULL if it can. */
static const char *refusal(const struct wl *w, size_t len, size_t replaced)
{
	const struct wl_limits *l = &w->limits;

	if (l->record_max > 0 && len + RECORD_MARGIN > l->record_max)
		return "longer than the store takes";
	if (l->checkpoints_max > 0 && w->checkpoint_bytes - replaced + len > l->checkpoints_max)
		return "no memory";
	return NULL;
}

static void replace(struct wl_task *t, char *text)
{
	struct wl *w = t->unit->job->wl;

	w->checkpoint_bytes -= t->checkpoint != NULL ? strlen(t->checkpoint) : 0;
	w->checkpoint_bytes += text != NULL ? strlen(text) : 0;
	free(t->checkpoint);
	t->checkpoint = text;
}

/*
 * Keeps a checkpoint that an attempt of a task has told, unless it is too long. Returns whether
 * the task has another checkpoint now than before.
 */
bool checkpoint_save(struct wl_task *t, uint32_t attempt, const char *text)
{
	struct wl_task *k = keeper(t);
	const char *why;

	if (text == NULL || *text == '\0' || !t->unit->step->checkpoints ||
		wl_state_ended(t->unit->job->state) || g_strcmp0(text, k->checkpoint) == 0)
		return false;
	why = refusal(t->unit->job->wl, strlen(text),
		k->checkpoint != NULL ? strlen(k->checkpoint) : 0);
	if (why == NULL) {
		replace(k, xstrdup(text));
		return true;
	}
	counter_add(&refused_total, 1);
	if (!t->checkpoint_refused || t->refused_attempt != attempt) {
		t->checkpoint_refused = true;
		t->refused_attempt = attempt;
		event_log(EV_CHECKPOINT_REFUSED,
			"task=%s.%u.%u.%u attempt=%u bytes=%zu kept=%zu why=\"%s\"",
			t->unit->job->spec.id, t->unit->occurrence, t->unit->step_index,
			t->index, attempt, strlen(text),
			k->checkpoint != NULL ? strlen(k->checkpoint) : 0, why);
	}
	return false;
}

/* Drops a task's checkpoint; that of a gang is its first member's. */
void checkpoint_clear(struct wl_task *t)
{
	replace(t, NULL);
}

/* Drops all checkpoints of a job that has ended. */
void checkpoints_clear(struct wl_job *j)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			struct wl_unit *u = &j->occurrences[k][s];

			for (uint32_t i = 0; i < u->step->count; i++)
				checkpoint_clear(&u->tasks[i]);
		}
	}
}

static int compare_lengths(const void *a, const void *b)
{
	const struct wl_mark *const *x = a;
	const struct wl_mark *const *y = b;
	size_t len_x = strlen((*x)->checkpoint);
	size_t len_y = strlen((*y)->checkpoint);

	return len_x < len_y ? 1 : len_x > len_y ? -1 : 0;
}

/*
 * Encodes a job's progress; leaves the longest checkpoints out of one that the store doesn't
 * take. Their tasks resume from them all the same unless this process ends.
 */
struct bytes checkpoints_fit(struct wl_job *j, struct wl_progress *p)
{
	size_t max = j->wl->limits.record_max;
	struct bytes out = fields_encode(&wl_progress_fields, p);
	g_autoptr(GPtrArray) marks = NULL;
	size_t excess = max > 0 && out.len > max ? out.len - max : 0;
	uint32_t left_out = 0;

	if (excess > 0) {
		marks = g_ptr_array_new();
		for (uint32_t i = 0; i < p->marks_len; i++) {
			if (p->marks[i].checkpoint != NULL)
				g_ptr_array_add(marks, &p->marks[i]);
		}
		g_ptr_array_sort(marks, compare_lengths);
		while (excess > 0 && left_out < marks->len) {
			struct wl_mark *m = marks->pdata[left_out++];

			excess -= MIN(excess, strlen(m->checkpoint));
			m->checkpoint = NULL;
		}
		bytes_clear(&out);
		out = fields_encode(&wl_progress_fields, p);
		counter_add(&left_out_total, left_out);
	}
	if (left_out > 0 && j->checkpoints_left_out == 0)
		event_log(EV_CHECKPOINT_UNSAVED, "job=%s checkpoints=%u bytes=%zu", j->spec.id,
			left_out, out.len);
	j->checkpoints_left_out = left_out;
	j->record_len = out.len;
	return out;
}

/* How long after its last checkpoints a job's new ones are stored. */
int64_t checkpoint_store_interval(const struct wl_job *j)
{
	return STORE_INTERVAL + (int64_t)j->record_len * NSEC_PER_SEC / STORE_BYTES_PER_S;
}
