#include "cli.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Read a file; false, with a message, where it cannot be read. */
static bool read_file(const char *path, char **text)
{
	g_autoptr(GError) err = NULL;

	if (g_file_get_contents(path, text, NULL, &err))
		return true;
	fprintf(stderr, "damaskpath: %s\n", err->message);
	return false;
}

/* Print what is wrong, one problem a line. */
static void print_problems(const char *path, const struct doc_problems *problems)
{
	const struct doc_problem *p;

	STAILQ_FOREACH(p, problems, entry)
	fprintf(stderr, "%s:%d:%d: %s%s%s\n", path, p->line, p->column, p->key,
		*p->key != '\0' ? ": " : "", p->rule);
}

/* Split and check a document; false, with messages, where it is not valid. */
static bool check_file(const char *path, const char *text, GPtrArray *sections)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	bool ok = doc_split(text, sections, &problems);

	if (ok) {
		GArray *all = g_array_new(FALSE, TRUE, sizeof(struct doc_section));
		struct doc *d;

		for (guint i = 0; i < sections->len; i++)
			g_array_append_vals(all, sections->pdata[i], 1);
		d = doc_parse_sections((struct doc_section *)all->data, all->len, &problems);
		if (STAILQ_EMPTY(&problems))
			doc_check(d, &problems);
		doc_free(d);
		g_array_unref(all);
		ok = STAILQ_EMPTY(&problems);
	}
	print_problems(path, &problems);
	doc_problems_clear(&problems);
	return ok;
}

/* config check */
int cmd_config_check(struct cli *c, int argc, char **argv)
{
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	g_autofree char *text = NULL;

	(void)c;
	if (argc != 1)
		return EXIT_USAGE;
	if (!read_file(argv[0], &text) || !check_file(argv[0], text, sections))
		return error_answer(ERR_INVALID)->exit_code;
	printf("%s: %u sections, valid\n", argv[0], sections->len);
	return EXIT_OK;
}

/* The section in force; number 0 where there is none. False where no entry answered. */
static bool fetch_section(struct cli *c, const char *section, uint64_t *number, char **text)
{
	AUTOFREE char *path = NULL;
	struct response out;

	*number = 0;
	*text = xstrdup("");
	xasprintf(&path, "/v1/config/%s", section);
	if (!client_request(c, "GET", path, NULL, &out))
		return false;
	if (out.status == 200) {
		*number = (uint64_t)json_integer_value(json_object_get(out.json, "number"));
		free(*text);
		*text = xstrdup(json_string_value(json_object_get(out.json, "text")));
	}
	response_clear(&out);
	return true;
}

/* Say why an edit was refused; for a lost race both versions are shown. */
static int put_failed(const struct response *out, const char *section)
{
	const char *current = json_string_value(json_object_get(out->json, "current"));
	const json_t *problems = json_object_get(out->json, "problems");
	int code = client_report_error(out);
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
		fprintf(stderr, "--- %s, edit %lld, now in force\n%s--- yours\n%s", section,
			(long long)json_integer_value(
				json_object_get(out->json, "current_number")),
			current, json_string_value(json_object_get(out->json, "yours")));
	return code;
}

/* Put one section. */
static int put_section(struct cli *c, const char *section, const char *text, uint64_t base)
{
	const char *who = getenv("USER");
	AUTOFREE char *path = NULL;
	struct response out;
	int code = EXIT_OK;

	xasprintf(&path, "/v1/config/%s?base=%" PRIu64 "&who=%s", section, base,
		who != NULL && *who != '\0' ? who : "operator");
	if (!client_request(c, "PUT", path, text, &out))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	if (out.status != 200)
		code = put_failed(&out, section);
	else if (c->json)
		print_json(out.json);
	else
		printf("%s: accepted as edit %lld\n", section,
			(long long)json_integer_value(json_object_get(out.json, "number")));
	response_clear(&out);
	return code;
}

/* config apply */
int cmd_config_apply(struct cli *c, int argc, char **argv)
{
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	g_autofree char *text = NULL;
	int code = EXIT_OK;

	if (argc != 1)
		return EXIT_USAGE;
	if (!read_file(argv[0], &text) || !check_file(argv[0], text, sections))
		return error_answer(ERR_INVALID)->exit_code;
	for (guint i = 0; code == EXIT_OK && i < sections->len; i++) {
		const struct doc_section *s = sections->pdata[i];
		AUTOFREE char *now = NULL;
		uint64_t number;

		if (!fetch_section(c, s->name, &number, &now))
			return error_answer(ERR_NO_COORDINATOR)->exit_code;
		if (strcmp(now, s->text) != 0)
			code = put_section(c, s->name, s->text, number);
		else if (!c->json)
			printf("%s: unchanged\n", s->name);
	}
	return code;
}

/* config get */
int cmd_config_get(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"SECTION", "section"}, {"EDIT", "number"}};
	AUTOFREE char *path = NULL;
	struct response out;
	int code = EXIT_OK;

	if (argc > 1)
		return EXIT_USAGE;
	xasprintf(&path, "/v1/config%s%s", argc == 1 ? "/" : "", argc == 1 ? argv[0] : "");
	if (!client_request(c, "GET", path, NULL, &out))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	if (out.status != 200)
		code = client_report_error(&out);
	else if (c->json)
		print_json(out.json);
	else if (argc == 1)
		printf("%s", json_string_value(json_object_get(out.json, "text")));
	else
		print_table(json_object_get(out.json, "sections"), columns, ARRAY_LEN(columns));
	response_clear(&out);
	return code;
}

/* config set */
int cmd_config_set(struct cli *c, int argc, char **argv)
{
	g_autofree char *text = NULL;
	AUTOFREE char *now = NULL;
	uint64_t base = 0;

	if (argc != 2 && argc != 3)
		return EXIT_USAGE;
	if (!read_file(argv[1], &text))
		return error_answer(ERR_INVALID)->exit_code;
	if (argc == 3)
		base = strtoull(argv[2], NULL, 10);
	else if (!fetch_section(c, argv[0], &base, &now))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	return put_section(c, argv[0], text, base);
}

/* Length of the common part of two lists of lines, from one end. */
static guint common(gchar **a, guint alen, gchar **b, guint blen, bool from_end)
{
	guint n = 0;

	while (n < alen && n < blen &&
		strcmp(a[from_end ? alen - 1 - n : n], b[from_end ? blen - 1 - n : n]) == 0)
		n++;
	return n;
}

/* config diff */
int cmd_config_diff(struct cli *c, int argc, char **argv)
{
	g_autofree char *text = NULL;
	AUTOFREE char *now = NULL;
	g_auto(GStrv) a = NULL;
	g_auto(GStrv) b = NULL;
	uint64_t number;
	guint head;
	guint tail;

	if (argc != 2)
		return EXIT_USAGE;
	if (!read_file(argv[1], &text))
		return error_answer(ERR_INVALID)->exit_code;
	if (!fetch_section(c, argv[0], &number, &now))
		return error_answer(ERR_NO_COORDINATOR)->exit_code;
	a = g_strsplit(now, "\n", -1);
	b = g_strsplit(text, "\n", -1);
	head = common(a, g_strv_length(a), b, g_strv_length(b), false);
	tail = common(
		a + head, g_strv_length(a) - head, b + head, g_strv_length(b) - head, true);
	if (strcmp(now, text) == 0)
		return EXIT_OK;
	printf("--- %s, edit %" PRIu64 "\n+++ %s\n@@ line %u @@\n", argv[0], number, argv[1],
		head + 1);
	for (guint i = head; i < g_strv_length(a) - tail; i++)
		printf("-%s\n", a[i]);
	for (guint i = head; i < g_strv_length(b) - tail; i++)
		printf("+%s\n", b[i]);
	return 1;
}

/* config history */
int cmd_config_history(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {{"WHEN", "when"}, {"WHO", "who"},
		{"WHAT", "what"}, {"SECTION", "section"}, {"FROM", "from"}, {"TO", "to"}};
	struct response out;
	int code = EXIT_OK;

	(void)argv;
	if (argc != 0)
		return EXIT_USAGE;
	if (!client_request(c, "GET", "/v1/config-history", NULL, &out))
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

/* Add one process's row. */
static void add_status(
	json_t *rows, const char *process, const char *role, const json_t *number)
{
	json_t *row = json_pack("{s:s,s:s}", "process", process, "role", role);

	json_object_set(row, "number", (json_t *)number);
	json_array_append_new(rows, row);
}

/* Add rows of a list that the cells answered. */
static void add_rows(
	struct cli *c, json_t *rows, const char *path, const char *name, const char *role)
{
	struct response out;
	size_t i;
	json_t *row;

	if (!client_request(c, "GET", path, NULL, &out))
		return;
	json_array_foreach(out.status == 200 ? out.json : NULL, i, row) {
		add_status(rows, json_string_value(json_object_get(row, name)), role,
			json_object_get(row, "config"));
	}
	response_clear(&out);
}

/* config status: each entry that is named, the coordinators, the agents. */
int cmd_config_status(struct cli *c, int argc, char **argv)
{
	static const struct column columns[] = {
		{"PROCESS", "process"}, {"ROLE", "role"}, {"CONFIG", "number"}};
	json_t *rows = json_array();
	char **all = c->entries;

	(void)argv;
	if (argc != 0)
		return EXIT_USAGE;
	for (size_t i = 0; all[i] != NULL; i++) {
		char *one[] = {all[i], NULL};
		struct response out;

		c->entries = one;
		if (client_request(c, "GET", "/v1/config-status", NULL, &out))
			add_status(rows, all[i], "entry", json_object_get(out.json, "number"));
		response_clear(&out);
	}
	c->entries = all;
	add_rows(c, rows, "/v1/cells", "cell", "coordinator");
	add_rows(c, rows, "/v1/workers", "worker", "agent");
	if (c->json)
		print_json(rows);
	else
		print_table(rows, columns, ARRAY_LEN(columns));
	json_decref(rows);
	return EXIT_OK;
}
