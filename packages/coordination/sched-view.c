#include "sched-private.h"

#include <string.h>

static const char *const state_names[] = {
	"queued", "claiming", "placing", "running", "stopping", "ended"};

/* Names and explanations of the reasons, and what would unblock the job; sent to callers. */
static const struct reason_text {
	const char *name;
	const char *text;
	const char *unblock;
} reason_texts[] = {
	[SCHED_REASON_NEW] = {"new", "it has just come and is looked at in the next pass", ""},
	[SCHED_REASON_GUARANTEE] = {"guarantee",
		"it was placed inside its organisation's guarantee on free accelerators", ""},
	[SCHED_REASON_CLAIM] = {"claim",
		"it claimed its organisation's guarantee; borrowers there were told to stop",
		"the borrowers are gone within the grace time"},
	[SCHED_REASON_FREE] = {"free", "it was placed on free accelerators in its turn", ""},
	[SCHED_REASON_BACKFILL] = {"backfill",
		"it was placed ahead of a larger job that it does not delay", ""},
	[SCHED_REASON_BLOCKED] = {"blocked",
		"no place has enough free accelerators close enough together",
		"a running job has to end, or a wider adjacency be accepted"},
	[SCHED_REASON_BEHIND] = {"behind",
		"a job of the same shape is ahead and does not fit yet",
		"the job ahead has to start"},
	[SCHED_REASON_QUOTA] = {"quota", "its organisation uses all of its quota",
		"another job of the organisation has to end, or the quota be raised"},
	[SCHED_REASON_BACKOFF] = {"backoff",
		"an attempt failed and the next one is being delayed", "the delay has to pass"},
	[SCHED_REASON_UNSTOPPABLE] = {"unstoppable",
		"it cannot be stopped, so it may not borrow what is guaranteed to others",
		"capacity that nobody is guaranteed has to be free, or the job be made "
		"idempotent or able to checkpoint"},
	[SCHED_REASON_SETTLING] = {"settling",
		"a new coordinator is asking the workers what they run", ""},
	[SCHED_REASON_PREEMPTED] = {"preempted",
		"it ran on borrowed accelerators that their owner claimed",
		"accelerators have to come free"},
};

/* Returns the number of organisations, including those no longer configured. */
size_t sched_org_count(const struct sched *s)
{
	return s->orgs->len;
}

const char *sched_org_name(const struct sched *s, uint32_t org)
{
	return sched_org_at(s, org)->name;
}

/* Returns the guaranteed accelerators of an organisation that borrowers use. */
static uint32_t lent_accelerators(const struct sched *s, uint32_t org)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < s->workers->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, i);
		int32_t free_accelerators = w->capacity.accelerators - w->used.accelerators;
		int32_t lent = (int32_t)w->held - MAX(free_accelerators, 0);
		uint32_t unused = org_unused(s, org, i);

		if (w->up && lent > 0)
			sum += MIN((uint32_t)lent, unused);
	}
	return sum;
}

/* Fills in the accelerators that an organisation is guaranteed, uses, borrows and lends. */
void sched_org_view(const struct sched *s, uint32_t org, struct sched_org_view *out)
{
	const struct sched_org *o = sched_org_at(s, org);

	memset(out, 0, sizeof(*out));
	out->name = o->name;
	out->guaranteed = o->guaranteed;
	for (guint i = 0; i < s->holds->len; i++) {
		const struct sched_hold *h = s->holds->pdata[i];

		if (h->org == org && h->placed)
			out->used_guaranteed += h->accelerators - hold_unused(h);
	}
	out->borrowed = o->allocated_accelerators - out->used_guaranteed;
	out->lent = lent_accelerators(s, org);
	for (guint i = 0; i < s->holds->len; i++) {
		const struct sched_hold *h = s->holds->pdata[i];

		if (h->org == org && !h->placed)
			out->impossible += h->accelerators;
	}
	out->queued = (uint32_t)g_tree_nnodes(o->queue);
}

/* Returns the number of workers, including lost ones. */
size_t sched_worker_count(const struct sched *s)
{
	return s->workers->len;
}

const char *sched_worker_name(const struct sched *s, uint32_t worker)
{
	return sched_worker_at(s, worker)->name;
}

/* Fills in the state of a worker; promised counts its unused guaranteed accelerators. */
void sched_worker_view(const struct sched *s, uint32_t worker, struct sched_worker_view *out)
{
	const struct sched_worker *w = sched_worker_at(s, worker);

	*out = (struct sched_worker_view){
		.name = w->name,
		.rack = s->racks->pdata[w->rack],
		.up = w->up,
		.draining = w->draining,
		.quarantined = w->quarantined,
		.capacity = w->capacity,
		.used = w->used,
		.promised = w->held,
		.jobs = w->jobs,
	};
}

/* Fills in the free accelerators of the cell and the time that the oldest job has waited. */
void sched_free_view(const struct sched *s, int64_t now, struct sched_free_view *out)
{
	uint32_t *racks = xcalloc(s->racks->len, sizeof(*racks));

	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < s->workers->len; i++) {
		const struct sched_worker *w = sched_worker_at(s, i);
		struct sched_res available = worker_free(w);
		uint32_t n = available.accelerators > 0 ? (uint32_t)available.accelerators : 0;

		if (!w->up)
			continue;
		out->workers++;
		out->accelerators += (uint32_t)w->capacity.accelerators;
		if (w->draining || w->quarantined)
			continue;
		out->free += n;
		racks[w->rack] += n;
		out->largest_worker = MAX(out->largest_worker, n);
		out->largest_rack = MAX(out->largest_rack, racks[w->rack]);
	}
	xfreep(&racks);
	for (GTreeNode *n = g_tree_node_first(s->queue); n != NULL; n = g_tree_node_next(n)) {
		const struct sched_job *j = g_tree_node_key(n);

		out->oldest = MAX(out->oldest, now - j->submitted);
	}
	out->fragmentation = fit_fragmentation(s);
}

/* Returns the members of a job as JSON. */
static json_t *members_json(const struct sched *s, const struct sched_job *j)
{
	json_t *out = json_array();

	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_worker *w = sched_worker_at(s, j->members[i].worker);

		json_array_append_new(
			out, json_pack("{s:s,s:s,s:i}", "worker", w->name, "rack",
				     (const char *)s->racks->pdata[w->rack], "accelerators",
				     (int)j->members[i].accelerators));
	}
	return out;
}

/* Returns the reason why a job is waiting or was placed, or NULL if the job is unknown. */
json_t *sched_explain(struct sched *s, int64_t now, job_ref job)
{
	const struct sched_job *j = sched_job(s, job);
	const struct sched_decision *d;
	const struct reason_text *reason;
	uint32_t unused = 0;
	json_t *o;

	if (j == NULL)
		return NULL;
	d = &j->decision;
	reason = &reason_texts[s->settling && j->state == SCHED_JOB_QUEUED
				       ? SCHED_REASON_SETTLING
				       : d->why];
	for (uint32_t i = 0; i < s->workers->len; i++)
		unused += org_unused(s, j->org, i);
	o = json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:b}", "state", state_names[j->state],
		"reason", reason->name, "text", reason->text, "unblock", reason->unblock,
		"adjacency", adjacency_name(j->adjacency), "accelerators",
		(json_int_t)j->accelerators, "attempt", (int)j->attempt, "preemptions",
		(int)j->preemptions, "guaranteed", j->charged);
	json_object_set_new(o, "waiting_ms",
		json_integer((j->placed_at > 0 ? j->placed_at : now) / NSEC_PER_MSEC -
			     j->submitted / NSEC_PER_MSEC));
	json_object_set_new(o, "workers_considered", json_integer(d->considered));
	json_object_set_new(o, "largest_fit", json_integer(d->largest_fit));
	json_object_set_new(o, "guarantee_left", json_integer(unused));
	json_object_set_new(o, "ahead", json_integer(d->jobs_ahead));
	json_object_set_new(o, "borrowers_stopped", json_integer(d->victims));
	json_object_set_new(o, "estimate_ms", json_integer(j->estimate / NSEC_PER_MSEC));
	if (d->expected_at > now)
		json_object_set_new(o, "expected_in_ms",
			json_integer((d->expected_at - now) / NSEC_PER_MSEC));
	json_object_set_new(o, "members", members_json(s, j));
	return o;
}
