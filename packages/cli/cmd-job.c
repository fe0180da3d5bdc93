#include "cli.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_PERIOD_MS 500

/* The path of a job with the asker's organisation. */
static char *job_path(const struct cli *c, const char *id, const char *word)
{
	char *path;

	xasprintf(&path, "/v1/jobs/%s%s%s%s", id, word, c->org != NULL ? "?organisation=" : "",
		c->org != NULL ? c->org : "");
	return path;
}

/* The flags of a submission, as argtable wants them. */
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

/* Set a text member where the flag was given. */
static void put_text(json_t *o, const char *name, const struct arg_str *a)
{
	if (a->count > 0)
		json_object_set_new(o, name, json_string(a->sval[0]));
}

/* Set a number member where the flag was given. */
static void put_int(json_t *o, const char *name, const struct arg_int *a)
{
	if (a->count > 0)
		json_object_set_new(o, name, json_integer(a->ival[0]));
}

static void put_real(json_t *o, const char *name, const struct arg_dbl *a)
{
	if (a->count > 0)
		json_object_set_new(o, name, json_real(a->dval[0]));
}

/* The body of a submission. */
static char *submit_body(const struct submit_args *a)
{
	json_t *o = json_object();
	char *text;

	put_text(o, "organisation", a->org);
	put_text(o, "class", a->class_name);
	put_text(o, "kind", a->kind);
	put_text(o, "within", a->within);
	put_text(o, "payload", a->payload);
	put_int(o, "accelerators", a->accelerators);
	put_int(o, "cores", a->cores);
	put_int(o, "memory_mb", a->memory);
	put_real(o, "run_time_s", a->run_time);
	put_real(o, "deadline_s", a->deadline);
	json_object_set_new(o, "idempotent", json_boolean(a->idempotent->count > 0));
	json_object_set_new(o, "checkpoint", json_boolean(a->checkpoint->count > 0));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Submit with parsed flags. */
static int submit(struct cli *c, const struct submit_args *a)
{
	AUTOFREE char *body = submit_body(a);
	struct response out;
	int code = EXIT_OK;

	c->prefer = a->async->count > 0 ? "respond-async" : NULL;
	c->key = a->key->count > 0 ? a->key->sval[0] : NULL;
	if (!client_request(c, "POST", "/v1/jobs", body, &out))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	if (out.type != NULL && strcmp(out.type, "application/problem+json") == 0) {
		code = client_report_error(&out);
	} else if (out.status == 202 && !c->json) {
		printf("%s\n", json_string_value(json_object_get(out.json, "id")));
	} else {
		fwrite(out.body.data, 1, out.body.len, stdout);
		if (out.body.len > 0 && ((char *)out.body.data)[out.body.len - 1] != '\n')
			putchar('\n');
	}
	response_clear(&out);
	return code;
}

/* job submit */
int cmd_job_submit(struct cli *c, int argc, char **argv)
{
	struct submit_args a = {
		arg_str1(NULL, NULL, "ORG", "organisation"),
		arg_str0(NULL, "class", "CLASS", "class of the job"),
		arg_str0(NULL, "kind", "KIND", "kind, for which run times are learned"),
		arg_int0(NULL, "accelerators", "N", "accelerators"),
		arg_str0(NULL, "within", "any|rack|worker", "how close together"),
		arg_int0(NULL, "cores", "N", "cores"),
		arg_int0(NULL, "memory", "MIB", "memory"),
		arg_dbl0(NULL, "run-time", "SECONDS", "expected run time"),
		arg_dbl0(NULL, "deadline", "SECONDS", "time within which it must start"),
		arg_lit0(NULL, "idempotent", "may run more than once"),
		arg_lit0(NULL, "checkpoint", "can save its state and go on later"),
		arg_lit0(NULL, "async", "do not wait for the answer"),
		arg_str0(NULL, "key", "KEY", "makes repeated requests one job"),
		arg_str0(NULL, "payload", "TEXT", "payload"),
		arg_end(8),
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

/* Print one object as key and value lines. */
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

/* GET a job and print it with a function. */
static int show_job(
	struct cli *c, const char *id, const char *word, void (*print)(const json_t *))
{
	AUTOFREE char *path = job_path(c, id, word);
	struct response out;
	int code = EXIT_OK;

	if (!client_request(c, "GET", path, NULL, &out))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	if (out.status != 200)
		code = client_report_error(&out);
	else if (c->json)
		print_json(out.json);
	else
		print(out.json);
	response_clear(&out);
	return code;
}

/* job status */
int cmd_job_status(struct cli *c, int argc, char **argv)
{
	return argc == 1 ? show_job(c, argv[0], "", print_object) : EXIT_USAGE;
}

/* Tell a decision in sentences. */
static void print_explain(const json_t *o)
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

/* job explain */
int cmd_job_explain(struct cli *c, int argc, char **argv)
{
	return argc == 1 ? show_job(c, argv[0], "/explain", print_explain) : EXIT_USAGE;
}

/* job result */
int cmd_job_result(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = argc == 1 ? job_path(c, argv[0], "/result") : NULL;
	struct response out;
	int code = EXIT_OK;

	if (path == NULL)
		return EXIT_USAGE;
	if (!client_request(c, "GET", path, NULL, &out))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	if (out.type != NULL && strcmp(out.type, "application/problem+json") == 0)
		code = client_report_error(&out);
	else
		fwrite(out.body.data, 1, out.body.len, stdout);
	response_clear(&out);
	return code;
}

/* The exit code for an ended job. */
static int outcome_code(const json_t *o)
{
	const char *outcome = json_string_value(json_object_get(o, "outcome"));
	const char *error = json_string_value(json_object_get(o, "error"));
	enum error_kind kind = ERR_INTERNAL;

	if (outcome == NULL || strcmp(outcome, "done") == 0)
		return EXIT_OK;
	error_kind_parse(error, &kind);
	return error_answer(kind)->exit_code;
}

/* job wait */
int cmd_job_wait(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = argc == 1 ? job_path(c, argv[0], "") : NULL;
	AUTOFREE char *last = xstrdup("");
	struct response out;
	int code = -1;

	if (path == NULL)
		return EXIT_USAGE;
	while (code < 0) {
		const char *state;

		if (!client_request(c, "GET", path, NULL, &out))
			return error_answer(ERR_NO_COORDINATOR)->exit_code;
		state = json_string_value(json_object_get(out.json, "state"));
		if (out.status == 503) {
			state = "unreachable";
		} else if (out.status != 200) {
			code = client_report_error(&out);
		} else if (state != NULL && strcmp(state, "ended") == 0) {
			code = outcome_code(out.json);
			if (c->json)
				print_json(out.json);
			else
				print_object(out.json);
		}
		if (code < 0 && state != NULL && strcmp(state, last) != 0 && isatty(2)) {
			fprintf(stderr, "%s: %s\n", argv[0], state);
			free(last);
			last = xstrdup(state);
		}
		response_clear(&out);
		if (code < 0)
			usleep(WAIT_PERIOD_MS * 1000);
	}
	return code;
}

/* job cancel */
int cmd_job_cancel(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = argc == 1 ? job_path(c, argv[0], "") : NULL;
	struct response out;
	int code;

	if (path == NULL)
		return EXIT_USAGE;
	if (!client_request(c, "DELETE", path, NULL, &out))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	code = out.status == 200 ? EXIT_OK : client_report_error(&out);
	if (code == EXIT_OK && !c->json)
		printf("cancelling %s\n", argv[0]);
	response_clear(&out);
	return code;
}

/* job list */
int cmd_job_list(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"JOB", "id"}, {"ORGANISATION", "organisation"},
		{"CLASS", "class"}, {"KIND", "kind"}, {"ACC", "accelerators"},
		{"WITHIN", "within"}, {"STATE", "state"}, {"OUTCOME", "outcome"},
		{"SUBMITTED", "submitted"}};
	AUTOFREE char *path = NULL;
	struct response out;
	int code = EXIT_OK;

	(void)argv;
	if (argc != 0)
		return EXIT_USAGE;
	xasprintf(&path, "/v1/jobs%s%s", c->org != NULL ? "?organisation=" : "",
		c->org != NULL ? c->org : "");
	if (!client_request(c, "GET", path, NULL, &out))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	if (out.status != 200)
		code = client_report_error(&out);
	else if (c->json)
		print_json(out.json);
	else
		print_table(out.json, columns, ARRAY_LEN(columns));
	response_clear(&out);
	return code;
}
