#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define REQUEST_TIMEOUT (3600 * NSEC_PER_SEC) /* a synchronous submission waits for its job */

/* Free the contents of a response and reset it to zero. */
void response_clear(struct response *resp)
{
	free(resp->type);
	bytes_clear(&resp->body);
	json_decref(resp->json);
	memset(resp, 0, sizeof(*resp));
}

/*
 * Send a request to one entry. Return false if it cannot have reached the entry, so that it may
 * be sent to another one. On a transport error, resp is left as it is and *message is set.
 */
static bool request_entry(struct cli *c, const char *entry, const char *method,
	const char *path, const char *body, struct response *resp, char **message)
{
	AUTOFREE char *url = NULL;
	AUTOFREE char *authorization = NULL;
	struct http_call *call;
	bool may_have_arrived;

	xasprintf(&url, "http://%s%s", entry, path);
	call = http_call_new(method, url);
	if (c->token != NULL) {
		xasprintf(&authorization, "Bearer %s", c->token);
		http_call_header(call, "Authorization", authorization);
	}
	if (c->prefer != NULL)
		http_call_header(call, "Prefer", c->prefer);
	if (c->key != NULL)
		http_call_header(call, "Idempotency-Key", c->key);
	if (body != NULL)
		call->body = bytes_copy(body, strlen(body));
	call->timeout = REQUEST_TIMEOUT;
	http_call_run(call);
	may_have_arrived = call->error == NULL || !call->never_sent;
	if (call->error != NULL) {
		free(*message);
		*message = xstrdup(call->error->message);
	} else {
		resp->status = call->status;
		resp->type = xstrdup(call->type);
		resp->body = call->answer;
		call->answer = (struct bytes){0};
		resp->json = json_loadb(resp->body.data, resp->body.len, 0, NULL);
	}
	http_call_free(call);
	return may_have_arrived;
}

/*
 * Send a request to the first entry that can be reached. Print a message and return false if
 * there is no response.
 */
bool client_request(struct cli *c, const char *method, const char *path, const char *body,
	struct response *resp)
{
	AUTOFREE char *message = NULL;

	memset(resp, 0, sizeof(*resp));
	for (size_t i = 0; c->entries[i] != NULL; i++) {
		if (request_entry(c, c->entries[i], method, path, body, resp, &message))
			break;
	}
	if (resp->status != 0)
		return true;
	fprintf(stderr, "damaskpath: no response from an entry: %s\n",
		message != NULL ? message : "unknown error");
	return false;
}

/* Print the error that a response reports. Return the exit code of its kind. */
int client_report_error(const struct response *resp)
{
	const char *kind_name = json_string_value(json_object_get(resp->json, "kind"));
	const char *detail = json_string_value(json_object_get(resp->json, "detail"));
	enum error_kind kind = ERR_INTERNAL;

	if (kind_name == NULL || !error_kind_parse(kind_name, &kind)) {
		fprintf(stderr, "damaskpath: unexpected HTTP status %d\n", resp->status);
		return error_info(ERR_INTERNAL)->exit_code;
	}
	fprintf(stderr, "damaskpath: %s: %s%s\n", kind_name, detail != NULL ? detail : "",
		json_is_true(json_object_get(resp->json, "not_run")) ? " (not run)" : "");
	return error_info(kind)->exit_code;
}
