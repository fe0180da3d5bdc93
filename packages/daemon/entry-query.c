#include "entry-private.h"

#include <stdlib.h>
#include <string.h>

#define QUERY_TIMEOUT_NS       (5 * NSEC_PER_SEC)
#define NO_COORDINATOR_RETRY_S 3

/* Removes a query and frees it. */
static void close_query(struct open_query *q)
{
	g_hash_table_remove(q->entry->queries, &q->id);
	free(q->cell);
	free(q->msg.kind == MSG_QUERY ? q->msg.query.query_type : q->msg.cancel.job);
	if (q->msg.kind == MSG_QUERY) {
		free(q->msg.query.arg);
		free(q->msg.query.org);
	} else {
		free(q->msg.cancel.org);
	}
	json_decref(q->replies);
	free(q);
}

/* Answers with the replies received so far and closes the query. */
static void reply_merged(struct open_query *q)
{
	AUTOFREE char *text = json_dumps(q->replies, JSON_COMPACT | JSON_SORT_KEYS);

	http_reply_text(q->request, 200, "application/json", text);
	close_query(q);
}

/* Sends the query to a cell; false if the coordinator is not connected. */
static bool send_to_cell(struct open_query *q, struct cell_link *l)
{
	if (l == NULL || !l->ready || !cell_link_send(q->entry, l, &q->msg))
		return false;
	q->replies_pending++;
	return true;
}

/* Registers a query and sends it. Posted to the loop by an HTTP thread. */
void query_open(struct open_query *q)
{
	struct entry *e = q->entry;
	GHashTableIter it;
	gpointer value;

	q->id = ++e->last_query_id;
	q->sent_at = loop_now(e->p->loop);
	q->replies = json_array();
	if (q->msg.kind == MSG_QUERY)
		q->msg.query.request = q->id;
	else
		q->msg.cancel.request = q->id;
	g_hash_table_insert(e->queries, &q->id, q);
	if (q->cell != NULL) {
		send_to_cell(q, cell_link_find(e, q->cell));
	} else {
		g_hash_table_iter_init(&it, e->links);
		while (g_hash_table_iter_next(&it, NULL, &value))
			send_to_cell(q, value);
	}
	if (q->replies_pending > 0)
		return;
	if (q->all_cells)
		reply_merged(q);
	else {
		http_reply_problem_full(q->request, ERR_NO_COORDINATOR,
			"the cell has no coordinator; nothing can be said about the job", false,
			NO_COORDINATOR_RETRY_S, NULL);
		close_query(q);
	}
}

/* Handles the reply of one cell. */
void query_on_reply(struct entry *e, const struct msg_reply *r)
{
	struct open_query *q = g_hash_table_lookup(e->queries, &r->request);
	json_t *reply;

	if (q == NULL)
		return;
	if (!q->all_cells) {
		if (r->failed)
			http_reply_problem(q->request, r->error, r->json, NULL);
		else
			http_reply_text(q->request, 200, "application/json", r->json);
		close_query(q);
		return;
	}
	reply = r->failed ? NULL : json_loads(r->json, 0, NULL);
	if (json_is_array(reply))
		json_array_extend(q->replies, reply);
	else if (reply != NULL)
		json_array_append(q->replies, reply);
	json_decref(reply);
	if (--q->replies_pending == 0)
		reply_merged(q);
}

/*
 * Handles a job's result that was asked for with GET /v1/jobs/ID/result; returns false if the
 * message answers a submission instead.
 */
bool query_on_answer(struct entry *e, const struct msg_answer *a)
{
	struct open_query *q =
		a->request != 0 ? g_hash_table_lookup(e->queries, &a->request) : NULL;

	if (q != NULL && a->job != NULL) {
		reply_job_result(q->request, a->job, &a->result);
		close_query(q);
	}
	return a->request != 0;
}

/*
 * Answers and closes the queries that timed out; those sent to all cells are answered with the
 * replies received so far.
 */
void queries_check_timeouts(struct entry *e, int64_t now)
{
	g_autoptr(GPtrArray) expired = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->queries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (now - ((struct open_query *)value)->sent_at > QUERY_TIMEOUT_NS)
			g_ptr_array_add(expired, value);
	}
	for (guint i = 0; i < expired->len; i++) {
		struct open_query *q = expired->pdata[i];

		if (q->all_cells) {
			reply_merged(q);
			continue;
		}
		http_reply_problem_full(q->request, ERR_NO_COORDINATOR,
			"the coordinator did not answer in time", false, NO_COORDINATOR_RETRY_S,
			NULL);
		close_query(q);
	}
}
