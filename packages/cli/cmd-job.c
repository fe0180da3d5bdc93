#include "cli.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL_INTERVAL_MS 500 /* between two requests of job wait */
#define PARSE_ERRORS_MAX 8   /* errors recorded for one command line */

/* Return the URL path of a job, with the organisation to act for; the caller frees it. */
static char *job_path(const struct cli *c, const char *id, const char *suffix)
{
	char *path;

	xasprintf(&path, "/v1/jobs/%s%s%s%s", id, suffix,
		c->org != NULL ? "?organisation=" : "", c->org != NULL ? c->org : "");
	return path;
}

/* The argtable of job submit; its members must be pointers only and end with the arg_end. */
struct submit_args {
	struct arg_str *org;
	struct arg_str *class_name;
	struct arg_str *kind;
	struct arg_int *accelerators;
	struct arg_str *within;
	struct arg_int *cores;
	struct arg_int *memory;
	struct arg_dbl *run_time;
	struct arg_dbl *deadline;
	struct arg_lit *idempotent;
	struct arg_lit *checkpoint;
	struct arg_lit *async;
	struct arg_str *key;
	struct arg_str *payload;
	struct arg_end *end;
};

/* Set a string member if its flag was given. */
static void set_string(json_t *o, const char *name, const struct arg_str *a)
{
	if (a->count > 0)
		json_object_set_new(o, name, json_string(a->sval[0]));
}

/* Set an integer member if its flag was given. */
static void set_integer(json_t *o, const char *name, const struct arg_int *a)
{
	if (a->count > 0)
		json_object_set_new(o, name, json_integer(a->ival[0]));
}

/* Set a real number member if its flag was given. */
static void set_real(json_t *o, const char *name, const struct arg_dbl *a)
{
	if (a->count > 0)
		json_object_set_new(o, name, json_real(a->dval[0]));
}

/* Return the JSON body of a submission; the caller frees it. */
static char *submit_body(const struct submit_args *a)
{
	json_t *o = json_object();
	char *text;

	set_string(o, "organisation", a->org);
	set_string(o, "class", a->class_name);
	set_string(o, "kind", a->kind);
	set_string(o, "within", a->within);
	set_string(o, "payload", a->payload);
	set_integer(o, "accelerators", a->accelerators);
	set_integer(o, "cores", a->cores);
	set_integer(o, "memory_mb", a->memory);
	set_real(o, "run_time_s", a->run_time);
	set_real(o, "deadline_s", a->deadline);
	json_object_set_new(o, "idempotent", json_boolean(a->idempotent->count > 0));
	json_object_set_new(o, "checkpoint", json_boolean(a->checkpoint->count > 0));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Submit a job and print the response, or the job's ID if it was only accepted. */
static int submit(struct cli *c, const struct submit_args *a)
{
	AUTOFREE char *body = submit_body(a);
	struct response resp;
	int code = EXIT_OK;

	c->prefer = a->async->count > 0 ? "respond-async" : NULL;
	c->key = a->key->count > 0 ? a->key->sval[0] : NULL;
	if (!client_request(c, "POST", "/v1/jobs", body, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	if (resp.type != NULL && strcmp(resp.type, "application/problem+json") == 0) {
		code = client_report_error(&resp);
	} else if (resp.status == 202 && !c->json) {
		printf("%s\n", json_string_value(json_object_get(resp.json, "id")));
	} else {
		fwrite(resp.body.data, 1, resp.body.len, stdout);
		if (resp.body.len > 0 && ((char *)resp.body.data)[resp.body.len - 1] != '\n')
			putchar('\n');
	}
	response_clear(&resp);
	return code;
}

/* job submit: submit a job and wait for its result unless --async is given. */
int cmd_job_submit(struct cli *c, int argc, char **argv)
{
	struct submit_args a = {
		arg_str1(NULL, NULL, "ORG", "organisation"),
		arg_str0(NULL, "class", "CLASS", "class of the job"),
		arg_str0(NULL, "kind", "KIND", "kind of job, by which run times are learned"),
		arg_int0(NULL, "accelerators", "N", "number of accelerators"),
		arg_str0(NULL, "within", "any|rack|worker", "placement of the accelerators"),
		arg_int0(NULL, "cores", "N", "number of CPU cores"),
		arg_int0(NULL, "memory", "MIB", "memory in MiB"),
		arg_dbl0(NULL, "run-time", "SECONDS", "expected run time"),
		arg_dbl0(NULL, "deadline", "SECONDS", "time within which the job must start"),
		arg_lit0(NULL, "idempotent", "the job may run more than once"),
		arg_lit0(NULL, "checkpoint", "can resume from a checkpoint"),
		arg_lit0(NULL, "async", "do not wait for the result"),
		arg_str0(NULL, "key", "KEY",
			"idempotency key; requests with the same key are one job"),
		arg_str0(NULL, "payload", "TEXT", "payload of the job"),
		arg_end(PARSE_ERRORS_MAX),
	};
	char **args = xcalloc((size_t)argc + 2, sizeof(*args));
	int code = EXIT_USAGE;

	args[0] = "job submit";
	memcpy(args + 1, argv, (size_t)argc * sizeof(*argv));
	if (arg_parse(argc + 1, args, (void **)&a) == 0) {
		code = submit(c, &a);
	} else {
		arg_print_errors(stderr, a.end, "damaskpath job submit");
		fprintf(stderr, "usage: damaskpath job submit");
		arg_print_syntax(stderr, (void **)&a, "\n");
	}
	arg_freetable((void **)&a, sizeof(a) / sizeof(void *));
	free(args);
	return code;
}

/* Print the scalar fields of an object, one key and value per line. */
static void print_object(const json_t *o)
{
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)o, key, v) {
		AUTOFREE char *text = NULL;

		if (json_is_object(v) || json_is_array(v))
			continue;
		text = format_field(o, key);
		printf("%-22s %s\n", key, text);
	}
}

/* GET a job, or a resource below it, and print it as JSON or with print_job. */
static int show_job(
	struct cli *c, const char *id, const char *suffix, void (*print_job)(const json_t *))
{
	AUTOFREE char *path = job_path(c, id, suffix);
	struct response resp;
	int code = EXIT_OK;

	if (!client_request(c, "GET", path, NULL, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	if (resp.status != 200)
		code = client_report_error(&resp);
	else if (c->json)
		print_json(resp.json);
	else
		print_job(resp.json);
	response_clear(&resp);
	return code;
}

/* job status: print a job. */
int cmd_job_status(struct cli *c, int argc, char **argv)
{
	return argc == 1 ? show_job(c, argv[0], "", print_object) : EXIT_USAGE;
}

/* Print the last scheduling decision for a job in sentences. */
static void print_explanation(const json_t *o)
{
	const json_t *why = json_object_get(o, "why");
	const char *unblock = json_string_value(json_object_get(why, "unblock"));
	const char *text = json_string_value(json_object_get(why, "text"));
	const json_t *members = json_object_get(why, "members");
	const char *outcome = json_string_value(json_object_get(o, "outcome"));
	size_t i;
	json_t *m;

	printf("Job %s of %s is %s%s%s.\n", json_string_value(json_object_get(o, "id")),
		json_string_value(json_object_get(o, "organisation")),
		json_string_value(json_object_get(o, "state")), outcome != NULL ? ": " : "",
		outcome != NULL ? outcome : "");
	if (text != NULL && *text != '\0')
		printf("Last decision: %s.\n", text);
	printf("It asks for %lld accelerators within %s; %lld of the guarantee are unused.\n",
		(long long)json_integer_value(json_object_get(why, "accelerators")),
		json_string_value(json_object_get(why, "adjacency")),
		(long long)json_integer_value(json_object_get(why, "guarantee_left")));
	printf("%lld workers were considered; the largest fit on one was %lld; %lld jobs were "
	       "ahead.\n",
		(long long)json_integer_value(json_object_get(why, "workers_considered")),
		(long long)json_integer_value(json_object_get(why, "largest_fit")),
		(long long)json_integer_value(json_object_get(why, "ahead")));
	if (unblock != NULL && *unblock != '\0')
		printf("What would help: %s.\n", unblock);
	json_array_foreach((json_t *)members, i, m)
		printf("Member %zu: %lld accelerators on %s in %s.\n", i,
			(long long)json_integer_value(json_object_get(m, "accelerators")),
			json_string_value(json_object_get(m, "worker")),
			json_string_value(json_object_get(m, "rack")));
	if (json_object_get(o, "detail") != NULL)
		printf("Outcome: %s.\n", json_string_value(json_object_get(o, "detail")));
}

/* job explain: print why a job is waiting or where it was placed. */
int cmd_job_explain(struct cli *c, int argc, char **argv)
{
	return argc == 1 ? show_job(c, argv[0], "/explain", print_explanation) : EXIT_USAGE;
}

/* job result: print the upstream's response of an ended job. */
int cmd_job_result(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = argc == 1 ? job_path(c, argv[0], "/result") : NULL;
	struct response resp;
	int code = EXIT_OK;

	if (path == NULL)
		return EXIT_USAGE;
	if (!client_request(c, "GET", path, NULL, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	if (resp.type != NULL && strcmp(resp.type, "application/problem+json") == 0)
		code = client_report_error(&resp);
	else
		fwrite(resp.body.data, 1, resp.body.len, stdout);
	response_clear(&resp);
	return code;
}

/* Return the exit code for an ended job. */
static int outcome_exit_code(const json_t *o)
{
	const char *outcome = json_string_value(json_object_get(o, "outcome"));
	const char *error = json_string_value(json_object_get(o, "error"));
	enum error_kind kind = ERR_INTERNAL;

	if (outcome == NULL || strcmp(outcome, "done") == 0)
		return EXIT_OK;
	error_kind_parse(error, &kind);
	return error_info(kind)->exit_code;
}

/*
 * job wait: poll a job until it has ended. If standard error is a terminal, print each change
 * of its state there. A response of 503 is retried.
 */
int cmd_job_wait(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = argc == 1 ? job_path(c, argv[0], "") : NULL;
	AUTOFREE char *last_state = xstrdup("");
	struct response resp;
	int code = -1;

	if (path == NULL)
		return EXIT_USAGE;
	while (code < 0) {
		const char *state;

		if (!client_request(c, "GET", path, NULL, &resp))
			return error_info(ERR_NO_COORDINATOR)->exit_code;
		state = json_string_value(json_object_get(resp.json, "state"));
		if (resp.status == 503) {
			state = "unreachable";
		} else if (resp.status != 200) {
			code = client_report_error(&resp);
		} else if (state != NULL && strcmp(state, "ended") == 0) {
			code = outcome_exit_code(resp.json);
			if (c->json)
				print_json(resp.json);
			else
				print_object(resp.json);
		}
		if (code < 0 && state != NULL && strcmp(state, last_state) != 0 &&
			isatty(STDERR_FILENO)) {
			fprintf(stderr, "%s: %s\n", argv[0], state);
			free(last_state);
			last_state = xstrdup(state);
		}
		response_clear(&resp);
		if (code < 0)
			usleep(POLL_INTERVAL_MS * 1000);
	}
	return code;
}

/* job cancel: request the cancellation of a job. */
int cmd_job_cancel(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = argc == 1 ? job_path(c, argv[0], "") : NULL;
	struct response resp;
	int code;

	if (path == NULL)
		return EXIT_USAGE;
	if (!client_request(c, "DELETE", path, NULL, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	code = resp.status == 200 ? EXIT_OK : client_report_error(&resp);
	if (code == EXIT_OK && !c->json)
		printf("cancelling %s\n", argv[0]);
	response_clear(&resp);
	return code;
}

/* job list: print the jobs, or only those of --org. */
int cmd_job_list(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"JOB", "id"}, {"ORGANISATION", "organisation"},
		{"CLASS", "class"}, {"KIND", "kind"}, {"ACC", "accelerators"},
		{"WITHIN", "within"}, {"STATE", "state"}, {"OUTCOME", "outcome"},
		{"SUBMITTED", "submitted"}};
	AUTOFREE char *path = NULL;
	struct response resp;
	int code = EXIT_OK;

	(void)argv;
	if (argc != 0)
		return EXIT_USAGE;
	xasprintf(&path, "/v1/jobs%s%s", c->org != NULL ? "?organisation=" : "",
		c->org != NULL ? c->org : "");
	if (!client_request(c, "GET", path, NULL, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	if (resp.status != 200)
		code = client_report_error(&resp);
	else if (c->json)
		print_json(resp.json);
	else
		print_table(resp.json, columns, ARRAY_LEN(columns));
	response_clear(&resp);
	return code;
}
