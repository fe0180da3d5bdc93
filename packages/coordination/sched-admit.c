#include "sched-private.h"

/* Admission control: rejects jobs that can never run or that exceed a quota or queue limit. */

/*
 * Returns the number of accelerators that the declared topology has within an adjacency; 0 if
 * no topology is declared.
 */
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

/* Returns the accelerators that are guaranteed to all other organisations. */
static uint32_t guaranteed_to_others(const struct sched *s, uint32_t org)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < s->orgs->len; i++) {
		if (i != org)
			sum += sched_org_at(s, i)->guaranteed;
	}
	return sum;
}

/*
 * Returns whether on some worker the share of one accelerator covers what the job needs per
 * accelerator; true if no worker is known yet.
 */
static bool share_covers_somewhere(const struct sched *s, const struct sched_job *j)
{
	struct sched_res need = res_need(j, 1);

	for (uint32_t i = 0; i < s->workers->len; i++) {
		if (share_covers(sched_worker_at(s, i), &need, 1))
			return true;
	}
	return s->workers->len == 0;
}

/*
 * Returns whether a job that cannot be stopped would not fit even into an empty cell, because
 * too much of the cell is guaranteed to other organisations. A job cannot be charged to a
 * guarantee if it has no accelerators or needs more of the other resources per accelerator than
 * belong to an accelerator on any worker; such a job must not use the guarantee of its own
 * organisation either.
 */
static bool is_excluded_by_guarantees(const struct sched *s, const struct sched_job *j)
{
	const struct sched_org *o = sched_org_at(s, j->org);
	uint32_t others = guaranteed_to_others(s, j->org);
	uint32_t all = topology_max(s, ADJACENCY_ANY);

	if (s->policy != SCHED_POLICY_FULL || s->declared_workers == 0 || job_stoppable(j))
		return false;
	/*
	 * Only accelerators that nobody is guaranteed count here. A job without accelerators
	 * needs the other resources of one of them.
	 */
	if (j->accelerators == 0 || !share_covers_somewhere(s, j))
		return j->accelerators + o->guaranteed + others > all - (j->accelerators == 0);
	return j->accelerators > o->guaranteed && j->accelerators + others > all;
}

/* Returns whether a job is admitted; ends the job if it is not. */
bool admit_job(struct sched *s, struct sched_job *j)
{
	const struct sched_org *o = sched_org_at(s, j->org);
	uint32_t limit = topology_max(s, j->adjacency);
	uint32_t class_queue_max = GPOINTER_TO_UINT(
		g_hash_table_lookup(s->class_queue_max, GUINT_TO_POINTER(j->class_priority)));
	uint32_t class_jobs = GPOINTER_TO_UINT(
		g_hash_table_lookup(o->class_jobs, GUINT_TO_POINTER(j->class_priority)));

	if (s->declared_workers > 0 && j->accelerators > limit)
		sched_end(s, j, OUTCOME_NOT_RUN, ERR_IMPOSSIBLE, true,
			"%u accelerators within %s were asked for; the cell has %u at most",
			j->accelerators, adjacency_name(j->adjacency), limit);
	else if (o->quota_accelerators > 0 && j->accelerators > o->quota_accelerators)
		sched_end(s, j, OUTCOME_NOT_RUN, ERR_QUOTA, true,
			"%u accelerators were asked for; the quota is %u", j->accelerators,
			o->quota_accelerators);
	else if (is_excluded_by_guarantees(s, j))
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

/*
 * Ends the queued jobs that can never run under a new configuration because too much is
 * guaranteed to other organisations. Quotas, queue limits and the declared topology are not
 * checked again.
 */
void admit_recheck_queued(struct sched *s)
{
	g_autoptr(GPtrArray) excluded = g_ptr_array_new();

	for (GTreeNode *n = g_tree_node_first(s->queue); n != NULL; n = g_tree_node_next(n)) {
		if (is_excluded_by_guarantees(s, g_tree_node_key(n)))
			g_ptr_array_add(excluded, g_tree_node_key(n));
	}
	for (guint i = 0; i < excluded->len; i++) {
		struct sched_job *j = excluded->pdata[i];

		sched_end(s, j, OUTCOME_NOT_RUN, ERR_IMPOSSIBLE, !j->ran,
			"the configuration changed: all that could take the job is guaranteed "
			"to others");
	}
}
