#include "sched-private.h"

/* Jobs that can never run, or that find the queues full, are refused at once. */

/* The most accelerators that the topology offers within an adjacency; 0 if not declared. */
static uint32_t topology_max(const struct sched *s, enum adjacency a)
{
	switch (a) {
	case ADJACENCY_WORKER:
		return s->declared_accelerators;
	case ADJACENCY_RACK:
		return s->declared_accelerators *
		       MIN(s->declared_workers_per_rack, s->declared_workers);
	case ADJACENCY_ANY:
		return s->declared_accelerators * s->declared_workers;
	}
	return 0;
}

/* Sum of what is guaranteed to others than an organisation. */
static uint32_t guaranteed_to_others(const struct sched *s, uint32_t org)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < s->orgs->len; i++) {
		if (i != org)
			sum += sched_org_at(s, i)->guaranteed;
	}
	return sum;
}

/* Whether some worker's share of an accelerator covers what a job needs with each of its own.
 */
static bool is_coverable(const struct sched *s, const struct sched_job *j)
{
	struct sched_res need = res_need(j, 1);

	for (uint32_t i = 0; i < s->workers->len; i++) {
		if (share_covers(sched_worker_at(s, i), &need, 1))
			return true;
	}
	return s->workers->len == 0;
}

/*
 * Whether a job that cannot be stopped has no place even in an empty cell, as all of it is
 * guaranteed to others.
 */
static bool is_crowded_out(const struct sched *s, const struct sched_job *j)
{
	const struct sched_org *o = sched_org_at(s, j->org);
	uint32_t others = guaranteed_to_others(s, j->org);
	uint32_t all = topology_max(s, ADJACENCY_ANY);

	if (s->policy != SCHED_POLICY_FULL || s->declared_workers == 0 || job_stoppable(j))
		return false;
	if (j->accelerators == 0 || !is_coverable(s, j))
		return j->accelerators + o->guaranteed + others > all - (j->accelerators == 0);
	return j->accelerators > o->guaranteed && j->accelerators + others > all;
}

/* Refuse a job that can never run, or that finds the queues full; false if it was refused. */
bool admit_job(struct sched *s, struct sched_job *j)
{
	const struct sched_org *o = sched_org_at(s, j->org);
	uint32_t most = topology_max(s, j->adjacency);
	uint32_t class_queue_max = GPOINTER_TO_UINT(
		g_hash_table_lookup(s->class_queue_max, GUINT_TO_POINTER(j->class_priority)));
	uint32_t class_jobs = GPOINTER_TO_UINT(
		g_hash_table_lookup(o->class_jobs, GUINT_TO_POINTER(j->class_priority)));

	if (s->declared_workers > 0 && j->accelerators > most)
		sched_end(s, j, OUTCOME_NOT_RUN, ERR_IMPOSSIBLE, true,
			"%u accelerators within %s were asked for; the cell has %u at most",
			j->accelerators, adjacency_name(j->adjacency), most);
	else if (o->quota_accelerators > 0 && j->accelerators > o->quota_accelerators)
		sched_end(s, j, OUTCOME_NOT_RUN, ERR_QUOTA, true,
			"%u accelerators were asked for; the quota is %u", j->accelerators,
			o->quota_accelerators);
	else if (is_crowded_out(s, j))
		sched_end(s, j, OUTCOME_NOT_RUN, ERR_IMPOSSIBLE, true,
			"a job that cannot be stopped needs its own guarantee or capacity that "
			"nobody is guaranteed; %u accelerators of that kind there will never "
			"be",
			j->accelerators);
	else if (o->quota_jobs > 0 && o->jobs > o->quota_jobs)
		sched_end(s, j, OUTCOME_NOT_RUN, ERR_OVERLOAD, true,
			"the organisation has %u jobs, which is its quota", o->quota_jobs);
	else if (o->jobs > s->queue_max ||
		 (class_queue_max > 0 && class_jobs > class_queue_max))
		sched_end(s, j, OUTCOME_NOT_RUN, ERR_OVERLOAD, true,
			"%u jobs of the organisation are waiting or running", o->jobs - 1);
	else
		return true;
	return false;
}

/* End the waiting jobs that a new document leaves no place for. */
void admit_recheck_queued(struct sched *s)
{
	g_autoptr(GPtrArray) out = g_ptr_array_new();

	for (GTreeNode *n = g_tree_node_first(s->queue); n != NULL; n = g_tree_node_next(n)) {
		if (is_crowded_out(s, g_tree_node_key(n)))
			g_ptr_array_add(out, g_tree_node_key(n));
	}
	for (guint i = 0; i < out->len; i++) {
		struct sched_job *j = out->pdata[i];

		sched_end(s, j, OUTCOME_NOT_RUN, ERR_IMPOSSIBLE, !j->ran,
			"the configuration changed: all that could take the job is guaranteed "
			"to others");
	}
}
