#include "coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define LISTED_JOBS_MAX 1000

/* Return the name of the state of a job whose result may not be sent (job_result_sendable). */
static const char *job_state_name(struct coord *c, const struct coord_job *j)
{
	const struct sched_job *s = j->in_sched ? sched_job(c->sched, j->ref) : NULL;
	static const char *const names[] = {
		"queued", "claiming", "placing", "running", "stopping", "ended"};

	if (j->accepting)
		return "accepting";
	if (j->ended)
		return "ending";
	return s != NULL ? names[s->state] : "settling";
}

/* Return a job as JSON; its result is included once it may be sent. */
static json_t *job_json(struct coord *c, int64_t now, const struct coord_job *j)
{
	const struct job_result *r = &j->result;
	AUTOFREE char *when = clock_format_wall(j->spec.submitted_wall_ms * NSEC_PER_MSEC);
	json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:s,s:b,s:i,s:s}", "id", j->spec.id,
		"organisation", j->spec.org, "class",
		j->spec.class_name ? j->spec.class_name : "", "kind",
		j->spec.kind ? j->spec.kind : "", "state",
		job_result_sendable(j) ? "ended" : job_state_name(c, j), "accelerators",
		(int)j->spec.accelerators, "within", adjacency_name(j->spec.adjacency),
		"idempotent", j->spec.idempotent, "attempt", (int)j->attempt, "submitted",
		when);

	(void)now;
	if (j->placed != NULL && *j->placed != '\0' && !j->ended)
		json_object_set_new(o, "placed", json_string(j->placed));
	if (!job_result_sendable(j))
		return o;
	json_object_set_new(o, "outcome", json_string(outcome_name(r->outcome)));
	json_object_set_new(o, "not_run", json_boolean(r->not_run));
	if (r->outcome != OUTCOME_DONE) {
		json_object_set_new(o, "error", json_string(error_info(r->error)->name));
		json_object_set_new(o, "detail", json_string(r->detail ? r->detail : ""));
		json_object_set_new(o, "retry_after_s", json_integer(r->retry_after_s));
	}
	json_object_set_new(o, "status", json_integer(r->status));
	return o;
}

/* Whether a query may see a job: one without an organisation sees all jobs. */
static bool query_may_see(const struct msg_query *q, const struct coord_job *j)
{
	return q->org == NULL || strcmp(q->org, j->spec.org) == 0;
}

/* Return the jobs of an organisation or of all, at most LISTED_JOBS_MAX, in no fixed order. */
static json_t *jobs_json(struct coord *c, int64_t now, const struct msg_query *q)
{
	json_t *out = json_array();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value) &&
		json_array_size(out) < LISTED_JOBS_MAX) {
		const struct coord_job *j = value;

		if (query_may_see(q, j) &&
			(q->arg == NULL || *q->arg == '\0' || strcmp(q->arg, j->spec.org) == 0))
			json_array_append_new(out, job_json(c, now, j));
	}
	return out;
}

/*
 * Return the guaranteed, used, borrowed and lent accelerators of each organisation, and the
 * number of its queued jobs. impossible counts the guaranteed accelerators that could not be
 * placed on any worker, and reclaimable_within_ms is the time that a borrower gets to stop.
 */
static json_t *orgs_json(struct coord *c)
{
	json_t *out = json_array();

	for (uint32_t i = 0; i < sched_org_count(c->sched); i++) {
		struct sched_org_view v;

		sched_org_view(c->sched, i, &v);
		json_array_append_new(out,
			json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:I}", "organisation",
				v.name, "cell", c->cell, "guaranteed", (int)v.guaranteed,
				"used", (int)v.used_guaranteed, "borrowed", (int)v.borrowed,
				"lent", (int)v.lent, "impossible", (int)v.impossible, "queued",
				(int)v.queued, "reclaimable_within_ms",
				(json_int_t)(c->grace / NSEC_PER_MSEC)));
	}
	return out;
}

/* Return the name of a worker's state. */
static const char *worker_state_name(
	const struct sched_worker_view *v, const struct coord_agent *a, int64_t now)
{
	if (!v->up)
		return "down";
	if (a == NULL || a->peer == PEER_NONE || now - a->last_seen > COORD_SUSPECT_TIMEOUT_NS)
		return "suspect";
	if (v->quarantined)
		return "quarantined";
	return v->draining ? "draining" : "up";
}

/*
 * Return the workers with their capacity and use. promised counts the guaranteed accelerators
 * on the worker that are not used.
 */
static json_t *workers_json(struct coord *c, int64_t now)
{
	json_t *out = json_array();

	for (uint32_t i = 0; i < sched_worker_count(c->sched); i++) {
		const struct coord_agent *a = agent_by_worker(c, i);
		struct sched_worker_view v;

		sched_worker_view(c->sched, i, &v);
		json_array_append_new(out,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:s,s:I,s:i}", "worker",
				v.name, "cell", c->cell, "rack", v.rack, "state",
				worker_state_name(&v, a, now), "accelerators",
				(int)v.capacity.accelerators, "used", (int)v.used.accelerators,
				"promised", (int)v.promised, "jobs", (int)v.jobs, "slots",
				(int)v.capacity.slots, "agent", a != NULL ? a->name : "",
				"config", (json_int_t)(a != NULL ? a->config_revision : 0),
				"usage_percent", (int)(a != NULL ? a->usage_percent : 0)));
	}
	return out;
}

/*
 * Return the state of the cell. placed is sched_active_count, which includes jobs that are
 * still placing and jobs that are stopping.
 */
static json_t *cell_json(struct coord *c, int64_t now)
{
	struct sched_free_view v;
	const struct sched_counts *n = sched_counts(c->sched);

	sched_free_view(c->sched, now, &v);
	return json_pack("{s:s,s:I,s:b,s:b,s:I,s:i,s:i,s:i,s:i,s:i,s:I,s:I,s:f,s:I,s:I,s:I}",
		"cell", c->cell, "term", (json_int_t)c->term, "settled", c->settled, "store",
		c->store_up, "config", (json_int_t)c->config_number, "workers", (int)v.workers,
		"accelerators", (int)v.accelerators, "free", (int)v.free, "largest_in_worker",
		(int)v.largest_worker, "largest_in_rack", (int)v.largest_rack, "queued",
		(json_int_t)sched_queued_count(c->sched), "placed",
		(json_int_t)sched_active_count(c->sched), "fragmentation", v.fragmentation,
		"claims", (json_int_t)n->claims, "preempted", (json_int_t)n->preempted,
		"oldest_ms", (json_int_t)(v.oldest / NSEC_PER_MSEC));
}

/* Return the lines of the audit log, oldest first. */
static json_t *audit_json(struct coord *c)
{
	json_t *out = json_array();

	for (GList *l = c->audit.head; l != NULL; l = l->next)
		json_array_append_new(out, json_loads(l->data, 0, NULL));
	return out;
}

/* Return a job and the scheduler's explanation of why it waits or how it was placed. */
static json_t *explain_json(struct coord *c, int64_t now, const struct coord_job *j)
{
	json_t *job = job_json(c, now, j);
	json_t *why = j->in_sched ? sched_explain(c->sched, now, j->ref)
				  : json_loads(j->explanation ? j->explanation : "{}", 0, NULL);

	json_object_set_new(job, "why", why);
	return job;
}

/*
 * Start or end the draining of a worker on behalf of an operator. arg is "WORKER:on" or
 * "WORKER:off"; NULL if it has no colon or the worker does not exist.
 */
static json_t *drain_json(struct coord *c, int64_t now, const char *arg)
{
	const char *colon = strchr(arg, ':');
	AUTOFREE char *name = colon != NULL ? xstrdup(arg) : NULL;
	uint32_t worker;

	if (name == NULL)
		return NULL;
	name[colon - arg] = '\0';
	worker = sched_find_worker(c->sched, name);
	if (worker == UINT32_MAX)
		return NULL;
	sched_worker_drain(c->sched, worker, strcmp(colon + 1, "on") == 0);
	coord_audit(c, now, "worker.drain", "operator", name, colon + 1);
	return json_object();
}

/* Return the answer to a query; NULL if what it asks for does not exist or may not be seen. */
static json_t *query_json(struct coord *c, int64_t now, const struct msg_query *q)
{
	const struct coord_job *j;

	if (strcmp(q->query_type, "jobs") == 0)
		return jobs_json(c, now, q);
	if (strcmp(q->query_type, "orgs") == 0)
		return orgs_json(c);
	if (strcmp(q->query_type, "workers") == 0)
		return workers_json(c, now);
	if (strcmp(q->query_type, "cell") == 0)
		return cell_json(c, now);
	if (strcmp(q->query_type, "audit") == 0)
		return audit_json(c);
	if (strcmp(q->query_type, "drain") == 0)
		return q->arg != NULL ? drain_json(c, now, q->arg) : NULL;
	j = job_find(c, q->arg);
	if (j == NULL || !query_may_see(q, j))
		return NULL;
	if (strcmp(q->query_type, "explain") == 0)
		return explain_json(c, now, j);
	return job_json(c, now, j);
}

/* Send the full result of a job to an entry that did not wait for it; false if none is sent. */
static bool send_result(struct coord *c, peer_id peer, const struct msg_query *q)
{
	struct coord_job *j = strcmp(q->query_type, "result") == 0 ? job_find(c, q->arg) : NULL;
	struct msg m = {.kind = MSG_ANSWER};

	if (j == NULL || !job_result_sendable(j) || !query_may_see(q, j))
		return false;
	m.answer = (struct msg_answer){.job = j->spec.id, .term = c->term, .result = j->result};
	m.answer.request = q->request;
	coord_send(c, peer, &m);
	return true;
}

/* Handle a query of an entry. */
void query_answer(struct coord *c, int64_t now, peer_id peer, const struct msg_query *q)
{
	struct msg m = {.kind = MSG_REPLY, .reply = {.request = q->request}};
	AUTOFREE char *text = NULL;
	json_t *o;

	if (q->query_type == NULL || send_result(c, peer, q))
		return;
	o = query_json(c, now, q);
	if (o == NULL) {
		m.reply.failed = true;
		m.reply.error = ERR_NOT_FOUND;
		m.reply.json = "there is no such thing in this cell";
	} else {
		text = json_dumps(o, JSON_COMPACT);
		m.reply.json = text;
		json_decref(o);
	}
	coord_send(c, peer, &m);
}
