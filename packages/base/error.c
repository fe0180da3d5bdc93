#include "base.h"

#include <stdarg.h>
#include <string.h>

/*
 * How each error kind is reported to a caller. If a kind sets not_run, a reply about a job may
 * use the kind only if no part of the job was started, or must override not_run (see
 * http_reply_problem_full). Errors that are not reported for a job, such as an invalid frame on
 * a peer connection or a conflicting write to the store, may have such a kind at any time.
 * Kinds for an uncertain outcome never set not_run.
 */
static const struct error_info error_infos[ERR_COUNT] = {
	[ERR_INVALID] = {"invalid", "The request is malformed", 400, true, RETRY_AFTER_CHANGE,
		0, 2},
	[ERR_TOO_LARGE] = {"too_large", "The request is too large", 413, true,
		RETRY_AFTER_CHANGE, 0, 2},
	[ERR_UNAUTHORISED] = {"unauthorised", "A valid bearer token is needed", 401, true,
		RETRY_AFTER_CHANGE, 0, 3},
	[ERR_FORBIDDEN] = {"forbidden", "The token does not cover this", 403, true,
		RETRY_AFTER_CHANGE, 0, 3},
	[ERR_NOT_FOUND] = {"not_found", "There is no such thing", 404, false, RETRY_NEVER, 0,
		4},
	[ERR_CONFLICT] = {"conflict", "Somebody else changed it first", 409, true,
		RETRY_AFTER_CHANGE, 0, 5},
	[ERR_KEY_REUSED] = {"key_reused", "The idempotency key belongs to another request", 422,
		true, RETRY_AFTER_CHANGE, 0, 5},
	[ERR_IMPOSSIBLE] = {"impossible", "The job can never run", 422, true,
		RETRY_AFTER_CHANGE, 0, 6},
	[ERR_QUOTA] = {"quota", "The quota does not allow the job", 422, true,
		RETRY_AFTER_CHANGE, 0, 6},
	[ERR_OVERLOAD] = {"overload", "Too many requests are waiting", 429, true, RETRY_LATER,
		5, 7},
	[ERR_DEADLINE] = {"deadline", "The deadline cannot be met", 504, true,
		RETRY_AFTER_CHANGE, 0, 8},
	[ERR_NO_COORDINATOR] = {"no_coordinator", "No coordinator can be reached", 503, true,
		RETRY_LATER, 3, 7},
	[ERR_STORE_DOWN] = {"store_down", "The store cannot be reached", 503, true, RETRY_LATER,
		10, 7},
	[ERR_STORE_UNSURE] = {"store_unsure", "The store did not say whether it wrote", 503,
		false, RETRY_LATER, 10, 7},
	[ERR_DRAINING] = {"draining", "This process is stopping", 503, true, RETRY_LATER, 1, 7},
	[ERR_UPSTREAM_FAILED] = {"upstream_failed", "The upstream failed the job", 502, false,
		RETRY_LATER, 5, 9},
	[ERR_MEMBER_LOST] = {"member_lost", "A worker was lost while the job ran", 502, false,
		RETRY_LATER, 5, 9},
	[ERR_UNKNOWN_OUTCOME] = {"unknown_outcome", "It is not known whether the job ran", 502,
		false, RETRY_NEVER, 0, 10},
	[ERR_CANCELLED] = {"cancelled", "The job was cancelled", 409, false, RETRY_NEVER, 0,
		11},
	[ERR_PROTOCOL] = {"protocol", "A peer broke the protocol", 502, false, RETRY_LATER, 5,
		9},
	[ERR_INTERNAL] = {"internal", "An internal error", 500, false, RETRY_LATER, 5, 12},
};

/* Return the GError domain of the project. */
GQuark error_quark(void)
{
	return g_quark_from_static_string("damaskpath");
}

/* Return how a kind is reported; a value out of range is reported as internal. */
const struct error_info *error_info(enum error_kind kind)
{
	return &error_infos[kind < ERR_COUNT ? kind : ERR_INTERNAL];
}

/* Return the kind of an error; errors of other domains are internal. */
enum error_kind error_kind_of(const GError *err)
{
	if (err == NULL || err->domain != DP_ERROR || err->code >= ERR_COUNT)
		return ERR_INTERNAL;
	return (enum error_kind)err->code;
}

/* Return how an error is reported. */
const struct error_info *error_info_of(const GError *err)
{
	return error_info(error_kind_of(err));
}

/* Look up a kind by its name; return false if there is none. */
bool error_kind_parse(const char *name, enum error_kind *kind)
{
	for (int i = 0; name != NULL && i < ERR_COUNT; i++) {
		if (strcmp(error_infos[i].name, name) == 0) {
			*kind = (enum error_kind)i;
			return true;
		}
	}
	return false;
}

/* Set an error with a formatted message, unless err is NULL or already set. */
void error_set(GError **err, enum error_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL || *err != NULL)
		return;
	va_start(ap, fmt);
	*err = g_error_new_valist(DP_ERROR, (int)kind, fmt, ap);
	va_end(ap);
}
