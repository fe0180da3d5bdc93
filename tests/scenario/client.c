#include "runner.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SUBMIT_TIMEOUT (120 * NSEC_PER_SEC)

/*
 * Set a job's outcome from a response: 202 only gives an ID, a problem document an error, and
 * anything else counts as done.
 */
static void parse_response(struct job *j, const struct http_call *c)
{
	json_t *o = json_loadb(c->answer.data, c->answer.len, 0, NULL);
	bool problem = c->type != NULL && strcmp(c->type, "application/problem+json") == 0;

	j->status = c->status;
	j->response = bytes_copy(c->answer.data, c->answer.len).data;
	if (problem) {
		const char *outcome = json_string_value(json_object_get(o, "outcome"));
		const char *kind = json_string_value(json_object_get(o, "kind"));

		j->not_run = json_is_true(json_object_get(o, "not_run"));
		j->outcome = xstrdup(outcome != NULL ? outcome
				     : j->not_run    ? "not_run"
						     : "unknown");
		j->error_name = xstrdup(kind);
	} else if (c->status == 202) {
		j->id = xstrdup(json_string_value(json_object_get(o, "id")));
	} else {
		j->outcome = xstrdup("done");
	}
	json_decref(o);
}

/* Return the address of the entry that a job names, or of any entry. */
static const char *job_entry_addr(struct scenario *s, const struct job *j)
{
	struct proc *p = j->entry_name != NULL ? proc_find(s, j->entry_name) : NULL;

	return p != NULL ? p->addr : any_entry_addr(s);
}

struct submission {
	struct scenario *s;
	struct job *job;
	char *url;
};

/* Submit a job and wait for the response, on a thread of its own. */
static void *submit_thread(void *arg)
{
	struct submission *sub = arg;
	struct job *j = sub->job;
	struct http_call *c = http_call_new("POST", sub->url);

	if (j->key != NULL)
		http_call_header(c, "Idempotency-Key", j->key);
	if (j->async)
		http_call_header(c, "Prefer", "respond-async");
	c->body = bytes_copy(j->body, strlen(j->body));
	c->timeout = SUBMIT_TIMEOUT;
	http_call_run(c);
	if (c->error != NULL && c->never_sent)
		j->outcome = xstrdup("refused");
	else if (c->error != NULL) {
		j->cut = true;
		fprintf(stderr, "job %s: connection failed: %s\n", j->name, c->error->message);
	} else
		parse_response(j, c);
	http_call_free(c);
	free(sub->url);
	free(sub);
	__atomic_store_n(&j->call_returned, true, __ATOMIC_RELEASE);
	return NULL;
}

/* Start a thread that submits a job. */
void client_submit(struct scenario *s, struct job *j)
{
	struct submission *sub = xcalloc(1, sizeof(*sub));

	sub->s = s;
	sub->job = j;
	xasprintf(&sub->url, "http://%s/v1/jobs", job_entry_addr(s, j));
	j->thread_started = pthread_create(&j->thread, NULL, submit_thread, sub) == 0;
}

/* GET a path of an entry, or of any entry if entry is NULL; the body may be NULL. */
json_t *client_get(struct scenario *s, const char *entry, const char *path, int *status)
{
	AUTOFREE char *url = NULL;
	struct http_call *c;
	json_t *o;

	xasprintf(&url, "http://%s%s", entry != NULL ? entry : any_entry_addr(s), path);
	c = http_call_new("GET", url);
	c->timeout = 10 * NSEC_PER_SEC;
	http_call_run(c);
	*status = c->status;
	o = json_loadb(c->answer.data, c->answer.len, JSON_DECODE_ANY, NULL);
	http_call_free(c);
	return o;
}

/*
 * PUT a text to a path, or POST it if the path is /control. Returns the status, or 0 if there
 * was no response.
 */
int client_put(const char *entry, const char *path, const char *text, json_t **answer)
{
	AUTOFREE char *url = NULL;
	bool control = strcmp(path, "/control") == 0;
	struct http_call *c;
	int status;

	xasprintf(&url, "http://%s%s", entry, path);
	c = http_call_new(control ? "POST" : "PUT", url);
	c->body = bytes_copy(text, strlen(text));
	c->timeout = 30 * NSEC_PER_SEC;
	http_call_run(c);
	status = c->status;
	if (answer != NULL)
		*answer = json_loadb(c->answer.data, c->answer.len, 0, NULL);
	http_call_free(c);
	return status;
}

/* Query an accepted job without an outcome and record how it ended, if it has. */
void client_poll(struct scenario *s, struct job *j)
{
	AUTOFREE char *path = NULL;
	const char *state;
	json_t *o;
	int status;

	if (j->id == NULL || j->outcome != NULL)
		return;
	xasprintf(&path, "/v1/jobs/%s", j->id);
	o = client_get(s, NULL, path, &status);
	state = json_string_value(json_object_get(o, "state"));
	if (status == 200 && state != NULL && strcmp(state, "ended") == 0) {
		j->outcome = xstrdup(json_string_value(json_object_get(o, "outcome")));
		j->error_name = xstrdup(json_string_value(json_object_get(o, "error")));
		j->not_run = json_is_true(json_object_get(o, "not_run"));
	}
	json_decref(o);
}
