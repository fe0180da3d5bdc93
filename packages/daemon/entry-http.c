#include "entry-private.h"

#include <stdlib.h>
#include <string.h>

/* Callback of loop_post: calls query_open on the loop. */
static void query_open_cb(void *arg)
{
	query_open(arg);
}

/* Posts a query, or a drain command, to the loop; with a NULL cell it is sent to all cells. */
static void post_query(struct entry *e, struct http_request *r, const char *cell,
	const char *query_type, const char *arg, const char *org)
{
	struct open_query *q = xcalloc(1, sizeof(*q));

	q->entry = e;
	q->request = r;
	q->cell = xstrdup(cell);
	q->all_cells = cell == NULL;
	q->msg.kind = MSG_QUERY;
	q->msg.query.query_type = xstrdup(query_type);
	q->msg.query.arg = xstrdup(arg);
	q->msg.query.org = xstrdup(org);
	loop_post(e->p->loop, query_open_cb, q);
}

/* Posts the cancellation of a job to the loop. */
static void post_cancel(struct entry *e, struct http_request *r, const char *cell,
	const char *job, const char *org)
{
	struct open_query *q = xcalloc(1, sizeof(*q));

	q->entry = e;
	q->request = r;
	q->cell = xstrdup(cell);
	q->msg.kind = MSG_CANCEL;
	q->msg.cancel.job = xstrdup(job);
	q->msg.cancel.org = xstrdup(org);
	loop_post(e->p->loop, query_open_cb, q);
}

/*
 * Sets org to the organisation that a read or a cancellation is limited to, or to NULL for all.
 * Only operators may act for all; others must name an organisation that their token covers. If
 * access is denied, answers the request and returns false.
 */
static bool caller_org(struct http_request *r, const struct entry_view *v, const char **org)
{
	const char *name = http_query(r, "organisation");
	const struct doc_org *o = name != NULL ? doc_find_org(v->doc, name) : NULL;

	*org = NULL;
	if (name != NULL && o == NULL) {
		http_reply_problem(r, ERR_NOT_FOUND, "there is no such organisation", NULL);
		return false;
	}
	if (o != NULL && auth_org(r, v->doc, o)) {
		*org = o->name;
		return true;
	}
	if (auth_operator(r, v->doc)) {
		*org = o != NULL ? o->name : NULL;
		return true;
	}
	http_reply_problem(r, ERR_UNAUTHORISED,
		"name an organisation (?organisation=) that your token covers", NULL);
	return false;
}

/*
 * Returns the cell part of a job id, "CELL~HEX", or NULL if the id is malformed. Ids may be
 * longer than JOB_ID_MAX, up to twice that.
 */
static char *job_id_cell(const char *id)
{
	const char *separator = strrchr(id, '~');

	if (separator == NULL || separator == id || strlen(id) >= 2 * JOB_ID_MAX)
		return NULL;
	return bytes_copy(id, (size_t)(separator - id)).data;
}

/* GET /v1/jobs/ID[/result|/explain] and DELETE /v1/jobs/ID. */
static void job_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	AUTOFREE char *id = xstrdup(http_path(r) + strlen("/v1/jobs/"));
	char *subpath = strchr(id, '/');
	AUTOFREE char *cell = NULL;
	const char *org;

	if (subpath != NULL)
		*subpath++ = '\0';
	cell = job_id_cell(id);
	if (cell == NULL) {
		http_reply_problem(r, ERR_NOT_FOUND, "there is no job with this id", NULL);
		return;
	}
	if (!caller_org(r, v, &org))
		return;
	if (strcmp(http_method(r), "DELETE") == 0 && subpath == NULL)
		post_cancel(e, r, cell, id, org);
	else if (strcmp(http_method(r), "GET") != 0)
		http_reply_problem(r, ERR_INVALID, "use GET or DELETE", NULL);
	else if (subpath == NULL)
		post_query(e, r, cell, "job", id, org);
	else if (strcmp(subpath, "result") == 0 || strcmp(subpath, "explain") == 0)
		post_query(e, r, cell, subpath, id, org);
	else
		http_reply_problem(r, ERR_NOT_FOUND, "no such path", NULL);
}

/*
 * POST /v1/workers/NAME/drain?on=yes|no: starts or ends a drain of the worker in every cell
 * that has it. The command is sent to all cells, as a query of type "drain".
 */
static void drain_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	AUTOFREE char *name = xstrdup(http_path(r) + strlen("/v1/workers/"));
	char *subpath = strchr(name, '/');
	const char *on = http_query(r, "on");
	AUTOFREE char *arg = NULL;

	if (subpath == NULL || strcmp(subpath, "/drain") != 0 ||
		strcmp(http_method(r), "POST") != 0) {
		http_reply_problem(r, ERR_NOT_FOUND, "no such path", NULL);
		return;
	}
	*subpath = '\0';
	if (!auth_operator(r, v->doc)) {
		http_reply_problem(r, ERR_UNAUTHORISED, "an operator's token is needed", NULL);
		return;
	}
	xasprintf(&arg, "%s:%s", name, on != NULL && strcmp(on, "no") == 0 ? "off" : "on");
	post_query(e, r, NULL, "drain", arg, NULL);
}

/* Paths of lists that are merged from the replies of all cells. */
static const struct list_route {
	const char *path;
	const char *query_type;
	bool operators_only;
} list_routes[] = {
	{"/v1/jobs", "jobs", false},
	{"/v1/organisations", "orgs", false},
	{"/v1/workers", "workers", true},
	{"/v1/cells", "cell", true},
	{"/v1/audit", "audit", true},
};

/* Handles the lists; false if the path is not one of them. */
static bool list_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	for (size_t i = 0; i < ARRAY_LEN(list_routes); i++) {
		const char *org = NULL;

		if (strcmp(list_routes[i].path, http_path(r)) != 0 ||
			strcmp(http_method(r), "GET") != 0)
			continue;
		if (list_routes[i].operators_only && !auth_operator(r, v->doc))
			http_reply_problem(
				r, ERR_UNAUTHORISED, "an operator's token is needed", NULL);
		else if (list_routes[i].operators_only || caller_org(r, v, &org))
			post_query(e, r, NULL, list_routes[i].query_type, NULL, org);
		return true;
	}
	return false;
}

/* Handles metrics and health checks, which need no configuration; false for other paths. */
static bool monitoring_request(struct entry *e, struct http_request *r)
{
	bool ready = !__atomic_load_n(&e->stopping, __ATOMIC_RELAXED);

	if (strcmp(http_path(r), "/metrics") == 0) {
		g_autofree char *text = counter_render();

		http_reply_text(r, 200, "text/plain; version=0.0.4", text);
	} else if (strcmp(http_path(r), "/healthz") == 0) {
		http_reply_text(r, 200, "text/plain", "ok\n");
	} else if (strcmp(http_path(r), "/readyz") == 0) {
		rcu_enter();
		ready = ready && rcu_read(&e->view) != NULL;
		rcu_leave();
		http_reply_text(
			r, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
	} else {
		return false;
	}
	return true;
}

/* Routes a request that needs the configuration. */
static void route(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	const char *path = http_path(r);

	if (strcmp(path, "/v1/jobs") == 0 && strcmp(http_method(r), "POST") == 0) {
		if (__atomic_load_n(&e->stopping, __ATOMIC_RELAXED))
			http_reply_problem(r, ERR_DRAINING, NULL, NULL);
		else
			submit_request(e, r, v);
	} else if (g_str_has_prefix(path, "/v1/jobs/")) {
		job_request(e, r, v);
	} else if (g_str_has_prefix(path, "/v1/workers/")) {
		drain_request(e, r, v);
	} else if (!list_request(e, r, v) && !config_request(e, r, v)) {
		http_reply_problem(r, ERR_NOT_FOUND, "no such path", NULL);
	}
}

/* Handles an HTTP request. Runs on an HTTP thread. */
void entry_request(struct http_request *r, void *arg)
{
	struct entry *e = arg;
	const struct entry_view *v;

	if (!__atomic_load_n(&e->store_up, __ATOMIC_RELAXED))
		http_reply_header(r, "Damaskpath-Store", "down");
	if (monitoring_request(e, r))
		return;
	rcu_enter();
	v = rcu_read(&e->view);
	if (v == NULL)
		http_reply_problem(r, ERR_STORE_DOWN,
			"this entry has not seen the configuration yet", NULL);
	else
		route(e, r, v);
	rcu_leave();
}
