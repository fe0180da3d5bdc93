#include "agent-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * HTTP between the agent and its upstream. The upstream announces itself with POST /v1/upstream
 * and repeats this before the announcement lapses, after at most ANNOUNCE_TTL_MAX_NS. With
 * DELETE /v1/upstream it says that it is leaving: running tasks continue, no new ones are
 * accepted. The agent starts a task with POST /tasks; the response arrives when the task ends.
 * Status 503 means that the task was not started, 409 that it was stopped.
 */

#define ANNOUNCE_TTL_MAX_NS (3 * NSEC_PER_SEC)
/* Size limit of each string in an announcement, including the terminating NUL. */
#define ANNOUNCE_TEXT_MAX_BYTES (JOB_NAME_MAX * 4)
#define COMMAND_TIMEOUT_NS	(10 * NSEC_PER_SEC)
#define HTTP_STATUS_STOPPED	409
#define HTTP_STATUS_REFUSED	503

/* Identifies the task that a pending HTTP call belongs to. */
struct task_ref {
	struct agent *agent;
	char *job;
	uint32_t attempt;
};

static void task_ref_free(struct task_ref *t)
{
	free(t->job);
	free(t);
}

static struct task_ref *task_ref_new(struct agent *a, const struct agent_member *m)
{
	struct task_ref *t = xcalloc(1, sizeof(*t));

	t->agent = a;
	t->job = xstrdup(m->record.spec.id);
	t->attempt = m->record.attempt;
	return t;
}

/* Derives how a member ended from the upstream's response. */
static enum member_end member_end_from_call(const struct http_call *c)
{
	if (c->error != NULL)
		return c->never_sent ? MEMBER_END_NEVER_STARTED : MEMBER_END_UNKNOWN;
	if (c->status == HTTP_STATUS_REFUSED)
		return MEMBER_END_NEVER_STARTED;
	if (c->status == HTTP_STATUS_STOPPED)
		return MEMBER_END_STOPPED;
	return c->status >= 500 ? MEMBER_END_FAILED : MEMBER_END_DONE;
}

/* Reports the end of a task to the agent core. */
static void on_task_done(struct http_call *c, void *arg)
{
	struct task_ref *t = arg;
	enum member_end end = member_end_from_call(c);
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
	task_ref_free(t);
	http_call_free(c);
}

static void add_number_header(struct http_call *c, const char *name, uint32_t value)
{
	char text[16];

	snprintf(text, sizeof(text), "%u", value);
	http_call_header(c, name, text);
}

/* Sends a member's task to the upstream. */
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
	add_number_header(c, "Damaskpath-Attempt", r->attempt);
	add_number_header(c, "Damaskpath-Member", r->member);
	add_number_header(c, "Damaskpath-Size", r->size);
	add_number_header(c, "Damaskpath-Accelerators", r->accelerators);
	if (m->checkpoint.len > 0) {
		g_autofree char *text = g_base64_encode(m->checkpoint.data, m->checkpoint.len);

		http_call_header(c, "Damaskpath-Checkpoint", text);
	}
	c->body = bytes_copy(r->spec.payload.data, r->spec.payload.len);
	c->done = on_task_done;
	c->arg = task_ref_new(a, m);
	log_debug("agent", "Starting a task. job=%s attempt=%u member=%u", r->spec.id,
		r->attempt, r->member);
	http_client_send(a->client, c);
}

/*
 * Passes the checkpoint of a task, which is the body of the upstream's response, to the agent
 * core; NULL if there was no response or its status is not 200.
 */
static void on_checkpointed(struct http_call *c, void *arg)
{
	struct task_ref *t = arg;
	bool ok = c->error == NULL && c->status == 200;

	agent_core_checkpointed(t->agent->core, loop_now(t->agent->p->loop), t->job, t->attempt,
		ok ? &c->answer : NULL);
	task_ref_free(t);
	http_call_free(c);
}

/* Ignores the response to a command: the response to POST /tasks reports the outcome. */
static void ignore_response(struct http_call *c, void *arg)
{
	(void)arg;
	http_call_free(c);
}

/* Sends a command for a task (stop, throttle or checkpoint) to the upstream. */
static void send_task_command(struct agent *a, const struct agent_member *m,
	const char *command, void (*done)(struct http_call *, void *), void *arg)
{
	const struct agent_upstream *u = agent_core_upstream(a->core);
	AUTOFREE char *url = NULL;
	struct http_call *c;

	xasprintf(&url, "http://%s/tasks/%s-%u-%u/%s", u->addr, m->record.spec.id,
		m->record.attempt, m->record.member, command);
	c = http_call_new("POST", url);
	c->body = bytes_copy("", 0);
	c->timeout = COMMAND_TIMEOUT_NS;
	c->done = done;
	c->arg = arg;
	http_client_send(a->client, c);
}

/* Stops a task or, with STOP_CHECKPOINT, throttles it and requests a checkpoint. */
void upstream_stop_task(void *arg, const struct agent_member *m, enum stop_mode mode)
{
	struct agent *a = arg;

	if (mode != STOP_CHECKPOINT) {
		send_task_command(a, m, "stop", ignore_response, NULL);
		return;
	}
	send_task_command(a, m, "throttle", ignore_response, NULL);
	send_task_command(a, m, "checkpoint", on_checkpointed, task_ref_new(a, m));
}

/* An upstream's announcement, posted from the HTTP thread to the loop. */
struct announcement {
	struct agent *agent;
	bool leave;
	struct agent_upstream upstream;
	int64_t ttl_ns;
};

/* Applies an announcement. Runs on the loop. */
static void apply_announcement(void *arg)
{
	struct announcement *n = arg;
	struct agent *a = n->agent;
	int64_t now = loop_now(a->p->loop);

	if (n->leave) {
		agent_core_upstream_leaving(a->core, now);
	} else {
		n->upstream.expires = now + n->ttl_ns;
		agent_core_upstream_announced(a->core, now, &n->upstream);
	}
	free(n->upstream.addr);
	free(n->upstream.worker);
	free(n->upstream.rack);
	free(n->upstream.zone);
	free(n);
}

/* Reads a count from a JSON object; 0 if it is absent or out of range. */
static uint32_t json_count(const json_t *o, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(o, name));

	return v > 0 && v <= INT32_MAX ? (uint32_t)v : 0;
}

/*
 * Returns a copy of a string in a JSON object, or of the fallback if the string is absent or
 * too long. The fallback for the address and the worker's name is the empty string.
 */
static char *json_text(const json_t *o, const char *name, const char *fallback)
{
	const char *v = json_string_value(json_object_get(o, name));

	return xstrdup(v != NULL && strlen(v) < ANNOUNCE_TEXT_MAX_BYTES ? v : fallback);
}

/* POST /v1/upstream. */
static void handle_announce(struct http_request *r, struct agent *a)
{
	const struct bytes *body = http_body(r);
	json_t *o = json_loadb(body->data, body->len, 0, NULL);
	struct announcement *n;
	double ttl_s = json_number_value(json_object_get(o, "ttl_s"));

	if (!json_is_string(json_object_get(o, "address")) ||
		!json_is_string(json_object_get(o, "worker")) || json_count(o, "slots") == 0) {
		http_reply_problem(
			r, ERR_INVALID, "address, worker and slots are needed", NULL);
		json_decref(o);
		return;
	}
	n = xcalloc(1, sizeof(*n));
	n->agent = a;
	n->ttl_ns = ttl_s > 0
			    ? MIN((int64_t)(ttl_s * (double)NSEC_PER_SEC), ANNOUNCE_TTL_MAX_NS)
			    : ANNOUNCE_TTL_MAX_NS;
	n->upstream.addr = json_text(o, "address", "");
	n->upstream.worker = json_text(o, "worker", "");
	n->upstream.rack = json_text(o, "rack", "rack-1");
	n->upstream.zone = json_text(o, "zone", a->p->zone);
	n->upstream.accelerators =
		MIN(json_count(o, "accelerators"), (uint32_t)JOB_ACCELERATORS_MAX);
	n->upstream.slots = json_count(o, "slots");
	/* The number of tasks is limited to the lower of slots and connections. */
	n->upstream.connections = json_count(o, "connections");
	if (n->upstream.connections == 0)
		n->upstream.connections = n->upstream.slots;
	n->upstream.cores = json_count(o, "cores");
	n->upstream.memory_mb = json_count(o, "memory_mb");
	/* As the upstream reports it; only shown to operators. */
	n->upstream.usage_percent = json_count(o, "usage_percent");
	json_decref(o);
	loop_post(a->p->loop, apply_announcement, n);
	http_reply_text(r, 200, "application/json", "{}\n");
}

/* DELETE /v1/upstream. */
static void handle_leave(struct http_request *r, struct agent *a)
{
	struct announcement *n = xcalloc(1, sizeof(*n));

	n->agent = a;
	n->leave = true;
	loop_post(a->p->loop, apply_announcement, n);
	http_reply_text(r, 200, "application/json", "{}\n");
}

/* GET /metrics. */
static void handle_metrics(struct http_request *r)
{
	g_autofree char *text = counter_render();

	http_reply_text(r, 200, "text/plain; version=0.0.4", text);
}

/* GET /readyz: ready while registered with a coordinator and not stopping. */
static void handle_readiness(struct http_request *r, struct agent *a)
{
	bool ready = __atomic_load_n(&a->ready, __ATOMIC_RELAXED);

	http_reply_text(r, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

/* Dispatches a request to the agent's HTTP address. Runs on the HTTP thread. */
void upstream_handle_request(struct http_request *r, void *arg)
{
	struct agent *a = arg;
	const char *path = http_path(r);
	const char *method = http_method(r);

	if (strcmp(path, "/v1/upstream") == 0 && strcmp(method, "POST") == 0)
		handle_announce(r, a);
	else if (strcmp(path, "/v1/upstream") == 0 && strcmp(method, "DELETE") == 0)
		handle_leave(r, a);
	else if (strcmp(path, "/metrics") == 0)
		handle_metrics(r);
	else if (strcmp(path, "/healthz") == 0)
		http_reply_text(r, 200, "text/plain", "ok\n");
	else if (strcmp(path, "/readyz") == 0)
		handle_readiness(r, a);
	else
		http_reply_problem(r, ERR_NOT_FOUND, "no such path", NULL);
}
