#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT (3600 * NSEC_PER_SEC)

/* Free an answer. */
void response_clear(struct response *a)
{
	free(a->type);
	bytes_clear(&a->body);
	json_decref(a->json);
	memset(a, 0, sizeof(*a));
}

/* Make one call to one entry; false where it cannot have arrived. */
static bool call_one(struct cli *c, const char *entry, const char *method, const char *path,
	const char *body, struct response *out, char **why)
{
	AUTOFREE char *url = NULL;
	AUTOFREE char *bearer = NULL;
	struct http_call *call;
	bool reached;

	xasprintf(&url, "http://%s%s", entry, path);
	call = http_call_new(method, url);
	if (c->token != NULL) {
		xasprintf(&bearer, "Bearer %s", c->token);
		http_call_header(call, "Authorization", bearer);
	}
	if (c->prefer != NULL)
		http_call_header(call, "Prefer", c->prefer);
	if (c->key != NULL)
		http_call_header(call, "Idempotency-Key", c->key);
	if (body != NULL)
		call->body = bytes_copy(body, strlen(body));
	call->timeout = CALL_TIMEOUT;
	http_call_run(call);
	reached = call->error == NULL || !call->never_sent;
	if (call->error != NULL) {
		free(*why);
		*why = xstrdup(call->error->message);
	} else {
		out->status = call->status;
		out->type = xstrdup(call->type);
		out->body = call->answer;
		call->answer = (struct bytes){0};
		out->json = json_loadb(out->body.data, out->body.len, 0, NULL);
	}
	http_call_free(call);
	return reached;
}

/* Make a call to the first entry that can be reached; false, with a message, for none. */
bool client_request(struct cli *c, const char *method, const char *path, const char *body,
	struct response *out)
{
	AUTOFREE char *why = NULL;

	memset(out, 0, sizeof(*out));
	for (size_t i = 0; c->entries[i] != NULL; i++) {
		if (call_one(c, c->entries[i], method, path, body, out, &why))
			break;
	}
	if (out->status != 0)
		return true;
	fprintf(stderr, "damaskpath: no entry answered: %s\n", why != NULL ? why : "unknown");
	return false;
}

/* Say what an entry refused; returns the exit code of the error's kind. */
int client_report_error(const struct response *a)
{
	const char *kind = json_string_value(json_object_get(a->json, "kind"));
	const char *detail = json_string_value(json_object_get(a->json, "detail"));
	enum error_kind k = ERR_INTERNAL;

	if (kind == NULL || !error_kind_parse(kind, &k)) {
		fprintf(stderr, "damaskpath: status %d\n", a->status);
		return error_answer(ERR_INTERNAL)->exit_code;
	}
	fprintf(stderr, "damaskpath: %s: %s%s\n", kind, detail != NULL ? detail : "",
		json_is_true(json_object_get(a->json, "not_run")) ? " (it was not run)" : "");
	return error_answer(k)->exit_code;
}
