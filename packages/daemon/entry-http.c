#include "entry-private.h"

#include <stdlib.h>
#include <string.h>

/* The posted half of a question. */
static void query_posted(void *arg)
{
	query_open(arg);
}

/* Hand a question to the loop; cell NULL asks all cells. */
static void post_query(struct entry *e, struct http_request *r, const char *cell,
	const char *what, const char *arg, const char *org)
{
	struct open_query *q = xcalloc(1, sizeof(*q));

	q->entry = e;
	q->request = r;
	q->cell = xstrdup(cell);
	q->gather = cell == NULL;
	q->msg.kind = MSG_QUERY;
	q->msg.query.what = xstrdup(what);
	q->msg.query.arg = xstrdup(arg);
	q->msg.query.org = xstrdup(org);
	loop_post(e->p->loop, query_posted, q);
}

/* Hand a cancellation to the loop. */
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
	loop_post(e->p->loop, query_posted, q);
}

/*
 * The organisation that a reader is bound to: operators see all, others must name one that
 * their token covers. False where the request has been answered.
 */
static bool reader_org(struct http_request *r, const struct entry_view *v, const char **org)
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

/* The cell in a job's id; NULL where the id is malformed. */
static char *cell_of(const char *id)
{
	const char *mark = strrchr(id, '~');

	if (mark == NULL || mark == id || strlen(id) >= 2 * JOB_ID_MAX)
		return NULL;
	return bytes_copy(id, (size_t)(mark - id)).data;
}

/* /v1/jobs/ID[/result|/explain]. */
static void job_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	AUTOFREE char *id = xstrdup(http_path(r) + strlen("/v1/jobs/"));
	char *word = strchr(id, '/');
	AUTOFREE char *cell = NULL;
	const char *org;

	if (word != NULL)
		*word++ = '\0';
	cell = cell_of(id);
	if (cell == NULL) {
		http_reply_problem(r, ERR_NOT_FOUND, "there is no job with this id", NULL);
		return;
	}
	if (!reader_org(r, v, &org))
		return;
	if (strcmp(http_method(r), "DELETE") == 0 && word == NULL)
		post_cancel(e, r, cell, id, org);
	else if (strcmp(http_method(r), "GET") != 0)
		http_reply_problem(r, ERR_INVALID, "use GET or DELETE", NULL);
	else if (word == NULL)
		post_query(e, r, cell, "job", id, org);
	else if (strcmp(word, "result") == 0 || strcmp(word, "explain") == 0)
		post_query(e, r, cell, word, id, org);
	else
		http_reply_problem(r, ERR_NOT_FOUND, "no such path", NULL);
}

/* POST /v1/workers/NAME/drain?on=yes|no */
static void drain_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	AUTOFREE char *name = xstrdup(http_path(r) + strlen("/v1/workers/"));
	char *word = strchr(name, '/');
	const char *on = http_query(r, "on");
	AUTOFREE char *arg = NULL;

	if (word == NULL || strcmp(word, "/drain") != 0 ||
		strcmp(http_method(r), "POST") != 0) {
		http_reply_problem(r, ERR_NOT_FOUND, "no such path", NULL);
		return;
	}
	*word = '\0';
	if (!auth_operator(r, v->doc)) {
		http_reply_problem(r, ERR_UNAUTHORISED, "an operator's token is needed", NULL);
		return;
	}
	xasprintf(&arg, "%s:%s", name, on != NULL && strcmp(on, "no") == 0 ? "off" : "on");
	post_query(e, r, NULL, "drain", arg, NULL);
}

/* Lists that all cells contribute to. */
static const struct list_entry {
	const char *path;
	const char *what;
	bool operators;
} lists[] = {
	{"/v1/jobs", "jobs", false},
	{"/v1/organisations", "orgs", false},
	{"/v1/workers", "workers", true},
	{"/v1/cells", "cell", true},
	{"/v1/audit", "audit", true},
};

/* Answer a list; false where the path is none. */
static bool list_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	for (size_t i = 0; i < ARRAY_LEN(lists); i++) {
		const char *org = NULL;

		if (strcmp(lists[i].path, http_path(r)) != 0 ||
			strcmp(http_method(r), "GET") != 0)
			continue;
		if (lists[i].operators && !auth_operator(r, v->doc))
			http_reply_problem(
				r, ERR_UNAUTHORISED, "an operator's token is needed", NULL);
		else if (lists[i].operators || reader_org(r, v, &org))
			post_query(e, r, NULL, lists[i].what, NULL, org);
		return true;
	}
	return false;
}

/* Paths that need no configuration; false where the path is none of them. */
static bool plain_request(struct entry *e, struct http_request *r)
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

/* Route a request that needs the configuration. */
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

/* A request to the entry's HTTP address. Runs on an HTTP thread. */
void entry_request(struct http_request *r, void *arg)
{
	struct entry *e = arg;
	const struct entry_view *v;

	if (!__atomic_load_n(&e->store_up, __ATOMIC_RELAXED))
		http_reply_header(r, "Damaskpath-Store", "down");
	if (plain_request(e, r))
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
