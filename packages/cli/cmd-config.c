#include "cli.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Every accepted edit of the configuration gets a number from one counter for all sections. A
 * section has the number of the edit that wrote it, and a process the number of the last edit
 * that it has read.
 */

/* Read a file. Print a message and return false if that fails. */
static bool read_file(const char *path, char **text)
{
	g_autoptr(GError) err = NULL;

	if (g_file_get_contents(path, text, NULL, &err))
		return true;
	fprintf(stderr, "damaskpath: %s\n", err->message);
	return false;
}

/* Print the problems of a document to standard error, one per line. */
static void print_problems(const char *path, const struct doc_problems *problems)
{
	const struct doc_problem *p;

	STAILQ_FOREACH(p, problems, entry)
	fprintf(stderr, "%s:%d:%d: %s%s%s\n", path, p->line, p->column, p->key,
		*p->key != '\0' ? ": " : "", p->rule);
}

/* Split a document into sections and validate them. Print the problems; return false if any. */
static bool validate_document(const char *path, const char *text, GPtrArray *sections)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	bool ok = doc_split_sections(text, sections, &problems);

	if (ok) {
		GArray *section_array = g_array_new(FALSE, TRUE, sizeof(struct doc_section));
		struct doc *d;

		for (guint i = 0; i < sections->len; i++)
			g_array_append_vals(section_array, sections->pdata[i], 1);
		d = doc_parse_sections((struct doc_section *)section_array->data,
			section_array->len, &problems);
		if (STAILQ_EMPTY(&problems))
			doc_check(d, &problems);
		doc_free(d);
		g_array_unref(section_array);
		ok = STAILQ_EMPTY(&problems);
	}
	print_problems(path, &problems);
	doc_problems_clear(&problems);
	return ok;
}

/* config check: validate a document without a cluster. */
int cmd_config_check(struct cli *c, int argc, char **argv)
{
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	g_autofree char *text = NULL;

	(void)c;
	if (argc != 1)
		return EXIT_USAGE;
	if (!read_file(argv[0], &text) || !validate_document(argv[0], text, sections))
		return error_info(ERR_INVALID)->exit_code;
	printf("%s: %u sections, valid\n", argv[0], sections->len);
	return EXIT_OK;
}

/*
 * Fetch the current text of a section and the number of the edit that wrote it; the caller
 * frees the text. The text is empty and the number 0 if the entry returns none. Return false if
 * no entry responds.
 */
static bool fetch_section(
	struct cli *c, const char *section, uint64_t *edit_number, char **text)
{
	AUTOFREE char *path = NULL;
	struct response resp;

	*edit_number = 0;
	*text = xstrdup("");
	xasprintf(&path, "/v1/config/%s", section);
	if (!client_request(c, "GET", path, NULL, &resp))
		return false;
	if (resp.status == 200) {
		*edit_number =
			(uint64_t)json_integer_value(json_object_get(resp.json, "number"));
		free(*text);
		*text = xstrdup(json_string_value(json_object_get(resp.json, "text")));
	}
	response_clear(&resp);
	return true;
}

/*
 * Print why an edit was rejected. If the section was edited concurrently, print both versions.
 * Return the exit code.
 */
static int report_put_error(const struct response *resp, const char *section)
{
	const char *current = json_string_value(json_object_get(resp->json, "current"));
	const json_t *problems = json_object_get(resp->json, "problems");
	int code = client_report_error(resp);
	size_t i;
	json_t *p;

	json_array_foreach((json_t *)problems, i, p)
		fprintf(stderr, "%s:%lld:%lld: %s: %s\n",
			json_string_value(json_object_get(p, "section")),
			(long long)json_integer_value(json_object_get(p, "line")),
			(long long)json_integer_value(json_object_get(p, "column")),
			json_string_value(json_object_get(p, "key")),
			json_string_value(json_object_get(p, "rule")));
	if (current != NULL)
		fprintf(stderr, "--- %s, edit %lld, current\n%s--- yours\n%s", section,
			(long long)json_integer_value(
				json_object_get(resp->json, "current_number")),
			current, json_string_value(json_object_get(resp->json, "yours")));
	return code;
}

/*
 * Replace a section. The entry rejects the edit unless the section was last written by the edit
 * base_edit_number.
 */
static int put_section(
	struct cli *c, const char *section, const char *text, uint64_t base_edit_number)
{
	const char *who = getenv("USER");
	AUTOFREE char *path = NULL;
	struct response resp;
	int code = EXIT_OK;

	xasprintf(&path, "/v1/config/%s?base=%" PRIu64 "&who=%s", section, base_edit_number,
		who != NULL && *who != '\0' ? who : "operator");
	if (!client_request(c, "PUT", path, text, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	if (resp.status != 200)
		code = report_put_error(&resp, section);
	else if (c->json)
		print_json(resp.json);
	else
		printf("%s: accepted as edit %lld\n", section,
			(long long)json_integer_value(json_object_get(resp.json, "number")));
	response_clear(&resp);
	return code;
}

/* config apply: replace each section that differs from the document. */
int cmd_config_apply(struct cli *c, int argc, char **argv)
{
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	g_autofree char *text = NULL;
	int code = EXIT_OK;

	if (argc != 1)
		return EXIT_USAGE;
	if (!read_file(argv[0], &text) || !validate_document(argv[0], text, sections))
		return error_info(ERR_INVALID)->exit_code;
	for (guint i = 0; code == EXIT_OK && i < sections->len; i++) {
		const struct doc_section *s = sections->pdata[i];
		AUTOFREE char *current_text = NULL;
		uint64_t edit_number;

		if (!fetch_section(c, s->name, &edit_number, &current_text))
			return error_info(ERR_NO_COORDINATOR)->exit_code;
		if (strcmp(current_text, s->text) != 0)
			code = put_section(c, s->name, s->text, edit_number);
		else if (!c->json)
			printf("%s: unchanged\n", s->name);
	}
	return code;
}

/* config get: list the sections, or print one. */
int cmd_config_get(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"SECTION", "section"}, {"EDIT", "number"}};
	AUTOFREE char *path = NULL;
	struct response resp;
	int code = EXIT_OK;

	if (argc > 1)
		return EXIT_USAGE;
	xasprintf(&path, "/v1/config%s%s", argc == 1 ? "/" : "", argc == 1 ? argv[0] : "");
	if (!client_request(c, "GET", path, NULL, &resp))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	if (resp.status != 200)
		code = client_report_error(&resp);
	else if (c->json)
		print_json(resp.json);
	else if (argc == 1)
		printf("%s", json_string_value(json_object_get(resp.json, "text")));
	else
		print_table(
			json_object_get(resp.json, "sections"), columns, ARRAY_LEN(columns));
	response_clear(&resp);
	return code;
}

/* config set: replace a section by a file, based on the given or the current edit. */
int cmd_config_set(struct cli *c, int argc, char **argv)
{
	g_autofree char *text = NULL;
	AUTOFREE char *current_text = NULL;
	uint64_t base_edit_number = 0;

	if (argc != 2 && argc != 3)
		return EXIT_USAGE;
	if (!read_file(argv[1], &text))
		return error_info(ERR_INVALID)->exit_code;
	if (argc == 3)
		base_edit_number = strtoull(argv[2], NULL, 10);
	else if (!fetch_section(c, argv[0], &base_edit_number, &current_text))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	return put_section(c, argv[0], text, base_edit_number);
}

/* Count the lines that two lists have in common at the start, or at the end if from_end. */
static guint common_lines(
	gchar **old_lines, guint old_len, gchar **new_lines, guint new_len, bool from_end)
{
	guint n = 0;

	while (n < old_len && n < new_len &&
		strcmp(old_lines[from_end ? old_len - 1 - n : n],
			new_lines[from_end ? new_len - 1 - n : n]) == 0)
		n++;
	return n;
}

/* config diff: print one hunk with all lines that differ; exit with 1 if there are any. */
int cmd_config_diff(struct cli *c, int argc, char **argv)
{
	g_autofree char *text = NULL;
	AUTOFREE char *current_text = NULL;
	g_auto(GStrv) old_lines = NULL;
	g_auto(GStrv) new_lines = NULL;
	uint64_t edit_number;
	guint prefix_len;
	guint suffix_len;

	if (argc != 2)
		return EXIT_USAGE;
	if (!read_file(argv[1], &text))
		return error_info(ERR_INVALID)->exit_code;
	if (!fetch_section(c, argv[0], &edit_number, &current_text))
		return error_info(ERR_NO_COORDINATOR)->exit_code;
	old_lines = g_strsplit(current_text, "\n", -1);
	new_lines = g_strsplit(text, "\n", -1);
	prefix_len = common_lines(old_lines, g_strv_length(old_lines), new_lines,
		g_strv_length(new_lines), false);
	suffix_len = common_lines(old_lines + prefix_len, g_strv_length(old_lines) - prefix_len,
		new_lines + prefix_len, g_strv_length(new_lines) - prefix_len, true);
	if (strcmp(current_text, text) == 0)
		return EXIT_OK;
	printf("--- %s, edit %" PRIu64 "\n+++ %s\n@@ line %u @@\n", argv[0], edit_number,
		argv[1], prefix_len + 1);
	for (guint i = prefix_len; i < g_strv_length(old_lines) - suffix_len; i++)
		printf("-%s\n", old_lines[i]);
	for (guint i = prefix_len; i < g_strv_length(new_lines) - suffix_len; i++)
		printf("+%s\n", new_lines[i]);
	return 1;
}

/* config history: print the edits of the configuration. */
int cmd_config_history(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"WHEN", "when"}, {"WHO", "who"},
		{"WHAT", "what"}, {"SECTION", "section"}, {"FROM", "from"}, {"TO", "to"}};
	struct response resp;
	int code = EXIT_OK;

	(void)argv;
	if (argc != 0)
		return EXIT_USAGE;
	if (!client_request(c, "GET", "/v1/config-history", NULL, &resp))
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

/* Add a row for a process. */
static void add_process_row(
	json_t *rows, const char *process, const char *role, const json_t *edit_number)
{
	json_t *row = json_pack("{s:s,s:s}", "process", process, "role", role);

	json_object_set(row, "number", (json_t *)edit_number);
	json_array_append_new(rows, row);
}

/* Add a row for each element of a list that an entry returns. Skip them all if it fails. */
static void add_process_rows(
	struct cli *c, json_t *rows, const char *path, const char *name_key, const char *role)
{
	struct response resp;
	size_t i;
	json_t *row;

	if (!client_request(c, "GET", path, NULL, &resp))
		return;
	json_array_foreach(resp.status == 200 ? resp.json : NULL, i, row) {
		add_process_row(rows, json_string_value(json_object_get(row, name_key)), role,
			json_object_get(row, "config"));
	}
	response_clear(&resp);
}

/*
 * config status: print the number of the last edit read by each configured entry, coordinator
 * and agent.
 */
int cmd_config_status(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {
		{"PROCESS", "process"}, {"ROLE", "role"}, {"CONFIG", "number"}};
	json_t *rows = json_array();
	char **entries = c->entries;

	(void)argv;
	if (argc != 0)
		return EXIT_USAGE;
	for (size_t i = 0; entries[i] != NULL; i++) {
		char *single_entry[] = {entries[i], NULL};
		struct response resp;

		c->entries = single_entry;
		if (client_request(c, "GET", "/v1/config-status", NULL, &resp))
			add_process_row(rows, entries[i], "entry",
				json_object_get(resp.json, "number"));
		response_clear(&resp);
	}
	c->entries = entries;
	add_process_rows(c, rows, "/v1/cells", "cell", "coordinator");
	add_process_rows(c, rows, "/v1/workers", "worker", "agent");
	if (c->json)
		print_json(rows);
	else
		print_table(rows, columns, ARRAY_LEN(columns));
	json_decref(rows);
	return EXIT_OK;
}
