#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_ENTRY "127.0.0.1:8080"

/* Print the usage message with the list of commands. */
static void print_usage(FILE *out)
{
	fprintf(out,
		"usage: damaskpath [--entry ADDR[,ADDR...]] [--token T] [--org O] [--json] "
		"COMMAND ...\n\ncommands:\n");
	for (size_t i = 0; i < cmd_table_len; i++)
		fprintf(out, "  %-15s %-22s %s\n", cmd_table[i].name,
			strlen(cmd_table[i].usage) > 22 ? "..." : cmd_table[i].usage,
			cmd_table[i].help);
	fprintf(out,
		"\nThe options may also be given as DAMASKPATH_ENTRY, DAMASKPATH_TOKEN and "
		"DAMASKPATH_ORG.\n");
}

/* Return an environment variable, or the default if it is unset or empty. */
static const char *getenv_default(const char *name, const char *default_value)
{
	const char *v = getenv(name);

	return v != NULL && *v != '\0' ? v : default_value;
}

/* Parse the options. Return the index of the command in argv, or -1 for an invalid option. */
static int parse_options(struct cli *c, const char **entries, int argc, char **argv)
{
	int i = 1;

	for (; i < argc && strncmp(argv[i], "--", 2) == 0; i++) {
		if (strcmp(argv[i], "--json") == 0)
			c->json = true;
		else if (i + 1 < argc && strcmp(argv[i], "--entry") == 0)
			*entries = argv[++i];
		else if (i + 1 < argc && strcmp(argv[i], "--token") == 0)
			c->token = argv[++i];
		else if (i + 1 < argc && strcmp(argv[i], "--org") == 0)
			c->org = argv[++i];
		else
			return -1;
	}
	return i;
}

int main(int argc, char **argv)
{
	struct cli c = {.token = getenv_default("DAMASKPATH_TOKEN", NULL),
		.org = getenv_default("DAMASKPATH_ORG", NULL)};
	const char *entries = getenv_default("DAMASKPATH_ENTRY", DEFAULT_ENTRY);
	const struct cmd_entry *cmd;
	int name_args = 0;
	int code;
	int first_arg;

	if (argc > 1 && strcmp(argv[1], "--version") == 0) {
		printf("damaskpath %s\n", DP_VERSION);
		return EXIT_OK;
	}
	if (argc > 1 && strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return EXIT_OK;
	}
	first_arg = parse_options(&c, &entries, argc, argv);
	cmd = first_arg > 0 ? cmd_find(argc - first_arg, argv + first_arg, &name_args) : NULL;
	if (cmd == NULL) {
		print_usage(stderr);
		return EXIT_USAGE;
	}
	log_set_level(LOG_LEVEL_WARNING);
	c.entries = g_strsplit(entries, ",", -1);
	code = cmd->exec(&c, argc - first_arg - name_args, argv + first_arg + name_args);
	/*
	 * A command may return the same code for an invalid document, so print its usage only
	 * if it was given no arguments.
	 */
	if (code == EXIT_USAGE && argc - first_arg - name_args == 0)
		fprintf(stderr, "usage: damaskpath %s %s\n", cmd->name, cmd->usage);
	g_strfreev(c.entries);
	return code;
}
