#ifndef DP_CLI_H
#define DP_CLI_H

#include "state.h"

/* Exit codes beyond those of the error kinds. */
#define EXIT_OK	   0
#define EXIT_USAGE 2

/* What every command gets: where the entries are, who asks and how to print. */
struct cli {
	char **entries;
	const char *token;
	const char *org;
	bool json;
	const char *prefer;
	const char *key;
};

struct cmd_entry {
	const char *name;
	const char *alias;
	const char *usage;
	const char *help;
	int (*exec)(struct cli *c, int argc, char **argv);
};

/* cmd.c */
const struct cmd_entry *cmd_find(int argc, char **argv, int *used);
extern const struct cmd_entry *const cmd_table;
extern const size_t cmd_table_len;

/* client.c: requests to an entry; another one is tried where a request cannot have arrived. */
struct answer {
	int status;
	char *type;
	char *job;
	char *outcome;
	struct bytes body;
	json_t *json;
};
bool client_call(struct cli *c, const char *method, const char *path, const char *body,
	struct answer *out);
void answer_clear(struct answer *a);
int client_fail(const struct answer *a);

/* print.c */
struct column {
	const char *title;
	const char *key;
};
void print_table(const json_t *rows, const struct column *columns, size_t len);
void print_json(const json_t *o);
char *value_text(const json_t *v);
char *wide_text(const json_t *o, const char *key);

/* cmd-job.c, cmd-cluster.c, cmd-config.c */
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
