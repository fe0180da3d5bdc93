#include "cli.h"

#include <string.h>

/*
 * GET a list of rows. If key is not NULL, keep only the rows whose field key equals value, and
 * fail with the exit code of ERR_NOT_FOUND if there is no such row. Return the exit code; the
 * caller releases the rows in any case.
 */
static int fetch_rows(
	struct cli *c, const char *path, const char *key, const char *value, json_t **rows)
{
	struct response resp;
	size_t i;
	json_t *row;
	int code = EXIT_OK;

	*rows = json_array();
	if (!client_request(c, "GET", path, NULL, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	if (resp.status != 200)
		code = client_report_error(&resp);
	json_array_foreach(resp.status == 200 ? resp.json : NULL, i, row) {
		const char *row_value =
			key != NULL ? json_string_value(json_object_get(row, key)) : NULL;

		if (key == NULL || (row_value != NULL && strcmp(row_value, value) == 0))
			json_array_append(*rows, row);
	}
	response_clear(&resp);
	if (code == EXIT_OK && key != NULL && json_array_size(*rows) == 0) {
		fprintf(stderr, "damaskpath: %s %s not found\n", key, value);
		code = error_info(ERR_NOT_FOUND)->exit_code;
	}
	return code;
}

/* Fetch rows as fetch_rows does and print them as a table or JSON. */
static int show_rows(struct cli *c, const char *path, const char *key, const char *value,
	const struct column *columns, size_t len)
{
	json_t *rows;
	int code = fetch_rows(c, path, key, value, &rows);

	if (code == EXIT_OK && c->json)
		print_json(rows);
	else if (code == EXIT_OK)
		print_table(rows, columns, len);
	json_decref(rows);
	return code;
}

static const struct column org_columns[] = {{"ORGANISATION", "organisation"}, {"CELL", "cell"},
	{"GUARANTEED", "guaranteed"}, {"USED", "used"}, {"LENT", "lent"},
	{"BORROWED", "borrowed"}, {"QUEUED", "queued"}, {"IMPOSSIBLE", "impossible"},
	{"RECLAIMABLE WITHIN", "reclaimable_within_ms"}};

/* org list: print the organisations, or only that of --org. */
int cmd_org_list(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = NULL;

	(void)argv;
	xasprintf(&path, "/v1/organisations%s%s", c->org != NULL ? "?organisation=" : "",
		c->org != NULL ? c->org : "");
	return argc == 0 ? show_rows(c, path, NULL, NULL, org_columns, ARRAY_LEN(org_columns))
			 : EXIT_USAGE;
}

/* org show: print one organisation. */
int cmd_org_show(struct cli *c, int argc, char **argv)
{
	AUTOFREE char *path = NULL;

	if (argc != 1)
		return EXIT_USAGE;
	xasprintf(&path, "/v1/organisations?organisation=%s", argv[0]);
	return show_rows(c, path, "organisation", argv[0], org_columns, ARRAY_LEN(org_columns));
}

static const struct column worker_columns[] = {{"WORKER", "worker"}, {"CELL", "cell"},
	{"RACK", "rack"}, {"STATE", "state"}, {"ACC", "accelerators"}, {"USED", "used"},
	{"PROMISED", "promised"}, {"JOBS", "jobs"}, {"SLOTS", "slots"}, {"CONFIG", "config"},
	{"AGENT", "agent"}};

/* worker list: print all workers. */
int cmd_worker_list(struct cli *c, int argc, char **argv)
{
	(void)argv;
	return argc == 0 ? show_rows(c, "/v1/workers", NULL, NULL, worker_columns,
				   ARRAY_LEN(worker_columns))
			 : EXIT_USAGE;
}

/* worker show: print one worker. */
int cmd_worker_show(struct cli *c, int argc, char **argv)
{
	return argc == 1 ? show_rows(c, "/v1/workers", "worker", argv[0], worker_columns,
				   ARRAY_LEN(worker_columns))
			 : EXIT_USAGE;
}

/* Start (on is "yes") or end (on is "no") draining a worker. */
static int set_drain(struct cli *c, const char *worker, const char *on)
{
	AUTOFREE char *path = NULL;
	struct response resp;
	int code;

	xasprintf(&path, "/v1/workers/%s/drain?on=%s", worker, on);
	if (!client_request(c, "POST", path, "", &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	code = resp.status == 200 ? EXIT_OK : client_report_error(&resp);
	if (code == EXIT_OK && json_array_size(resp.json) == 0) {
		fprintf(stderr, "damaskpath: worker %s not found\n", worker);
		code = error_info(ERR_NOT_FOUND)->exit_code;
	}
	response_clear(&resp);
	return code;
}

/* worker drain: stop placing work on a worker. */
int cmd_worker_drain(struct cli *c, int argc, char **argv)
{
	return argc == 1 ? set_drain(c, argv[0], "yes") : EXIT_USAGE;
}

/* worker undrain: place work on a drained worker again. */
int cmd_worker_undrain(struct cli *c, int argc, char **argv)
{
	return argc == 1 ? set_drain(c, argv[0], "no") : EXIT_USAGE;
}

/* cell list: print all cells. */
int cmd_cell_list(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"CELL", "cell"}, {"TERM", "term"},
		{"SETTLED", "settled"}, {"STORE", "store"}, {"CONFIG", "config"},
		{"WORKERS", "workers"}, {"ACC", "accelerators"}, {"FREE", "free"},
		{"IN WORKER", "largest_in_worker"}, {"IN RACK", "largest_in_rack"},
		{"QUEUED", "queued"}, {"PLACED", "placed"}, {"OLDEST", "oldest_ms"},
		{"FRAGMENTATION", "fragmentation"}};

	(void)argv;
	return argc == 0 ? show_rows(c, "/v1/cells", NULL, NULL, columns, ARRAY_LEN(columns))
			 : EXIT_USAGE;
}

/* audit: print the edits of the configuration, then the changes of jobs. */
int cmd_audit(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"WHEN", "when"}, {"WHAT", "what"},
		{"WHO", "who"}, {"SECTION", "section"}, {"FROM", "from"}, {"TO", "to"},
		{"JOB", "job"}, {"DETAIL", "detail"}};
	json_t *config_edits;
	json_t *job_changes = NULL;
	int code;

	(void)argv;
	if (argc != 0)
		return EXIT_USAGE;
	code = fetch_rows(c, "/v1/config-history", NULL, NULL, &config_edits);
	if (code == EXIT_OK)
		code = fetch_rows(c, "/v1/audit", NULL, NULL, &job_changes);
	if (code == EXIT_OK) {
		json_array_extend(config_edits, job_changes);
		if (c->json)
			print_json(config_edits);
		else
			print_table(config_edits, columns, ARRAY_LEN(columns));
	}
	json_decref(config_edits);
	json_decref(job_changes);
	return code;
}
