#include "entry-private.h"

#include <stdlib.h>
#include <string.h>

#define QUERY_TIMEOUT (5 * NSEC_PER_SEC)

/* Forget a question. */
static void close_query(struct open_query *q)
{
	g_hash_table_remove(q->entry->queries, &q->id);
	free(q->cell);
	free(q->msg.kind == MSG_QUERY ? q->msg.query.what : q->msg.cancel.job);
	if (q->msg.kind == MSG_QUERY) {
		free(q->msg.query.arg);
		free(q->msg.query.org);
	} else {
		free(q->msg.cancel.org);
	}
	json_decref(q->replies);
	free(q);
}

/* Answer with the parts that came. */
static void answer_parts(struct open_query *q)
{
	AUTOFREE char *text = json_dumps(q->replies, JSON_COMPACT | JSON_SORT_KEYS);

	http_reply_text(q->request, 200, "application/json", text);
	close_query(q);
}

/* Send the question to one cell. */
static bool ask_cell(struct open_query *q, struct cell_link *l)
{
	if (l == NULL || !l->ready || !link_send_msg(q->entry, l, &q->msg))
		return false;
	q->replies_pending++;
	return true;
}

/* A new question. Posted to the loop by an HTTP thread. */
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
		ask_cell(q, link_find(e, q->cell));
	} else {
		g_hash_table_iter_init(&it, e->links);
		while (g_hash_table_iter_next(&it, NULL, &value))
			ask_cell(q, value);
	}
	if (q->replies_pending > 0)
		return;
	if (q->gather)
		answer_parts(q);
	else {
		http_reply_outcome(q->request, ERR_NO_COORDINATOR,
			"the cell has no coordinator; nothing can be said about the job", false,
			3, NULL);
		close_query(q);
	}
}

/* One cell answered. */
void query_on_reply(struct entry *e, const struct msg_reply *r)
{
	struct open_query *q = g_hash_table_lookup(e->queries, &r->request);
	json_t *o;

	if (q == NULL)
		return;
	if (!q->gather) {
		if (r->failed)
			http_reply_problem(q->request, r->error, r->json, NULL);
		else
			http_reply_text(q->request, 200, "application/json", r->json);
		close_query(q);
		return;
	}
	o = r->failed ? NULL : json_loads(r->json, 0, NULL);
	if (json_is_array(o))
		json_array_extend(q->replies, o);
	else if (o != NULL)
		json_array_append(q->replies, o);
	json_decref(o);
	if (--q->replies_pending == 0)
		answer_parts(q);
}

/* The whole result of a job, for a caller that asked for it later. */
bool query_on_result(struct entry *e, const struct msg_answer *a)
{
	struct open_query *q =
		a->request != 0 ? g_hash_table_lookup(e->queries, &a->request) : NULL;

	if (q != NULL && a->job != NULL) {
		reply_job_result(q->request, a->job, &a->result);
		close_query(q);
	}
	return a->request != 0;
}

/* Answer the questions that wait too long. */
void queries_check_timeouts(struct entry *e, int64_t now)
{
	g_autoptr(GPtrArray) late = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->queries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (now - ((struct open_query *)value)->sent_at > QUERY_TIMEOUT)
			g_ptr_array_add(late, value);
	}
	for (guint i = 0; i < late->len; i++) {
		struct open_query *q = late->pdata[i];

		if (q->gather) {
			answer_parts(q);
			continue;
		}
		http_reply_outcome(q->request, ERR_NO_COORDINATOR,
			"the coordinator did not answer in time", false, 3, NULL);
		close_query(q);
	}
}
