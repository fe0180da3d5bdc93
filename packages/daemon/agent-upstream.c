#include "agent-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * The upstream's side of HTTP. It announces itself with POST /v1/upstream and leaves with
 * DELETE /v1/upstream; tasks go to it as POST /tasks and are answered when they end; 503 says
 * that a task was not begun, 409 that it was stopped.
 */

#define TTL_MAX	       (3 * NSEC_PER_SEC)
#define CALL_TIMEOUT   (10 * NSEC_PER_SEC)
#define STATUS_STOPPED 409
#define STATUS_REFUSED 503

/* A task on its way, or a request to save its state. */
struct task {
	struct agent *agent;
	char *job;
	uint32_t attempt;
};

/* Free a task. */
static void task_free(struct task *t)
{
	free(t->job);
	free(t);
}

/* A task for a member. */
static struct task *task_new(struct agent *a, const struct agent_member *m)
{
	struct task *t = xcalloc(1, sizeof(*t));

	t->agent = a;
	t->job = xstrdup(m->record.spec.id);
	t->attempt = m->record.attempt;
	return t;
}

/* How a member ended, from the upstream's answer. */
static enum member_end end_of(const struct http_call *c)
{
	if (c->error != NULL)
		return c->never_sent ? MEMBER_END_NEVER_STARTED : MEMBER_END_UNKNOWN;
	if (c->status == STATUS_REFUSED)
		return MEMBER_END_NEVER_STARTED;
	if (c->status == STATUS_STOPPED)
		return MEMBER_END_STOPPED;
	return c->status >= 500 ? MEMBER_END_FAILED : MEMBER_END_DONE;
}

/* The upstream answered a task. */
static void on_task_done(struct http_call *c, void *arg)
{
	struct task *t = arg;
	enum member_end end = end_of(c);
	struct job_result r = {
		.status = (uint32_t)c->status, .type = c->type, .body = c->answer};
	AUTOFREE char *detail = NULL;

	if (end == MEMBER_END_FAILED)
		xasprintf(&detail, "the upstream answered with status %d", c->status);
	else if (c->error != NULL)
		xasprintf(&detail, "the upstream did not answer: %s", c->error->message);
	r.detail = detail;
	agent_core_task_ended(
		t->agent->core, loop_now(t->agent->p->loop), t->job, t->attempt, end, &r);
	task_free(t);
	http_call_free(c);
}

/* Add a number as a header. */
static void number_header(struct http_call *c, const char *name, uint32_t value)
{
	char text[16];

	snprintf(text, sizeof(text), "%u", value);
	http_call_header(c, name, text);
}

/* Hand a member to the upstream. */
void upstream_start_task(void *arg, const struct agent_member *m)
{
	struct agent *a = arg;
	const struct agent_upstream *u = agent_core_upstream(a->core);
	const struct member_record *r = &m->record;
	AUTOFREE char *url = NULL;
	struct http_call *c;

	xasprintf(&url, "http://%s/tasks", u->addr);
	c = http_call_new("POST", url);
	http_call_header(c, "Damaskpath-Job", r->spec.id);
	http_call_header(c, "Content-Type",
		r->spec.payload_type != NULL ? r->spec.payload_type
					     : "application/octet-stream");
	number_header(c, "Damaskpath-Attempt", r->attempt);
	number_header(c, "Damaskpath-Member", r->member);
	number_header(c, "Damaskpath-Size", r->size);
	number_header(c, "Damaskpath-Accelerators", r->accelerators);
	if (m->checkpoint.len > 0) {
		g_autofree char *text = g_base64_encode(m->checkpoint.data, m->checkpoint.len);

		http_call_header(c, "Damaskpath-Checkpoint", text);
	}
	c->body = bytes_copy(r->spec.payload.data, r->spec.payload.len);
	c->done = on_task_done;
	c->arg = task_new(a, m);
	log_debug("agent", "A task starts. job=%s attempt=%u member=%u", r->spec.id, r->attempt,
		r->member);
	http_client_send(a->client, c);
}

/* The upstream saved a task's state, or could not. */
static void on_checkpointed(struct http_call *c, void *arg)
{
	struct task *t = arg;
	bool ok = c->error == NULL && c->status == 200;

	agent_core_checkpointed(t->agent->core, loop_now(t->agent->p->loop), t->job, t->attempt,
		ok ? &c->answer : NULL);
	task_free(t);
	http_call_free(c);
}

/* Nothing depends on the answer to a stop: the task's own answer tells. */
static void on_stop_done(struct http_call *c, void *arg)
{
	(void)arg;
	http_call_free(c);
}

/* Send one word about a task to the upstream. */
static void send_word(struct agent *a, const struct agent_member *m, const char *word,
	void (*done)(struct http_call *, void *), void *arg)
{
	const struct agent_upstream *u = agent_core_upstream(a->core);
	AUTOFREE char *url = NULL;
	struct http_call *c;

	xasprintf(&url, "http://%s/tasks/%s-%u-%u/%s", u->addr, m->record.spec.id,
		m->record.attempt, m->record.member, word);
	c = http_call_new("POST", url);
	c->body = bytes_copy("", 0);
	c->timeout = CALL_TIMEOUT;
	c->done = done;
	c->arg = arg;
	http_client_send(a->client, c);
}

/* Ask the upstream to stop a task, saving its state first where that is wanted. */
void upstream_stop_task(void *arg, const struct agent_member *m, enum stop_mode mode)
{
	struct agent *a = arg;

	if (mode != STOP_CHECKPOINT) {
		send_word(a, m, "stop", on_stop_done, NULL);
		return;
	}
	send_word(a, m, "throttle", on_stop_done, NULL);
	send_word(a, m, "checkpoint", on_checkpointed, task_new(a, m));
}

/* An announcement that crosses from the HTTP thread to the loop. */
struct announcement {
	struct agent *agent;
	bool leave;
	struct agent_upstream upstream;
	int64_t ttl;
};

/* The announcement on the loop. */
static void announce_posted(void *arg)
{
	struct announcement *n = arg;
	struct agent *a = n->agent;
	int64_t now = loop_now(a->p->loop);

	if (n->leave) {
		agent_core_leave(a->core, now);
	} else {
		n->upstream.expires = now + n->ttl;
		agent_core_announce(a->core, now, &n->upstream);
	}
	free(n->upstream.addr);
	free(n->upstream.worker);
	free(n->upstream.rack);
	free(n->upstream.zone);
	free(n);
}

/* Read a count from an announcement. */
static uint32_t count_of(const json_t *o, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(o, name));

	return v > 0 && v <= INT32_MAX ? (uint32_t)v : 0;
}

/* Read a text; a missing one is the given default. */
static char *text_of(const json_t *o, const char *name, const char *missing)
{
	const char *v = json_string_value(json_object_get(o, name));

	return xstrdup(v != NULL && strlen(v) < JOB_NAME_MAX * 4 ? v : missing);
}

/* An upstream announces itself. */
static void on_announce(struct http_request *r, struct agent *a)
{
	const struct bytes *body = http_body(r);
	json_t *o = json_loadb(body->data, body->len, 0, NULL);
	struct announcement *n;
	double ttl = json_number_value(json_object_get(o, "ttl_s"));

	if (!json_is_string(json_object_get(o, "address")) ||
		!json_is_string(json_object_get(o, "worker")) || count_of(o, "slots") == 0) {
		http_reply_problem(
			r, ERR_INVALID, "address, worker and slots are needed", NULL);
		json_decref(o);
		return;
	}
	n = xcalloc(1, sizeof(*n));
	n->agent = a;
	n->ttl = ttl > 0 ? MIN((int64_t)(ttl * (double)NSEC_PER_SEC), TTL_MAX) : TTL_MAX;
	n->upstream.addr = text_of(o, "address", "");
	n->upstream.worker = text_of(o, "worker", "");
	n->upstream.rack = text_of(o, "rack", "rack-1");
	n->upstream.zone = text_of(o, "zone", a->p->zone);
	n->upstream.accelerators =
		MIN(count_of(o, "accelerators"), (uint32_t)JOB_ACCELERATORS_MAX);
	n->upstream.slots = count_of(o, "slots");
	n->upstream.connections = count_of(o, "connections");
	if (n->upstream.connections == 0)
		n->upstream.connections = n->upstream.slots;
	n->upstream.cores = count_of(o, "cores");
	n->upstream.memory_mb = count_of(o, "memory_mb");
	n->upstream.usage_percent = count_of(o, "usage_percent");
	json_decref(o);
	loop_post(a->p->loop, announce_posted, n);
	http_reply_text(r, 200, "application/json", "{}\n");
}

/* An upstream leaves. */
static void on_leave(struct http_request *r, struct agent *a)
{
	struct announcement *n = xcalloc(1, sizeof(*n));

	n->agent = a;
	n->leave = true;
	loop_post(a->p->loop, announce_posted, n);
	http_reply_text(r, 200, "application/json", "{}\n");
}

/* The counters in text form. */
static void on_metrics(struct http_request *r)
{
	g_autofree char *text = counter_render();

	http_reply_text(r, 200, "text/plain; version=0.0.4", text);
}

/* Whether a coordinator has this agent, which is not stopping. */
static void on_ready(struct http_request *r, struct agent *a)
{
	bool ready = __atomic_load_n(&a->ready, __ATOMIC_RELAXED);

	http_reply_text(r, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

/* A request to the agent's HTTP address. */
void upstream_handle_request(struct http_request *r, void *arg)
{
	struct agent *a = arg;
	const char *path = http_path(r);
	const char *method = http_method(r);

	if (strcmp(path, "/v1/upstream") == 0 && strcmp(method, "POST") == 0)
		on_announce(r, a);
	else if (strcmp(path, "/v1/upstream") == 0 && strcmp(method, "DELETE") == 0)
		on_leave(r, a);
	else if (strcmp(path, "/metrics") == 0)
		on_metrics(r);
	else if (strcmp(path, "/healthz") == 0)
		http_reply_text(r, 200, "text/plain", "ok\n");
	else if (strcmp(path, "/readyz") == 0)
		on_ready(r, a);
	else
		http_reply_problem(r, ERR_NOT_FOUND, "no such path", NULL);
}
