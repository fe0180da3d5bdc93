#ifndef DP_CLI_H
#define DP_CLI_H

#include "state.h"

/*
 * Exit codes besides those of the error kinds. EXIT_USAGE is also the code of ERR_INVALID and
 * ERR_TOO_LARGE. config diff exits with 1 if the texts differ.
 */
#define EXIT_OK	   0
#define EXIT_USAGE 2

/*
 * The global options and the optional headers of requests. An entry is a daemon that serves the
 * public HTTP API (role entry or standalone).
 */
struct cli {
	char **entries;	    /* addresses of the entries, NULL-terminated */
	const char *token;  /* bearer token, or NULL */
	const char *org;    /* organisation to act for, or NULL */
	bool json;	    /* print JSON instead of text */
	const char *prefer; /* Prefer header, or NULL */
	const char *key;    /* Idempotency-Key header, or NULL */
};

/* A command. exec gets the arguments after the command's name and returns the exit code. */
struct cmd_entry {
	const char *name;
	const char *alias;
	const char *usage;
	const char *help;
	int (*exec)(struct cli *c, int argc, char **argv);
};

/* cmd.c: the table of commands. */
const struct cmd_entry *cmd_find(int argc, char **argv, int *name_args);
extern const struct cmd_entry *const cmd_table;
extern const size_t cmd_table_len;

/*
 * client.c: HTTP requests to an entry. The next entry is tried only if the request cannot have
 * reached the previous one.
 */
struct response {
	int status;
	char *type;
	char *job;     /* unused */
	char *outcome; /* unused */
	struct bytes body;
	json_t *json;
};
bool client_request(struct cli *c, const char *method, const char *path, const char *body,
	struct response *resp);
void response_clear(struct response *resp);
int client_report_error(const struct response *resp);

/* print.c: output as tables and JSON. */
struct column {
	const char *title;
	const char *key;
};
void print_table(const json_t *rows, const struct column *columns, size_t len);
void print_json(const json_t *o);
char *format_value(const json_t *v);
char *format_field(const json_t *o, const char *key);

/* The commands, in cmd-job.c, cmd-cluster.c, cmd-config.c and cmd.c. */
int cmd_job_submit(struct cli *c, int argc, char **argv);
int cmd_job_status(struct cli *c, int argc, char **argv);
int cmd_job_result(struct cli *c, int argc, char **argv);
int cmd_job_wait(struct cli *c, int argc, char **argv);
int cmd_job_cancel(struct cli *c, int argc, char **argv);
int cmd_job_list(struct cli *c, int argc, char **argv);
int cmd_job_explain(struct cli *c, int argc, char **argv);
int cmd_org_list(struct cli *c, int argc, char **argv);
int cmd_org_show(struct cli *c, int argc, char **argv);
int cmd_worker_list(struct cli *c, int argc, char **argv);
int cmd_worker_show(struct cli *c, int argc, char **argv);
int cmd_worker_drain(struct cli *c, int argc, char **argv);
int cmd_worker_undrain(struct cli *c, int argc, char **argv);
int cmd_cell_list(struct cli *c, int argc, char **argv);
int cmd_audit(struct cli *c, int argc, char **argv);
int cmd_config_check(struct cli *c, int argc, char **argv);
int cmd_config_apply(struct cli *c, int argc, char **argv);
int cmd_config_get(struct cli *c, int argc, char **argv);
int cmd_config_set(struct cli *c, int argc, char **argv);
int cmd_config_diff(struct cli *c, int argc, char **argv);
int cmd_config_history(struct cli *c, int argc, char **argv);
int cmd_config_status(struct cli *c, int argc, char **argv);
int cmd_completion(struct cli *c, int argc, char **argv);

#endif
